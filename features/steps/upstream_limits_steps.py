"""Check what a direct router makes of limits that upstreams name."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct import DirectRouter
from structlog.testing import capture_logs
from support.direct_bench import direct_bench
from support.direct_bench import DirectBench

LIMIT = 'Server-Limit'
OK = 200
MAX_REQUESTS = 40


def _ask_until(bench: DirectBench, name: str, count: int) -> None:
    """Ask until an upstream has got so many more requests."""
    upstream = bench.upstreams[name]
    wanted = len(upstream.received) + count
    for _ in range(MAX_REQUESTS):
        if len(upstream.received) >= wanted:
            return
        assert bench.ask_model().status == OK, bench.answer
    raise AssertionError(f'{name} got {len(upstream.received)} requests')


def _limit(router: DirectRouter, incarnation: str) -> float | None:
    return router._fleet.named_limits.rate_per_s(incarnation)


@given('the limit of "{name}" is {first:g}, then {second:g}, then none')
def step_three_limits(
    context: Context, name: str, first: float, second: float
) -> None:
    """Say what the upstream states one after the other."""
    context.limits = [{LIMIT: f'{first:g}'}, {LIMIT: f'{second:g}'}, {}]


@given('the limit of "{name}" is named as "{text}"')
def step_limit(context: Context, name: str, text: str) -> None:
    """Have an upstream name its limit in all its answers."""
    direct_bench(context).upstreams[name].states = {LIMIT: text}


@given('the limit of "{name}" is named as ""')
def step_empty_limit(context: Context, name: str) -> None:
    """Have an upstream send the header without a value."""
    step_limit(context, name, '')


@when('a caller asks "{name}" once under each')
def step_ask_each(context: Context, name: str) -> None:
    """Send a request to the upstream under each of its statements."""
    bench = direct_bench(context)
    with capture_logs() as context.lines:
        for states in context.limits:
            bench.upstreams[name].states = states
            _ask_until(bench, name, 1)


@when('a caller asks "{name}" {count:d} times')
def step_ask(context: Context, name: str, count: int) -> None:
    """Send requests until the upstream has got so many."""
    bench = direct_bench(context)
    before = len(bench.answers)
    _ask_until(bench, name, count)
    context.answers = bench.answers[before:]


@then('the log says once each that the limit is 2.5, 1.25 and none')
def step_logged(context: Context) -> None:
    """Check the lines about the limit, in their order."""
    stated = []
    for line in context.lines:
        if line['event'] == 'An upstream names a limit.':
            stated.append((line['before'], line['requests_per_s']))
        if line['event'] == 'An upstream names no limit.':
            stated.append((None, None))
    assert stated == [(None, 2.5), (2.5, 1.25), (None, None)], stated


@then('all are answered, and no limit of "{name}" is in force')
def step_unlimited(context: Context, name: str) -> None:
    """Check the answers and what the router knows."""
    bench = direct_bench(context)
    assert all(answer.status == OK for answer in context.answers)
    state = bench.routers[0]._fleet.cluster_state.upstream(name)
    assert state is not None
    assert _limit(bench.routers[0], state.upstream.incarnation) is None
