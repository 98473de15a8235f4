"""Simulate callers, engines and crash-causing requests in virtual time.

Of the routers, only the time until all of them know of a crash is modelled.
"""

import heapq
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from itertools import count
from random import Random

from lacewing_daemon.direct.crashes import CrashRecord
from lacewing_daemon.direct.crashes import Suspect
from lacewing_daemon.direct.crashes import UpstreamIncarnation

from lacewing_bench.crash_errors._rules import Rule

# Time until a run begins and returns its first event. A crash-causing run
# returns none; it crashes the engine this long after it began.
FIRST_EVENT_DELAY_S = (0.05, 0.2)
CRASH_DELAY_S = 0.08
# Time until a crashed engine accepts requests again, without any runs.
RESTART_S = (2.8, 4.2)
# Delay until a router continues a run at another engine, and until a caller
# retries.
FAILOVER_DELAY_S = 0.03
RETRY_DELAY_S = (0.2, 0.7)
# Durations of answers; both are equally likely.
SHORT_RUN_S = 0.15
LONG_RUN_S = 1.3
# The caller of a crash-causing request retries soon after a failure and also
# sends the request at intervals.
CRASH_CALLER_RETRY_S = (0.05, 0.15)
CRASH_CALLER_INTERVAL_S = (0.75, 2.25)
CRASH_CALLER_MIN_START_S = 3.0
# Engines with up to this many runs more than the least loaded are candidates.
MAX_RUN_IMBALANCE = 2
# Fraction of interrupted callers that retry, fraction of requests that several
# callers share, and the number of distinct shared requests.
RETRY_PROBABILITY = 0.8
SHARED_REQUEST_FRACTION = 0.2
SHARED_REQUEST_COUNT = 10


@dataclass(frozen=True)
class Load:
    """Hold the simulated load; ``rate`` is in requests per second.

    ``resumable`` is the fraction of requests whose runs continue at another
    engine. ``stray_crash_interval_s`` is the mean time between engine crashes
    that no request causes, 0 for none. ``propagation_s`` is the time until
    all routers know of a crash.
    """

    engines: int = 5
    rate: float = 37.0
    duration_s: float = 30.0
    crash_callers: int = 1
    resumable: float = 0.5
    stray_crash_interval_s: float = 0.0
    propagation_s: float = 0.1


@dataclass(frozen=True)
class Outcome:
    """Count crashes, interrupted runs, answers and wrongly blocked requests.

    ``shut_out`` counts blocked requests that cause no crash.
    """

    crashes: int = 0
    broken: int = 0
    answered: int = 0
    shut_out: int = 0


@dataclass(frozen=True)
class _Request:
    fingerprint: str
    causes_crash: bool
    duration_s: float
    failovers_left: int
    tried_engines: frozenset[int] = frozenset()


@dataclass
class _Run:
    request: _Request
    begun: bool = False


@dataclass
class _Engine:
    """Hold an engine; ``incarnation`` counts its restarts."""

    number: int
    is_up: bool = True
    incarnation: int = 0
    runs: dict[int, _Run] = field(default_factory=dict)


