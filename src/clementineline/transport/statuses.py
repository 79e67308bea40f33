"""What the HTTP status of a response states."""

__all__ = ['is_refusal']


def is_refusal(status):
    """Return whether a server states with a status that it has done nothing.

    This holds for the project's own interfaces and for the platform's store,
    where 503 has this meaning too. Any other status of 500 or more leaves
    open what the server has done.
    """
    return 400 <= status < 500 or status == 503
