"""Check the teams' limits on a clock that the scenario moves."""

import asyncio
import random
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from behave import given
from behave import then
from behave import when
from lacewing_bench.limits_error import evenly
from lacewing_bench.limits_error import Fleet
from lacewing_bench.limits_error import flood
from lacewing_bench.limits_error import FloodFaults
from lacewing_bench.limits_error import LimitRow
from lacewing_bench.limits_error import moving
from lacewing_bench.limits_error import one_router
from lacewing_common.bundle import Team
from lacewing_common.bundle import TeamLimits
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_common.verdict import Verdict

WAYS = {'evenly': evenly, 'moving': moving, 'alone': one_router}
SECONDS = 10


@dataclass
class LimitsCase:
    """Hold what one scenario sets up and sees."""

    limit_s: float
    faults: FloodFaults = field(default_factory=FloodFaults)
    row: LimitRow | None = None
    refusals: list[Refusal] = field(default_factory=list)
    others_refused: int = 0
    passed: int = 0


def _team(name: str, limit_s: float) -> Team:
    limits = TeamLimits(requests_per_s=limit_s)
    return Team(name=name, key_hashes=(), services=(), limits=limits)


@given('a team with a limit of {limit:d} requests a second')
@given('a team with a limit of {limit:d} request a second')
def team_with_limit(context: Any, limit: int) -> None:
    """Set the limit."""
    context.case = LimitsCase(float(limit))


@given('no holder can be reached')
def no_holder(context: Any) -> None:
    """Cut the limiters off."""
    context.case.faults = FloodFaults(unreachable=True)


@given('the holders restart every {seconds:d} seconds')
def holders_restart(context: Any, seconds: int) -> None:
    """Let holders lose their memory."""
    context.case.faults = FloodFaults(restart_every_s=float(seconds))


@given('another team far below its limit')
def other_team(context: Any) -> None:
    """Do nothing: the step that sends uses it."""


@when('{offered:d} requests a second come {way} through {routers:d} routers')
def requests_come(context: Any, offered: int, way: str, routers: int) -> None:
    """Offer load for a minute of the scenario's clock."""
    case = context.case
    case.row = asyncio.run(
        flood(way, WAYS[way], routers, float(offered), case.faults)
    )


@when('both send through 3 routers, the first at 10 times its limit')
def both_send(context: Any) -> None:
    """Flood with one team, send a little with the other."""
    context.case.others_refused = asyncio.run(_two_teams(context.case))


@when('the limit is lowered to {limit:d} during a flood')
def limit_lowered(context: Any, limit: int) -> None:
    """Change the limit as a roll does."""
    case = context.case
    case.passed = asyncio.run(_lowered(case.limit_s, float(limit)))
    case.limit_s = float(limit)


@when('{count:d} requests come at once to one router')
def at_once(context: Any, count: int) -> None:
    """Send without moving the clock."""
    case = context.case
    case.refusals = asyncio.run(_burst(case.limit_s, count))


@then('what passes is within {percent:d} percent of what the limit allows')
def within(context: Any, percent: int) -> None:
    """Compare with the limit, or the load if that is less."""
    assert abs(context.case.row.error) < percent / 100, context.case.row


@then('there is less than one message for {requests:d} requests')
def few_messages(context: Any, requests: int) -> None:
    """Compare messages with requests."""
    row = context.case.row
    assert row.messages_per_request < 1 / requests, row


@then("no more passes than the limit allows and one second's burst")
def bounded(context: Any) -> None:
    """Check the bound."""
    row = context.case.row
    assert row.admitted <= row.allowed + context.case.limit_s, row
    assert row.admitted > row.allowed / 2, row


@then('every request of the other team passes')
def others_pass(context: Any) -> None:
    """Check that the flood cost the other team nothing."""
    assert context.case.others_refused == 0, context.case.others_refused


@then('what passes afterwards follows the new limit')
def new_limit(context: Any) -> None:
    """Check the count of ten seconds after the change."""
    allowed = context.case.limit_s * SECONDS
    assert abs(context.case.passed - allowed) < 0.2 * allowed


@then("the refusals are not-run for the team's limit with a time to retry")
def refusals_tell(context: Any) -> None:
    """Check verdict, reason and time."""
    assert len(context.case.refusals) >= 3, context.case.refusals
    for refusal in context.case.refusals:
        assert refusal.verdict is Verdict.NOT_RUN
        assert refusal.reason is Reason.TEAM_LIMIT
        assert refusal.retry_after_s is not None
        assert refusal.retry_after_s > 0


async def _two_teams(case: LimitsCase) -> int:
    rng = random.Random(3)
    teams = [_team('flood', case.limit_s), _team('quiet', case.limit_s)]
    fleet = Fleet(3, {team.name: team.limits for team in teams})
    refused = 0
    for step in range(100 * SECONDS):
        fleet.clock.now += 0.01
        if step % 25 == 0:
            fleet.step()
        for _ in range(int(case.limit_s / 10)):
            limiter = fleet.limiters[rng.randrange(3)]
            if await limiter.admit(teams[0], 0.0) is None:
                limiter.ended(teams[0], 0.0, 0.0)
        if step % 25 != 0:
            continue
        limiter = fleet.limiters[rng.randrange(3)]
        if await limiter.admit(teams[1], 0.0) is not None:
            refused += 1
            continue
        limiter.ended(teams[1], 0.0, 0.0)
    return refused


async def _lowered(before_s: float, after_s: float) -> int:
    rng = random.Random(4)
    limits = {'t': TeamLimits(requests_per_s=before_s)}
    fleet = Fleet(3, limits)
    team = _team('t', before_s)
    passed = 0
    for step in range(200 * SECONDS):
        fleet.clock.now += 0.01
        if step % 25 == 0:
            fleet.step()
        if step == 100 * SECONDS:
            limits['t'] = TeamLimits(requests_per_s=after_s)
            team = _team('t', after_s)
        limiter = fleet.limiters[rng.randrange(3)]
        if await limiter.admit(team, 0.0) is not None:
            continue
        limiter.ended(team, 0.0, 0.0)
        if step >= 100 * SECONDS:
            passed += 1
    return passed


async def _burst(limit_s: float, count: int) -> list[Refusal]:
    fleet = Fleet(1, {'t': TeamLimits(requests_per_s=limit_s)})
    refusals: list[Refusal] = []
    for _ in range(count):
        refusal = await fleet.limiters[0].admit(_team('t', limit_s), 0.0)
        if refusal is not None:
            refusals.append(refusal)
    return refusals
