"""Check what a router knows of each incarnation of an upstream."""

import asyncio
from dataclasses import replace
from typing import Any

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct import Engine
from lacewing_daemon.direct import LoadOrder
from lacewing_daemon.direct import OrderVerdict
from lacewing_daemon.direct import Prompt
from lacewing_daemon.direct import PromptPart
from lacewing_daemon.direct import ReleasedWeights
from lacewing_daemon.direct import Upstream
from lacewing_daemon.direct import UpstreamLoad
from lacewing_daemon.direct import UpstreamReport
from lacewing_daemon.direct._cluster_state import ClusterState
from lacewing_daemon.direct._placing import Placer
from lacewing_daemon.direct._planner import WeightsPlanner
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._target import Target
from lacewing_daemon.direct._upstream_state import UpstreamState
from support.direct_bench import BOUNDS
from support.direct_bench import MODEL

NAME = 'eng-1'
SERVICE = 'models'
NOW_S = 100.0
STARTED_MS = 1_700_000_000_000
CACHE_SALT = 'wall'
PROMPT = Prompt(MODEL, 300, 20, 20, (PromptPart('aa', 300),))
ENGINE = Engine(4, 10000, 1000.0, 1e9, (MODEL,), True)
FIRST_ENTRY = Upstream(
    NAME, SERVICE, '127.0.0.1:1', 'east', 4, False, {MODEL: 3}, STARTED_MS
)


class _Control:
    """Return one report and record orders.

    ``before_report`` is called before the report is returned.
    """

    def __init__(self, report: UpstreamReport) -> None:
        self.report_given = report
        self.orders: list[LoadOrder] = []
        self.before_report: Any = None

    async def report(self, upstream: Upstream) -> UpstreamReport | None:
        """Return the report."""
        if self.before_report is not None:
            self.before_report()
        return self.report_given

    async def load(self, upstream: Upstream, order: LoadOrder) -> OrderVerdict:
        """Record an order."""
        self.orders.append(order)
        return OrderVerdict.ACCEPTED


class _HeldLease:
    """Fake a lease that this process holds and acts under."""

    is_acting = True
    fence = 5

    def record_action(self) -> None:
        """Do nothing."""


def _state(context: Context) -> UpstreamState:
    state: UpstreamState | None = context.cluster_state.upstream(NAME)
    assert state is not None
    return state


def _restart(context: Context, version: int) -> None:
    entry = replace(
        FIRST_ENTRY, weights={MODEL: version}, started_ms=STARTED_MS + 1000
    )
    context.cluster_state.update_upstream(NAME, entry)


@given('a router that knows an engine with weights of version 3')
def step_knows(context: Context) -> None:
    """Apply the first entry of the engine."""
    context.cluster_state = ClusterState(BOUNDS, LoadPolicy(), lambda: NOW_S)
    context.cluster_state.record_release(ReleasedWeights(MODEL, 3), False)
    context.cluster_state.update_upstream(NAME, FIRST_ENTRY)
    context.previous_state = _state(context)


@when('it received requests, was late, failed and reported its load')
def step_state_recorded(context: Context) -> None:
    """Record every kind of state of an upstream."""
    state = context.previous_state
    context.ticket = state.open_request(50.0, 5, NOW_S)
    state.open_request(50.0, 5, NOW_S)
    state.open_copy(300)
    state.record_parts(CACHE_SALT, PROMPT, ENGINE, NOW_S)
    state.record_lateness(200.0, NOW_S)
    state.update_load(UpstreamLoad(4, 7, 4), NOW_S)
    for _ in range(3):
        state.record_failure(NOW_S)


@when('it restarts with weights of version {version:d}')
def step_restarts(context: Context, version: int) -> None:
    """Apply the entry of a later incarnation."""
    _restart(context, version)


@then('only its new entry is known')
def step_only_new_entry(context: Context) -> None:
    """Check every kind of state of the upstream."""
    state = _state(context)
    assert state is not context.previous_state
    assert context.previous_state.replaced
    assert not context.previous_state.is_usable(NOW_S + 60)
    assert context.cluster_state.upstreams_of(SERVICE) == [state]
    assert state.is_usable(NOW_S)
    assert state.weights(MODEL) == 2
    assert state.in_flight == 0
    assert state.waiting_count(9) == 0
    assert state.copy_tokens == 0
    assert state.other_requests(NOW_S) == 0
    assert state.lateness_ms(NOW_S) == 0
    assert not state.has_part(CACHE_SALT, 'aa', NOW_S)


@then('late reports of the previous incarnation change nothing')
def step_late_reports(context: Context) -> None:
    """Apply a report to the replaced and to the current state."""
    late_report = UpstreamReport(2, False, {MODEL: 9}, STARTED_MS)
    assert not context.cluster_state.apply_report(
        context.previous_state, late_report
    )
    assert not context.cluster_state.apply_report(_state(context), late_report)
    assert _state(context).weights(MODEL) == 2


@then('requests that end at the previous incarnation are not counted')
def step_old_end(context: Context) -> None:
    """End one request of the previous and one of the new incarnation."""
    state = _state(context)
    ticket = state.open_request(50.0, 5, NOW_S)
    context.previous_state.mark_started(context.ticket)
    context.previous_state.close_request()
    context.previous_state.close_copy(300)
    assert state.in_flight == 1
    assert state.waiting_count(9) == 1
    assert state.copy_tokens == 0
    state.mark_started(ticket)
    state.close_request()
    assert state.in_flight == 0


