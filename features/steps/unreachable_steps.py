"""Check how a router handles unreachable upstreams."""

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

FAILURE_TIME_S = 100.0


@given('a retry budget that allows no retries')
def step_no_retries(context: Context) -> None:
    """Start routers with an empty retry budget."""
    bench = direct_bench(context)
    bench.bounds = replace(bench.bounds, repeat_ratio=0.0, repeat_slack=0.0)


@when('the engine that ran it stops listening')
def step_engine_stops(context: Context) -> None:
    """Close its listener and its connections; its entry stays."""
    bench = direct_bench(context)
    ran_upstreams = [
        upstream for upstream in bench.upstreams.values() if upstream.ran
    ]
    assert len(ran_upstreams) == 1, ran_upstreams
    bench.on_loop(ran_upstreams[0].server.close)


@when('an engine prefills a prompt for 1.1 of the 1.2 seconds that are left')
def step_prefills(context: Context) -> None:
    """Send a prompt with an estimated prefill of 1.1 s; hold its answer."""
    bench = direct_bench(context)
    caller_thread = threading.Thread(
        target=lambda: bench.ask_model(**_prompt('long', 121_000))
    )
    context.caller_thread = caller_thread
    caller_thread.start()
    bench.until(lambda: bool(bench.received()), 'a prompt at an engine')


@when('all upstreams stop listening')
def step_all_stop(context: Context) -> None:
    """Close all listeners; the entries stay."""
    bench = direct_bench(context)
    for upstream in bench.upstreams.values():
        bench.on_loop(upstream.server.close)


@then('the retry time is at most {max_s:d} seconds')
def step_retry_time(context: Context, max_s: int) -> None:
    """Check the Retry-After time of the last answer."""
    answer = direct_bench(context).answer
    assert answer.status == 503, answer
    assert 0.0 < float(answer.headers['Retry-After']) <= max_s, answer


@when('the other engine stops listening')
def step_other_stops(context: Context) -> None:
    """Close the listener of the engine that received no request."""
    bench = direct_bench(context)
    idle_upstreams = [
        one for one in bench.upstreams.values() if not one.received
    ]
    assert len(idle_upstreams) == 1, idle_upstreams
    bench.on_loop(idle_upstreams[0].server.close)


@when('a caller asks a model with a long prompt')
def step_long_prompt(context: Context) -> None:
    """Send a prompt with a prefill of 0.1 s; then release the first one."""
    bench = direct_bench(context)
    context.second_answer = bench.ask_model(**_prompt('other', 11_000))
    for upstream in bench.upstreams.values():
        bench.on_loop(upstream.hold.set)
    context.caller_thread.join()


def _prompt(part: str, tokens: int) -> dict[str, str]:
    return {
        PREFIX + 'Token-Usage': f'{tokens},20',
        PREFIX + 'Prompt-Prefix': f'{part}:{tokens}',
    }


@when('a connection to an upstream {fails}')
def step_connection(context: Context, fails: str) -> None:
    """Record the kind of failure."""
    context.state = UpstreamState(
        Upstream('u', 's', '127.0.0.1:1', 'z', 4, False, {}, 0)
    )
    if fails == 'is refused':
        context.state.record_refused_connection(FAILURE_TIME_S)
    else:
        context.state.record_failure(FAILURE_TIME_S)


@then('that prompt is refused at once with a retry time')
def step_refused(context: Context) -> None:
    """Check its own answer; that of the first prompt may be the last one."""
    assert context.second_answer.status == 503, context.second_answer
    assert 'Retry-After' in context.second_answer.headers, (
        context.second_answer
    )


@then('the upstream is {used} {later_s:f} s later')
def step_usable(context: Context, used: str, later_s: float) -> None:
    """Check whether it is usable."""
    expected = used == 'used'
    assert context.state.is_usable(FAILURE_TIME_S + later_s) is expected
