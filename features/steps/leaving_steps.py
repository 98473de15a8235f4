"""Check what a direct router makes of upstreams that say they leave."""

import time

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_platform_testing import Behaviour
from structlog.testing import capture_logs
from support.direct_bench import direct_bench
from support.direct_bench import PREFIX

LEAVING = 'Server-Leaving'
OK = 200
UNAVAILABLE = 503
MAX_REQUESTS = 60
AT_ONCE_S = 0.3


@given('"{name}" says that it leaves')
def step_leaves(context: Context, name: str) -> None:
    """Have all answers of an upstream say so."""
    step_says(context, name, '1')


@given('"{name}" says "{text}" of whether it leaves')
def step_says(context: Context, name: str, text: str) -> None:
    """Have all answers of an upstream carry the header."""
    direct_bench(context).upstreams[name].states = {LEAVING: text}


@given('"{name}" refuses all requests and says that it leaves')
def step_refuses(context: Context, name: str) -> None:
    """Have an upstream refuse as it leaves."""
    direct_bench(context).upstreams[name].always = Behaviour.SHED
    step_leaves(context, name)


@given('both engines say that they leave')
def step_both(context: Context) -> None:
    """Have both engines say so."""
    for name in ('eng-1', 'eng-2'):
        step_leaves(context, name)


@when('a caller asks "{name}" once under that')
def step_ask_once(context: Context, name: str) -> None:
    """Send requests until the upstream has got one."""
    context.asked = name
    upstream = direct_bench(context).upstreams[name]
    before = len(upstream.received)
    for number in range(MAX_REQUESTS):
        _ask(context, name, number)
        if len(upstream.received) > before:
            return
    raise AssertionError(f'{name} got no request')


@when('"{name}" is registered as ready once more')
def step_register(context: Context, name: str) -> None:
    """Write its entry again, as it was, and wait until it is read."""
    bench = direct_bench(context)
    bench.register(name)
    bench.register('reg-1', 'draining')
    state = bench.routers[0]._fleet.cluster_state
    bench.until(
        lambda: state.upstreams['reg-1'].upstream.leaving, 'a later entry'
    )


@when('callers send {count:d} requests to its service')
def step_send(context: Context, count: int) -> None:
    """Send different requests one after the other."""
    bench = direct_bench(context)
    upstream = bench.upstreams[context.asked]
    context.received_before = len(upstream.received)
    context.sent_from = len(bench.answers)
    for number in range(count):
        _ask(context, context.asked, 1000 + number)


def _ask(context: Context, name: str, number: int) -> None:
    bench = direct_bench(context)
    if bench.upstreams[name].service == 'registry':
        bench.ask()
        return
    bench.ask_model(**{PREFIX + 'Prompt-Prefix': f'{number:x}:300'})


@then('"{name}" gets none of them, and all are answered')
def step_none(context: Context, name: str) -> None:
    """Compare with what it had got before."""
    bench = direct_bench(context)
    received = len(bench.upstreams[name].received) - context.received_before
    assert received == 0, f'{received} requests'
    _check_answered(context)


@then('"{name}" gets some of them, and all are answered')
def step_some(context: Context, name: str) -> None:
    """Compare with what it had got before."""
    bench = direct_bench(context)
    received = len(bench.upstreams[name].received) - context.received_before
    assert received > 0, 'no request'
    _check_answered(context)


def _check_answered(context: Context) -> None:
    answers = direct_bench(context).answers[context.sent_from :]
    statuses = [answer.status for answer in answers]
    assert set(statuses) == {OK}, statuses


@then('it is refused at once, and the log says that 2 leave')
def step_refused(context: Context) -> None:
    """Check the answer, and ask again for the line."""
    bench = direct_bench(context)
    with capture_logs() as lines:
        began_s = time.monotonic()
        bench.ask_model()
        took_s = time.monotonic() - began_s
        bench.until(lambda: any('message' in line for line in lines), 'a line')
    assert bench.answer.status == UNAVAILABLE, bench.answer
    assert took_s < AT_ONCE_S, took_s
    message = next(line['message'] for line in lines if 'message' in line)
    assert '2 are leaving' in message, message
