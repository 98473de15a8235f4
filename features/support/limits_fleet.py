"""Run the team limiters of many routers in simulated time."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from math import inf
from random import Random

from lacewing_common.verdict import Refusal
from lacewing_daemon.direct._routing_config import LimitUnit
from lacewing_daemon.direct._routing_config import Quota
from lacewing_daemon.direct.limits import LimitTerms
from lacewing_daemon.direct.limits import TeamLimiter
from lacewing_daemon.direct.limits import WindowBounds
from support.event_loop import SimulatedLoop
from support.simulated_links import Carrier
from support.simulated_links import IsCut
from support.simulated_links import never_cut
from support.simulated_links import ONE_WAY_S
from support.simulated_links import Serve

MEAN_COST = 4000.0


@dataclass(frozen=True)
class Run:
    """Hold a request that ran."""

    at_s: float
    team: str
    cost: float


@dataclass(frozen=True)
class Offer:
    """Hold a request as its caller sent it; ``router`` is an index."""

    at_s: float
    team: str
    cost: float
    router: int


@dataclass
class Router:
    """Hold a router process; ``share`` is what it knows of the fleet."""

    address: str
    share: float
    limiter: TeamLimiter
    quotas: dict[str, Quota]
    settling: asyncio.Task[None]


@dataclass
class LimitFleet:
    """Connect limiters over a network that can be cut."""

    loop: SimulatedLoop
    size: int
    quotas: dict[str, Quota]
    bounds: WindowBounds
    seed: int
    runs: list[Run] = field(default_factory=list)
    offers: list[Offer] = field(default_factory=list)
    refused: list[Offer] = field(default_factory=list)
    returns_s: list[float] = field(default_factory=list)
    messages: int = 0
    unrun_fraction: float = 0.0
    unrun_after_s: float = ONE_WAY_S
    unrun_until_s: float = inf
    is_cut: IsCut = field(default=never_cut)
    routers: dict[int, Router] = field(default_factory=dict)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def start_router(
        self, index: int, share: float, unclaimed_s: float = 0.0
    ) -> None:
        """Start a router, or a new process of one that was stopped."""
        quotas = dict(self.quotas)
        router: Router | None = None

        def terms() -> LimitTerms:
            known = share if router is None else router.share
            in_force = quotas if router is None else router.quotas
            return LimitTerms(
                in_force, self.bounds, known, self.size, unclaimed_s
            )

        limiter = TeamLimiter(
            str(index),
            terms,
            lambda: [str(one) for one in range(self.size) if one != index],
            Random(f'{self.seed}/{index}'),
            self.loop.time,
        )
        limiter.connect(Carrier(self, index))
        router = Router(
            str(index),
            share,
            limiter,
            quotas,
            asyncio.create_task(limiter.run()),
        )
        self.routers[index] = router

    def cut(self, is_cut: IsCut) -> None:
        """Lose the messages between some routers from now on."""
        self.is_cut = is_cut

    def serving(self, index: int) -> Serve | None:
        """Return how a router serves its peers, None if it is down."""
        router = self.routers.get(index)
        return None if router is None else router.limiter.serve

    def stop_router(self, index: int) -> None:
        """Kill a router's process."""
        self.routers.pop(index).settling.cancel()

    def start_all(self, counted: int = 0, unclaimed_s: float = 0.0) -> None:
        """Start all routers; each counts so many, or all."""
        for index in range(self.size):
            share = 1.0 / (counted or self.size)
            self.start_router(index, share, unclaimed_s)

    async def play(self, offers: list[Offer]) -> None:
        """Send requests at their times and wait until all have ended."""
        for offer in sorted(offers, key=lambda one: one.at_s):
            wait_s = offer.at_s - self.loop.time()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            task = asyncio.create_task(self._serve(offer))
            self._tasks.add(task)
        await asyncio.sleep(1.0 + self.unrun_after_s)
        for task in self._tasks:
            task.result()
        for router in self.routers.values():
            router.settling.cancel()

    async def _serve(self, offer: Offer) -> None:
        router = self.routers.get(offer.router)
        if router is None:
            return
        self.offers.append(offer)
        quota = router.quotas[offer.team]
        charge = await router.limiter.admit(offer.team, quota, int(offer.cost))
        if isinstance(charge, Refusal):
            self.refused.append(offer)
            assert charge.retry_after_s is not None, charge
            self.returns_s.append(self.loop.time() + charge.retry_after_s)
            return
        if self._is_refused_by_upstream(offer):
            await asyncio.sleep(self.unrun_after_s)
            router.limiter.refund(charge)
            return
        self.runs.append(Run(self.loop.time(), offer.team, offer.cost))

    def _is_refused_by_upstream(self, offer: Offer) -> bool:
        if not self.unrun_fraction or offer.at_s >= self.unrun_until_s:
            return False
        drawn = Random(f'{self.seed}/{offer.at_s}').random()
        return drawn < self.unrun_fraction


def token_quota(rate_per_s: float, burst: float) -> Quota:
    """Return a limit in tokens."""
    return Quota(rate_per_s, burst, LimitUnit.TOKENS, MEAN_COST)


def draw_offers(
    random: Random,
    team: str,
    per_s: float,
    seconds: tuple[float, float],
    choose_router: Callable[[float], int],
) -> list[Offer]:
    """Draw requests of a team that count ``per_s`` a second together."""
    offers: list[Offer] = []
    at_s, end_s = seconds
    while True:
        at_s += random.expovariate(per_s / MEAN_COST)
        if at_s >= end_s:
            return offers
        cost = min(4 * MEAN_COST, random.lognormvariate(0.0, 0.7) * MEAN_COST)
        offers.append(Offer(at_s, team, float(int(cost)), choose_router(at_s)))


def most_in_window(runs: list[Run], window_s: float) -> float:
    """Return the most that ran in any window."""
    ordered = sorted(runs, key=lambda run: run.at_s)
    most = total = 0.0
    first = 0
    for run in ordered:
        total += run.cost
        while ordered[first].at_s < run.at_s - window_s:
            total -= ordered[first].cost
            first += 1
        most = max(most, total)
    return most


def fitting(offers: list[Offer], quota: Quota) -> float:
    """Return what one router that gets all requests lets through."""
    tokens = 0.0
    at_s = 0.0
    passed = 0.0
    for offer in sorted(offers, key=lambda one: one.at_s):
        tokens += (offer.at_s - at_s) * quota.rate_per_s
        tokens = min(quota.burst, tokens)
        at_s = offer.at_s
        if tokens >= min(offer.cost, quota.burst):
            tokens -= offer.cost
            passed += offer.cost
    return passed
