"""Let background tasks of direct routers fail."""

import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from operator import attrgetter
from typing import Any

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct import RoutingConfig
from lacewing_daemon.direct import Upstream
from prometheus_client import REGISTRY
from structlog.testing import capture_logs
from support.direct_bench import Answer
from support.direct_bench import direct_bench
from support.direct_bench import LIMIT_S
from support.failing_runs import FailingRuns
from support.failing_runs import InjectedError

# All tasks of a router of this bench, but for the streams to its peers, which
# are open only while a service is contended.
TASKS = frozenset(
    (
        'configuration',
        'crash expiry',
        'crash gossip',
        'crash guard',
        'crash sweep',
        'crash writes',
        'crashes',
        'load exchange',
        'peer link',
        'peers',
        'planner',
        'routers',
        'settled era',
        'silence',
        'software records',
        'store calls',
        'stream origins',
        'sweep',
        'team limits',
        'upstream announcements',
        'upstream limits',
        'upstream settlement',
        'upstreams',
        'weights',
    )
)


class FailingOnce:
    """Fail at the first call, and pass on and count the others."""

    def __init__(self, call: Callable[..., Any]) -> None:
        self._call = call
        self.calls = 0

    def __call__(self, *args: Any, **kwargs: Any) -> Any:
        """Fail, or call."""
        self.calls += 1
        if self.calls == 1:
            raise InjectedError
        return self._call(*args, **kwargs)


@given('each task fails once {when}')
def step_all_fail(context: Context, when: str) -> None:
    """Wrap what is kept running in all processes from now on."""
    run_s = 0.0 if when == 'at its start' else float(when.split()[1])
    context.runs = FailingRuns(run_s)
    context.resources.enter_context(context.runs.installed())


@when('requests are sent for {duration_s:g} s')
def step_send(context: Context, duration_s: float) -> None:
    """Send requests to all routers in turn."""
    bench = direct_bench(context)
    context.answers = []
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        for index in range(len(bench.routers)):
            connection = bench.connect(index)
            answer: Answer = bench.ask_on(connection, '/records/1')
            connection.close()
            context.answers.append(answer)
        time.sleep(0.02)


@then('all of them are answered')
def step_all_answered(context: Context) -> None:
    """Check the status of each answer."""
    statuses = Counter(answer.status for answer in context.answers)
    assert statuses.keys() == {200}, statuses


@then('each task that failed runs again, among them "{names}"')
def step_these_again(context: Context, names: str) -> None:
    """Wait until some tasks were started after their failures."""
    runs: FailingRuns = context.runs
    for name in names.split(', '):
        end_s = time.monotonic() + LIMIT_S
        while not 0 < runs.failed[name] < runs.begun[name]:
            assert time.monotonic() < end_s, (name, runs.begun, runs.failed)
            time.sleep(0.01)


@then('each task has failed and runs again')
def step_run_again(context: Context) -> None:
    """Check that each task of each router was started after its failure."""
    bench = direct_bench(context)
    runs: FailingRuns = context.runs
    bench.until(
        lambda: all(runs.begun[name] > runs.failed[name] for name in TASKS),
        'tasks that run again',
    )
    assert runs.failed.keys() == TASKS, runs.failed.keys() ^ TASKS
    assert all(runs.failed[name] >= len(bench.routers) for name in TASKS), (
        runs.failed
    )


@given('the router is ready')
def step_ready(context: Context) -> None:
    """Wait until the router is ready."""
    direct_bench(context).until_ready()


@when('{step} fails once')
def step_fails(context: Context, step: str) -> None:
    """Replace a method, by its path from the router."""
    bench = direct_bench(context)
    path, _, name = step.rpartition('.')
    owner = attrgetter(path)(bench.routers[0])
    context.failing = FailingOnce(getattr(owner, name))
    bench.on_loop(lambda: setattr(owner, name, context.failing))


@when('{step} fails each time')
def step_fails_always(context: Context, step: str) -> None:
    """Replace a method, and keep the log."""
    bench = direct_bench(context)
    path, _, name = step.rpartition('.')
    owner = attrgetter(path)(bench.routers[0])
    context.failures_before = _failures()
    context.log = context.resources.enter_context(capture_logs())

    def fail(*_args: Any) -> None:
        raise InjectedError

    bench.on_loop(lambda: setattr(owner, name, fail))


@when('{step} fails no more')
def step_mended(context: Context, step: str) -> None:
    """Uncover the method again."""
    bench = direct_bench(context)
    path, _, name = step.rpartition('.')
    owner = attrgetter(path)(bench.routers[0])
    bench.on_loop(partial(delattr, owner, name))


