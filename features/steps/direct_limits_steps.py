"""Check the limits of teams over the limiters of many routers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from random import Random

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct._routing_config import Quota
from lacewing_daemon.direct.limits import WindowBounds
from support.event_loop import run_simulated
from support.event_loop import SimulatedLoop
from support.limits_fleet import draw_offers
from support.limits_fleet import fitting
from support.limits_fleet import LimitFleet
from support.limits_fleet import most_in_window
from support.limits_fleet import Offer
from support.limits_fleet import token_quota
from support.simulated_links import cut_halves
from support.simulated_links import cut_others_each_second

TEAM = 'north'
WINDOW = WindowBounds(8.0, 0.1, 72000.0)
# Routers have shares and settle for so long before the first request.
WARM_UP_S = 5.0

# Killed processes are started after the first and serve after the second time.
DOWN_S = 0.3
START_S = 0.7


Fault = Callable[[LimitFleet], Awaitable[None]]


@given(
    '{routers:d} routers and a team with a limit of {rate:d} tokens a second'
)
def step_fleet(context: Context, routers: int, rate: int) -> None:
    """Create routers that count each other."""
    quotas = {TEAM: token_quota(float(rate), float(rate))}
    context.fleet = LimitFleet(SimulatedLoop(), routers, quotas, WINDOW, 1)
    context.faults = []
    context.lowered_s = None


@given('{routers:d} routers and a limit of {rate:d} requests a second')
def step_small_limit(context: Context, routers: int, rate: int) -> None:
    """Create routers that hold few tokens each."""
    bounds = WindowBounds(4.0, 0.25, 5.0)
    quotas = {TEAM: Quota(float(rate), 0.0)}
    context.fleet = LimitFleet(SimulatedLoop(), routers, quotas, bounds, 1)


@given('the halves are cut from each other')
def step_halves(context: Context) -> None:
    """Cut the fleet in two for the middle of the play."""
    context.faults.append(cut_halves(WARM_UP_S + 5.0, 11.0))


@given('cuts come and go')
def step_cuts(context: Context) -> None:
    """Cut other routers off each second."""
    context.faults.append(cut_others_each_second)


@given('all are killed and start again')
def step_all_killed(context: Context) -> None:
    """Kill all processes twice; the new ones are counted already."""

    async def kill(fleet: LimitFleet) -> None:
        for _ in range(2):
            await asyncio.sleep(WARM_UP_S + 3.0)
            for index in range(fleet.size):
                fleet.stop_router(index)
            await asyncio.sleep(DOWN_S + START_S)
            fleet.start_all(unclaimed_s=START_S)
            context.started_s = fleet.loop.time()

    context.faults.append(kill)


@given('they are restarted in turn')
def step_roll(context: Context) -> None:
    """Restart one router after the other; all stay counted."""

    async def roll(fleet: LimitFleet) -> None:
        await asyncio.sleep(WARM_UP_S + 2.0)
        for index in range(fleet.size):
            fleet.stop_router(index)
            await asyncio.sleep(0.4)
            fleet.start_router(index, 1.0 / fleet.size)
            await asyncio.sleep(0.4)

    context.faults.append(roll)


@given('a third of them is not counted yet')
def step_uncounted(context: Context) -> None:
    """Replace routers by new ones that have no share."""

    async def replace(fleet: LimitFleet) -> None:
        await asyncio.sleep(WARM_UP_S)
        for index in range(0, fleet.size, 3):
            fleet.stop_router(index)
            fleet.start_router(index, 0.0)

    context.faults.append(replace)


@given('they count one router too few')
def step_miscount(context: Context) -> None:
    """Give each router a share that is too large."""
    context.counted = context.fleet.size - 1


@given('upstreams refuse half of what is sent')
def step_unrun(context: Context) -> None:
    """Let every second charge be given back."""
    context.fleet.unrun_fraction = 0.5


@given(
    'upstreams refuse what is sent in the first {first_s:d} s, after'
    ' {after_s:d} s'
)
def step_unrun_late(context: Context, first_s: int, after_s: int) -> None:
    """Let charges be given back when new tokens have come in."""
    fleet = context.fleet
    fleet.unrun_fraction = 1.0
    fleet.unrun_after_s = float(after_s)
    fleet.unrun_until_s = WARM_UP_S + first_s


@given('it is lowered to {rate:d} tokens a second after {at_s:d} s')
def step_lowered(context: Context, rate: int, at_s: int) -> None:
    """Bring a lower limit into force at all routers within 0.5 s."""
    lowered = token_quota(float(rate), float(rate))
    context.lowered = lowered
    context.lowered_s = WARM_UP_S + at_s + 0.5

    async def lower(fleet: LimitFleet) -> None:
        await asyncio.sleep(WARM_UP_S + at_s)
        for router in fleet.routers.values():
            router.quotas = {TEAM: lowered}
            await asyncio.sleep(0.5 / fleet.size)

    context.faults.append(lower)


@given('the keeper of its pool is killed after {at_s:d} s')
def step_keeper_killed(context: Context, at_s: int) -> None:
    """Kill the router that holds most of the pool."""

    async def kill(fleet: LimitFleet) -> None:
        await asyncio.sleep(WARM_UP_S + at_s)
        held = {
            index: router.limiter.pool_tokens(TEAM)
            for index, router in fleet.routers.items()
        }
        fleet.stop_router(max(held, key=lambda index: held[index]))

    context.faults.append(kill)


@given('drawn routers, limits, cuts and restarts with seed {seed:d}')
def step_drawn(context: Context, seed: int) -> None:
    """Draw a fleet, three teams and a series of faults."""
    random = Random(seed)
    quotas = {}
    for team in ('north', 'south', 'east'):
        rate_per_s = 18000.0 * random.uniform(1, 12)
        quotas[team] = token_quota(
            rate_per_s, rate_per_s * random.uniform(0.5, 1.5)
        )
    size = random.choice((2, 5, 9, 22))
    fleet = LimitFleet(SimulatedLoop(), size, quotas, WINDOW, seed)
    context.fleet = fleet
    context.faults = [_drawn_faults]
    context.lowered_s = None


@when(
    'it sends {load:g} times its limit {skew} for {duration_s:d} s, with seed'
    ' {seed:d}'
)
def step_send(
    context: Context, load: float, skew: str, duration_s: int, seed: int
) -> None:
    """Send requests of one team and run the faults."""
    fleet = context.fleet
    fleet.seed = seed
    random = Random(seed)
    per_s = fleet.quotas[TEAM].rate_per_s * load
    seconds = (WARM_UP_S, WARM_UP_S + duration_s)
    choose = _choice(skew, fleet.size, random)
    _play(context, draw_offers(random, TEAM, per_s, seconds, choose))


@when('all teams send for {duration_s:d} s')
def step_send_all(context: Context, duration_s: int) -> None:
    """Send requests of all teams, each in its own skew and load."""
    fleet = context.fleet
    random = Random(fleet.seed)
    offers: list[Offer] = []
    for team, quota in fleet.quotas.items():
        skew = random.choice(tuple(_SKEWS))
        offers += draw_offers(
            random,
            team,
            quota.rate_per_s * random.uniform(0.8, 4.0),
            (WARM_UP_S, WARM_UP_S + duration_s),
            _choice(skew, fleet.size, random),
        )
    _play(context, offers)


@when('nothing is sent for {seconds:d} s')
def step_pause(context: Context, seconds: int) -> None:
    """Let the routers settle, then send one request to one of them."""
    fleet = context.fleet
    last = fleet.size - 1
    offer = Offer(float(seconds), TEAM, 1.0, last)

    async def play() -> None:
        fleet.start_all()
        await fleet.play([offer])

    run_simulated(fleet.loop, play())


@then('any router lets a request through')
def step_let_through(context: Context) -> None:
    """Check that the request ran."""
    assert len(context.fleet.runs) == 1, context.fleet.refused


@then('no window exceeds the limit')
def step_within(context: Context) -> None:
    """Compare what ran in each window with what may run."""
    for team, quota in context.fleet.quotas.items():
        runs = [run for run in context.fleet.runs if run.team == team]
        assert runs, f'nothing of {team} ran'
        most = most_in_window(runs, WINDOW.window_s)
        assert most <= _allowed(quota), (team, most, _allowed(quota))


@then('no window from {after_s:d} s after that exceeds the lower limit')
def step_within_lower(context: Context, after_s: int) -> None:
    """Compare with the limit that was lowered."""
    from_s = context.lowered_s + after_s
    runs = [run for run in context.fleet.runs if run.at_s >= from_s]
    assert runs, 'nothing ran under the lower limit'
    most = most_in_window(runs, WINDOW.window_s)
    assert most <= _allowed(context.lowered), (most, context.lowered)


@then('at least {fraction:g} of what fits is let through')
def step_efficient(context: Context, fraction: float) -> None:
    """Compare with one router that receives all requests."""
    fits = fitting(context.fleet.offers, context.fleet.quotas[TEAM])
    ran = sum(run.cost for run in context.fleet.runs)
    assert ran >= fits * fraction, (ran, fits, ran / fits)


@then('at most {fraction:g} of what comes right after a start is refused')
def step_after_start(context: Context, fraction: float) -> None:
    """Compare what is refused in the 2 s after the last start."""
    since_s = context.started_s
    sent = _sum_costs(context.fleet.offers, since_s, since_s + 2.0)
    refused = _sum_costs(context.fleet.refused, since_s, since_s + 2.0)
    assert sent > 0, context.fleet.offers
    assert refused <= fraction * sent, (refused, sent, refused / sent)


def _sum_costs(offers: list[Offer], from_s: float, until_s: float) -> float:
    return sum(one.cost for one in offers if from_s <= one.at_s < until_s)


@then('each router sends at most {most:g} messages a second')
def step_messages(context: Context, most: float) -> None:
    """Count the messages of the whole play."""
    fleet = context.fleet
    per_s = fleet.messages / fleet.size / fleet.loop.time()
    assert per_s <= most, per_s


@then('no Retry-After makes many callers return at once')
def step_spread(context: Context) -> None:
    """Check that no twentieth of a second gets a tenth of the returns."""
    returns: dict[int, int] = {}
    for at_s in context.fleet.returns_s:
        slot = int(at_s * 20)
        returns[slot] = returns.get(slot, 0) + 1
    count = len(context.fleet.returns_s)
    assert count > 50, count
    assert max(returns.values()) <= count / 10, max(returns.values())


async def _drawn_faults(fleet: LimitFleet) -> None:
    random = Random(f'faults {fleet.seed}')
    await asyncio.sleep(WARM_UP_S)
    while True:
        await asyncio.sleep(random.uniform(0.3, 3.0))
        if random.random() < 0.4:
            alone = set(random.sample(range(fleet.size), fleet.size // 2))
            fleet.is_cut = lambda one, other: (
                (one in alone) != (other in alone)
            )
            continue
        if random.random() < 0.5:
            fleet.is_cut = lambda _one, _other: False
            continue
        for index in random.sample(range(fleet.size), fleet.size // 2):
            fleet.stop_router(index)
            fleet.start_router(index, 1.0 / fleet.size)


_SKEWS = ('evenly', 'through two', 'through one that changes')


def _choice(skew: str, size: int, random: Random) -> Callable[[float], int]:
    assert skew in _SKEWS, skew
    chosen = random.sample(range(size), min(2, size))
    if skew == 'evenly':
        return lambda _at_s: random.randrange(size)
    if skew == 'through two':
        return lambda _at_s: random.choice(chosen)
    return lambda at_s: (int(at_s) * 7) % size


def _play(context: Context, offers: list[Offer]) -> None:
    fleet = context.fleet

    async def play() -> None:
        fleet.start_all(getattr(context, 'counted', 0))
        faults = [
            asyncio.create_task(fault(fleet)) for fault in context.faults
        ]
        await asyncio.sleep(WARM_UP_S)
        await fleet.play(offers)
        for fault in faults:
            if fault.done():
                fault.result()
            fault.cancel()

    run_simulated(fleet.loop, play())


def _allowed(quota: Quota) -> float:
    of_window = quota.rate_per_s * WINDOW.window_s + quota.burst
    return of_window * (1 + WINDOW.overage) + WINDOW.slack
