"""Check what a direct router makes of limits that upstreams name."""

import time
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct import DirectRouter
from lacewing_platform_testing import Behaviour
from structlog.testing import capture_logs
from support.direct_bench import Answer
from support.direct_bench import direct_bench
from support.direct_bench import DirectBench
from support.direct_bench import KEY
from support.direct_bench import PREFIX
from support.direct_bench import PROMPT

LIMIT = 'Server-Limit'
OK = 200
UNAVAILABLE = 503
MAX_REQUESTS = 40
CALLERS = 24
# What an upstream with a limit may get in a window, and the time after which
# this holds for routers that it has informed.
WINDOW_S = 4.0
MAX_RATE_FACTOR = 1.5
MAX_BEYOND = 5
INFORMED_S = 0.5
LEAST_USED = 0.75
# A refusal that waits for nothing.
AT_ONCE_S = 0.3


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
    return router._fleet.upstream_limiter.named.rate_per_s(incarnation)


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


@given('{count:d} routers in all that call each other')
def step_routers(context: Context, count: int) -> None:
    """Start more routers, and wait until all share what comes in."""
    bench = direct_bench(context)
    bench.routers_call = True
    for router in tuple(bench.routers):
        bench.run(router.close())
    bench.routers.clear()
    for number in range(1, count + 1):
        _add_counted_router(bench, f'router-{number}')
    bench.until_ready()
    for router in bench.routers:
        _await_peers(bench, router, count - 1)


def _add_counted_router(bench: DirectBench, name: str) -> None:
    """Start a router that finds an entry of its name."""
    entry = {'text': '0' * 32}
    bench.on_loop(lambda: bench.store.put('lacewing-routers', name, entry))
    bench.start_router(name)


def _await_peers(bench: DirectBench, router: DirectRouter, count: int) -> None:
    counter = router._fleet._router_count
    bench.until(
        lambda: len(counter.addresses) == count, f'{count} other routers'
    )


def _await_start(
    bench: DirectBench, router: DirectRouter, name: str, born: int | None
) -> None:
    state = router._fleet.cluster_state
    bench.until(
        lambda: state.upstreams[name].upstream.started_ms == born,
        'the new start',
    )


@given('"{name}" resets all requests')
def step_resets(context: Context, name: str) -> None:
    """Have an upstream break off all requests."""
    direct_bench(context).upstreams[name].always = Behaviour.RESET


@when('callers ask a model {per_s:d} times a second for {seconds:d} s')
def step_load(context: Context, per_s: int, seconds: int) -> None:
    """Send prompts at a steady rate through all routers in turn."""
    routers = len(direct_bench(context).routers)
    _send(context, '/chat/1', per_s, seconds, routers)


@when(
    'callers ask a model {per_s:d} times a second for {seconds:d} s,'
    ' through the first only'
)
def step_load_first(context: Context, per_s: int, seconds: int) -> None:
    """Send prompts at a steady rate through one router."""
    _send(context, '/chat/1', per_s, seconds, 1)


@when('callers fetch a record {per_s:d} times a second for {seconds:d} s')
def step_plain_load(context: Context, per_s: int, seconds: int) -> None:
    """Send plain requests at a steady rate."""
    _send(context, '/records/1', per_s, seconds, 1)


@when('"{name}" names no limit')
def step_no_limit(context: Context, name: str) -> None:
    """Have an upstream answer without a limit from now on."""
    direct_bench(context).upstreams[name].states = {}


@when('"{name}" restarts and is known')
def step_new_start(context: Context, name: str) -> None:
    """Start a new incarnation, and wait until the routers know it."""
    bench = direct_bench(context)
    bench.start_again(name)
    born = bench.upstreams[name].born
    for router in bench.routers:
        _await_start(bench, router, name, born)


def _send(
    context: Context, path: str, per_s: int, seconds: int, routers: int
) -> None:
    bench = direct_bench(context)
    context.counts = {
        name: len(upstream.received)
        for name, upstream in bench.upstreams.items()
    }
    ended: list[Future[tuple[Answer, float]]] = []
    due_s = time.monotonic()
    with ThreadPoolExecutor(CALLERS) as callers:
        for number in range(per_s * seconds):
            # Not faster after this process stood still: the rate is stated.
            due_s = max(due_s, time.monotonic())
            time.sleep(max(0.0, due_s - time.monotonic()))
            ended.append(
                callers.submit(_ask, bench, path, number, number % routers)
            )
            due_s += 1.0 / per_s
    context.last_sent_s = due_s
    context.ended = [future.result() for future in ended]


