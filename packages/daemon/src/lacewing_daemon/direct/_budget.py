"""Bound how many repeated sends the whole fleet makes to a service."""

from collections import deque

# A router knows its own requests only. It spends this part of what the
# ratio allows for them, as the fleet's window need not match its own.
_OWN_PART = 0.6
# The part of a router's share that is kept for requests that began to run.
KEPT_FOR_RUNS = 0.4


class RetryBudget:
    """Count the requests and the repeats of one service in a window.

    Without a bound, an upstream that refuses makes each router send each
    request several times; the service then has several times its load at
    the moment it can bear least. ``ratio`` and ``slack`` hold for all
    routers together; each spends an equal part of the slack.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def count_request(self, now_s: float) -> None:
        """Count a request that a caller sent."""
        self._requests.append(now_s)
        self._forget(now_s)

    def spend(self, now_s: float, routers: int, for_runs: bool) -> bool:
        """Take one repeat from the budget; false if it is used up."""
        if not self.allows(now_s, routers, for_runs):
            return False
        self._repeats.append(now_s)
        return True

    def allows(
        self, now_s: float, routers: int, for_runs: bool, before: int = 0
    ) -> bool:
        """Tell whether a repeat is left once ``before`` more are spent.

        ``for_runs``: for a request that has begun to run and is lost without
        it. One that did not run can be refused, and its caller returns.
        """
        self._forget(now_s)
        allowed = self._ratio * len(self._requests) * _OWN_PART
        allowed += self._slack * _OWN_PART / max(1, routers)
        if not for_runs:
            allowed *= 1.0 - KEPT_FOR_RUNS
        return len(self._repeats) + before + 1 <= allowed

    def _forget(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest_s:
                times.popleft()
