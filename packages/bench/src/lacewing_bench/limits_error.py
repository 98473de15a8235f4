"""Measure how well the teams' limits hold over many routers.

Runs the routers' limiters and the agents' holders, the real ones, on a clock
that the measurement moves; only the link between them is a function call.
``python -m lacewing_bench.limits_error`` prints the tables.
"""

import asyncio
import random
import time
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import astuple
from dataclasses import dataclass
from dataclasses import field
from dataclasses import fields

import msgspec
from fire import Fire
from lacewing_common.bundle import Team
from lacewing_common.bundle import TeamLimits
from lacewing_common.wire import Demands
from lacewing_daemon.limits import BUCKETS
from lacewing_daemon.limits import LimitHolder
from lacewing_daemon.limits import TeamLimiter
from lacewing_daemon.limits._limiter import STEP_S
from tabulate import tabulate

SEED = 7
LIMIT_S = 50.0
STEP_MS = 10


@dataclass
class Clock:
    """Hold the time that the limiters see, in seconds."""

    now: float = 1000.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


@dataclass
class Traffic:
    """Count what limiters and holders say to each other."""

    messages: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


@dataclass
class Fleet:
    """Hold limiters that share one set of holders."""

    routers: int
    limits: dict[str, TeamLimits]
    clock: Clock = field(default_factory=Clock)
    traffic: Traffic = field(default_factory=Traffic)
    holder_busy_s: float = 0.0
    holders_reachable: bool = True

    def __post_init__(self) -> None:
        """Make the holders, one a bucket, and the limiters."""
        self._encode = msgspec.msgpack.Encoder().encode
        self._holders = [
            LimitHolder(self.limits.__getitem__, self.clock)
            for _ in range(BUCKETS)
        ]
        self.limiters = [self._limiter(n) for n in range(self.routers)]

    def restart_holders(self) -> None:
        """Lose all that the holders know."""
        for bucket in range(BUCKETS):
            self._holders[bucket] = LimitHolder(
                self.limits.__getitem__, self.clock
            )

    def step(self) -> None:
        """Let each limiter report what is due."""
        for limiter in self.limiters:
            limiter.report_due()

    def _limiter(self, number: int) -> TeamLimiter:
        limiters: list[TeamLimiter] = []

        def send(bucket: int, demands: Demands) -> bool:
            return self._send(limiters[0], number, bucket, demands)

        limiters.append(TeamLimiter(send, self.clock))
        return limiters[0]

    def _send(
        self, limiter: TeamLimiter, number: int, bucket: int, demands: Demands
    ) -> bool:
        if not self.holders_reachable:
            return False
        began = time.process_time()
        answer = self._holders[bucket].report(
            f'r{number}', demands.teams, self.routers
        )
        self.holder_busy_s += time.process_time() - began
        self.traffic.messages += 1
        self.traffic.sent_bytes += len(self._encode(demands))
        self.traffic.received_bytes += len(self._encode(answer))
        limiter.take(answer)
        return True


@dataclass(frozen=True)
class LimitRow:
    """Hold one measurement; ``error`` is admitted / allowed - 1."""

    scenario: str
    routers: int
    offered: int
    admitted: int
    allowed: float
    error: float
    messages_per_request: float


PickRouter = Callable[[random.Random, float, int], int]


def evenly(rng: random.Random, _second: float, routers: int) -> int:
    """Send each request through any router."""
    return rng.randrange(routers)


