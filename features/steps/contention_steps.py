"""Check how routers recognize contended services."""

import json
from collections.abc import MutableMapping
from types import SimpleNamespace
from typing import Any

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct import Contention
from lacewing_daemon.direct._cluster_state import ClusterState
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_platform import PlatformWire
from lacewing_platform._documents import decode_report
from prometheus_client import REGISTRY
from steps.direct_steps import name_weights
from structlog.testing import capture_logs
from support.direct_bench import BOUNDS
from support.direct_bench import direct_bench
from support.direct_bench import PREFIX
from tornado.httputil import HTTPHeaders

_SERVICES = ('models', 'registry')


@when('an upstream reports the load "{header}"')
def step_header(context: Context, header: str) -> None:
    """Decode a load header."""
    headers = HTTPHeaders({PREFIX + 'Server-Load': header})
    context.load = PlatformWire().read_reply(200, headers).load


@then('the load is {load} with a slowdown of {slowdown}')
def step_load(context: Context, load: str, slowdown: str) -> None:
    """Compare the figures."""
    found = context.load
    if load == 'unknown':
        assert found is None, found
        return
    figures = f'{found.running} / {found.waiting} / {found.slots}'
    assert figures == load, found
    assert str(found.slowdown) == slowdown, found


@given('a cluster state with contention "{setting}"')
def step_state(context: Context, setting: str) -> None:
    """Create the state with a configuration of two services."""
    context.cluster_state = ClusterState(
        BOUNDS, LoadPolicy(), contention=Contention(setting)
    )
    services = dict.fromkeys(_SERVICES)
    config: Any = SimpleNamespace(version=1, services=services)
    with capture_logs() as context.lines:
        assert context.cluster_state.update_routing_config(config)


@when('upstreams of "{service}" report their slowdown twice')
def step_report(context: Context, service: str) -> None:
    """Record the reports."""
    with capture_logs() as lines:
        for _ in range(2):
            if service != 'none':
                context.cluster_state.record_shared_machine(service)
    context.lines += lines


@then('"{service}" is contended: {contended}')
def step_contended(context: Context, service: str, contended: str) -> None:
    """Compare."""
    found = context.cluster_state.is_contended(service)
    assert str(found) == contended, found


@then('{count:d} lines say that a service is contended')
def step_lines(context: Context, count: int) -> None:
    """Count the log lines."""
    events = [line['event'] for line in context.lines]
    assert events == ['A service is contended.'] * count, events


@then('the metric of "{service}" is {value:d}')
def step_metric(context: Context, service: str, value: int) -> None:
    """Read the gauge."""
    found = REGISTRY.get_sample_value(
        'lacewing_direct_contended', {'service': service}
    )
    assert found == value, found


@given('engines that report the load "{header}"')
def step_engines_report(context: Context, header: str) -> None:
    """Set the load header of all engines."""
    for upstream in direct_bench(context).upstreams.values():
        upstream.states[PREFIX + 'Server-Load'] = header


@then('at the router "{service}" is contended: {contended}')
def step_at_router(context: Context, service: str, contended: str) -> None:
    """Look into the router's state."""
    router = direct_bench(context).routers[0]
    context.cluster_state = router._fleet.cluster_state
    step_contended(context, service, contended)


@when('an upstream reports the usage {usage}')
def step_usage(context: Context, usage: str) -> None:
    """Decode a report."""
    report = {
        'Sequence': 4,
        'Busy': True,
        'Models': [{'Name': 'tutor', 'Version': 2}],
        **json.loads(usage),
    }
    context.report = decode_report(json.dumps(report).encode())


@then('its queue, runs, KV memory and first prompt are {figures}')
def step_figures(context: Context, figures: str) -> None:
    """Compare the figures."""
    report = context.report
    found = (
        report.queued,
        report.running,
        report.kv_used,
        report.kv_total,
        report.first_queued_tokens,
    )
    assert ', '.join(str(each) for each in found) == figures, found


@then('the rest of the report is valid')
def step_rest(context: Context) -> None:
    """Check the fields that all upstreams report."""
    report = context.report
    assert report.accepted_orders == 4, report
    assert report.busy, report
    assert report.weights == {'tutor': 2}, report


@given(
    'engines that are busy with {queued:d} queued and {running:d} running'
    ' requests'
)
def step_busy(context: Context, queued: int, running: int) -> None:
    """Have engines refuse orders."""
    for upstream in direct_bench(context).upstreams.values():
        upstream.busy = True
        upstream.usage = {'QueuedRequests': queued, 'RunningRequests': running}


@when('weights are released and an engine refuses to load them')
def step_release(context: Context) -> None:
    """Release weights and wait for the line of an order."""
    bench = direct_bench(context)
    with capture_logs() as lines:
        name_weights(context, 2)
        bench.until(lambda: bool(_orders(lines)), 'an order')
    context.lines = _orders(lines)


def _orders(
    lines: list[MutableMapping[str, Any]],
) -> list[MutableMapping[str, Any]]:
    return [line for line in lines if line['event'] == 'Ordered weights.']


@then('the log line has {queued:d} queued and {running:d} running requests')
def step_order_line(context: Context, queued: int, running: int) -> None:
    """Compare the line; fields that were not reported are left out."""
    line = context.lines[0]
    assert line['verdict'] == 'busy', line
    assert (line['queued'], line['running']) == (queued, running), line
    assert 'kv_used' not in line, line
