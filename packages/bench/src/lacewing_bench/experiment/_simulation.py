"""Simulate the product's routing decisions on modelled engines."""

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
# One-way latency between a router and an engine.
ONE_WAY_LATENCY_MS = 1.0
MAX_SENDS = 4
# Answers on superseded weights earn less once the release is this old.
SUPERSEDED_AFTER_MS = 1500.0
# How often the lease holder checks which loads to order, as in the product.
ORDER_INTERVAL_MS = 100.0
# Maximum number of engines on which one request may run.
MAX_RUNS = 2


@dataclass(frozen=True)
class Variant:
    """Describe a variant: a policy and the mechanisms that are disabled.

    ``routers`` 0 uses the deployment's number of routers. A single router
    sees all load, so the difference is the cost of routers not seeing each
    other's load.
    """

    name: str
    policy: LoadPolicy = LoadPolicy()
    learn_lateness: bool = True
    learn_speed: bool = True
    refuse_late: bool = True
    routers: int = 0


@dataclass(frozen=True)
class Pattern:
    """Describe the load: its factor, weight releases and crashes.

    ``concentrated``: share of the requests that one router gets beyond an
    even distribution, from ``concentrated_from_s`` on; every ``moves_s`` the
    next router gets them, 0 for never. ``report_lag_ms``: age of the load
    that engines report.
    """

    load: float = 1.0
    seconds: float = 30.0
    release_interval_s: float = 0.0
    crash_interval_s: float = 0.0
    concentrated: float = 0.0
    concentrated_from_s: float = 0.0
    moves_s: float = 0.0
    report_lag_ms: float = 0.0


def _do_nothing() -> None:
    return


@dataclass(eq=False)
class _OpenRequest:
    """Track a request from its arrival to its end."""

    kind: Kind
    prompt: Prompt
    router: Router
    arrived_ms: float
    answer_tokens: int
    tried: frozenset[str] = frozenset()
    sends: int = 0
    runs: int = 0
    generated: int = 0
    first_ms: float | None = None
    abort: Callable[[], None] = _do_nothing
    sent: Sent | None = None
    run: Run | None = None