def moving(_rng: random.Random, second: float, routers: int) -> int:
    """Send all load through one router, another every 5 s."""
    return int(second // 5) % routers


def one_router(_rng: random.Random, _second: float, _routers: int) -> int:
    """Send all load through one router."""
    return 0


@dataclass(frozen=True)
class FloodFaults:
    """Say what goes wrong at the holders during a flood."""

    unreachable: bool = False
    restart_every_s: float = 0.0


NO_FAULTS = FloodFaults()


async def flood(
    scenario: str,
    pick: PickRouter,
    routers: int,
    offered_s: float,
    faults: FloodFaults = NO_FAULTS,
) -> LimitRow:
    """Offer one team's load for a minute and count what passes."""
    rng = random.Random(SEED)
    fleet = Fleet(routers, {'t': TeamLimits(requests_per_s=LIMIT_S)})
    team = Team(name='t', key_hashes=(), services=(), limits=fleet.limits['t'])
    fleet.holders_reachable = not faults.unreachable
    seconds = 60.0
    restarted_at = 0.0
    offered = 0
    admitted = 0
    began = fleet.clock.now
    next_step = began
    while fleet.clock.now - began < seconds:
        fleet.clock.now += STEP_MS / 1000
        if fleet.clock.now >= next_step:
            fleet.step()
            next_step += STEP_S
        second = fleet.clock.now - began
        if 0 < faults.restart_every_s <= second - restarted_at:
            restarted_at = second
            fleet.restart_holders()
        for _ in range(_arrivals(rng, offered_s * STEP_MS / 1000)):
            offered += 1
            limiter = fleet.limiters[pick(rng, second, routers)]
            if await limiter.admit(team, 0.0) is None:
                admitted += 1
                limiter.ended(team, 0.0, 0.0)
    allowed = min(LIMIT_S, offered / seconds) * seconds
    return LimitRow(
        scenario,
        routers,
        offered,
        admitted,
        allowed,
        admitted / allowed - 1,
        fleet.traffic.messages / offered,
    )


@dataclass(frozen=True)
class CostRow:
    """Hold the cost of the limits for one router and one holder.

    Bytes and messages are a second for one router, both directions;
    ``holder_ms_s`` is CPU milliseconds a second of the busiest role.
    """

    routers: int
    teams: int
    requests_s: float
    messages_s: float
    bytes_s: float
    router_us_request: float
    holder_ms_s: float


async def cost(routers: int, teams: int, requests_s: float) -> CostRow:
    """Run many teams far below their limits and count messages."""
    rng = random.Random(SEED)
    limits = TeamLimits(requests_per_s=10 * requests_s / teams)
    all_teams = [
        Team(name=f'team-{n}', key_hashes=(), services=(), limits=limits)
        for n in range(teams)
    ]
    fleet = Fleet(routers, {team.name: limits for team in all_teams})
    seconds = 20.0
    began = fleet.clock.now
    busy_at = time.process_time()
    requests = 0
    next_step = began
    while fleet.clock.now - began < seconds:
        fleet.clock.now += STEP_MS / 1000
        if fleet.clock.now >= next_step:
            fleet.step()
            next_step += STEP_S
        for _ in range(_arrivals(rng, requests_s * STEP_MS / 1000)):
            requests += 1
            team = rng.choice(all_teams)
            limiter = fleet.limiters[rng.randrange(routers)]
            await limiter.admit(team, 0.0)
            limiter.ended(team, 0.0, 0.0)
    busy_s = time.process_time() - busy_at - fleet.holder_busy_s
    traffic = fleet.traffic
    total = traffic.sent_bytes + traffic.received_bytes
    return CostRow(
        routers,
        teams,
        requests_s,
        traffic.messages / seconds / routers,
        total / seconds / routers,
        busy_s / requests * 1e6,
        fleet.holder_busy_s / BUCKETS / seconds * 1000,
    )


def _arrivals(rng: random.Random, mean: float) -> int:
    count = int(mean)
    if rng.random() < mean - count:
        count += 1
    return count


async def _measure() -> None:
    rows = [
        await flood('even, 2 x limit', evenly, 3, 2 * LIMIT_S),
        await flood('even, 2 x limit', evenly, 40, 2 * LIMIT_S),
        await flood('even, 2 x limit', evenly, 330, 2 * LIMIT_S),
        await flood('moving, 2 x limit', moving, 3, 2 * LIMIT_S),
        await flood('moving, 2 x limit', moving, 40, 2 * LIMIT_S),
        await flood('moving, at the limit', moving, 3, LIMIT_S),
        await flood('one router, 10 x limit', one_router, 3, 10 * LIMIT_S),
        await flood('even, half the limit', evenly, 3, 0.5 * LIMIT_S),
    ]
    print(_table(rows, '.3f'))
    costs = [
        await cost(30, 250, 690.0),
        await cost(110, 830, 2530.0),
        await cost(330, 2500, 7600.0),
    ]
    print()
    print(_table(costs, '.2f'))


def _table(rows: Sequence[LimitRow | CostRow], number: str) -> str:
    headers = [one.name for one in fields(rows[0])]
    return tabulate([astuple(row) for row in rows], headers, floatfmt=number)


def main() -> None:
    """Measure and print both tables."""
    asyncio.run(_measure())


if __name__ == '__main__':
    Fire(main)
