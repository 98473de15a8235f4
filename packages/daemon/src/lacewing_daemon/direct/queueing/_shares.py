"""Count the service that each team has received lately.

Virtual token counters, as published for fair serving of language models
(Sheng et al., "Fairness in Serving Large Language Models", 2024), with two
differences: they decay, and they include the service at other routers.
Deterministic: callers pass in the time.
"""

from dataclasses import dataclass
from math import exp2
from math import isfinite

import msgspec

# Routers that were started at different times have received different
# histories, and a long history would let a team that has used little take
# all capacity for as long. Overloads last some seconds.
HALF_LIFE_S = 10.0
# A team without requests for so long was idle.
ACTIVE_S = 10.0
# A team that has received this many times the mean of the active ones sends
# more than its share: the counters of teams that send alike differ by less.
EXCESS_FACTOR = 2.0
# The mean is computed this often, as it takes time in proportion to the teams.
MEAN_INTERVAL_S = 0.2
# Bounds the memory and the time to find the lowest counter.
MAX_TEAMS = 4096
# Bounds a message; the rest follows with the next one.
MAX_TEAMS_IN_MESSAGE = 64
# A router serves no more than this between two messages, some 20 engines'
# prefill for 10 s; more is a fault of the sender.
MAX_TOKENS_IN_MESSAGE = 10_000_000.0

_decoder = msgspec.msgpack.Decoder(dict[str, float])


@dataclass
class _Counter:
    """Hold a counter as of ``at_s``; ``used_s``: last request."""

    tokens: float
    at_s: float
    used_s: float

    def value(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self.at_s)
        return self.tokens * exp2(-age_s / HALF_LIFE_S)

    def add(self, tokens: float, now_s: float) -> None:
        self.tokens = max(0.0, self.value(now_s) + tokens)
        self.at_s = max(self.at_s, now_s)


class TeamShares:
    """Hold the counters of all teams; a section of the load exchange."""

    def __init__(self) -> None:
        self._counters: dict[str, _Counter] = {}
        self._unsent: dict[str, float] = {}
        self._mean_tokens = 0.0
        self._mean_s = float('-inf')

    @property
    def name(self) -> str:
        """Return the name of the section."""
        return 'teams'

    def service(self, team: str, now_s: float) -> float:
        """Return the decayed service of a team."""
        counter = self._counters.get(team)
        return 0.0 if counter is None else counter.value(now_s)

    def exceeds_share(self, team: str, now_s: float) -> bool:
        """Return whether a team has received far more than the others."""
        if now_s - self._mean_s >= MEAN_INTERVAL_S:
            values = self._active_values(now_s)
            self._mean_tokens = sum(values) / max(1, len(values))
            self._mean_s = now_s
        return self.service(team, now_s) > EXCESS_FACTOR * self._mean_tokens

    def mark_active(self, team: str, now_s: float) -> None:
        """Record that a team has a request.

        A team that was idle starts at the lowest counter of the active ones,
        so that it gains no credit by being idle.
        """
        counter = self._counters.get(team)
        if counter is not None and now_s - counter.used_s < ACTIVE_S:
            counter.used_s = now_s
            return
        lowest = min(self._active_values(now_s), default=0.0)
        if counter is None:
            counter = self._add_counter(team, now_s)
        counter.used_s = now_s
        counter.add(max(0.0, lowest - counter.value(now_s)), now_s)

    def record(self, team: str, tokens: float, now_s: float) -> None:
        """Add service at this router, negative to take it back."""
        self._add(team, tokens, now_s)
        self._unsent[team] = self._unsent.get(team, 0.0) + tokens

    def collect(self, now_s: float, full: bool) -> object | None:
        """Return the own service since the last message, None if none.

        It is the same whether the message is a ``full`` one: a total would
        be counted twice.
        """
        teams = sorted(
            self._unsent,
            key=lambda team: abs(self._unsent[team]),
            reverse=True,
        )
        data = {}
        for team in teams[:MAX_TEAMS_IN_MESSAGE]:
            data[team] = float(round(self._unsent.pop(team)))
        return data or None

    def apply(self, sender: str, data: bytes, now_s: float) -> None:
        """Add another router's service since its last message.

        Raises msgspec.MsgspecError if the data can't be decoded.
        """
        for team, tokens in _decoder.decode(data).items():
            if not isfinite(tokens):
                continue
            bound = MAX_TOKENS_IN_MESSAGE
            self._add(team, min(bound, max(-bound, tokens)), now_s)

    def forget(self, sender: str) -> None:
        """Keep the service at a lost router; it decays like all others."""

    def _add(self, team: str, tokens: float, now_s: float) -> None:
        counter = self._counters.get(team)
        if counter is None:
            counter = self._add_counter(team, now_s)
        counter.used_s = now_s
        counter.add(tokens, now_s)

    def _add_counter(self, team: str, now_s: float) -> _Counter:
        if len(self._counters) >= MAX_TEAMS:
            oldest = min(
                self._counters, key=lambda name: self._counters[name].used_s
            )
            del self._counters[oldest]
        counter = self._counters[team] = _Counter(0.0, now_s, now_s)
        return counter

    def _active_values(self, now_s: float) -> list[float]:
        values = []
        for counter in self._counters.values():
            if now_s - counter.used_s < ACTIVE_S:
                values.append(counter.value(now_s))
        return values
