"""Check what a direct router does once an upstream's entry is removed."""

import asyncio
import threading
import time
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.verdict import Verdict
from lacewing_daemon.direct import CallerRequest
from lacewing_daemon.direct import Dispatch
from lacewing_daemon.direct import UpstreamReport
from lacewing_daemon.direct._attempt import Attempt
from lacewing_daemon.direct._send import Send
from lacewing_daemon.direct._target import Target
from lacewing_daemon.direct._upstream_state import UpstreamState
from lacewing_daemon.direct.crashes._fingerprint import RequestSubjects
from lacewing_platform import PlatformWire
from lacewing_platform_testing import FakeUpstream
from prometheus_client import REGISTRY
from steps.direct_steps import ALL_EVENTS
from steps.known_starts_steps import FIRST_ENTRY
from steps.known_starts_steps import NAME
from steps.known_starts_steps import PROMPT as PARTS
from steps.known_starts_steps import release_and_order
from steps.known_starts_steps import SERVICE
from steps.known_starts_steps import STARTED_MS
from support.direct_bench import Answer
from support.direct_bench import direct_bench
from support.direct_bench import DirectBench
from support.direct_bench import KEY
from support.direct_bench import MODEL
from support.direct_bench import PREFIX
from support.direct_bench import PROMPT
from support.direct_bench import sleep
from tornado.httputil import HTTPHeaders

OK = 200
SLOW_PAUSE_S = 0.7
PAUSE_S = 0.01
# A crash is recorded some ms after the connection of a run broke.
CRASH_DETECTION_S = 0.5
TIMEOUT_S = 1.0
PREFILL_MS = 50.0


def _await_listed(bench: DirectBench, name: str, expected: bool) -> None:
    bench.until(
        lambda: (name in bench.routers[0].upstream_ids) is expected,
        f'{name} listed: {expected}',
    )


@given('runs that may take {seconds:d} s')
def step_long_runs(context: Context, seconds: int) -> None:
    """Raise the limit of the route and the deadline of the caller."""
    bench = direct_bench(context)
    context.deadline_ms = seconds * 1000
    routes = []
    for one in bench.config['Routes']:
        routes.append({**one, 'TimeoutMs': context.deadline_ms})
    bench.configure(Routes=routes)
    version = bench.config['Version']
    bench.until(
        lambda: bench.routers[0].configuration == version,
        'the active configuration',
    )


@when("a slow run has begun and the entry of its copy's engine is removed")
def step_copy_removed(context: Context) -> None:
    """Start a run, and remove the entry of the other engine."""
    bench = direct_bench(context)
    for engine in bench.upstreams.values():
        engine.pause_s = SLOW_PAUSE_S
    answers: list[Answer] = []
    headers = {**PROMPT}
    if 'deadline_ms' in context:
        headers[PREFIX + 'Deadline-Ms'] = str(context.deadline_ms)
    context.caller = threading.Thread(
        target=lambda: answers.append(
            bench.ask('/talk/1', KEY, 'POST', b'prompt', **headers)
        )
    )
    context.answers = answers
    context.caller.start()
    bench.until(lambda: bool(bench.ran()), 'a run')
    engines = list(bench.upstreams.values())
    run, copy = engines if engines[0].ran else engines[::-1]
    bench.until(lambda: bool(copy.copies), 'a copy of the run')
    context.run_engine, context.copy_engine = run, copy
    bench.on_loop(lambda: bench.store.remove('servers', copy.upstream_id))
    _await_listed(bench, copy.upstream_id, False)


@when('that entry is written again')
def step_written_again(context: Context) -> None:
    """Write the entry of the engine with the copy, as it was."""
    bench = direct_bench(context)
    name = context.copy_engine.upstream_id
    bench.register(name)
    _await_listed(bench, name, True)


@when('the engine of the run ends')
def step_run_engine_ends(context: Context) -> None:
    """Crash it, and wait for the end of the caller's answer."""
    bench = direct_bench(context)
    context.copy_engine.pause_s = PAUSE_S
    bench.on_loop(context.run_engine.crash)
    context.caller.join()


@when('the engine of the run is silent for {seconds:g} s and goes on')
def step_silent(context: Context, seconds: float) -> None:
    """Delay one of its events, and wait for the end of the answer."""
    context.run_engine.pause_s = seconds
    time.sleep(SLOW_PAUSE_S)
    context.run_engine.pause_s = PAUSE_S
    context.caller.join()


@then('the run ends with all events once and in order')
def step_whole(context: Context) -> None:
    """Check what the caller got."""
    answer = context.answers[0]
    assert answer.status == OK, answer
    assert answer.body == ALL_EVENTS, answer


@then('no request reached the engine of the copy')
def step_no_request(context: Context) -> None:
    """Check what it received."""
    received = context.copy_engine.received
    assert not received, received


@then('it went on from its copy')
def step_went_on(context: Context) -> None:
    """Check that the engine with the copy continued the run."""
    went_on = context.copy_engine.went_on
    assert went_on == context.run_engine.ran, went_on


