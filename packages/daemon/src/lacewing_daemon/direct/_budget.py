"""Limit how many retries the whole fleet sends to a service."""

from collections import deque

# A router knows only its own requests. It spends this fraction of what the
# ratio allows for them, as the fleet's window may differ from its own.
_OWN_FRACTION = 0.6
# Fraction of a router's budget that is reserved for requests that have begun
# to run.
RESERVED_FOR_RUNS = 0.4


class RetryBudget:
    """Count the requests and the retries of one service in a window.

    Without a limit, an upstream that refuses makes each router send each
    request several times, which multiplies the load of the service when it
    can handle least. ``ratio`` and ``slack`` apply to all routers together;
    each spends an equal part of the slack.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def set_bounds(self, ratio: float, slack: float, window_s: float) -> None:
        """Change the bounds; counted requests and retries stay."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def count_request(self, now_s: float) -> None:
        """Count a request that a caller sent."""
        self._requests.append(now_s)
        self._expire(now_s)

    def spend(self, now_s: float, routers: int, for_runs: bool) -> bool:
        """Take one retry from the budget; return false if it is exhausted."""
        if not self.allows(now_s, routers, for_runs):
            return False
        self._retries.append(now_s)
        return True

    def allows(
        self, now_s: float, routers: int, for_runs: bool, before: int = 0
    ) -> bool:
        """Return whether a retry is left once ``before`` more are spent.

        ``for_runs``: for a request that has begun to run and is lost without
        a retry. One that did not run can be refused, and its caller retries.
        """
        self._expire(now_s)
        allowed = self._allowed(routers)
        if not for_runs:
            allowed *= 1.0 - RESERVED_FOR_RUNS
        return len(self._retries) + before + 1 <= allowed

    def describe(self, routers: int) -> str:
        """Return how much is spent of what runs may spend."""
        allowed = self._allowed(routers)
        return (
            f'{len(self._retries)} retries of {allowed:.1f}'
            f' for {len(self._requests)} requests'
        )

    def _allowed(self, routers: int) -> float:
        allowed = self._ratio * len(self._requests) * _OWN_FRACTION
        return allowed + self._slack * _OWN_FRACTION / max(1, routers)

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        for times in (self._requests, self._retries):
            while times and times[0] < oldest_s:
                times.popleft()
