"""Read the clock that leases and confirmations are measured by."""

import os
import time
from pathlib import Path

_STAT = Path('/proc/self/stat')
# Fields after the name of the program, which may hold spaces.
_START_FIELD = 19
# A start that lies further back is not that of a process that starts now:
# the clocks don't fit, as where processes see a time of their own.
_LONGEST_START_S = 20.0


def boot_s() -> float:
    """Return seconds since boot, those of a suspended VM included.

    The steady clock stands still while a VM is suspended. Measured by it, a
    lease that ran out meanwhile would still look held at the wake-up, and
    its old and new holder would both give orders.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def process_start_s() -> float | None:
    """Return when this process was started, on the boot clock.

    None where that is not told, or is nothing that fits a start.
    """
    try:
        fields = _STAT.read_text().rpartition(')')[2].split()
        ticks = int(fields[_START_FIELD])
    except (OSError, ValueError, IndexError):
        return None
    started_s = ticks / os.sysconf('SC_CLK_TCK')
    if 0.0 <= boot_s() - started_s <= _LONGEST_START_S:
        return started_s
    return None
