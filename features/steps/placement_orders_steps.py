"""Check leases and orders when holders are paused or replaced."""

import asyncio

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.fake_agent import until
from lacewing_bench.platform import Down
from lacewing_bench.platform import FaultSwitches
from lacewing_daemon.placement import LeaseHeld
from support.orders_bench import Giver
from support.orders_bench import orders_bench_of
from support.orders_bench import plan_of


@given('a worker that checks fencing numbers')
def given_checking(context: Context) -> None:
    orders_bench_of(context).start(True)


@given('a worker that ignores fencing numbers')
def given_ignoring(context: Context) -> None:
    orders_bench_of(context).start(False)


@given('the agent "{name}" with plan {fence:d} for weights "{weights}"')
@when('the agent "{name}" gets plan {fence:d} for weights "{weights}"')
def when_plan(context: Context, name: str, fence: int, weights: str) -> None:
    giver = orders_bench_of(context).giver(name)
    giver.orders.take(plan_of(fence, weights))


@when('"{name}" looks at its worker')
def when_looks(context: Context, name: str) -> None:
    bench = orders_bench_of(context)
    bench.thread.call(bench.giver(name).orders.step())


@when('"{name}" is paused for {seconds:g} s while its requests end')
def when_paused(context: Context, name: str, seconds: float) -> None:
    bench = orders_bench_of(context)
    giver = bench.giver(name)
    giver.models.pauses.append(seconds)
    context.paused = bench.thread.call(_begin(giver))
    bench.clock.now_s += seconds


@when('"{name}" wakes')
def when_wakes(context: Context, name: str) -> None:
    bench = orders_bench_of(context)
    bench.giver(name).models.pauses.clear()
    bench.thread.call(_end(context.paused))


@given('{seconds:g} s pass')
@when('{seconds:g} s pass')
def when_passes(context: Context, seconds: float) -> None:
    orders_bench_of(context).clock.now_s += seconds


@when('the platform is down')
def when_down(context: Context) -> None:
    bench = orders_bench_of(context)
    bench.store.set_faults(FaultSwitches(down=Down.REFUSE))


@given('the next answer of the platform to a write gets lost')
@when('the next answer of the platform to a write gets lost')
def when_lost(context: Context) -> None:
    orders_bench_of(context).store.set_faults(FaultSwitches(lose_next=1))


@when('"{name}" asks for the lease and {outcome} it')
def when_asks(context: Context, name: str, outcome: str) -> None:
    bench = orders_bench_of(context)
    lease = bench.giver(name).lease
    answer = bench.thread.call(lease.acquire())
    assert isinstance(answer, LeaseHeld) is (outcome == 'gets'), answer


@when('"{name}" releases the lease')
def when_releases(context: Context, name: str) -> None:
    bench = orders_bench_of(context)
    bench.thread.call(bench.giver(name).lease.release())


@then('"{name}" holds the lease with fence {fence:d}')
def then_holds(context: Context, name: str, fence: int) -> None:
    lease = orders_bench_of(context).giver(name).lease
    assert lease.is_held
    assert lease.fence == fence, lease.fence


@then('"{name}" does not hold the lease')
def then_holds_not(context: Context, name: str) -> None:
    assert not orders_bench_of(context).giver(name).lease.is_held


@then('the worker obeyed {obeyed:d} and refused {refused:d} orders')
def then_orders(context: Context, obeyed: int, refused: int) -> None:
    counts = orders_bench_of(context).engine.counts
    assert counts.orders == obeyed, counts.orders
    assert counts.stale_orders == refused, counts.stale_orders


@then('the worker holds weights "{weights}"')
def then_weights(context: Context, weights: str) -> None:
    found = orders_bench_of(context).engine.models.find('m', '')
    assert found is not None
    assert found.weights == weights, found.weights


@then('"{name}" serves all its models')
def then_serves(context: Context, name: str) -> None:
    assert orders_bench_of(context).giver(name).models.served


@then('the audit of "{name}" ends with "{result}"')
def then_audit(context: Context, name: str, result: str) -> None:
    results = orders_bench_of(context).giver(name).audit.results
    assert results[-1] == result, results


async def _begin(giver: Giver) -> 'asyncio.Task[bool]':
    task = asyncio.create_task(giver.orders.step())
    await until(lambda: giver.models.paused)
    return task


async def _end(task: 'asyncio.Task[bool]') -> None:
    await task
