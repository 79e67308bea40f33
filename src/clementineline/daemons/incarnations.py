"""Incarnation numbers: each start of a process gets a higher one."""

import time

__all__ = ['make_incarnation']


def make_incarnation():
    """Return a number that is higher than at earlier starts on this VM.

    The number is the VM's time of day in milliseconds. It is never compared
    with numbers of other VMs, so their clocks need not agree.
    """
    return time.time_ns() // 1_000_000
