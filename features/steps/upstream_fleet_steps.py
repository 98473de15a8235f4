"""Check the limits of upstreams over the limiters of many routers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from random import Random

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from support.event_loop import run_simulated
from support.event_loop import SimulatedLoop
from support.simulated_links import cut_halves
from support.simulated_links import cut_others_each_second
from support.upstream_fleet import UPSTREAM
from support.upstream_fleet import UpstreamFleet

WINDOW_S = 4.0
RATE_FACTOR = 1.5
MAX_BEYOND = 5
# From this long after an upstream first named its limit it is kept.
GRACE_S = 3.0
DOWN_S = 0.3
# The time in which the last answers tell that a limit has ended.
LEARN_S = 3.0

Fault = Callable[[UpstreamFleet], Awaitable[None]]


@given(
    '{routers:d} routers and an upstream that names {rate:g} requests a second'
)
def step_fleet(context: Context, routers: int, rate: float) -> None:
    """Create routers that count each other."""
    context.fleet = UpstreamFleet(SimulatedLoop(), routers, rate, 1)
    context.faults = []


@given('the limit ends after {seconds:d} s')
def step_ends(context: Context, seconds: int) -> None:
    """Have answers name no limit from then on."""
    context.fleet.ends_s = float(seconds)


@given('among them they count one router too few')
def step_miscount(context: Context) -> None:
    """Give each router a share that is too large."""
    context.fleet.counted = context.fleet.size - 1


@given('among them the halves are cut from each other')
def step_halves(context: Context) -> None:
    """Cut the fleet in two for the middle of the play."""
    context.faults.append(cut_halves(12.0, 10.0))


@given('among them all are cut off from each other after {seconds:d} s')
def step_all_cut(context: Context, seconds: int) -> None:
    """Lose all messages between routers from then on."""

    async def cut(fleet: UpstreamFleet) -> None:
        await asyncio.sleep(seconds)
        fleet.is_cut = lambda _one, _other: True

    context.faults.append(cut)


@given('among them cuts come and go')
def step_cuts(context: Context) -> None:
    """Cut other routers off each second."""
    context.faults.append(cut_others_each_second)


@given('among them all are killed and start again')
def step_all_killed(context: Context) -> None:
    """Kill all processes at once in the middle of the play."""

    async def kill(fleet: UpstreamFleet) -> None:
        await asyncio.sleep(15.0)
        for index in range(fleet.size):
            fleet.stop_router(index)
        await asyncio.sleep(DOWN_S)
        for index in range(fleet.size):
            fleet.start_router(index)

    context.faults.append(kill)


@given('among them they are restarted in turn')
def step_roll(context: Context) -> None:
    """Restart one router after the other; all stay counted."""

    async def roll(fleet: UpstreamFleet) -> None:
        await asyncio.sleep(10.0)
        for index in range(fleet.size):
            fleet.stop_router(index)
            await asyncio.sleep(DOWN_S)
            fleet.start_router(index)
            await asyncio.sleep(DOWN_S)

    context.faults.append(roll)


@when(
    'it is wanted {load:g} times as often {skew} for {duration_s:d} s, with'
    ' seed {seed:d}'
)
def step_play(
    context: Context, load: float, skew: str, duration_s: int, seed: int
) -> None:
    """Send requests that would all go to the upstream without its limit."""
    fleet = context.fleet
    fleet.seed = seed
    random = Random(seed)
    chosen = random.sample(range(fleet.size), min(2, fleet.size))
    assert skew in ('evenly', 'through two'), skew
    among = chosen if skew == 'through two' else range(fleet.size)

    async def play() -> None:
        for index in range(fleet.size):
            fleet.start_router(index)
        faults = [
            asyncio.create_task(fault(fleet)) for fault in context.faults
        ]
        await fleet.play(
            load * fleet.rate_per_s,
            duration_s,
            lambda _s: random.choice(among),
        )
        await asyncio.sleep(LEARN_S)
        context.holding = [
            index
            for index, router in fleet.routers.items()
            if router.limiter.is_limited(UPSTREAM)
        ]
        for fault in faults:
            if fault.done():
                fault.result()
            fault.cancel()
        fleet.close()

    run_simulated(fleet.loop, play())


@then('no window of informed routers exceeds what the upstream takes')
def step_within(context: Context) -> None:
    """Count what came in each window from routers that knew the limit."""
    fleet = context.fleet
    from_s = fleet.begins_s + GRACE_S
    arrived_s = []
    for arrival in fleet.arrivals:
        if arrival.was_informed and from_s <= arrival.at_s < fleet.ends_s:
            arrived_s.append(arrival.at_s)
    assert arrived_s, 'no router was informed'
    allowed = RATE_FACTOR * fleet.rate_per_s * WINDOW_S + MAX_BEYOND
    first = 0
    for position, at_s in enumerate(arrived_s):
        while arrived_s[first] < at_s - WINDOW_S:
            first += 1
        count = position - first + 1
        assert count <= allowed, f'{count} at {at_s} s, {allowed} allowed'


@then('it gets at least {fraction:g} of what it names')
def step_used(context: Context, fraction: float) -> None:
    """Count what came from the time on in which the limit is kept."""
    fleet = context.fleet
    from_s = fleet.begins_s + GRACE_S
    until_s = max(arrival.at_s for arrival in fleet.arrivals)
    count = len([one for one in fleet.arrivals if one.at_s >= from_s])
    named = fleet.rate_per_s * (until_s - from_s)
    assert count >= fraction * named, (count, named, count / named)


@then('no router holds the limit at the end')
def step_all_learned(context: Context) -> None:
    """Check what the routers know."""
    assert not context.holding, context.holding
