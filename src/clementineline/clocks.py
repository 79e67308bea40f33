"""The clocks of a process, replaceable in tests."""

import time

__all__ = ['BootClock', 'Clock']


class Clock:
    """Monotonic time of this process, in seconds."""

    __slots__ = ()

    def now(self):
        """Return monotonic time, in seconds."""
        return time.monotonic()


class BootClock(Clock):
    """Time since the VM booted, which counts while it is suspended."""

    __slots__ = ()

    def now(self):
        """Return time since boot, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
