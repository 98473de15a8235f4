"""Test how routes are decoded and looked up."""

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
    encoded = msgspec.json.encode({'Version': version, 'Routes': routes})
    config: RoutingConfig = context.decoder.decode(
        'main', msgspec.Raw(encoded)
    )
    return config


@given('the routes "{one}", "{two}", "{three}" and "{four}" of one host')
def step_routes(
    context: Context, one: str, two: str, three: str, four: str
) -> None:
    """Decode routes of several prefixes."""
    context.decoder = RoutingConfigDecoder()
    routes = [route(path, 'idempotent', path) for path in (one, two)]
    routes += [route(path, 'idempotent', path) for path in (three, four)]
    context.routing_config = _decode(context, 1, routes)


@given('a route "{path}" to "{one}" and then one to "{two}"')
def step_same_prefix(context: Context, path: str, one: str, two: str) -> None:
    """Decode two routes of the same prefix."""
    context.decoder = RoutingConfigDecoder()
    routes = [route(path, 'idempotent', service) for service in (one, two)]
    context.routing_config = _decode(context, 1, routes)


@given('a decoded configuration of {count:d} routes')
def step_decoded(context: Context, count: int) -> None:
    """Decode a configuration with so many routes."""
    context.decoder = RoutingConfigDecoder()
    context.routes = [
        route(f'/r/{number}/', 'idempotent', 'registry')
        for number in range(count)
    ]
    context.routing_config = _decode(context, 1, context.routes)


@when('a configuration with an invalid route is rejected')
def step_invalid(context: Context) -> None:
    """Decode a configuration whose last route is invalid."""
    try:
        _decode(context, 2, [*context.routes, {'Name': 5}])
    except msgspec.DecodeError:
        return
    raise AssertionError('the configuration was accepted')


@when('it is decoded with one route added and one changed')
def step_changed(context: Context) -> None:
    """Decode the next version with the same decoder."""
    context.previous_config = context.routing_config
    context.routes[0] = {**context.routes[0], 'TimeoutMs': 1234}
    context.routes.append(route('/new/', 'idempotent', 'registry'))
    context.routing_config = _decode(context, 3, context.routes)


@then('"{path}" leads to "{prefix}"')
def step_prefix(context: Context, path: str, prefix: str) -> None:
    """Compare the prefix of the matching route."""
    match = context.routing_config.route(f'{HOST}:80', path)
    assert match is not None
    assert match.path_prefix == prefix, match


@then('"{path}" leads to the service "{service}"')
def step_service(context: Context, path: str, service: str) -> None:
    """Compare the service of the matching route."""
    match = context.routing_config.route(HOST, path)
    assert match.shares[0].service == service, match


@then('{count:d} routes are reused and all are as written')
def step_reused(context: Context, count: int) -> None:
    """Count reused routes; compare all with those of a new decoder."""
    previous_ids = {id(item) for item in context.previous_config.routes}
    reused = [
        item
        for item in context.routing_config.routes
        if id(item) in previous_ids
    ]
    assert len(reused) == count, len(reused)
    context.decoder = RoutingConfigDecoder()
    expected = _decode(context, 3, context.routes)
    assert expected == context.routing_config
    assert expected.routes[0].timeout_s == 1.234, expected.routes[0]
