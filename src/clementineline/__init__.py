"""A rollout service for reinforcement learning.

The package is a library with thin daemons: ``entry`` serves callers, trainers
and operators, and one ``sidecar`` runs next to each endpoint.
"""

__all__ = ['__version__']

__version__ = '0.1.0'
