"""Play a load on modelled engines with the product's decisions."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random

from lacewing_daemon.direct import Prompt
from lacewing_daemon.direct import PromptPart
from lacewing_daemon.direct._choice import NoCapacity
from lacewing_daemon.direct._loading import EngineWeights
from lacewing_daemon.direct._loading import next_loads
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._silence_detector import CHECK_INTERVAL_S

from lacewing_bench.experiment._engine import Engine
from lacewing_bench.experiment._engine import Run
from lacewing_bench.experiment._outcome import Figures
from lacewing_bench.experiment._outcome import Outcome
from lacewing_bench.experiment._router import engine_name
from lacewing_bench.experiment._router import MODEL
from lacewing_bench.experiment._router import Router
from lacewing_bench.experiment._router import Sent
from lacewing_bench.experiment._site import Deployment
from lacewing_bench.experiment._site import Kind

_MS = 1000.0
# One way between a router and an engine.
WAY_MS = 1.0
MOST_SENDS = 4
# Answers on older weights count less from so long after a naming on.
OLD_AFTER_MS = 1500.0
# How often the holder of orders looks, as in the product.
LOOK_MS = 100.0
# Engines on which one request may run.
MOST_RUNS = 2


@dataclass(frozen=True)
class Variant:
    """Hold what is tried: a policy, and which mechanisms are off.

    ``routers`` 0 means as many as the deployment has; one router sees all
    load and shows what the routers' blindness to each other costs.
    """

    name: str
    policy: LoadPolicy = LoadPolicy()
    learning: bool = True
    estimating: bool = True
    refusing: bool = True
    routers: int = 0


@dataclass(frozen=True)
class Pattern:
    """Hold the load: times the usual rate, names and crashes by time."""

    load: float = 1.0
    seconds: float = 30.0
    named_every_s: float = 0.0
    crash_every_s: float = 0.0


def _nothing() -> None:
    return


@dataclass(eq=False)
class _Open:
    """Hold a request from its arrival to its end."""

    kind: Kind
    prompt: Prompt
    router: Router
    due_ms: float
    answer_tokens: int
    tried: frozenset[str] = frozenset()
    sends: int = 0
    runs: int = 0
    made: int = 0
    first_ms: float | None = None
    cut: Callable[[], None] = _nothing
    sent: Sent | None = None
    run: Run | None = None


class Simulation:
    """Play one pattern with one variant; the same seed, the same load."""

    def __init__(
        self, site: Deployment, pattern: Pattern, variant: Variant, seed: int
    ) -> None:
        self._site = site
        self._pattern = pattern
        self._variant = variant
        self._random = Random(seed)
        self._now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self._version = 1
        self._named_ms = 0.0
        self._ordered_ms: dict[int, float] = {}
        self._open: dict[Run, _Open] = {}
        self._stepping: set[int] = set()
        self._engines = [Engine(site.engine) for _ in range(site.engines)]
        self._routers = []
        for number in range(variant.routers or site.routers):
            self._routers.append(
                Router(
                    site,
                    number,
                    variant.policy,
                    variant.learning,
                    variant.estimating,
                )
            )
        self._outcome = Outcome(site)

    def run(self) -> Figures:
        """Play to the end; return the figures."""
        for kind in self._site.kinds:
            self._plan_arrival(kind)
        self._look()
        if self._pattern.named_every_s:
            self._at(self._pattern.named_every_s * _MS, self._name)
            self._at(LOOK_MS, self._order)
        if self._pattern.crash_every_s:
            self._at(self._pattern.crash_every_s * _MS, self._crash)
        end_ms = self._pattern.seconds * _MS
        while self._events:
            at_ms, _, happen = heapq.heappop(self._events)
            if at_ms > end_ms:
                break
            self._now_ms = at_ms
            happen()
        return self._outcome.figures(self._engines, self._pattern.seconds)

    def _at(self, at_ms: float, happen: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (at_ms, self._number, happen))

    def _plan_arrival(self, kind: Kind) -> None:
        rate = kind.rate * self._pattern.load / _MS
        at_ms = self._now_ms + self._random.expovariate(rate)
        self._at(at_ms, lambda: self._arrive(kind))

    def _arrive(self, kind: Kind) -> None:
        self._plan_arrival(kind)
        prompt = self._prompt(kind)
        answer = max(1, int(self._random.expovariate(1 / kind.answer_tokens)))
        # The two draws below are made for every variant alike, so that all
        # of them meet the same load.
        share = self._random.random()
        router = self._routers[int(share * len(self._routers))]
        self._outcome.asked(kind)
        self._place(_Open(kind, prompt, router, self._now_ms, answer))

    def _prompt(self, kind: Kind) -> Prompt:
        parts = []
        name = kind.name
        for level in kind.levels:
            name = (
                f'{name}/{level.name}-{self._random.randrange(level.choices)}'
            )
            parts.append(PromptPart(name, level.tokens))
        own = max(16, int(self._random.expovariate(1 / kind.own_tokens)))
        parts.append(PromptPart(f'own-{self._number}', own))
        tokens = sum(part.tokens for part in parts)
        return Prompt(
            MODEL,
            tokens,
            kind.answer_tokens * 4,
            kind.answer_tokens,
            tuple(parts),
        )

    def _place(self, one: _Open) -> None:
        waited_ms = self._now_ms - one.due_ms
        left_ms = one.kind.target_ms * self._variant.policy.patience
        left_ms -= waited_ms
        if not self._variant.refusing or one.sends:
            left_ms = float('inf')
        target = one.router.place(
            one.kind, one.prompt, one.tried, left_ms, self._now_ms
        )
        if isinstance(target, NoCapacity) or one.sends >= MOST_SENDS:
            self._outcome.refused(one.kind)
            return
        one.sends += 1
        one.sent = one.router.send(target, one.prompt, self._now_ms)
        self._at(self._now_ms + WAY_MS, lambda: self._reach(one))

    def _reach(self, one: _Open) -> None:
        assert one.sent is not None
        target = one.sent.target
        upstream_id = target.state.upstream.upstream_id
        number = int(upstream_id.rpartition('-')[2])
        engine = self._engines[number]
        if target.weights != engine.weights or not engine.takes(self._now_ms):
            self._refuse(one, engine, upstream_id)
            return
        self._number += 1
        one.runs += 1
        run = Run(
            target.cache_salt or '',
            one.prompt.parts,
            one.answer_tokens - one.made,
            target.urgency,
            self._number,
            engine.weights,
            self._outcome.kept(target.cache_salt or '', one.prompt),
            self._is_old(engine),
        )
        one.run = run
        self._open[run] = one
        engine.add(run)
        self._wake(number)

    def _is_old(self, engine: Engine) -> bool:
        age_ms = self._now_ms - self._named_ms
        return engine.weights < self._version and age_ms > OLD_AFTER_MS

    def _refuse(self, one: _Open, engine: Engine, upstream_id: str) -> None:
        assert one.sent is not None
        one.router.refused(one.sent, engine, self._now_ms)
        if engine.takes(self._now_ms):
            # It has newer weights and told so; it is asked for these.
            self._place(one)
            return
        one.tried |= {upstream_id}
        self._place(one)

    def _wake(self, number: int) -> None:
        if number not in self._stepping:
            self._stepping.add(number)
            self._at(self._now_ms, lambda: self._step(number))

    def _step(self, number: int) -> None:
        engine = self._engines[number]
        took_ms, end = engine.step(self._now_ms)
        if not took_ms:
            self._stepping.discard(number)
            return
        ready_ms = self._now_ms + took_ms
        for run in end.told:
            self._at(ready_ms, partial(self._tell, run))
        for run in end.begun:
            self._at(ready_ms, partial(self._begin, run, engine))
        for run in end.ended:
            self._at(ready_ms, partial(self._end, run))
        self._at(ready_ms, lambda: self._step(number))

    def _begin(self, run: Run, engine: Engine) -> None:
        one = self._open.get(run)
        if one is None or one.sent is None:
            return
        now_ms = self._now_ms + WAY_MS
        one.router.began(one.sent, engine, now_ms)
        one.cut = partial(self._cut, run, engine)
        one.router.watch(
            one.sent, one.kind, one.cut, partial(self._may_leave, one)
        )
        if one.first_ms is not None:
            return
        one.first_ms = now_ms
        self._outcome.began(one.kind, now_ms - one.due_ms)
        self._outcome.read(run.wall, one.prompt)

    def _end(self, run: Run) -> None:
        one = self._open.pop(run, None)
        if one is None or one.sent is None:
            return
        one.router.ended(one.sent, one.cut)
        assert one.first_ms is not None
        on_time = one.first_ms - one.due_ms <= one.kind.target_ms
        if one.runs > 1:
            # The pause until another engine went on was longer than allowed.
            on_time = False
        self._outcome.ended(
            one.kind, on_time, run.made, run.mixed, run.begun_old
        )

    def _tell(self, run: Run) -> None:
        one = self._open.get(run)
        if one is not None and one.sent is not None:
            one.router.heard(one.sent, self._now_ms + WAY_MS)

    def _look(self) -> None:
        for router in self._routers:
            router.look(self._now_ms)
        self._at(self._now_ms + CHECK_INTERVAL_S * _MS, self._look)

    def _may_leave(self, one: _Open, _others: int) -> bool:
        """Tell whether a stream could be finished elsewhere."""
        if one.runs >= MOST_RUNS or one.sends >= MOST_SENDS:
            return False
        assert one.sent is not None
        here = one.sent.target.state.upstream.upstream_id
        target = one.router.place(
            one.kind,
            one.prompt,
            one.tried | {here},
            float('inf'),
            self._now_ms,
        )
        return not isinstance(target, NoCapacity)

    def _cut(self, run: Run, engine: Engine) -> None:
        """Break a stream off; it goes on elsewhere."""
        one = self._open.pop(run, None)
        if one is None or one.sent is None:
            return
        engine.drop(run)
        self._outcome.cut(one.kind)
        one.router.ended(one.sent, one.cut)
        one.made += run.made
        one.tried |= {one.sent.target.state.upstream.upstream_id}
        self._place(one)

    def _name(self) -> None:
        self._version += 1
        self._named_ms = self._now_ms
        for router in self._routers:
            router.place_time(self._now_ms)
            router.name_weights(self._version, False)
        at_ms = self._now_ms + self._pattern.named_every_s * _MS
        self._at(at_ms, self._name)

    def _order(self) -> None:
        """Order loads as the holder does; the first router gives them."""
        holder = self._routers[0]
        holder.place_time(self._now_ms)
        times = holder.knowledge.load_schedule(MODEL)
        age_s = (self._now_ms - self._named_ms) / _MS
        views = []
        for number, engine in enumerate(self._engines):
            name = engine_name(number)
            ordered_ms = self._ordered_ms.get(number, float('-inf'))
            views.append(
                EngineWeights(
                    name,
                    engine.weights,
                    (self._now_ms - ordered_ms) / _MS,
                    len(engine.running),
                    times.get(name, 0.0) - age_s,
                )
            )
        chosen = next_loads(views, self._version, self._variant.policy)
        for name in chosen:
            number = int(name.rpartition('-')[2])
            self._ordered_ms[number] = self._now_ms
            engine = self._engines[number]
            for run in engine.load(self._version, self._now_ms):
                self._again(run, engine, name)
        self._at(self._now_ms + LOOK_MS, self._order)

    def _again(self, run: Run, engine: Engine, name: str) -> None:
        one = self._open.pop(run, None)
        if one is not None:
            self._refuse(one, engine, name)

    def _crash(self) -> None:
        number = self._random.randrange(len(self._engines))
        for run in self._engines[number].crash():
            one = self._open.pop(run, None)
            if one is None or one.sent is None:
                continue
            one.sent.target.state.mark_started(one.sent.ticket)
            one.sent.target.state.close_request()
            self._outcome.lost(one.kind)
        at_ms = self._now_ms + self._pattern.crash_every_s * _MS
        self._at(at_ms, self._crash)
