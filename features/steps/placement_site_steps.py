"""Check agents that place models together."""

import asyncio

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.standins import Crash
from lacewing_bench.standins import Engine
from support.placement_bench import LEASE_S
from support.placement_bench import PlacementSite


def _site(context: Context) -> PlacementSite:
    site: PlacementSite = context.site
    return site


def _make(context: Context) -> PlacementSite:
    context.site = PlacementSite(True)
    context.resources.callback(context.site.close)
    return _site(context)


@given('{count:d} agents with placement beside workers that check fences')
def given_agents(context: Context, count: int) -> None:
    _make(context).start(count)


@given('{count:d} agents with placement amid an outage of the platform')
def given_outage(context: Context, count: int) -> None:
    site = _make(context)
    site.set_outage(True)
    site.start(count)


@when('new weights "{weights}" are rolled to the agents')
def when_rolled(context: Context, weights: str) -> None:
    _site(context).roll(weights)


@when('the platform goes for three times the lease')
def when_gone(context: Context) -> None:
    site = _site(context)
    agent = site.agents[0]
    site.set_outage(True)
    site.thread.call(asyncio.sleep(3 * LEASE_S))
    plan = agent.plan
    assert plan is not None
    context.plan = plan


@when('the time of three leases passes')
def when_time(context: Context) -> None:
    _site(context).thread.call(asyncio.sleep(3 * LEASE_S))


@when('the worker that holds the model comes back empty')
def when_crashes(context: Context) -> None:
    site = _site(context)
    for agent in site.agents:
        if agent.holds():
            site.thread.call(_crash(agent.engine))


@then('{count:d} worker holds the model')
def then_holds(context: Context, count: int) -> None:
    site = _site(context)
    site.wait(lambda: site.holding() == count)


@then('a plan is held by all agents')
def then_plan(context: Context) -> None:
    site = _site(context)
    site.wait(lambda: all(agent.plan for agent in site.agents))


@then('{count:d} worker holds the weights "{weights}" and no other any')
def then_weights(context: Context, count: int, weights: str) -> None:
    site = _site(context)
    site.wait(lambda: site.holding(weights) == site.holding() == count)


@then('at most {count:d} loads were at the weight store at once')
def then_peak(context: Context, count: int) -> None:
    weights = _site(context).platform.service.weights
    assert 0 < weights.peak_at_once <= count, weights.peak_at_once


@then('the plan is the same and {count:d} worker holds the model')
def then_same(context: Context, count: int) -> None:
    site = _site(context)
    for agent in site.agents:
        assert agent.plan == context.plan, agent.plan
    assert site.holding() == count


@then('all {count:d} workers hold the model and got no order')
def then_untouched(context: Context, count: int) -> None:
    site = _site(context)
    assert site.holding('v1') == count
    for agent in site.agents:
        assert agent.engine.counts.orders == 0
        assert agent.plan is None


async def _crash(engine: Engine) -> None:
    engine.crash(Crash(lose_models=True))
