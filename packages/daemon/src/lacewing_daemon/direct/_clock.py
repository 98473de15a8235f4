"""Read the clock that leases and confirmations are measured with."""

import os
import time
from pathlib import Path

_STAT_PATH = Path('/proc/self/stat')
# Index after the program name, which may contain spaces.
_START_TIME_FIELD = 19
# A start time further back can't be that of a process that is starting now:
# the clocks don't match, as in a container with its own time namespace.
_MAX_STARTUP_S = 20.0


def boot_s() -> float:
    """Return the seconds since boot, including time while suspended.

    The monotonic clock stops while a VM is suspended. Measured with it, a
    lease that expired meanwhile would still look held after resuming, and
    its former and new holder would both send orders.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def process_start_s() -> float | None:
    """Return the start time of this process on the boot clock.

    None if the system does not report it, or reports an implausible time.
    """
    try:
        fields = _STAT_PATH.read_text().rpartition(')')[2].split()
        ticks = int(fields[_START_TIME_FIELD])
    except (OSError, ValueError, IndexError):
        return None
    started_s = ticks / os.sysconf('SC_CLK_TCK')
    if 0.0 <= boot_s() - started_s <= _MAX_STARTUP_S:
        return started_s
    return None
