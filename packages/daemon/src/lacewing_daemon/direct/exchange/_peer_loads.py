"""Hold what other routers have told of their load at engines.

This module does no I/O; times are given by the caller.
"""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from math import inf

from lacewing_daemon.direct.exchange._engine_queue import EngineQueue
from lacewing_daemon.direct.exchange._load_entries import engine_key
from lacewing_daemon.direct.exchange._load_entries import EngineLoad
from lacewing_daemon.direct.exchange._load_entries import Report
from lacewing_daemon.direct.exchange._reachability import probing_router
from lacewing_daemon.direct.exchange._reachability import Reachability

# The load of others is used while it is newer than this. Prompts wait for
# some hundred ms, so after this time most of what was told has ended.
KNOWN_AGE_S = 1.5
# The part of the other routers that must have been heard of. Of three
# availability zones, one may have been lost.
MIN_COVERAGE = 0.6


@dataclass(frozen=True)
class OtherLoad:
    """Hold the load of all other routers at one engine.

    ``waiting_tokens``: tokens still to be prefilled, by urgency. ``age_s`` is
    the mean age of what the routers told, infinite if too few of them did.
    ``unseen_tokens``: an estimate of what waits and was not told yet.
    """

    waiting_tokens: Mapping[int, float]
    waiting: int
    in_flight: int
    tokens_in_flight: int
    age_s: float
    unseen_tokens: float = 0.0

    @property
    def is_known(self) -> bool:
        """Return whether it is recent enough to decide by it."""
        return self.age_s <= KNOWN_AGE_S


UNKNOWN_LOAD = OtherLoad({}, 0, 0, 0, inf)


@dataclass
class _Engine:
    """Hold what is known of one engine; runs by sender: count and tokens."""

    queue: EngineQueue
    runs: dict[str, tuple[int, int]]
    waiting: dict[str, int]
    in_flight: int = 0
    tokens_in_flight: int = 0
    report: Report | None = None
    updated_s: float = 0.0


@dataclass(frozen=True)
class _Freshness:
    """Hold the mean age of senders at one time, infinite if too few."""

    now_s: float
    age_s: float