@when('it keeps a copy of a run and restarts')
def step_copy(context: Context) -> None:
    """Copy a run to the engine; then apply a later incarnation."""
    run = UpstreamState(replace(FIRST_ENTRY, upstream_id='eng-2'))
    context.target = Target(run, 0.0, copy_to=context.previous_state)
    placer = Placer(context.cluster_state, 'east')
    assert placer.continuation(context.target) is not None
    _restart(context, 3)


@then('the run cannot continue there')
def step_no_continuation(context: Context) -> None:
    """Check where the run would continue."""
    placer = Placer(context.cluster_state, 'east')
    assert placer.continuation(context.target) is None


def _planner(context: Context, report: UpstreamReport) -> WeightsPlanner:
    context.control = _Control(report)
    lease: Any = _HeldLease()
    return WeightsPlanner(context.cluster_state, context.control, lease, 'me')


def release_and_order(
    context: Context, report: UpstreamReport, before_report: Any
) -> None:
    """Release weights and order them; call back before the report."""
    context.cluster_state.record_release(ReleasedWeights(MODEL, 4), False)
    context.planner = _planner(context, report)
    context.control.before_report = before_report
    asyncio.run(context.planner._load(context.previous_state, MODEL, 4))


@when('version 4 is released and ordered')
def step_ordered(context: Context) -> None:
    """Send the order, so that none is due."""
    release_and_order(
        context, UpstreamReport(0, False, {MODEL: 3}, STARTED_MS), None
    )
    assert len(context.control.orders) == 1
    assert not context.planner._due()


@then('an order to it is due at once')
def step_due(context: Context) -> None:
    """Check which orders are due."""
    due = [state for state, _ in context.planner._due()]
    assert due == [_state(context)], due


@when("version 4 is released and the engine's report is of {incarnation}")
def step_other_report(context: Context, incarnation: str) -> None:
    """Order by a report of an earlier or a later incarnation."""
    is_later = incarnation == 'a later one'
    started_ms = STARTED_MS + (1000 if is_later else -1000)
    report = UpstreamReport(0, False, {MODEL: 1}, started_ms)
    release_and_order(context, report, None)


@when('version 4 is released and the engine restarts before its report')
def step_restart_before_report(context: Context) -> None:
    """Apply the entry of a later incarnation during the report call."""
    report = UpstreamReport(0, False, {MODEL: 3}, STARTED_MS)
    release_and_order(context, report, lambda: _restart(context, 2))


@then('no order is given and its weights are those of version {version:d}')
def step_no_order(context: Context, version: int) -> None:
    """Check that no order was sent and that one is due."""
    assert not context.control.orders
    assert _state(context).weights(MODEL) == version
    step_due(context)


@when('{what} comes')
def step_entry(context: Context, what: str) -> None:
    """Apply an entry, after removing the known one where stated."""
    cluster_state = context.cluster_state
    earlier_entry = replace(
        FIRST_ENTRY, leaving=True, started_ms=STARTED_MS - 1
    )
    if what == 'an entry of another service':
        cluster_state.update_upstream(
            NAME, replace(FIRST_ENTRY, service='registry')
        )
    if what.startswith('an entry with other weights'):
        cluster_state.update_upstream(
            NAME, replace(FIRST_ENTRY, weights={MODEL: 2})
        )
    if what == 'an entry without a start time':
        cluster_state.update_upstream(NAME, replace(FIRST_ENTRY, started_ms=0))
    if what == "an earlier incarnation's entry":
        cluster_state.update_upstream(NAME, earlier_entry)
    if what == "an earlier incarnation's entry after removal":
        cluster_state.update_upstream(NAME, None)
        cluster_state.update_upstream(NAME, earlier_entry)
    if what.startswith('an entry of this incarnation'):
        cluster_state.update_upstream(NAME, replace(FIRST_ENTRY, leaving=True))
        cluster_state.update_upstream(NAME, None)
        cluster_state.update_upstream(NAME, FIRST_ENTRY)


@then('the engine {expected}')
def step_engine_state(context: Context, expected: str) -> None:
    """Check the current state of the engine."""
    cluster_state = context.cluster_state
    if expected == 'is unknown':
        assert cluster_state.upstream(NAME) is None
        assert cluster_state.upstreams_of(SERVICE) == []
        return
    state = _state(context)
    if expected == 'is unchanged':
        assert state.upstream == FIRST_ENTRY, state.upstream
        assert state.is_usable(NOW_S)
    if expected == 'is leaving':
        assert not state.is_usable(NOW_S)
    if expected == 'is due for 3':
        assert state.weights(MODEL) == 2
        report = UpstreamReport(0, False, {MODEL: 2}, STARTED_MS)
        context.planner = _planner(context, report)
        step_due(context)
    if expected == 'is of that service':
        assert cluster_state.upstreams_of(SERVICE) == []
        assert cluster_state.upstreams_of('registry') == [state]
        cluster_state.update_upstream(NAME, None)
        assert cluster_state.upstreams_of('registry') == []