@then('the router soon is not ready, and refuses keys with 503')
def step_not_ready(context: Context) -> None:
    """Wait until the keys are stale."""
    bench = direct_bench(context)
    bench.until(lambda: not bench.routers[0].ready, 'a router not ready')
    answer = bench.ask()
    assert answer.status == 503, answer


@then('the failures of "{name}" are counted and logged')
def step_counted(context: Context, name: str) -> None:
    """Check the metric and the log lines, with tracebacks."""
    lines = [line for line in context.log if line.get('task') == name]
    assert len(lines) > 1, context.log
    assert all(isinstance(line['exc_info'], InjectedError) for line in lines)
    counted = _failures() - context.failures_before
    assert counted >= len(lines), (counted, len(lines))


@then('the router is soon ready')
def step_soon_ready(context: Context) -> None:
    """Wait until the router is ready."""
    direct_bench(context).until_ready()


@then('it is soon called again')
def step_called(context: Context) -> None:
    """Wait until it was called after its failure."""
    direct_bench(context).until(
        lambda: context.failing.calls > 1, 'a call after the failure'
    )


@then('requests are answered')
def step_answered(context: Context) -> None:
    """Check plain and streaming requests."""
    bench = direct_bench(context)
    for number in range(4):
        answer = bench.ask()
        assert answer.status == 200, answer
        answer = bench.ask_model(f'/chat/{number}')
        assert answer.status == 200, answer


@when('the changed entry of upstream "{name}" can\'t be applied')
def step_unapplied_entry(context: Context, name: str) -> None:
    """Fail for this upstream, and change its entry."""
    bench = direct_bench(context)
    context.state = bench.routers[0]._fleet.cluster_state
    update = context.state.update_upstream

    def fail(upstream_id: str, value: Upstream | None) -> None:
        if upstream_id == name and value is not None:
            raise InjectedError
        update(upstream_id, value)

    bench.on_loop(lambda: setattr(context.state, 'update_upstream', fail))
    bench.register(name, 'draining')
    bench.register(name)


@then('soon only "{name}" and the new one receive requests')
def step_without_first(context: Context, name: str) -> None:
    """Wait until the router does not know the upstream any more."""
    bench = direct_bench(context)
    router = bench.routers[0]
    bench.until(
        lambda: 'reg-1' not in router.upstream_ids, 'the upstream left out'
    )
    _check_receivers(context, {name, 'late'})


@when('entries can be applied again')
def step_applicable(context: Context) -> None:
    """Uncover the method."""
    bench = direct_bench(context)
    bench.on_loop(partial(delattr, context.state, 'update_upstream'))


@then('all three receive requests')
def step_all_three(context: Context) -> None:
    """Wait until the router knows all, though nothing was written."""
    bench = direct_bench(context)
    router = bench.routers[0]
    bench.until(lambda: 'reg-1' in router.upstream_ids, 'the upstream')
    _check_receivers(context, {'reg-1', 'reg-2', 'late'})


@when("a configuration without a key is written that can't be applied {times}")
def step_unapplied_config(context: Context, times: str) -> None:
    """Fail to apply it at first, or at all."""
    bench = direct_bench(context)
    state = bench.routers[0]._fleet.cluster_state
    update = state.update_routing_config
    failures = 0

    def fail(value: RoutingConfig) -> bool:
        nonlocal failures
        failures += 1
        if failures > 1 and times == 'at first':
            return update(value)
        raise InjectedError

    bench.on_loop(lambda: setattr(state, 'update_routing_config', fail))
    bench.configure(
        Tenants=[{'Name': 'north', 'ApiKeys': ['new'], 'Isolated': False}]
    )


def _check_receivers(context: Context, names: set[str]) -> None:
    """Send requests and check which upstreams receive them."""
    bench = direct_bench(context)
    before = {
        name: len(upstream.received)
        for name, upstream in bench.upstreams.items()
    }
    for _ in range(24):
        assert bench.ask().status == 200, bench.answer
    receivers = {
        name
        for name, upstream in bench.upstreams.items()
        if len(upstream.received) > before[name]
    }
    assert receivers == names, receivers


def _failures() -> float:
    """Return the counted failures of the watch of the configuration."""
    value: float | None = REGISTRY.get_sample_value(
        'lacewing_background_failures_total', {'name': 'configuration'}
    )
    return value or 0.0