class _Simulation:
    def __init__(self, load: Load, rule: Rule, seed: int) -> None:
        self._load = load
        self._random = Random(seed)
        self._now_s = 0.0
        self._ids = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._registry = rule.registry(lambda: self._now_s)
        self._engines = [_Engine(number) for number in range(load.engines)]
        self._shut_out: set[str] = set()
        self._crashes = 0
        self._broken = 0
        self._answered = 0

    def run(self) -> Outcome:
        """Run all events of the load and return the counts."""
        self._schedule(0.0, self._send_next_request)
        for number in range(self._load.crash_callers):
            start_s = CRASH_CALLER_MIN_START_S * (1 + self._random.random())
            self._schedule(start_s, self._crash_caller(f'culprit {number}'))
        if self._load.stray_crash_interval_s:
            self._schedule(
                self._load.stray_crash_interval_s, self._crash_at_random
            )
        while self._events:
            self._now_s, _, action = heapq.heappop(self._events)
            action()
        return Outcome(
            self._crashes, self._broken, self._answered, len(self._shut_out)
        )

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        event = (self._now_s + delay_s, next(self._ids), action)
        heapq.heappush(self._events, event)

    def _uniform(self, bounds: tuple[float, float]) -> float:
        return self._random.uniform(*bounds)

    @property
    def _is_finished(self) -> bool:
        return self._now_s >= self._load.duration_s

    def _send_next_request(self) -> None:
        if self._is_finished:
            return
        fingerprint = f'request {next(self._ids)}'
        if self._random.random() < SHARED_REQUEST_FRACTION:
            fingerprint = (
                f'often {self._random.randrange(SHARED_REQUEST_COUNT)}'
            )
        duration_s = self._random.choice((SHORT_RUN_S, LONG_RUN_S))
        self._send(
            _Request(fingerprint, False, duration_s, self._initial_failovers())
        )
        self._schedule(
            self._random.expovariate(self._load.rate), self._send_next_request
        )

    def _initial_failovers(self) -> int:
        return int(self._random.random() < self._load.resumable)

    def _crash_caller(self, fingerprint: str) -> Callable[[], None]:
        def send_request() -> None:
            if self._is_finished:
                return
            self._send(_Request(fingerprint, True, 0.0, 1))
            self._schedule(
                self._uniform(CRASH_CALLER_INTERVAL_S), send_request
            )

        return send_request

    def _crash_at_random(self) -> None:
        if self._is_finished:
            return
        engine = self._random.choice(self._engines)
        if engine.is_up:
            self._crash(engine)
        delay_s = self._random.expovariate(
            1 / self._load.stray_crash_interval_s
        )
        self._schedule(delay_s, self._crash_at_random)

    def _send(self, request: _Request) -> None:
        if request.fingerprint in self._registry.blocked:
            if not request.causes_crash:
                self._shut_out.add(request.fingerprint)
            return
        engines = self._candidate_engines(request)
        if not engines:
            return
        engine = self._random.choice(engines)
        run_id = next(self._ids)
        engine.runs[run_id] = _Run(request)
        begin_run = self._if_running(engine, run_id, self._begin_run)
        self._schedule(self._uniform(FIRST_EVENT_DELAY_S), begin_run)

    def _candidate_engines(self, request: _Request) -> list[_Engine]:
        candidates = []
        for engine in self._engines:
            if engine.is_up and engine.number not in request.tried_engines:
                candidates.append(engine)
        if not candidates:
            return []
        min_runs = min(len(engine.runs) for engine in candidates)
        return [
            one
            for one in candidates
            if len(one.runs) <= min_runs + MAX_RUN_IMBALANCE
        ]

    def _if_running(
        self,
        engine: _Engine,
        run_id: int,
        action: Callable[[_Engine, int], None],
    ) -> Callable[[], None]:
        def check() -> None:
            if run_id in engine.runs:
                action(engine, run_id)

        return check

    def _begin_run(self, engine: _Engine, run_id: int) -> None:
        run = engine.runs[run_id]
        if run.request.causes_crash:
            crash = self._if_running(
                engine, run_id, lambda crashed, _: self._crash(crashed)
            )
            self._schedule(CRASH_DELAY_S, crash)
            return
        run.begun = True
        complete = self._if_running(engine, run_id, self._complete)
        self._schedule(run.request.duration_s, complete)

    def _complete(self, engine: _Engine, run_id: int) -> None:
        self._answered += 1
        self._registry.exonerate([engine.runs.pop(run_id).request.fingerprint])

    def _crash(self, engine: _Engine) -> None:
        self._crashes += 1
        runs = tuple(engine.runs.values())
        self._broken += len(runs)
        record = CrashRecord(
            UpstreamIncarnation(str(engine.number), engine.incarnation),
            tuple(_suspects(runs)),
        )
        engine.runs.clear()
        engine.incarnation += 1
        engine.is_up = False

        def restart() -> None:
            engine.is_up = True

        self._schedule(self._uniform(RESTART_S), restart)
        self._schedule(
            self._load.propagation_s, lambda: self._merge_record(record)
        )
        for run in runs:
            self._interrupt(run.request, engine.number)

    def _merge_record(self, record: CrashRecord) -> None:
        self._registry.merge(record)

    def _interrupt(self, request: _Request, number: int) -> None:
        if request.failovers_left:
            continuation = replace(
                request,
                failovers_left=request.failovers_left - 1,
                tried_engines=request.tried_engines | {number},
            )
            self._schedule(FAILOVER_DELAY_S, lambda: self._send(continuation))
            return
        if request.causes_crash:
            retry = replace(
                request, failovers_left=1, tried_engines=frozenset()
            )
            delay_s = self._uniform(CRASH_CALLER_RETRY_S)
        elif self._random.random() < RETRY_PROBABILITY:
            retry = replace(
                request,
                failovers_left=self._initial_failovers(),
                tried_engines=frozenset(),
            )
            delay_s = self._uniform(RETRY_DELAY_S)
        else:
            return
        if not self._is_finished:
            self._schedule(delay_s, lambda: self._send(retry))


def _suspects(runs: tuple[_Run, ...]) -> Iterator[Suspect]:
    for run in runs:
        yield Suspect(run.request.fingerprint, run.begun)


def play(load: Load, rule: Rule, seed: int) -> Outcome:
    """Simulate a load under a rule; deterministic for a given seed."""
    return _Simulation(load, rule, seed).run()
