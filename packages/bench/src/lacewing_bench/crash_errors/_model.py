"""Play callers, engines and a request that crashes them, in virtual time.

Routers are left out but for the time in which all of them hear of a crash.
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

# A first event comes after this, and a crash so long after the run began.
FIRST_S = (0.05, 0.2)
CRASHES_AFTER_S = 0.08
# An engine is back after so long, empty.
BACK_S = (2.8, 4.2)
# A router sends a run elsewhere, and a caller asks again, after this.
ELSEWHERE_S = 0.03
AGAIN_S = (0.2, 0.7)
# Answers of two lengths, in equal parts.
SHORT_S = 0.15
LONG_S = 1.3
# The culprit's caller asks at once after a failure, and then now and then.
CULPRIT_AGAIN_S = (0.05, 0.15)
CULPRIT_PAUSE_S = (0.75, 2.25)
FIRST_CULPRIT_S = 3.0
# Engines differ by so many runs before one is preferred.
EVEN_RUNS = 2
# Of those broken off, so many ask again; so many ask the same as others.
ASKS_AGAIN = 0.8
ASKED_OFTEN = 0.2
OFTEN = 10


@dataclass(frozen=True)
class Load:
    """Hold what is played; ``rate``: requests a second.

    ``resumable``: the part whose runs go on elsewhere. ``stray_s``: engines
    crash for no reason, one in so long at the mean; 0 for none. ``hears_s``:
    until all routers know of a crash.
    """

    engines: int = 5
    rate: float = 37.0
    lasts_s: float = 30.0
    culprits: int = 1
    resumable: float = 0.5
    stray_s: float = 0.0
    hears_s: float = 0.1


@dataclass(frozen=True)
class Outcome:
    """Count crashes, runs broken off, answers, and who was shut out.

    ``shut_out``: requests that crash nothing and were blocked.
    """

    crashes: int = 0
    broken: int = 0
    answered: int = 0
    shut_out: int = 0


@dataclass(frozen=True)
class _Request:
    fingerprint: str
    crashes: bool
    lasts_s: float
    repeats: int
    tried: frozenset[int] = frozenset()


@dataclass
class _Run:
    request: _Request
    begun: bool = False


@dataclass
class _Engine:
    """Hold an engine; ``start`` counts how often it has started again."""

    number: int
    up: bool = True
    start: int = 0
    runs: dict[int, _Run] = field(default_factory=dict)


class _Play:
    def __init__(self, load: Load, rule: Rule, seed: int) -> None:
        self._load = load
        self._random = Random(seed)
        self._now_s = 0.0
        self._ids = count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._registry = rule.registry(lambda: self._now_s)
        self._engines = [_Engine(number) for number in range(load.engines)]
        self._shut_out: set[str] = set()
        self._crashes = 0
        self._broken = 0
        self._answered = 0

    def run(self) -> Outcome:
        """Play to the end of the load."""
        self._after(0.0, self._arrive)
        for number in range(self._load.culprits):
            first_s = FIRST_CULPRIT_S * (1 + self._random.random())
            self._after(first_s, self._asker(f'culprit {number}'))
        if self._load.stray_s:
            self._after(self._load.stray_s, self._stray)
        while self._due:
            self._now_s, _, act = heapq.heappop(self._due)
            act()
        return Outcome(
            self._crashes, self._broken, self._answered, len(self._shut_out)
        )

    def _after(self, wait_s: float, act: Callable[[], None]) -> None:
        due = (self._now_s + wait_s, next(self._ids), act)
        heapq.heappush(self._due, due)

    def _between(self, bounds: tuple[float, float]) -> float:
        return self._random.uniform(*bounds)

    @property
    def _over(self) -> bool:
        return self._now_s >= self._load.lasts_s

    def _arrive(self) -> None:
        if self._over:
            return
        fingerprint = f'request {next(self._ids)}'
        if self._random.random() < ASKED_OFTEN:
            fingerprint = f'often {self._random.randrange(OFTEN)}'
        lasts_s = self._random.choice((SHORT_S, LONG_S))
        self._send(_Request(fingerprint, False, lasts_s, self._repeats()))
        self._after(self._random.expovariate(self._load.rate), self._arrive)

    def _repeats(self) -> int:
        return int(self._random.random() < self._load.resumable)

    def _asker(self, fingerprint: str) -> Callable[[], None]:
        def ask() -> None:
            if self._over:
                return
            self._send(_Request(fingerprint, True, 0.0, 1))
            self._after(self._between(CULPRIT_PAUSE_S), ask)

        return ask

    def _stray(self) -> None:
        if self._over:
            return
        engine = self._random.choice(self._engines)
        if engine.up:
            self._crash(engine)
        wait_s = self._random.expovariate(1 / self._load.stray_s)
        self._after(wait_s, self._stray)

    def _send(self, request: _Request) -> None:
        if request.fingerprint in self._registry.blocked:
            if not request.crashes:
                self._shut_out.add(request.fingerprint)
            return
        engines = self._usable(request)
        if not engines:
            return
        engine = self._random.choice(engines)
        run_id = next(self._ids)
        engine.runs[run_id] = _Run(request)
        begin = self._while_up(engine, run_id, self._begin)
        self._after(self._between(FIRST_S), begin)

    def _usable(self, request: _Request) -> list[_Engine]:
        found = []
        for engine in self._engines:
            if engine.up and engine.number not in request.tried:
                found.append(engine)
        if not found:
            return []
        least = min(len(engine.runs) for engine in found)
        return [one for one in found if len(one.runs) <= least + EVEN_RUNS]

    def _while_up(
        self,
        engine: _Engine,
        run_id: int,
        act: Callable[[_Engine, int], None],
    ) -> Callable[[], None]:
        def check() -> None:
            if run_id in engine.runs:
                act(engine, run_id)

        return check

    def _begin(self, engine: _Engine, run_id: int) -> None:
        run = engine.runs[run_id]
        if run.request.crashes:
            crash = self._while_up(
                engine, run_id, lambda crashed, _: self._crash(crashed)
            )
            self._after(CRASHES_AFTER_S, crash)
            return
        run.begun = True
        end = self._while_up(engine, run_id, self._end)
        self._after(run.request.lasts_s, end)

    def _end(self, engine: _Engine, run_id: int) -> None:
        self._answered += 1
        self._registry.exonerate(engine.runs.pop(run_id).request.fingerprint)

    def _crash(self, engine: _Engine) -> None:
        self._crashes += 1
        runs = tuple(engine.runs.values())
        self._broken += len(runs)
        record = CrashRecord(
            UpstreamIncarnation(str(engine.number), engine.start),
            tuple(_suspects(runs)),
        )
        engine.runs.clear()
        engine.start += 1
        engine.up = False

        def come_back() -> None:
            engine.up = True

        self._after(self._between(BACK_S), come_back)
        self._after(self._load.hears_s, lambda: self._hear(record))
        for run in runs:
            self._break_off(run.request, engine.number)

    def _hear(self, record: CrashRecord) -> None:
        self._registry.merge(record)

    def _break_off(self, request: _Request, number: int) -> None:
        if request.repeats:
            elsewhere = replace(
                request,
                repeats=request.repeats - 1,
                tried=request.tried | {number},
            )
            self._after(ELSEWHERE_S, lambda: self._send(elsewhere))
            return
        if request.crashes:
            again = replace(request, repeats=1, tried=frozenset())
            wait_s = self._between(CULPRIT_AGAIN_S)
        elif self._random.random() < ASKS_AGAIN:
            again = replace(
                request, repeats=self._repeats(), tried=frozenset()
            )
            wait_s = self._between(AGAIN_S)
        else:
            return
        if not self._over:
            self._after(wait_s, lambda: self._send(again))


def _suspects(runs: tuple[_Run, ...]) -> Iterator[Suspect]:
    for run in runs:
        yield Suspect(run.request.fingerprint, run.begun)


def play(load: Load, rule: Rule, seed: int) -> Outcome:
    """Play one load under one rule; the same seed repeats it."""
    return _Play(load, rule, seed).run()
