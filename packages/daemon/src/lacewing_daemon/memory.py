"""Have the allocator return the memory of large blocks."""

import ctypes

from lacewing_common.log import get_log
from lacewing_common.log import Part

_M_MMAP_THRESHOLD = -3
LARGE_BLOCK_BYTES = 128 * 1024

_log = get_log(Part.MAIN)


def return_large_blocks() -> None:
    """Return blocks of this size to the system as soon as they are freed.

    glibc raises the threshold to the largest block that was freed. Bodies
    and answers of some MiB then leave gaps in the heap, and the process
    keeps the memory of crowds that have left.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError) as error:
        _log.info('The allocator has no thresholds.', error=str(error))
        return
    mallopt(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