class _SlowPool:
    """Open a connection while something else happens."""

    is_closed = False

    def __init__(self, meanwhile: Any) -> None:
        self._meanwhile = meanwhile
        self.sent: list[object] = []
        self.closed = 0
        self.opened_s = 0.0

    async def acquire(self, *_: object) -> '_SlowPool':
        """Return itself as the connection."""
        await asyncio.sleep(0)
        self._meanwhile()
        return self

    def send(self, *request: object) -> None:
        """Record what is sent."""
        self.sent.append(request)

    def close(self) -> None:
        """Record that the connection is closed."""
        self.closed += 1


@when('it {leaves} while a connection to it is opened')
def step_leaves_meanwhile(context: Context, leaves: str) -> None:
    """Run an attempt whose upstream changes during the connecting."""
    entries = {
        'loses its entry': None,
        'says that it leaves': replace(FIRST_ENTRY, leaving=True),
        'restarts': replace(FIRST_ENTRY, started_ms=STARTED_MS + 1000),
    }
    context.pool = _SlowPool(
        lambda: context.cluster_state.update_upstream(NAME, entries[leaves])
    )
    state: UpstreamState = context.previous_state
    context.end = asyncio.run(_run_attempt(context.pool, state))


async def _run_attempt(pool: Any, state: UpstreamState) -> object:
    headers = HTTPHeaders({PREFIX + 'Request-Id': 'request-1'})
    request = CallerRequest(
        'GET',
        '/records/1',
        'host',
        'request-1',
        headers,
        b'',
        0.0,
        1.0,
        '',
        None,
        None,
    )
    attempt = Attempt(request, PlatformWire(), lambda head: None, None)
    dispatch = Dispatch(NAME, TIMEOUT_S)
    return await attempt.run(
        pool, state, dispatch, False, TIMEOUT_S, TIMEOUT_S, 4
    )


@then('nothing is sent on the connection, and the request has not run')
def step_nothing_sent(context: Context) -> None:
    """Check the connection and the verdict."""
    assert not context.pool.sent, context.pool.sent
    assert context.pool.closed == 1, context.pool.closed
    assert context.end.verdict is Verdict.NOT_RUN, context.end


@when('version 4 is released and its entry is removed before its report')
def step_removed_before_report(context: Context) -> None:
    """Remove the entry during the report call."""
    report = UpstreamReport(0, False, {MODEL: 3}, STARTED_MS)
    release_and_order(
        context,
        report,
        lambda: context.cluster_state.update_upstream(NAME, None),
    )


@then('no order is sent')
def step_no_order_sent(context: Context) -> None:
    """Check the orders."""
    assert not context.control.orders, context.control.orders


@when('its entry is removed before the first event of a run there')
def step_late_first_event(context: Context) -> None:
    """Remove the entry, and record the event of a contended service."""
    unused: Any = SimpleNamespace(report=lambda *_: None)
    fleet: Any = SimpleNamespace(
        cluster_state=context.cluster_state,
        crash_guard=None,
        speed_reporter=unused,
    )
    admitted: Any = SimpleNamespace(service=SimpleNamespace(name=SERVICE))
    request: Any = SimpleNamespace(prompt=PARTS)
    state: UpstreamState = context.previous_state
    send = Send(
        fleet,
        PlatformWire(),
        unused,
        request,
        admitted,
        Target(state, PREFILL_MS, is_first=True, tokens_per_ms=1.0),
        lambda _others: True,
        RequestSubjects('a fingerprint'),
    )
    context.cluster_state.update_upstream(NAME, None)
    send._record_engine_event(PARTS, PREFILL_MS, time.monotonic())


@then('no sample of its speed is kept')
def step_no_sample(context: Context) -> None:
    """Check the models of its service."""
    engines = context.cluster_state.engine_models(SERVICE).engines
    assert not engines, engines


@when('an upstream ends with a request after its entry was removed')
def step_ends_after_removal(context: Context) -> None:
    """Remove the entry of an upstream with an open request; crash it."""
    bench = direct_bench(context)
    context.crashes_before = _crash_count()
    caller = threading.Thread(
        target=lambda: bench.ask('/certificates/1', KEY, 'POST')
    )
    caller.start()
    bench.until(lambda: bool(bench.ran()), 'a run')
    running: list[FakeUpstream] = [
        one for one in bench.upstreams.values() if one.ran
    ]
    name = running[0].upstream_id
    bench.on_loop(lambda: bench.store.remove('servers', name))
    _await_listed(bench, name, False)
    bench.on_loop(running[0].crash)
    caller.join()
    bench.run(sleep(CRASH_DETECTION_S))


@then('no upstream counts as crashed')
def step_no_crash(context: Context) -> None:
    """Compare the count of crashes."""
    assert _crash_count() == context.crashes_before, _crash_count()


def _crash_count() -> float:
    count = REGISTRY.get_sample_value(
        'lacewing_direct_upstream_crashes_total', {'service': 'registry'}
    )
    return count or 0.0
