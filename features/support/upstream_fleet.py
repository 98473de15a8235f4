"""Run routers that keep to an upstream's limit in simulated time."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from dataclasses import dataclass
from dataclasses import field
from random import Random

from lacewing_daemon.direct import Upstream
from lacewing_daemon.direct._site import Unstated
from lacewing_daemon.direct.limits import Denial
from lacewing_daemon.direct.limits import LimitTerms
from lacewing_daemon.direct.limits import UpstreamLimiter
from lacewing_daemon.direct.limits import WindowBounds
from support.event_loop import SimulatedLoop
from support.simulated_links import Carrier
from support.simulated_links import IsCut
from support.simulated_links import never_cut
from support.simulated_links import Serve

ANSWER_S = 0.3
UPSTREAM = Upstream('eng-1', 'models', '10.0.0.1:80', 'east', 4, False, {}, 1)
_NO_WINDOW = WindowBounds(0.0, 0.0, 0.0)


@dataclass(frozen=True)
class Arrival:
    """Hold a request that reached the upstream.

    ``was_informed``: its router had learned of the limit 0.5 s before.
    """

    at_s: float
    router: int
    was_informed: bool


@dataclass
class Router:
    """Hold a router process."""

    limiter: UpstreamLimiter
    share: float
    task: asyncio.Task[None]
    informed_s: float = float('inf')
    paused_until_s: float = 0.0


@dataclass
class UpstreamFleet:
    """Connect routers over a network that can be cut, and one upstream."""

    loop: SimulatedLoop
    size: int
    rate_per_s: float
    seed: int
    begins_s: float = 5.0
    ends_s: float = float('inf')
    counted: int = 0
    arrivals: list[Arrival] = field(default_factory=list)
    denied: int = 0
    messages: int = 0
    is_cut: IsCut = field(default=never_cut)
    routers: dict[int, Router] = field(default_factory=dict)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def names_limit(self) -> bool:
        """Return whether the upstream's answers name its limit now."""
        return self.begins_s <= self.loop.time() < self.ends_s

    def start_router(self, index: int) -> None:
        """Start a router, or a new process of one that was stopped."""
        share = 1.0 / (self.counted or self.size)
        terms = LimitTerms({}, _NO_WINDOW, share, self.size)
        limiter = UpstreamLimiter(
            str(index),
            lambda: terms,
            lambda: [str(one) for one in range(self.size) if one != index],
            Random(f'{self.seed}/{index}'),
            self.loop.time,
        )
        limiter.connect(Carrier(self, index))
        task = asyncio.create_task(limiter.run())
        self.routers[index] = Router(limiter, share, task)

    def cut(self, is_cut: IsCut) -> None:
        """Lose the messages between some routers from now on."""
        self.is_cut = is_cut

    def serving(self, index: int) -> Serve | None:
        """Return how a router serves its peers, None if it is down."""
        router = self.routers.get(index)
        return None if router is None else router.limiter.limiter.serve

    def stop_router(self, index: int) -> None:
        """Kill a router's process."""
        self.routers.pop(index).task.cancel()

    async def play(
        self, per_s: float, until_s: float, choose: Callable[[float], int]
    ) -> None:
        """Send requests at random times that could go to other upstreams."""
        random = Random(f'{self.seed}/offers')
        while self.loop.time() < until_s:
            await asyncio.sleep(random.expovariate(per_s))
            index = choose(self.loop.time())
            router = self.routers.get(index)
            if router is not None:
                self._start(self._send(router, index))

    def close(self) -> None:
        """Stop all routers."""
        for index in tuple(self.routers):
            self.stop_router(index)
        for task in self._tasks:
            task.cancel()

    def _start(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, router: Router, index: int) -> None:
        if self.loop.time() < router.paused_until_s:
            return
        if router.limiter.is_limited(UPSTREAM):
            charged = await router.limiter.admit(UPSTREAM)
            if isinstance(charged, Denial):
                self.denied += 1
                router.paused_until_s = self.loop.time() + charged.wait_s
                return
        sent_s = self.loop.time()
        self.arrivals.append(
            Arrival(sent_s, index, sent_s >= router.informed_s)
        )
        await asyncio.sleep(ANSWER_S)
        if not self.names_limit:
            router.limiter.record(UPSTREAM, Unstated.ABSENT, sent_s)
            return
        router.limiter.record(UPSTREAM, self.rate_per_s, sent_s)
        router.informed_s = min(router.informed_s, self.loop.time() + 0.5)
