"""Fit the time to a first event over the tokens of a service's prompts.

Deterministic: callers pass in the time.
"""

from dataclasses import dataclass
from math import isfinite

import msgspec

from lacewing_daemon.direct._estimates import PREFILL_TOKENS_PER_MS_BOUNDS
from lacewing_daemon.direct.engines._sums import DecayedSums
from lacewing_daemon.direct.engines._sums import FitSums

# Engines are replaced within minutes. At 7 first events per second, which one
# of 25 routers has from 23 engines, about 200 samples count.
FIT_HALF_LIFE_S = 20.0
# The defaults count as this many samples at each of two lengths.
PRIOR_SAMPLES = 2.0
PRIOR_TOKENS = 4000.0
# Errors grow with the prompt, as machines are slow by a factor, but not in
# proportion, as queues don't depend on it: their variance is taken to grow
# with the tokens plus this.
WEIGHT_TOKENS = 1000.0
# The fixed wait includes steps, network and queues that no router reports.
FIXED_MS_BOUNDS = (0.5, 300.0)
# A sender counts for at most this many times the median sender, and in any
# case for MIN_SENDER_SAMPLES, so that a router that has just started learns
# from its only peer.
SENDER_WEIGHT = 2.0
MIN_SENDER_SAMPLES = 20.0
# The ratio by which the times of one sender may differ from the fit.
MAX_SENDER_RATIO = 3.0
# More samples or tokens than a router can have between two messages.
MAX_COUNT = 10_000.0
MAX_TOKENS = 1e6
# Solving the fit reads the sums of all senders.
SOLVE_INTERVAL_S = 0.25
_SIZE = len(FitSums.__struct_fields__)


@dataclass(frozen=True)
class Figures:
    """Hold a fixed wait and a time per token to prefill, in ms."""

    fixed_ms: float
    token_ms: float

    def expected_ms(self, count: float, tokens: float) -> float:
        """Return the time for a number of prompts of ``tokens`` in all."""
        return count * self.fixed_ms + tokens * self.token_ms


class ServiceFit:
    """Fit a fixed wait and a time per token to the first events of a service.

    Weighted least squares with the defaults as pseudo-samples. Sums of other
    routers are kept by sender, to bound the weight of each.
    """

    def __init__(self, defaults: Figures) -> None:
        self._defaults = defaults
        self._own = DecayedSums(FIT_HALF_LIFE_S, _SIZE)
        self._senders: dict[str, DecayedSums] = {}
        self._figures = defaults
        self._solved_s = float('-inf')

    @property
    def latest(self) -> Figures:
        """Return the figures as of when they were last requested."""
        return self._figures

    def figures(self, now_s: float) -> Figures:
        """Return the fitted figures within their bounds."""
        if abs(now_s - self._solved_s) >= SOLVE_INTERVAL_S:
            self._solved_s = now_s
            self._figures = self._solve(now_s)
        return self._figures

    def record(self, tokens: float, took_ms: float, now_s: float) -> FitSums:
        """Add a sample and return its sums."""
        sums = _sample(tokens, took_ms)
        self._own.add(msgspec.structs.astuple(sums), now_s)
        return sums

    def apply(self, sender: str, sums: FitSums, now_s: float) -> None:
        """Add the samples of another router; ignores impossible sums."""
        if not _is_plausible(sums):
            return
        figures = self.figures(now_s)
        expected = sums.weight * figures.fixed_ms
        expected += sums.tokens * figures.token_ms
        ratio = sums.took_ms / expected
        bounded = min(MAX_SENDER_RATIO, max(1 / MAX_SENDER_RATIO, ratio))
        count, weight, tokens, squared, took_ms, product = (
            msgspec.structs.astuple(sums)
        )
        correction = bounded / ratio
        kept = self._senders.setdefault(
            sender, DecayedSums(FIT_HALF_LIFE_S, _SIZE)
        )
        kept.add(
            (
                count,
                weight,
                tokens,
                squared,
                took_ms * correction,
                product * correction,
            ),
            now_s,
        )

    def forget(self, sender: str) -> None:
        """Drop the samples of another router."""
        self._senders.pop(sender, None)

    def _solve(self, now_s: float) -> Figures:
        total = [0.0] * _SIZE
        for tokens in (0.0, PRIOR_TOKENS):
            expected_ms = self._defaults.expected_ms(1.0, tokens)
            sample = msgspec.structs.astuple(_sample(tokens, expected_ms))
            _accumulate(total, sample, PRIOR_SAMPLES)
        own = self._own.at(now_s)
        _accumulate(total, own, 1.0)
        others = [sums.at(now_s) for sums in self._senders.values()]
        counts = sorted([own[0], *(sums[0] for sums in others)])
        median = counts[(len(counts) - 1) // 2]
        limit = max(MIN_SENDER_SAMPLES, SENDER_WEIGHT * median)
        for sums in others:
            _accumulate(total, sums, min(1.0, limit / max(sums[0], 1e-9)))
        return _bounded_solution(FitSums(*total))


def _sample(tokens: float, took_ms: float) -> FitSums:
    weight = WEIGHT_TOKENS / (tokens + WEIGHT_TOKENS)
    return FitSums(
        1.0,
        weight,
        weight * tokens,
        weight * tokens * tokens,
        weight * took_ms,
        weight * tokens * took_ms,
    )


def _accumulate(
    total: list[float], sums: tuple[float, ...], scale: float
) -> None:
    for index, value in enumerate(sums):
        total[index] += value * scale


def _bounded_solution(sums: FitSums) -> Figures:
    """Solve the normal equations; one figure at its bound fixes the other."""
    determinant = sums.weight * sums.tokens_squared - sums.tokens**2
    token_ms = sums.weight * sums.product - sums.tokens * sums.took_ms
    token_ms /= determinant
    min_speed, max_speed = PREFILL_TOKENS_PER_MS_BOUNDS
    token_ms = min(1 / min_speed, max(1 / max_speed, token_ms))
    fixed_ms = (sums.took_ms - token_ms * sums.tokens) / sums.weight
    min_ms, max_ms = FIXED_MS_BOUNDS
    bounded_ms = min(max_ms, max(min_ms, fixed_ms))
    if bounded_ms != fixed_ms:
        token_ms = sums.product - bounded_ms * sums.tokens
        token_ms /= sums.tokens_squared
        token_ms = min(1 / min_speed, max(1 / max_speed, token_ms))
    return Figures(bounded_ms, token_ms)


def _is_plausible(sums: FitSums) -> bool:
    """Return whether sums can be those of a router's samples."""
    for value in msgspec.structs.astuple(sums):
        if not isfinite(value) or value < 0:
            return False
    if not 0 < sums.weight <= sums.count <= MAX_COUNT or sums.took_ms <= 0:
        return False
    if sums.tokens > sums.weight * MAX_TOKENS:
        return False
    if sums.tokens_squared > sums.tokens * MAX_TOKENS:
        return False
    # Cauchy's inequality, with a margin for rounding.
    return sums.tokens**2 <= sums.weight * sums.tokens_squared * 1.001
