"""Estimate the work of other routers that waits at one engine.

This module does no I/O; times are given by the caller.
"""

from collections.abc import Mapping
from math import log

# Half-life of the rate at which other routers send prompts. Of 22 routers at
# 1.3 times the capacity, 0.61 of the prompts were in time with 6 s, and 0.60
# with 1.5 s.
RATE_HALF_LIFE_S = 6.0
# The time for which arrivals are counted before the rate is used in full.
MIN_RATE_AGE_S = 1.0
# The part of an engine's spare capacity that is assumed for prompts that are
# not known yet. With all of it, a queue behind prompts that arrive at the same
# moment is missed; with none, routers refuse prompts at engines that are free.
UNSEEN_CAPACITY = 0.5

_MS = 1000.0


class EngineQueue:
    """Track the tokens that other routers wait for at one engine.

    Between updates the waiting tokens drain at the engine's speed, the most
    urgent first, as engines order their queues by urgency.
    """

    def __init__(self) -> None:
        self._waiting: dict[str, dict[int, float]] = {}
        self._advanced_s = 0.0
        self._rates: dict[int, float] = {}
        self._rates_s = 0.0
        self._rates_since_s: float | None = None

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is known to wait."""
        return not self._waiting

    def update(
        self,
        sender: str,
        waiting: Mapping[int, float],
        sent: Mapping[int, float],
        tokens_per_ms: float,
        now_s: float,
    ) -> None:
        """Replace what a sender waits for, and count what it has sent."""
        self._advance(tokens_per_ms, now_s)
        stated = {
            urgency: tokens for urgency, tokens in waiting.items() if tokens
        }
        if stated:
            self._waiting[sender] = stated
        else:
            self._waiting.pop(sender, None)
        if not sent:
            return
        if self._rates_since_s is None:
            self._rates_since_s = now_s
        self._decay_rates(now_s)
        for urgency, tokens in sent.items():
            rate = self._rates.get(urgency, 0.0)
            rate += tokens * log(2) / RATE_HALF_LIFE_S
            self._rates[urgency] = rate

    def forget(self, sender: str) -> None:
        """Remove what a sender waits for."""
        self._waiting.pop(sender, None)

    def waiting_tokens(
        self, tokens_per_ms: float, now_s: float
    ) -> dict[int, float]:
        """Return the known tokens that wait now, by urgency."""
        totals = self._totals()
        elapsed_s = max(0.0, now_s - self._advanced_s)
        _drain(totals, tokens_per_ms * _MS * elapsed_s)
        return totals

    def unseen_tokens(
        self,
        waiting: Mapping[int, float],
        tokens_per_ms: float,
        unseen_s: float,
        now_s: float,
    ) -> float:
        """Return the tokens that wait and that no router has told yet.

        ``unseen_s``: the mean time since the senders' last messages. What
        they sent meanwhile is estimated by their recent rate, less what the
        engine prefills of it in the time that the known work leaves.
        """
        factor = self._rate_factor(now_s) / self._rate_weight(now_s)
        arrived = sum(self._rates.values()) * factor * unseen_s
        capacity = tokens_per_ms * _MS * unseen_s * UNSEEN_CAPACITY
        return max(0.0, arrived - max(0.0, capacity - sum(waiting.values())))

    def _totals(self) -> dict[int, float]:
        totals: dict[int, float] = {}
        for waiting in self._waiting.values():
            for urgency, tokens in waiting.items():
                totals[urgency] = totals.get(urgency, 0.0) + tokens
        return totals

    def _advance(self, tokens_per_ms: float, now_s: float) -> None:
        """Drain what has been prefilled since the last update."""
        elapsed_s = max(0.0, now_s - self._advanced_s)
        self._advanced_s = max(self._advanced_s, now_s)
        if not self._waiting:
            return
        before = self._totals()
        after = dict(before)
        _drain(after, tokens_per_ms * _MS * elapsed_s)
        for sender, waiting in tuple(self._waiting.items()):
            left = {}
            for urgency, tokens in waiting.items():
                if after[urgency] > 0:
                    share = after[urgency] / before[urgency]
                    left[urgency] = tokens * share
            if left:
                self._waiting[sender] = left
            else:
                del self._waiting[sender]

    def _decay_rates(self, now_s: float) -> None:
        factor = self._rate_factor(now_s)
        self._rates_s = max(self._rates_s, now_s)
        for urgency in self._rates:
            self._rates[urgency] *= factor

    def _rate_factor(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self._rates_s)
        return float(0.5 ** (age_s / RATE_HALF_LIFE_S))

    def _rate_weight(self, now_s: float) -> float:
        """Return the part of the smoothing that lies after the start.

        Without it, the rate would seem too low for several half-lives.
        """
        since_s = now_s if self._rates_since_s is None else self._rates_since_s
        age_s = max(MIN_RATE_AGE_S, now_s - since_s)
        return float(1.0 - 0.5 ** (age_s / RATE_HALF_LIFE_S))


def _drain(tokens: dict[int, float], amount: float) -> float:
    """Take an amount from the most urgent tokens on; return what is left."""
    for urgency in sorted(tokens):
        taken = min(tokens[urgency], amount)
        tokens[urgency] -= taken
        amount -= taken
    return amount
