"""Clocks, which tests can replace."""

import time

__all__ = ['BootClock', 'Clock']


class Clock:
    """Monotonic clock, which stops while the VM is suspended.

    :cvar counts_suspension: whether the clock goes on during a suspension
    """

    __slots__ = ()

    counts_suspension = False

    def now(self):
        """Return the monotonic time, in seconds."""
        return time.monotonic()


class BootClock(Clock):
    """Clock that counts from the boot, also while the VM is suspended."""

    __slots__ = ()

    counts_suspension = True

    def now(self):
        """Return the time since the boot, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
