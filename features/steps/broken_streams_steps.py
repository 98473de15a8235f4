"""Check how a router continues streams that upstreams refuse."""

from collections import deque
from unittest.mock import patch

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct._settings import Bounds
from lacewing_platform_testing import Behaviour
from msgspec.structs import replace
from support.direct_bench import direct_bench

# What a router may spend of the fleet's retry budget if it is alone.
_OWN_FRACTION = 0.6


@given('a retry budget of {retries:d} retries')
def step_budget(context: Context, retries: int) -> None:
    """Start routers with a retry budget that requests do not raise."""
    bench = direct_bench(context)
    bench.bounds = _budget_bounds(context, retries)


def _budget_bounds(context: Context, retries: int) -> Bounds:
    slack = (retries + 0.5) / _OWN_FRACTION
    bounds = direct_bench(context).bounds
    return replace(bounds, repeat_ratio=0.0, repeat_slack=slack)


@when('the router reads its settings again')
def step_reload(context: Context) -> None:
    """Do what a router does at SIGHUP."""
    bench = direct_bench(context)
    bench.on_loop(bench.routers[0]._reload)


@when(
    'the router reads its settings again with a budget of {retries:d} retries'
)
def step_reload_budget(context: Context, retries: int) -> None:
    """Change the settings, then do what a router does at SIGHUP."""
    router = direct_bench(context).routers[0]
    settings = replace(
        router._settings, bounds=_budget_bounds(context, retries)
    )
    with patch.object(router, '_reload_settings', return_value=settings):
        step_reload(context)


@given('a retry budget of {retries:d} retries in {window_s:g} seconds')
def step_budget_window(
    context: Context, retries: int, window_s: float
) -> None:
    """Start routers whose retry budget has room again after the window."""
    step_budget(context, retries)
    bench = direct_bench(context)
    bench.bounds = replace(bench.bounds, repeat_window_s=window_s)


@given('a router with {count:d} engines')
def step_router(context: Context, count: int) -> None:
    """Start engines and a router that knows all of them."""
    context.execute_steps('Given a store with a configuration')
    bench = direct_bench(context)
    for number in range(count):
        bench.add_upstream(f'eng-{number + 1}', 'models')
    context.execute_steps('Given a direct router')
    router = bench.routers[0]
    bench.until(lambda: len(router.upstream_ids) == count, 'all engines')


@given('a router with {count:d} plain upstreams')
def step_plain_router(context: Context, count: int) -> None:
    """Start upstreams of a plain service and a router that knows them."""
    context.execute_steps('Given a store with a configuration')
    bench = direct_bench(context)
    for number in range(count):
        bench.add_upstream(f'reg-{number + 1}', 'registry')
    context.execute_steps('Given a direct router')
    router = bench.routers[0]
    bench.until(lambda: len(router.upstream_ids) == count, 'all upstreams')


@given('the next engines answer with "{behaviours}" and then all refuse')
def step_script_refuse(context: Context, behaviours: str) -> None:
    """Script the answers; later sends are refused."""
    _script(context, behaviours)
    for upstream in direct_bench(context).upstreams.values():
        upstream.always = Behaviour.SHED


@given('the next engines answer with "{behaviours}"')
def step_script(context: Context, behaviours: str) -> None:
    """Script the answers; later sends succeed."""
    _script(context, behaviours)


def _script(context: Context, behaviours: str) -> None:
    # All engines share one script, as the router may choose any of them.
    names = behaviours.split(', ')
    script = deque(Behaviour(name) for name in names)
    for upstream in direct_bench(context).upstreams.values():
        upstream.script = script


@then('one engine ran the request')
def step_one_ran(context: Context) -> None:
    """Count the runs."""
    ran = direct_bench(context).ran()
    assert len(ran) == 1, ran


@when("a caller's stream is cut and then refused")
def step_cut_again(context: Context) -> None:
    """Script the next answer, then ask."""
    _script(context, Behaviour.CUT.value)
    context.execute_steps('When a caller asks a model')


@then('engines received {count:d} sends')
def step_sends(context: Context, count: int) -> None:
    """Count the sends."""
    received = direct_bench(context).received()
    assert len(received) == count, received


@then('sends after the first {count:d} are at least {gap_ms:d} ms apart')
def step_gaps(context: Context, count: int, gap_ms: int) -> None:
    """Compare the times of later sends with their predecessors."""
    times = []
    for upstream in direct_bench(context).upstreams.values():
        times.extend(upstream.received_s)
    times.sort()
    assert len(times) > count + 1, times
    gaps = []
    for before_s, after_s in zip(times[count:], times[count + 1 :]):
        gaps.append(after_s - before_s)
    assert min(gaps) * 1000 >= gap_ms, gaps
