"""Stop routers under load."""

import asyncio
from dataclasses import replace

from behave import then
from behave import when
from behave.runner import Context
from lacewing_platform_testing.stops import run_stops
from lacewing_platform_testing.stops import StopPlan

_PLAN = StopPlan(
    longest_s=7.0, limit_s=15.0, calm_s=2.0, refused_share=0.5, routers=1
)


@when('a router is stopped under the load of seed {seed:d}')
def step_stop(context: Context, seed: int) -> None:
    """Run a plan."""
    context.report = asyncio.run(run_stops(replace(_PLAN, seed=seed)))


@when('a router is killed under the load of seed {seed:d} in place of a stop')
def step_kill(context: Context, seed: int) -> None:
    """Run a plan whose router cannot drain."""
    plan = replace(_PLAN, seed=seed, is_killed=True)
    context.report = asyncio.run(run_stops(plan))


@then('no request that it had read ended without an answer')
def step_no_losses(context: Context) -> None:
    """Check the judgement of all requests."""
    report = context.report
    assert report.statuses.get(200, 0), report.statuses
    assert not report.losses, '\n'.join(map(str, report.losses))


@then('requests ended without an answer')
def step_losses(context: Context) -> None:
    """Check that the judge finds what was cut."""
    assert context.report.losses, context.report
