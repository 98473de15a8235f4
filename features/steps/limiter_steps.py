"""Check the limiter of one router: its settlements and refunds."""

import asyncio
from random import Random

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.verdict import Refusal
from lacewing_daemon.direct._routing_config import Quota
from lacewing_daemon.direct.limits import Charge
from lacewing_daemon.direct.limits import LimitTerms
from lacewing_daemon.direct.limits import TeamLimiter
from lacewing_daemon.direct.limits import WindowBounds
from lacewing_daemon.direct.limits._messages import TokenRequest
from support.event_loop import run_simulated
from support.event_loop import SimulatedLoop
from support.limits_fleet import token_quota

TEAM = 'north'
WINDOW_S = 8.0
OVERAGE = 0.1
# After this time a limiter holds all that may be held.
FILL_S = 5.0


class SilentCarrier:
    """Carry messages to routers that never answer."""

    async def move(
        self, address: str, request: TokenRequest, timeout_s: float
    ) -> None:
        """Return no reply."""


@when('a router of {routers:d} settles the limits of {teams:d} teams')
def step_settle(context: Context, routers: int, teams: int) -> None:
    """Settle once, and count how often the list of routers is read."""
    quotas = {f'team-{one}': token_quota(1.0, 1.0) for one in range(teams)}
    terms = LimitTerms(
        quotas,
        WindowBounds(WINDOW_S, OVERAGE, 72000.0),
        1.0 / routers,
        routers,
    )
    context.list_reads = 0

    def peer_addresses() -> list[str]:
        context.list_reads += 1
        return [str(one) for one in range(1, routers)]

    limiter = TeamLimiter('0', lambda: terms, peer_addresses, Random(1))
    limiter.connect(SilentCarrier())
    asyncio.run(limiter._settle(1.0))


@then('it reads the list of routers at most {most:d} times')
def step_list_reads(context: Context, most: int) -> None:
    """Compare the count with the bound."""
    assert 0 < context.list_reads <= most, context.list_reads


@given('a router that alone holds a limit of 1 request a second')
def step_alone(context: Context) -> None:
    """Create a router that has all tokens, and keeps the pool itself."""
    quota = Quota(1.0, 1.0)
    terms = LimitTerms(
        {TEAM: quota}, WindowBounds(WINDOW_S, OVERAGE, 0.0), 1.0
    )
    loop = SimulatedLoop()
    limiter = TeamLimiter('0', lambda: terms, tuple, Random(1), loop.time)

    async def admit() -> Charge | Refusal:
        return await limiter.admit(TEAM, quota, None)

    context.loop = loop
    context.limiter = limiter
    context.admit = admit


@when('a request is refunded, and the next one arrives as the router settles')
def step_settle_between(context: Context) -> None:
    """Charge and refund a request; start a settlement, then the next one."""
    limiter = context.limiter

    async def play() -> list[Charge | Refusal]:
        first = await _charge_first(context)
        limiter.refund(first)
        _, second = await asyncio.gather(limiter._settle(1.0), context.admit())
        return [first, second]

    context.admitted = run_simulated(context.loop, play())


@when('a request is refunded after {after_s:g} s, and the next one arrives')
def step_refunded_late(context: Context, after_s: float) -> None:
    """Charge a request, and refund it after a while."""

    async def play() -> list[Charge | Refusal]:
        first = await _charge_first(context)
        await asyncio.sleep(after_s)
        context.limiter.refund(first)
        return [first, await context.admit()]

    context.admitted = run_simulated(context.loop, play())


async def _charge_first(context: Context) -> Charge:
    """Charge a request of a team that has used nothing for a while."""
    settling = asyncio.create_task(context.limiter.run())
    await asyncio.sleep(FILL_S)
    settling.cancel()
    charged = await context.admit()
    assert isinstance(charged, Charge), charged
    return charged


@then('both are let through')
def step_both(context: Context) -> None:
    """Check that no request was refused."""
    for admitted in context.admitted:
        assert isinstance(admitted, Charge), admitted
