"""Check what callers of a router with team limits get."""

import time
from typing import Any

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_platform_testing._behaviour import Behaviour
from structlog.testing import capture_logs
from support.direct_bench import BOUNDS
from support.direct_bench import direct_bench
from support.direct_bench import KEY
from support.direct_bench import OTHER_KEY
from support.direct_bench import PREFIX
from support.direct_bench import PROMPT

REFUSED = 429
UNAVAILABLE = 503
UNSTATED_TOKENS = 1000
# Within this time an idle router has what a team may run at once.
FILL_S = 2.0
MAX_REQUESTS = 200


@given('a direct router whose predecessor was counted')
def step_successor(context: Context) -> None:
    """Start a router that finds an entry of its name."""
    bench = direct_bench(context)
    entry = {'text': '0' * 32}
    bench.on_loop(
        lambda: bench.store.put('lacewing-routers', 'router-1', entry)
    )
    bench.start_router()
    bench.until_ready()


@when('team "{team}" may run {rate:d} {unit} a second')
def step_limit(context: Context, team: str, rate: int, unit: str) -> None:
    """Limit a team, and wait until the limit is in force and unused."""
    bench = direct_bench(context)
    bounds = msgspec.structs.replace(
        BOUNDS, limit_window_s=8.0, limit_overage=0.1
    )
    state = bench.routers[0]._fleet.cluster_state
    bench.on_loop(lambda: state.set_bounds(bounds))
    words = {'request': 'request_count', 'tokens': 'token_count'}
    limit = {
        'RatePerS': rate,
        'Burst': rate,
        'Unit': words[unit],
        'UncachedTokens': UNSTATED_TOKENS,
    }
    version = _limit_team(context, team, limit)
    router = bench.routers[0]
    bench.until(lambda: router.configuration == version, 'the new limit')
    time.sleep(FILL_S)


@when('the limit is written with {field} {value}')
def step_malformed(context: Context, field: str, value: str) -> None:
    """Write a configuration that has one malformed field."""
    bench = direct_bench(context)
    context.version_before = bench.config['Version']
    limit = {'RatePerS': 1, field: msgspec.json.decode(value)}
    with capture_logs() as context.lines:
        _limit_team(context, 'north', limit)
        bench.until(lambda: bool(_decode_errors(context)), 'a log line')


@when('a caller fetches records until it gets 429')
def step_until_refused(context: Context) -> None:
    """Send requests until one is refused."""
    bench = direct_bench(context)
    with capture_logs() as context.lines:
        for _ in range(MAX_REQUESTS):
            if bench.ask().status == REFUSED:
                bench.until(lambda: bool(_last_lines(context)), 'its line')
                return
    raise AssertionError(f'none of {MAX_REQUESTS} requests was refused')


@when('the upstreams refuse all requests')
def step_refuse(context: Context) -> None:
    """Have all upstreams answer that they have no room."""
    for upstream in direct_bench(context).upstreams.values():
        upstream.always = Behaviour.SHED


@when('a caller states "{first}" tokens and then "{second}"')
def step_stated(context: Context, first: str, second: str) -> None:
    """Send two prompts one after the other."""
    bench = direct_bench(context)
    for stated in (first, second):
        headers = {**PROMPT, PREFIX + 'Token-Usage': stated}
        bench.ask('/chat/1', KEY, 'POST', b'prompt', **headers)


@when('a caller states "" tokens and then "{second}"')
def step_unstated(context: Context, second: str) -> None:
    """Send a prompt that states no tokens, then one that does."""
    step_stated(context, '', second)


@then('the first is answered and the second gets 429')
def step_second_refused(context: Context) -> None:
    """Compare both answers."""
    answers = direct_bench(context).answers[-2:]
    statuses = [answer.status for answer in answers]
    assert statuses == [200, REFUSED], answers


@then('its Retry-After is when the next request fits')
def step_returns(context: Context) -> None:
    """Check the time after which the limit allows another request."""
    answer = direct_bench(context).answer
    assert answer.status == REFUSED, answer
    # One request a second; callers are delayed by half as much at the most.
    assert 0 < float(answer.headers['Retry-After']) <= 1.6, answer


@then('only the requests that were answered ran')
def step_ran(context: Context) -> None:
    """Compare what upstreams ran with what callers got."""
    bench = direct_bench(context)
    answered = [answer for answer in bench.answers if answer.status == 200]
    assert len(bench.ran()) == len(answered), bench.ran()


@then('a record is fetched by the other team')
def step_other_team(context: Context) -> None:
    """Send a request of a team without a limit."""
    bench = direct_bench(context)
    assert bench.ask(key=OTHER_KEY).status == 200, bench.answer


@then('a record is fetched once they accept again')
def step_accept(context: Context) -> None:
    """Send a request at once; its team has used nothing."""
    bench = direct_bench(context)
    for upstream in bench.upstreams.values():
        upstream.always = None
    bench.until(lambda: bench.ask().status != UNAVAILABLE, 'an upstream')
    assert bench.answer.status == 200, bench.answer


@then('the configuration before stays in force, and the log names {field}')
def step_stays(context: Context, field: str) -> None:
    """Check that the router keeps the version before, and serves by it."""
    bench = direct_bench(context)
    assert bench.routers[0].configuration == context.version_before
    assert bench.ask().status in (200, REFUSED), bench.answer
    assert field in _decode_errors(context)[0]['reason'], context.lines


def _decode_errors(context: Context) -> list[Any]:
    found = []
    for line in context.lines:
        if line['event'].endswith('Cannot decode an entry.'):
            found.append(line)
    return found


@then('the line of the refused request names the limit and what was held')
def step_line(context: Context) -> None:
    """Find the line of the last request in the log."""
    lines = _last_lines(context)
    assert len(lines) == 1, lines
    message = lines[0]['message']
    assert 'over the limit of 1 requests a second' in message, message
    assert 'this router holds' in message, message


def _last_lines(context: Context) -> list[Any]:
    request = direct_bench(context).last_request
    return [one for one in context.lines if one.get('request') == request]


@then('the metrics count it by team')
def step_metrics(context: Context) -> None:
    """Read the metrics page."""
    bench = direct_bench(context)
    page: Any = bench.on_loop(bench.routers[0]._metrics_page)
    for name in ('admitted', 'refused'):
        label = f'lacewing_direct_limit_demand_total{{result="{name}"'
        assert label in page.body.decode(), page.body.decode()


def _limit_team(context: Context, team: str, limit: dict[str, Any]) -> int:
    bench = direct_bench(context)
    tenants = []
    for tenant in bench.config['Tenants']:
        if tenant['Name'] == team:
            tenant = {**tenant, **limit}
        tenants.append(tenant)
    bench.configure(Tenants=tenants)
    version: int = bench.config['Version']
    return version
