"""Check how routes are decoded and found."""

from typing import Any

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct import RoutingConfig
from lacewing_platform._documents import RoutingConfigDecoder
from support.direct_bench import HOST
from support.direct_bench import route


def _decode(
    context: Context, version: int, routes: list[dict[str, Any]]
) -> RoutingConfig:
    written = msgspec.json.encode({'Version': version, 'Routes': routes})
    decoded: RoutingConfig = context.decoder.decode(
        'main', msgspec.Raw(written)
    )
    return decoded


@given('the routes "{one}", "{two}", "{three}" and "{four}" of one host')
def step_routes(
    context: Context, one: str, two: str, three: str, four: str
) -> None:
    """Decode routes of several prefixes."""
    context.decoder = RoutingConfigDecoder()
    routes = [route(path, 'idempotent', path) for path in (one, two)]
    routes += [route(path, 'idempotent', path) for path in (three, four)]
    context.directory = _decode(context, 1, routes)


@given('a route "{path}" to "{one}" and then one to "{two}"')
def step_twice(context: Context, path: str, one: str, two: str) -> None:
    """Decode two routes of one prefix."""
    context.decoder = RoutingConfigDecoder()
    routes = [route(path, 'idempotent', service) for service in (one, two)]
    context.directory = _decode(context, 1, routes)


@given('a configuration of {count:d} routes that was decoded')
def step_decoded(context: Context, count: int) -> None:
    """Decode it."""
    context.decoder = RoutingConfigDecoder()
    context.routes = [
        route(f'/r/{number}/', 'idempotent', 'registry')
        for number in range(count)
    ]
    context.directory = _decode(context, 1, context.routes)


@when('one with an unreadable route is refused')
def step_unreadable(context: Context) -> None:
    """Decode one that fails at its end."""
    try:
        _decode(context, 2, [*context.routes, {'Name': 5}])
    except msgspec.DecodeError:
        return
    raise AssertionError('expected a refusal')


@when('it is decoded with a route more and one changed')
def step_changed(context: Context) -> None:
    """Decode the next version."""
    context.before = context.directory
    context.routes[0] = {**context.routes[0], 'TimeoutMs': 1234}
    context.routes.append(route('/new/', 'idempotent', 'registry'))
    context.directory = _decode(context, 3, context.routes)


@then('"{path}" leads to "{found}"')
def step_leads(context: Context, path: str, found: str) -> None:
    """Compare the prefix of the route found."""
    leads = context.directory.route(f'{HOST}:80', path)
    assert leads is not None
    assert leads.path_prefix == found, leads


@then('"{path}" leads to the service "{service}"')
def step_service(context: Context, path: str, service: str) -> None:
    """Compare the service of the route found."""
    leads = context.directory.route(HOST, path)
    assert leads.shares[0].service == service, leads


@then('{count:d} routes are those of before and all are as written')
def step_same(context: Context, count: int) -> None:
    """Compare with a decoder that knows nothing."""
    before = {id(one) for one in context.before.routes}
    same = [one for one in context.directory.routes if id(one) in before]
    assert len(same) == count, len(same)
    context.decoder = RoutingConfigDecoder()
    anew = _decode(context, 3, context.routes)
    assert anew == context.directory
    assert anew.routes[0].timeout_s == 1.234, anew.routes[0]
