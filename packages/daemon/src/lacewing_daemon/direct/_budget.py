"""Limit how many retries the whole fleet sends to a service."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

# A router knows only its own requests. It spends this fraction of what the
# ratio allows for them, as the fleet's window may differ from its own.
_OWN_FRACTION = 0.6
# Fraction of a router's budget that is reserved for requests that have begun
# to run.
RESERVED_FOR_RUNS = 0.4
# What is left of the whole budget is divided among the routers, times this:
# few need retries at the same time. If all do within one message, they spend
# 1.5 times what is left, and ``_OWN_FRACTION`` keeps that below the limit.
_LEFT_FACTOR = 1.5
# Other routers tell their retries within this time.
_NEWS_S = 1.0


@dataclass(frozen=True)
class OtherRetries:
    """Hold what all other routers counted within the window."""

    requests: int
    retries: float


class RetryBudget:
    """Count the requests and the retries of one service in a window.

    Without a limit, an upstream that refuses makes each router send each
    request several times, which multiplies the load of the service when it
    can handle least. ``ratio`` and ``slack`` apply to all routers together;
    each spends an equal part of the slack, and more while ``others`` returns
    what the other routers used.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        others: Callable[[float], OtherRetries | None] | None = None,
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._others = others
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def counts(self, now_s: float) -> tuple[int, int]:
        """Return the requests and the retries of the last window."""
        self._expire(now_s)
        return len(self._requests), len(self._retries)

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
        allowed = self._ratio * len(self._requests) * _OWN_FRACTION
        allowed += self._slack * _OWN_FRACTION / max(1, routers)
        if not for_runs:
            allowed *= 1.0 - RESERVED_FOR_RUNS
        if len(self._retries) + before + 1 <= allowed:
            return True
        return self._shared_allows(now_s, routers, for_runs, before)

    def _shared_allows(
        self, now_s: float, routers: int, for_runs: bool, before: int
    ) -> bool:
        """Return whether the whole budget has a retry left for this router.

        Load pattern: engines that refuse at a moment at which a few routers
        have most of the requests for them.
        """
        others = None if self._others is None else self._others(now_s)
        if others is None:
            return False
        requests = len(self._requests) + others.requests
        left = (self._ratio * requests + self._slack) * _OWN_FRACTION
        if not for_runs:
            left *= 1.0 - RESERVED_FOR_RUNS
        left -= len(self._retries) + others.retries + before
        recent = sum(at_s >= now_s - _NEWS_S for at_s in self._retries)
        return recent + before + 1 <= left * _LEFT_FACTOR / max(1, routers)

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        for times in (self._requests, self._retries):
            while times and times[0] < oldest_s:
                times.popleft()
