"""Incarnation numbers: each start of a process gets a higher one."""

import time

__all__ = ['make_incarnation']


def make_incarnation():
    """Return a number that is higher than that of earlier starts here.

    The wall clock of one VM orders the starts of its own processes; it is
    compared with no other machine's.
    """
    return time.time_ns() // 1_000_000
