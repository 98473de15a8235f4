"""Simulate routers that share engines and hear of each other late."""

import heapq
from dataclasses import dataclass
from itertools import count
from random import Random

from lacewing_daemon.direct._choice import EngineView
from lacewing_daemon.direct._choice import NoCapacity
from lacewing_daemon.direct._choice import place_prompt
from lacewing_daemon.direct._choice import Placement
from lacewing_daemon.direct._choice import send_bounds
from lacewing_daemon.direct._open_request import OpenRequest
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._site import UpstreamLoad
from lacewing_daemon.direct._upstream import Upstream
from lacewing_daemon.direct._upstream_state import UpstreamState
from lacewing_daemon.direct.exchange._load_entries import engine_key
from lacewing_daemon.direct.exchange._load_entries import EngineLoad
from lacewing_daemon.direct.exchange._peer_loads import PeerLoads
from lacewing_daemon.direct.exchange._shared_choice import CANDIDATES
from lacewing_daemon.direct.exchange._shared_choice import place_shared

LATENCY_TARGET_MS = 500.0
MEAN_TOKENS = 2500.0
MAX_TOKENS = 9190.0
TOKENS_PER_MS = 45.0
URGENCY = 5
SLOTS = 64
# Messages between two routers take this long.
DELAY_S = 0.002
POLICY = LoadPolicy(prefill_tokens_per_ms=TOKENS_PER_MS, usual_read_ms=55.0)


@dataclass(frozen=True)
class Setup:
    """Hold one simulated load.

    ``load``: the prompts' prefill time by that of all engines. ``interval_s``
    between messages of a router, 0 for none: routers then keep to the bounds
    of today. ``candidates`` limits the engines compared, 0 for all.
    ``speeds`` of the engines, against the usual, are drawn from this range;
    routers don't know them.
    """

    routers: int = 22
    engines: int = 20
    load: float = 0.9
    interval_s: float = 0.0
    candidates: int = CANDIDATES
    use_lateness: bool = True
    speeds: tuple[float, float] = (1.0, 1.0)
    seconds: float = 20.0
    seed: int = 7


@dataclass(frozen=True)
class Outcome:
    """Hold shares of the prompts' tokens, and the mean queue in prompts.

    ``in_time``: answered within the target, ``late``, and ``refused``.
    ``late_p90_ms``: how much later than expected the first events came, the
    0.9 quantile. ``longest_queue_ms``: the longest wait at an engine.
    """

    in_time: float
    late: float
    refused: float
    late_p90_ms: float
    longest_queue_ms: float


@dataclass
class _Engine:
    """Simulate an engine that prefills prompts one after the other."""

    speed: float
    free_s: float = 0.0
    waiting: int = 0


@dataclass
class _Router:
    """Hold one router's own state of each engine and what it was told."""

    states: list[UpstreamState]
    loads: PeerLoads


