"""Play routers that send prompts to engines and expect first events."""

import heapq
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from random import Random

from lacewing_bench.engine_speeds._engine import ModelEngine
from lacewing_bench.engine_speeds._engine import SharedMachine
from lacewing_bench.engine_speeds._engine import Slowdown
from lacewing_bench.engine_speeds._routers import ModelRouter

_SPREAD = (0.7, 1.7)
_STEP_MS = 6.35
_NETWORK_MS = 4.0


@dataclass(frozen=True)
class SpeedChange:
    """Multiply the speed of one engine for some time."""

    engine: int
    begin_s: float
    end_s: float
    factor: float


@dataclass(frozen=True)
class Load:
    """Describe the load, by default that of the screening deployment.

    ``rate``: prompts per second from one router to one engine. ``lengths``:
    uncached tokens of prompts, equally frequent. ``message_s``: interval of
    messages between routers, 0 for none; ``delay_s``: their delay.
    ``choices``: engines picked at random, of which a prompt goes to the one
    that is expected to answer first.
    ``restart_s``: when the first router starts anew, 0 for never. ``spoil``:
    what becomes of the messages of the last router.
    """

    routers: int = 25
    engines: int = 23
    rate: float = 0.3
    lengths: tuple[int, ...] = (628, 628, 826, 2890)
    tokens_per_ms: float = 42.8
    slowdown: Slowdown = field(default_factory=Slowdown)
    duration_s: float = 60.0
    message_s: float = 0.25
    delay_s: float = 0.05
    choices: int = 1
    change: SpeedChange | None = None
    restart_s: float = 0.0
    spoil: Callable[[bytes], bytes] | None = None


@dataclass(frozen=True)
class Observation:
    """Hold a first event at one router."""

    at_s: float
    router: int
    engine: int
    expected_ms: float
    took_ms: float

    @property
    def error_ms(self) -> float:
        """Return by how much it was later than expected."""
        return self.took_ms - self.expected_ms


def speeds(count: int) -> tuple[float, ...]:
    """Return the speeds of engines, evenly spread."""
    low, high = _SPREAD
    width = (high - low) / max(1, count - 1)
    return tuple(low + number * width for number in range(count))


def play(
    load: Load, make_router: Callable[[], ModelRouter], seed: int
) -> Sequence[Observation]:
    """Return the first events in the order in which they were sent."""
    return _Play(load, make_router, Random(seed)).run()


class _Play:
    """Run one simulation; events are kept in a heap by their time."""

    def __init__(
        self,
        load: Load,
        make_router: Callable[[], ModelRouter],
        random: Random,
    ) -> None:
        self._load = load
        self._make_router = make_router
        self._random = random
        self._routers = [make_router() for _ in range(load.routers)]
        self._speeds = speeds(load.engines)
        self._engines = []
        for _ in range(load.engines):
            machine = SharedMachine(load.slowdown, Random(random.random()))
            self._engines.append(
                ModelEngine(load.tokens_per_ms, _STEP_MS, _NETWORK_MS, machine)
            )
        self._observations: list[Observation] = []
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._count = 0

    def run(self) -> Sequence[Observation]:
        """Play to the end."""
        load = self._load
        for router in range(load.routers):
            self._schedule(self._next_send_s(0.0), self._sender(router))
            if load.message_s > 0:
                begin_s = self._random.random() * load.message_s
                self._schedule(begin_s, self._messenger(router))
        if load.restart_s > 0:
            self._schedule(load.restart_s, self._restart)
        while self._events[0][0] < load.duration_s:
            now_s, _, act = heapq.heappop(self._events)
            act(now_s)
        return self._observations

    def _schedule(self, at_s: float, act: Callable[[float], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (at_s, self._count, act))

    def _next_send_s(self, now_s: float) -> float:
        rate = self._load.rate * self._load.engines
        return now_s + self._random.expovariate(rate)

    def _sender(self, router: int) -> Callable[[float], None]:
        def send(now_s: float) -> None:
            self._send(router, now_s)
            self._schedule(self._next_send_s(now_s), send)

        return send

    def _send(self, router: int, now_s: float) -> None:
        tokens = self._random.choice(self._load.lengths)
        expected_ms, number = min(
            self._expected(router, tokens, now_s)
            for _ in range(self._load.choices)
        )
        name = f'engine-{number}'
        engine = self._engines[number]
        work = engine.prefill(tokens, self._speed(number, now_s), now_s)
        self._observations.append(
            Observation(now_s, router, number, expected_ms, work.took_ms)
        )

        def observe(at_s: float) -> None:
            self._routers[router].observe(name, tokens, work, at_s)

        self._schedule(now_s + work.took_ms / 1000, observe)

    def _expected(
        self, router: int, tokens: int, now_s: float
    ) -> tuple[float, int]:
        """Return the expected first event at a random engine."""
        number = self._random.randrange(self._load.engines)
        queued = self._engines[number].queued_tokens(now_s)
        expected_ms = self._routers[router].expected_ms(
            f'engine-{number}', tokens, queued, now_s
        )
        return expected_ms, number

    def _speed(self, number: int, now_s: float) -> float:
        change = self._load.change
        speed = self._speeds[number]
        if change is None or number != change.engine:
            return speed
        if change.begin_s <= now_s < change.end_s:
            return speed * change.factor
        return speed

    def _messenger(self, router: int) -> Callable[[float], None]:
        def send(now_s: float) -> None:
            self._schedule(now_s + self._load.message_s, send)
            data = self._routers[router].collect(now_s)
            if data is None:
                return
            if self._load.spoil and router == self._load.routers - 1:
                data = self._load.spoil(data)
            self._schedule(
                now_s + self._load.delay_s,
                lambda at_s: self._deliver(router, data, at_s),
            )

        return send

    def _deliver(self, sender: int, data: bytes, now_s: float) -> None:
        for router, receiver in enumerate(self._routers):
            if router != sender:
                receiver.apply(f'router-{sender}', data, now_s)

    def _restart(self, now_s: float) -> None:
        self._routers[0] = self._make_router()