def _ask(
    bench: DirectBench, path: str, number: int, router: int
) -> tuple[Answer, float]:
    """Return the answer and how long it took."""
    headers = {PREFIX + 'Request-Id': f'load-{time.monotonic()}-{number}'}
    body = None
    if path.startswith('/chat'):
        # Different prompts are spread over the engines.
        headers |= PROMPT | {PREFIX + 'Prompt-Prefix': f'{number:x}:300'}
        body = f'prompt {number}'.encode()
    method = 'GET' if body is None else 'POST'
    began_s = time.monotonic()
    connection = bench.connect(router)
    try:
        answer = bench.ask_on(connection, path, KEY, method, body, **headers)
    finally:
        connection.close()
    return answer, time.monotonic() - began_s


@when('{count:d} prompts come before an engine has begun the first of them')
def step_burst(context: Context, count: int) -> None:
    """Let the engines begin once each prompt is there, or was refused."""
    bench = direct_bench(context)
    upstreams = bench.upstreams.values()
    before = len(bench.received())
    for upstream in upstreams:
        bench.on_loop(upstream.hold.clear)
    ended: list[Future[tuple[Answer, float]]] = []

    def placed() -> int:
        refused = len([future for future in ended if future.done()])
        return len(bench.received()) - before + refused

    with ThreadPoolExecutor(CALLERS) as callers:
        for number in range(count):
            ended.append(callers.submit(_ask, bench, '/chat/1', number, 0))
        bench.until(lambda: placed() >= count, 'all prompts to be placed')
        for upstream in upstreams:
            bench.on_loop(upstream.hold.set)
    context.ended = [future.result() for future in ended]


@then('"{name}" gets no more than it takes, and no less than three quarters')
def step_within(context: Context, name: str) -> None:
    """Count what the upstream got in each window, and after the first."""
    upstream = direct_bench(context).upstreams[name]
    rate_per_s = float(upstream.states[LIMIT])
    informed_s = upstream.received_s[0] + INFORMED_S
    arrived_s = [at_s for at_s in upstream.received_s if at_s >= informed_s]
    allowed = MAX_RATE_FACTOR * rate_per_s * WINDOW_S + MAX_BEYOND
    for first_s in arrived_s:
        count = len(
            [
                at_s
                for at_s in arrived_s
                if first_s <= at_s < first_s + WINDOW_S
            ]
        )
        assert count <= allowed, f'{count} in {WINDOW_S} s, {allowed} allowed'
    last_s = context.last_sent_s - WINDOW_S
    count = len([at_s for at_s in arrived_s if at_s >= last_s])
    least = LEAST_USED * rate_per_s * WINDOW_S
    assert count >= least, f'{count} in the last {WINDOW_S} s'


@then('all requests are answered')
def step_all_answered(context: Context) -> None:
    """Check that none was refused or failed."""
    statuses = [answer.status for answer, _ in context.ended]
    assert set(statuses) == {OK}, statuses


@then('what is refused is refused at once, with a time to come back')
def step_refused_at_once(context: Context) -> None:
    """Check the refusals."""
    refused = 0
    for answer, took_s in context.ended:
        if answer.status == OK:
            continue
        refused += 1
        assert answer.status == UNAVAILABLE, answer
        assert took_s < AT_ONCE_S, took_s
        assert 0 < float(answer.headers['Retry-After']) <= 1.5, answer
    assert refused, 'all were answered'


@when('"{name}" is draining')
def step_drains(context: Context, name: str) -> None:
    """Take an upstream out of use, and wait until the routers know."""
    bench = direct_bench(context)
    bench.register(name, 'draining')
    for router in bench.routers:
        _await_draining(bench, router, name)


def _await_draining(
    bench: DirectBench, router: DirectRouter, name: str
) -> None:
    state = router._fleet.cluster_state
    bench.until(lambda: state.upstreams[name].upstream.leaving, 'its entry')


@then('"{name}" gets all of them, far beyond its limit')
def step_gets_all(context: Context, name: str) -> None:
    """Count what was sent last, of which the limit allows a few."""
    upstream = direct_bench(context).upstreams[name]
    received = len(upstream.received) - context.counts[name]
    assert received >= len(context.ended) >= 24, received


@then('no router limits what it sends to "{name}"')
def step_no_router_limits(context: Context, name: str) -> None:
    """Check what each router knows."""
    bench = direct_bench(context)
    for router in bench.routers:
        state = router._fleet.cluster_state.upstream(name)
        assert state is not None
        incarnation = state.upstream.incarnation
        assert _limit(router, incarnation) is None, router.callers_address


@given('all upstreams name a limit of {rate:d} request a second')
def step_all_limited(context: Context, rate: int) -> None:
    """Have all upstreams name the same limit."""
    for upstream in direct_bench(context).upstreams.values():
        upstream.states = {LIMIT: str(rate)}


@when('a caller fetches records until one is refused')
def step_until_refused(context: Context) -> None:
    """Send requests one after the other."""
    bench = direct_bench(context)
    for _ in range(MAX_REQUESTS):
        if bench.ask().status == UNAVAILABLE:
            return
    raise AssertionError(f'none of {MAX_REQUESTS} requests was refused')
