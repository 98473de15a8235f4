"""Check what a router makes of upstreams that can't be reached."""

import threading

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct._upstream import Upstream
from lacewing_daemon.direct._upstream_state import UpstreamState
from msgspec.structs import replace
from support.direct_bench import direct_bench
from support.direct_bench import PREFIX

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


@when('an engine reads a prompt for 1.1 of the 1.2 seconds that are left')
def step_reads(context: Context) -> None:
    """Send a prompt that its engine holds, 1.1 s by the usual reckoning."""
    bench = direct_bench(context)
    reader = threading.Thread(
        target=lambda: bench.ask_model(**_prompt('long', 121_000))
    )
    context.reader = reader
    reader.start()
    bench.until(lambda: bool(bench.received()), 'a prompt at an engine')


@when('all upstreams stop listening')
def step_all_stop(context: Context) -> None:
    """Close all listeners; the entries stay."""
    bench = direct_bench(context)
    for upstream in bench.upstreams.values():
        bench.on_loop(upstream.server.close)


@then('the caller is told to come back within {most_s:d} seconds')
def step_soon(context: Context, most_s: int) -> None:
    """Look at the time that the last answer tells."""
    answer = direct_bench(context).answer
    assert answer.status == 503, answer
    assert 0.0 < float(answer.headers['Retry-After']) <= most_s, answer


@when('the other engine stops listening')
def step_other_stops(context: Context) -> None:
    """Close the listener of the engine that got nothing."""
    bench = direct_bench(context)
    idle = [one for one in bench.upstreams.values() if not one.received]
    assert len(idle) == 1, idle
    bench.on_loop(idle[0].server.close)


@when('a caller asks a model with a long prompt')
def step_long(context: Context) -> None:
    """Send a prompt that takes 0.1 s to read, then let the first one end."""
    bench = direct_bench(context)
    context.late = bench.ask_model(**_prompt('other', 11_000))
    for upstream in bench.upstreams.values():
        bench.on_loop(upstream.hold.set)
    context.reader.join()


def _prompt(part: str, tokens: int) -> dict[str, str]:
    return {
        PREFIX + 'Token-Usage': f'{tokens},20',
        PREFIX + 'Prompt-Prefix': f'{part}:{tokens}',
    }


@when('a connection to an upstream {fails}')
def step_connection(context: Context, fails: str) -> None:
    """Learn how it failed."""
    context.state = UpstreamState(
        Upstream('u', 's', '127.0.0.1:1', 'z', 4, False, {}, 0)
    )
    if fails == 'is refused':
        context.state.record_refused_connection(FAILED_S)
    else:
        context.state.record_failure(FAILED_S)


@then('that prompt is refused at once with a time to come back')
def step_refused(context: Context) -> None:
    """Look at its own answer; the first one's may have come after it."""
    assert context.late.status == 503, context.late
    assert 'Retry-After' in context.late.headers, context.late


@then('the upstream is {used} {later_s:f} s later')
def step_used(context: Context, used: str, later_s: float) -> None:
    """Ask whether it may be used."""
    expected = used == 'used'
    assert context.state.is_usable(FAILED_S + later_s) is expected