class PeerLoads:
    """Sum up the load of the other routers by engine.

    ``own_name`` is how peers name this router. ``peer_count`` returns the
    number of other routers, ``tokens_per_ms`` the prefill speed of an engine
    by its key.
    """

    def __init__(
        self,
        own_name: str,
        peer_count: Callable[[], int],
        tokens_per_ms: Callable[[int], float],
    ) -> None:
        self._own_name = own_name
        self._peer_count = peer_count
        self._tokens_per_ms = tokens_per_ms
        self._engines: dict[int, _Engine] = {}
        self._heard_s: dict[str, float] = {}
        self._reachability = Reachability()
        self._freshness = _Freshness(-inf, inf)
        self._probed: dict[int, int] = {}
        self._interval_s = inf

    @property
    def reachability(self) -> Reachability:
        """Return the observations of failures and data."""
        return self._reachability

    def age_s(self, now_s: float) -> float:
        """Return the mean age of what the others told, infinite if unknown."""
        if self._freshness.now_s == now_s:
            return self._freshness.age_s
        total_s = 0.0
        senders = 0
        for heard_s in self._heard_s.values():
            if now_s - heard_s <= KNOWN_AGE_S:
                total_s += max(0.0, now_s - heard_s)
                senders += 1
        age_s = inf
        if senders and senders >= MIN_COVERAGE * self._peer_count():
            age_s = total_s / senders
        self._freshness = _Freshness(now_s, age_s)
        return age_s

    def unseen_s(self, now_s: float) -> float:
        """Return for how long the latest prompts of others are unknown."""
        return min(self.age_s(now_s), self._interval_s)

    def others(self, incarnation: str, now_s: float) -> OtherLoad:
        """Return the load of the other routers at an engine."""
        age_s = self.age_s(now_s)
        if age_s == inf:
            return UNKNOWN_LOAD
        key = engine_key(incarnation)
        engine = self._engines.get(key)
        if engine is None:
            return OtherLoad({}, 0, 0, 0, age_s)
        tokens_per_ms = self._tokens_per_ms(key)
        waiting = engine.queue.waiting_tokens(tokens_per_ms, now_s)
        return OtherLoad(
            waiting,
            sum(engine.waiting.values()),
            engine.in_flight,
            engine.tokens_in_flight,
            age_s,
            engine.queue.unseen_tokens(
                waiting, tokens_per_ms, self.unseen_s(now_s), now_s
            ),
        )

    def report(self, incarnation: str, now_s: float) -> Report | None:
        """Return the newest load report of an engine that others told."""
        engine = self._engines.get(engine_key(incarnation))
        if engine is None or engine.report is None:
            return None
        if now_s - engine.report.at_s > KNOWN_AGE_S:
            return None
        return engine.report

    def is_unreachable(self, incarnation: str, now_s: float) -> bool:
        """Return whether no router reaches an engine."""
        key = engine_key(incarnation)
        return self._reachability.is_unreachable(key, now_s)

    def may_probe(self, incarnation: str, can_retry: bool, slot: int) -> bool:
        """Return whether this router may send to an unreachable engine.

        One router does in each ``slot``, a number of seconds. A request that
        can't be retried is lost at an engine that accepts connections but
        does not answer.
        """
        key = engine_key(incarnation)
        if self._probed.get(key) == slot:
            return False
        if not can_retry and not self._reachability.refuses_connections(key):
            return False
        routers = (self._own_name, *self._heard_s)
        return probing_router(key, routers, slot) == self._own_name

    def record_probe(self, incarnation: str, slot: int) -> None:
        """Record that this router sends a probe in a slot."""
        self._probed[engine_key(incarnation)] = slot

    def set_interval(self, interval_s: float) -> None:
        """Set the interval between two messages of a router.

        A router that sends nothing in an interval has nothing to tell, so
        what it sent is unknown only since the end of the last interval.
        """
        self._interval_s = interval_s

    def heard(self, sender: str, now_s: float) -> None:
        """Record that what a sender told is complete as of now."""
        self._heard_s[sender] = now_s
        self._freshness = _Freshness(-inf, inf)

    def apply(
        self, sender: str, key: int, load: EngineLoad, now_s: float
    ) -> None:
        """Apply what a sender tells of an engine, received at ``now_s``."""
        engine = self._engines.get(key)
        if engine is None:
            engine = _Engine(EngineQueue(), {}, {})
            self._engines[key] = engine
        engine.updated_s = now_s
        engine.queue.update(
            sender,
            load.waiting_tokens,
            load.sent_tokens,
            self._tokens_per_ms(key),
            now_s,
        )
        engine.waiting.pop(sender, None)
        if load.waiting:
            engine.waiting[sender] = load.waiting
        self._set_runs(engine, sender, load.in_flight, load.tokens_in_flight)
        report = load.report
        if report is not None:
            if engine.report is None or report.at_s > engine.report.at_s:
                engine.report = report
        self._reachability.record(
            sender, key, load.data_s, load.refused_s, load.silent_s
        )

    def clear_missing(self, sender: str, told: frozenset[int]) -> None:
        """Remove a sender's load at the engines that it has none at."""
        for key, engine in self._engines.items():
            if key not in told:
                self._clear(engine, sender)

    def forget(self, sender: str) -> None:
        """Remove the load of a sender that is not heard of."""
        self._heard_s.pop(sender, None)
        self._freshness = _Freshness(-inf, inf)
        for engine in self._engines.values():
            self._clear(engine, sender)
        self._reachability.forget(sender)

    def forget_engines(self, known: frozenset[int], before_s: float) -> None:
        """Remove engines that ended and were not told of since a time."""
        for key, engine in tuple(self._engines.items()):
            if key not in known and engine.updated_s < before_s:
                del self._engines[key]
                self._probed.pop(key, None)
                self._reachability.forget_engine(key)

    def _clear(self, engine: _Engine, sender: str) -> None:
        engine.queue.forget(sender)
        engine.waiting.pop(sender, None)
        self._set_runs(engine, sender, 0, 0)

    def _set_runs(
        self, engine: _Engine, sender: str, count: int, tokens: int
    ) -> None:
        before_count, before_tokens = engine.runs.pop(sender, (0, 0))
        if count or tokens:
            engine.runs[sender] = (count, tokens)
        engine.in_flight += count - before_count
        engine.tokens_in_flight += tokens - before_tokens