class Simulation:
    """Simulate one pattern and variant; a seed always gives the same load."""

    def __init__(
        self, site: Deployment, pattern: Pattern, variant: Variant, seed: int
    ) -> None:
        self._site = site
        self._pattern = pattern
        self._variant = variant
        self._random = Random(seed)
        self._now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._released_version = 1
        self._released_ms = 0.0
        self._ordered_ms: dict[int, float] = {}
        self._open_requests: dict[Run, _OpenRequest] = {}
        self._active_engines: set[int] = set()
        self._engines = [Engine(site.engine) for _ in range(site.engines)]
        self._routers = []
        for number in range(variant.routers or site.routers):
            self._routers.append(
                Router(
                    site,
                    number,
                    variant.policy,
                    variant.learn_lateness,
                    variant.learn_speed,
                )
            )
        self._outcome = Outcome(site)

    def run(self) -> Figures:
        """Run to the end of the pattern; return the figures."""
        for kind in self._site.kinds:
            self._plan_arrival(kind)
        self._check_silence()
        if self._pattern.release_interval_s:
            self._schedule(
                self._pattern.release_interval_s * _MS, self._release_weights
            )
            self._schedule(ORDER_INTERVAL_MS, self._order_loads)
        if self._pattern.crash_interval_s:
            self._schedule(
                self._pattern.crash_interval_s * _MS, self._crash_engine
            )
        end_ms = self._pattern.seconds * _MS
        while self._events:
            at_ms, _, action = heapq.heappop(self._events)
            if at_ms > end_ms:
                break
            self._now_ms = at_ms
            action()
        return self._outcome.figures(self._engines, self._pattern.seconds)

    def _schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at_ms, self._sequence, action))

    def _plan_arrival(self, kind: Kind) -> None:
        rate = kind.rate * self._pattern.load / _MS
        at_ms = self._now_ms + self._random.expovariate(rate)
        self._schedule(at_ms, lambda: self._arrive(kind))

    def _arrive(self, kind: Kind) -> None:
        self._plan_arrival(kind)
        prompt = self._draw_prompt(kind)
        answer = max(1, int(self._random.expovariate(1 / kind.answer_tokens)))
        # Drawn even if there is only one router, so that every variant gets
        # the same load.
        share = self._random.random()
        router = self._routers[self._router_number(share)]
        self._outcome.count_arrival(kind)
        self._place(_OpenRequest(kind, prompt, router, self._now_ms, answer))

    def _router_number(self, share: float) -> int:
        """Return the router of a request, by a number from 0 to 1."""
        count = len(self._routers)
        concentrated = self._pattern.concentrated
        since_s = self._now_ms / _MS - self._pattern.concentrated_from_s
        if since_s < 0 or share >= concentrated:
            if since_s >= 0:
                share = (share - concentrated) / (1.0 - concentrated)
            return int(share * count)
        if not self._pattern.moves_s:
            return 0
        return int(since_s / self._pattern.moves_s) % count

    def _draw_prompt(self, kind: Kind) -> Prompt:
        parts = []
        name = kind.name
        for level in kind.levels:
            name = (
                f'{name}/{level.name}-{self._random.randrange(level.choices)}'
            )
            parts.append(PromptPart(name, level.tokens))
        own_tokens = max(
            16, int(self._random.expovariate(1 / kind.own_tokens))
        )
        parts.append(PromptPart(f'own-{self._sequence}', own_tokens))
        tokens = sum(part.tokens for part in parts)
        return Prompt(
            MODEL,
            tokens,
            kind.answer_tokens * 4,
            kind.answer_tokens,
            tuple(parts),
        )

    def _place(self, request: _OpenRequest) -> None:
        waited_ms = self._now_ms - request.arrived_ms
        left_ms = request.kind.target_ms * self._variant.policy.patience
        left_ms -= waited_ms
        if not self._variant.refuse_late or request.sends:
            left_ms = float('inf')
        target = request.router.place(
            request.kind, request.prompt, request.tried, left_ms, self._now_ms
        )
        if isinstance(target, NoCapacity) or request.sends >= MAX_SENDS:
            self._outcome.count_refusal(request.kind)
            return
        request.sends += 1
        request.sent = request.router.send(
            target, request.prompt, self._now_ms
        )
        self._schedule(
            self._now_ms + ONE_WAY_LATENCY_MS, lambda: self._deliver(request)
        )

    def _deliver(self, request: _OpenRequest) -> None:
        assert request.sent is not None
        target = request.sent.target
        upstream_id = target.state.upstream.upstream_id
        number = int(upstream_id.rpartition('-')[2])
        engine = self._engines[number]
        if target.weights != engine.weights or not engine.accepts_requests(
            self._now_ms
        ):
            self._handle_refusal(request, engine, upstream_id)
            return
        self._sequence += 1
        request.runs += 1
        run = Run(
            target.cache_salt or '',
            request.prompt.parts,
            request.answer_tokens - request.generated,
            target.urgency,
            self._sequence,
            engine.weights,
            self._outcome.is_stored(target.cache_salt or '', request.prompt),
            self._is_superseded(engine),
        )
        request.run = run
        self._open_requests[run] = request
        engine.enqueue(run)
        self._start_stepping(number)

    def _is_superseded(self, engine: Engine) -> bool:
        age_ms = self._now_ms - self._released_ms
        return (
            engine.weights < self._released_version
            and age_ms > SUPERSEDED_AFTER_MS
        )

    def _handle_refusal(
        self, request: _OpenRequest, engine: Engine, upstream_id: str
    ) -> None:
        assert request.sent is not None
        request.router.handle_refusal(request.sent, engine, self._now_ms)
        if engine.accepts_requests(self._now_ms):
            # The refusal reported later weights; place again with these.
            self._place(request)
            return
        request.tried |= {upstream_id}
        self._place(request)

    def _start_stepping(self, number: int) -> None:
        if number not in self._active_engines:
            self._active_engines.add(number)
            self._schedule(self._now_ms, lambda: self._step(number))

    def _step(self, number: int) -> None:
        engine = self._engines[number]
        engine.record_load(self._now_ms)
        took_ms, result = engine.step(self._now_ms)
        if not took_ms:
            self._active_engines.discard(number)
            return
        ready_ms = self._now_ms + took_ms
        for run in result.with_event:
            self._schedule(ready_ms, partial(self._deliver_event, run))
        for run in result.started:
            self._schedule(
                ready_ms, partial(self._deliver_first_event, run, engine)
            )
        for run in result.finished:
            self._schedule(ready_ms, partial(self._complete, run))
        self._schedule(ready_ms, lambda: self._step(number))

    def _deliver_first_event(self, run: Run, engine: Engine) -> None:
        request = self._open_requests.get(run)
        if request is None or request.sent is None:
            return
        now_ms = self._now_ms + ONE_WAY_LATENCY_MS
        load = engine.load_at(self._now_ms - self._pattern.report_lag_ms)
        request.router.handle_first_event(request.sent, engine, load, now_ms)
        request.abort = partial(self._abort_stream, run, engine)
        request.router.watch(
            request.sent,
            request.kind,
            request.abort,
            partial(self._can_continue, request),
        )
        if request.first_ms is not None:
            return
        request.first_ms = now_ms
        self._outcome.record_first_event(
            request.kind, now_ms - request.arrived_ms
        )
        self._outcome.mark_stored(run.cache_salt, request.prompt)

    def _complete(self, run: Run) -> None:
        request = self._open_requests.pop(run, None)
        if request is None or request.sent is None:
            return
        request.router.finish(request.sent, request.abort)
        assert request.first_ms is not None
        on_time = (
            request.first_ms - request.arrived_ms <= request.kind.target_ms
        )
        if request.runs > 1:
            # The gap before the continuation exceeded the allowed pause.
            on_time = False
        self._outcome.count_answer(
            request.kind,
            on_time,
            run.generated,
            run.mixed,
            run.started_superseded,
        )

    def _deliver_event(self, run: Run) -> None:
        request = self._open_requests.get(run)
        if request is not None and request.sent is not None:
            request.router.record_event(
                request.sent, self._now_ms + ONE_WAY_LATENCY_MS
            )

    def _check_silence(self) -> None:
        for router in self._routers:
            router.check_silence(self._now_ms)
        self._schedule(
            self._now_ms + CHECK_INTERVAL_S * _MS, self._check_silence
        )

    def _can_continue(self, request: _OpenRequest, _others: int) -> bool:
        """Return whether another engine could continue a stream."""
        if request.runs >= MAX_RUNS or request.sends >= MAX_SENDS:
            return False
        assert request.sent is not None
        here = request.sent.target.state.upstream.upstream_id
        target = request.router.place(
            request.kind,
            request.prompt,
            request.tried | {here},
            float('inf'),
            self._now_ms,
        )
        return not isinstance(target, NoCapacity)

    def _abort_stream(self, run: Run, engine: Engine) -> None:
        """Abort a stream and place the rest of its answer elsewhere."""
        request = self._open_requests.pop(run, None)
        if request is None or request.sent is None:
            return
        engine.abort_run(run)
        self._outcome.count_abort(request.kind)
        request.router.finish(request.sent, request.abort)
        request.generated += run.generated
        request.tried |= {request.sent.target.state.upstream.upstream_id}
        self._place(request)

    def _release_weights(self) -> None:
        self._released_version += 1
        self._released_ms = self._now_ms
        for router in self._routers:
            router.set_time(self._now_ms)
            router.record_release(self._released_version, False)
        at_ms = self._now_ms + self._pattern.release_interval_s * _MS
        self._schedule(at_ms, self._release_weights)

    def _order_loads(self) -> None:
        """Order loads as the lease holder does, from the first router."""
        holder = self._routers[0]
        holder.set_time(self._now_ms)
        times = holder.cluster_state.load_schedule(MODEL)
        age_s = (self._now_ms - self._released_ms) / _MS
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
        chosen = next_loads(
            views, self._released_version, self._variant.policy
        )
        for name in chosen:
            number = int(name.rpartition('-')[2])
            self._ordered_ms[number] = self._now_ms
            engine = self._engines[number]
            for run in engine.load(self._released_version, self._now_ms):
                self._resend(run, engine, name)
        self._schedule(self._now_ms + ORDER_INTERVAL_MS, self._order_loads)

    def _resend(self, run: Run, engine: Engine, name: str) -> None:
        request = self._open_requests.pop(run, None)
        if request is not None:
            self._handle_refusal(request, engine, name)

    def _crash_engine(self) -> None:
        number = self._random.randrange(len(self._engines))
        for run in self._engines[number].crash():
            request = self._open_requests.pop(run, None)
            if request is None or request.sent is None:
                continue
            request.sent.target.state.mark_started(request.sent.ticket)
            request.sent.target.state.close_request()
            self._outcome.count_lost(request.kind)
        at_ms = self._now_ms + self._pattern.crash_interval_s * _MS
        self._schedule(at_ms, self._crash_engine)
