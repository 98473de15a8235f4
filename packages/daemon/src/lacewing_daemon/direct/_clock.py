"""Read the clock that leases and confirmations are measured by."""

import time


def boot_s() -> float:
    """Return seconds since boot, those of a suspended VM included.

    The steady clock stands still while a VM is suspended. Measured by it, a
    lease that ran out meanwhile would still look held at the wake-up, and
    its old and new holder would both give orders.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
