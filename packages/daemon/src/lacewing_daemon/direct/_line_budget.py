"""Bound how many log lines requests write."""

# Lines a second that a process writes for requests over time, and at once.
# Up to that their cost is not seen: 24.5 s of processor time with them, 25.0 s
# without, on a day of 3,000 requests.
LINES_PER_S = 40.0
LINES_AT_ONCE = 400.0
# Lines of answered requests leave this part to those of refused ones.
KEPT_FOR_FAILURES = 0.5


class LineBudget:
    """Let failures through first; count what is left out.

    At several hundred requests a second a line each would cost more than
    the routing. Failures are what is asked about later, so answered requests
    are left out first.
    """

    def __init__(self, now_s: float) -> None:
        self._left = LINES_AT_ONCE
        self._at_s = now_s
        self._left_out = 0

    def allow(self, failure: bool, now_s: float) -> bool:
        """Tell whether a line may be written now."""
        gained = (now_s - self._at_s) * LINES_PER_S
        self._left = min(LINES_AT_ONCE, self._left + gained)
        self._at_s = now_s
        floor = 0.0 if failure else LINES_AT_ONCE * KEPT_FOR_FAILURES
        if self._left - 1.0 < floor:
            self._left_out += 1
            return False
        self._left -= 1.0
        return True

    def pop_dropped_count(self) -> int:
        """Return the number of lines left out since the last call."""
        left_out = self._left_out
        self._left_out = 0
        return left_out
