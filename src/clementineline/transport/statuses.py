"""HTTP statuses that a response may have.

Parsers accept any three digits in a status line. What HTTP does not define is
no answer, whatever follows it: the bytes may belong to anything.
"""

__all__ = ['is_defined', 'is_refusal']

# Below are interim responses, which are followed by the response itself.
FINAL_MIN = 200
FINAL_MAX = 599


def is_defined(status):
    """Return whether a status is one of a response to a request."""
    return FINAL_MIN <= status <= FINAL_MAX


def is_refusal(status):
    """Return whether a server states with a status that it has done nothing.

    This holds for the project's own interfaces and for the platform's store,
    where 503 has this meaning too. Any other status of 500 or more leaves
    open what the server has done.
    """
    return 400 <= status < 500 or status == 503
