"""Retry-After of the requests that a gateway refuses, in seconds."""

__all__ = ['MEMORY_S', 'NOT_READY_S', 'STOPPING_S', 'STORE_S']

# Retry-After of requests that a stopping gateway refuses: the retry reaches
# another gateway.
STOPPING_S = 0.05
# Retry-After of requests that are refused while the configuration is missing
# or outdated.
NOT_READY_S = 0.2
# Retry-After of requests that failed at the store. The retry reaches another
# gateway, or the store after a short outage.
STORE_S = 0.3
# Retry-After of requests that the memory has no room for: large bodies are
# complete, or count as stalled, within a few seconds.
MEMORY_S = 1.0
