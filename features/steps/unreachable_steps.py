"""Check what a router makes of upstreams that can't be reached."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct._upstream import Upstream
from lacewing_daemon.direct._upstream_state import UpstreamState
from msgspec.structs import replace
from support.direct_bench import direct_bench

FAILED_S = 100.0


@given('a budget that allows no repeats')
def step_no_repeats(context: Context) -> None:
    """Start routers with an empty budget."""
    bench = direct_bench(context)
    bench.bounds = replace(bench.bounds, repeat_ratio=0.0, repeat_slack=0.0)


@when('the engine that ran it stops listening')
def step_stops(context: Context) -> None:
    """Close its listener and its connections; its entry stays."""
    bench = direct_bench(context)
    ran_at = [
        upstream for upstream in bench.upstreams.values() if upstream.ran
    ]
    assert len(ran_at) == 1, ran_at
    bench.on_loop(ran_at[0].server.close)


@when('a connection to an upstream {fails}')
def step_connection(context: Context, fails: str) -> None:
    """Learn how it failed."""
    context.state = UpstreamState(
        Upstream('u', 's', '127.0.0.1:1', 'z', 4, False, {}, 0)
    )
    if fails == 'is refused':
        context.state.refused_connection(FAILED_S)
    else:
        context.state.failed(FAILED_S)


@then('the upstream is {used} {later_s:f} s later')
def step_used(context: Context, used: str, later_s: float) -> None:
    """Ask whether it may be used."""
    expected = used == 'used'
    assert context.state.usable(FAILED_S + later_s) is expected
