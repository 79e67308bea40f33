"""The clock of a process, replaceable in tests."""

import time

__all__ = ['Clock']


class Clock:
    """Monotonic time of this process, in seconds."""

    __slots__ = ()

    def now(self):
        """Return monotonic time, in seconds."""
        return time.monotonic()
