"""The allocator of the process."""

import ctypes

__all__ = ['return_freed_memory']

# Parameters of mallopt() in the GNU C library.
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
MMAP_THRESHOLD_BYTES = 128 * 1024
TRIM_THRESHOLD_BYTES = 256 * 1024


def return_freed_memory():
    """Let the allocator return large blocks to the system when freed.

    By default it raises its thresholds to the size of the largest freed
    block, so that after one body of 28 MB it keeps up to 56 MB, and bodies
    that grow leave holes. Other libraries than the GNU one are left alone.
    """
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    if mallopt is None:
        return
    mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
    mallopt(_M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)