class Simulation:
    """Run one setup from a fixed seed."""

    def __init__(self, setup: Setup) -> None:
        self._setup = setup
        self._random = Random(setup.seed)
        self._engines = []
        for _ in range(setup.engines):
            speed = self._random.uniform(*setup.speeds)
            self._engines.append(_Engine(speed))
        self._upstreams = []
        for number in range(setup.engines):
            self._upstreams.append(
                Upstream(f'e{number}', 'm', '', 'z', SLOTS, False, {}, 1)
            )
        self._keys = [engine_key(one.incarnation) for one in self._upstreams]
        self._routers = [self._router(n) for n in range(setup.routers)]
        self._events: list[tuple[float, int, tuple[object, ...]]] = []
        self._numbers = count()
        self._tokens = {'in_time': 0.0, 'late': 0.0, 'refused': 0.0}
        self._late_ms: list[float] = []
        self._longest_ms = 0.0

    def run(self) -> Outcome:
        """Return the outcome."""
        setup = self._setup
        self._at(0.0, 'arrival')
        if setup.interval_s:
            for number in range(setup.routers):
                start_s = self._random.random() * setup.interval_s
                self._at(start_s, 'message', number)
        while self._events:
            now_s, _, event = heapq.heappop(self._events)
            if now_s > setup.seconds:
                break
            getattr(self, f'_on_{event[0]}')(now_s, *event[1:])
        total = sum(self._tokens.values())
        late = sorted(self._late_ms) or [0.0]
        return Outcome(
            self._tokens['in_time'] / total,
            self._tokens['late'] / total,
            self._tokens['refused'] / total,
            late[int(len(late) * 0.9)],
            self._longest_ms,
        )

    def _router(self, number: int) -> _Router:
        states = [UpstreamState(upstream) for upstream in self._upstreams]
        loads = PeerLoads(
            f'r{number}',
            lambda: self._setup.routers - 1,
            lambda _key: TOKENS_PER_MS,
        )
        return _Router(states, loads)

    def _at(self, at_s: float, *event: object) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), event))

    def _on_arrival(self, now_s: float) -> None:
        setup = self._setup
        capacity = setup.engines * TOKENS_PER_MS * 1000.0
        rate = capacity * setup.load / MEAN_TOKENS
        self._at(now_s + self._random.expovariate(rate), 'arrival')
        tokens = min(MAX_TOKENS, self._random.expovariate(1.0 / MEAN_TOKENS))
        number = self._random.randrange(setup.routers)
        router = self._routers[number]
        placed = self._place(router, tokens, now_s)
        if placed is None:
            self._tokens['refused'] += tokens
            return
        index, expected_ms = placed
        state = router.states[index]
        request = state.open_request(
            tokens / TOKENS_PER_MS, URGENCY, now_s, tokens
        )
        engine = self._engines[index]
        queue_ms = max(0.0, engine.free_s - now_s) * 1000.0
        self._longest_ms = max(self._longest_ms, queue_ms)
        took_ms = tokens / (TOKENS_PER_MS * engine.speed)
        engine.free_s = max(engine.free_s, now_s) + took_ms / 1000.0
        engine.waiting += 1
        first_ms = (engine.free_s - now_s) * 1000.0
        self._late_ms.append(first_ms - expected_ms)
        name = 'in_time' if first_ms <= LATENCY_TARGET_MS else 'late'
        self._tokens[name] += tokens
        self._at(
            engine.free_s,
            'first',
            router,
            index,
            request,
            first_ms - expected_ms,
        )

    def _on_first(
        self,
        now_s: float,
        router: _Router,
        index: int,
        request: OpenRequest,
        late_ms: float,
    ) -> None:
        state = router.states[index]
        self._engines[index].waiting -= 1
        state.mark_started(request)
        state.close_request()
        load = UpstreamLoad(1, self._engines[index].waiting, SLOTS)
        state.update_load(load, now_s)
        if self._setup.use_lateness:
            state.record_lateness(late_ms, now_s)

    def _on_message(self, now_s: float, number: int) -> None:
        router = self._routers[number]
        loads = []
        for state in router.states:
            loads.append(_own_load(state))
        jitter = 0.9 + 0.2 * self._random.random()
        next_s = now_s + self._setup.interval_s * jitter
        self._at(next_s, 'message', number)
        self._at(now_s + DELAY_S, 'received', number, loads)

    def _on_received(
        self, now_s: float, number: int, loads: list[EngineLoad]
    ) -> None:
        sender = f'r{number}'
        for other, router in enumerate(self._routers):
            if other == number:
                continue
            router.loads.heard(sender, now_s)
            for key, load in zip(self._keys, loads, strict=True):
                router.loads.apply(sender, key, load, now_s)

    def _place(
        self, router: _Router, tokens: float, now_s: float
    ) -> tuple[int, float] | None:
        setup = self._setup
        is_known = router.loads.age_s(now_s) <= 1.5
        order = list(range(setup.engines))
        self._random.shuffle(order)
        views = []
        for index in order:
            state = router.states[index]
            wait_ms = state.queued_prefill_ms(URGENCY, TOKENS_PER_MS)
            unseen_ms = 0.0
            if is_known:
                incarnation = self._upstreams[index].incarnation
                others = router.loads.others(incarnation, now_s)
                waiting = sum(others.waiting_tokens.values())
                wait_ms += waiting / TOKENS_PER_MS
                unseen_ms = others.unseen_tokens / TOKENS_PER_MS
            else:
                wait_ms += state.other_waiting(now_s) * POLICY.usual_read_ms
            if setup.use_lateness:
                wait_ms += state.lateness_ms(now_s)
            views.append(
                EngineView(
                    str(index),
                    True,
                    wait_ms,
                    tokens / TOKENS_PER_MS,
                    state.waiting_count(URGENCY),
                    state.in_flight,
                    unseen_ms=unseen_ms,
                )
            )
        left_ms = LATENCY_TARGET_MS * POLICY.patience
        placed: Placement | NoCapacity
        if is_known:
            candidates = setup.candidates or len(views)
            margin_ms = router.loads.unseen_s(now_s) * 1000.0
            placed = place_shared(
                views, left_ms, POLICY, 0, margin_ms, candidates
            )
        else:
            bounds = send_bounds(setup.routers, None, POLICY)
            placed = place_prompt(views, left_ms, POLICY, 0, bounds)
        if isinstance(placed, NoCapacity):
            return None
        return int(placed.upstream_id), placed.first_event_ms


def _own_load(state: UpstreamState) -> EngineLoad:
    own = state.own_load
    return EngineLoad(dict(own.waiting_tokens), own.take_sent())
