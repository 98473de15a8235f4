"""Measure a team's demand: smooth while it is steady, quick when it jumps."""

import math
from dataclasses import dataclass

_SHORT_S = 0.25
_SHORTEST_S = 0.1
_SMOOTH_S = 2.0
_SIGMAS = 3.0


@dataclass(frozen=True)
class Rates:
    """Hold requests and tokens a second."""

    requests_s: float = 0.0
    tokens_s: float = 0.0


@dataclass
class _Window:
    since: float
    requests: int = 0
    tokens: float = 0.0

    def rates(self, now: float) -> Rates:
        elapsed_s = max(now - self.since, _SHORTEST_S)
        tokens = max(0.0, self.tokens)
        return Rates(self.requests / elapsed_s, tokens / elapsed_s)


class DemandMeter:
    """Count requests and their tokens and tell their rates.

    A few requests more or less are chance. A router that reported them as
    demand would be given part of what others still use, and together they
    would pass more than the limit. So the rates are smoothed over seconds,
    but for changes beyond three standard deviations of a Poisson count:
    load that moved here or away shows within a quarter of a second.

    ``since`` is when the first window began: a team seen first just before
    a report had no requests in the rest of it.
    """

    def __init__(self, now: float, since: float) -> None:
        self._rates = Rates()
        self._long = _Window(since)
        self._short = _Window(now)

    def add(self, requests: int, tokens: float, now: float) -> None:
        """Count requests; negative tokens correct earlier ones."""
        if now - self._short.since >= _SHORT_S:
            self._short = _Window(now)
        for window in (self._short, self._long):
            window.requests += requests
            window.tokens += tokens

    def jumped(self, now: float) -> bool:
        """Tell whether demand is surely above what was last measured."""
        elapsed_s = now - self._short.since
        if elapsed_s >= 2 * _SHORT_S:
            return False
        expected = self._rates.requests_s * elapsed_s
        return _is_beyond_chance(self._short.requests - expected, expected)

    def measure(self, now: float) -> Rates:
        """Measure, and begin new windows."""
        self._rates = self._measured(now)
        self._long = _Window(now)
        return self._rates

    def _measured(self, now: float) -> Rates:
        if self.jumped(now):
            return self._short.rates(now)
        elapsed_s = now - self._long.since
        expected = self._rates.requests_s * elapsed_s
        seen = self._long.rates(now)
        if _is_beyond_chance(expected - self._long.requests, expected):
            return seen
        gain = 1.0 - math.exp(-elapsed_s / _SMOOTH_S)
        old = self._rates
        return Rates(
            old.requests_s + gain * (seen.requests_s - old.requests_s),
            old.tokens_s + gain * (seen.tokens_s - old.tokens_s),
        )


def _is_beyond_chance(difference: float, expected: float) -> bool:
    return difference > _SIGMAS * math.sqrt(max(expected, 1.0))
