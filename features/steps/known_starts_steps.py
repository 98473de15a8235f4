"""Check what a router knows of each start of an upstream."""

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
WALL = 'wall'
PROMPT = Prompt(MODEL, 300, 20, 20, (PromptPart('aa', 300),))
ENGINE = Engine(4, 10000, 1000.0, 1e9, (MODEL,), True)
FIRST = Upstream(
    NAME, SERVICE, '127.0.0.1:1', 'east', 4, False, {MODEL: 3}, STARTED_MS
)


class _Control:
    """Give one report and note orders; ``before`` comes first."""

    def __init__(self, report: UpstreamReport) -> None:
        self.report_given = report
        self.orders: list[LoadOrder] = []
        self.before: Any = None

    async def report(self, upstream: Upstream) -> UpstreamReport | None:
        """Give the report."""
        if self.before is not None:
            self.before()
        return self.report_given

    async def load(self, upstream: Upstream, order: LoadOrder) -> OrderVerdict:
        """Note an order."""
        self.orders.append(order)
        return OrderVerdict.ACCEPTED


class _HeldLease:
    """Stand for a lease that this process holds and acts under."""

    is_acting = True
    fence = 5

    def record_action(self) -> None:
        """Forget the act."""


def _state(context: Context) -> UpstreamState:
    state: UpstreamState | None = context.knowledge.upstream(NAME)
    assert state is not None
    return state


def _start_again(context: Context, version: int) -> None:
    entry = replace(
        FIRST, weights={MODEL: version}, started_ms=STARTED_MS + 1000
    )
    context.knowledge.update_upstream(NAME, entry)


@given('a router that knows an engine with weights of version 3')
def step_knows(context: Context) -> None:
    """Take the engine's first entry."""
    context.knowledge = ClusterState(BOUNDS, LoadPolicy(), lambda: NOW_S)
    context.knowledge.record_release(ReleasedWeights(MODEL, 3), False)
    context.knowledge.update_upstream(NAME, FIRST)
    context.before = _state(context)


@when('it was sent requests, was late, failed and told its load')
def step_learnt(context: Context) -> None:
    """Learn all that there is to learn."""
    state = context.before
    context.ticket = state.open_request(50.0, 5, NOW_S)
    state.open_request(50.0, 5, NOW_S)
    state.open_copy(300)
    state.record_parts(WALL, PROMPT, ENGINE, NOW_S)
    state.record_lateness(200.0, NOW_S)
    state.update_load(UpstreamLoad(4, 7, 4), NOW_S)
    for _ in range(3):
        state.record_failure(NOW_S)


@when('it starts again with weights of version {version:d}')
def step_starts_again(context: Context, version: int) -> None:
    """Take the entry of a later start."""
    _start_again(context, version)


@then('nothing is known of it but its new entry')
def step_nothing(context: Context) -> None:
    """Look at all that is known of an upstream."""
    state = _state(context)
    assert state is not context.before
    assert context.before.replaced
    assert not context.before.is_usable(NOW_S + 60)
    assert context.knowledge.upstreams_of(SERVICE) == [state]
    assert state.is_usable(NOW_S)
    assert state.weights(MODEL) == 2
    assert state.in_flight == 0
    assert state.waiting_count(9) == 0
    assert state.copy_tokens == 0
    assert state.other_requests(NOW_S) == 0
    assert state.lateness_ms(NOW_S) == 0
    assert not state.has_part(WALL, 'aa', NOW_S)


@then('what the start before told later changes nothing')
def step_told_later(context: Context) -> None:
    """Learn of the state that ended."""
    late = UpstreamReport(2, False, {MODEL: 9}, STARTED_MS)
    assert not context.knowledge.apply_report(context.before, late)
    assert not context.knowledge.apply_report(_state(context), late)
    assert _state(context).weights(MODEL) == 2


@then('requests still open at the start before end without being counted')
def step_old_end(context: Context) -> None:
    """End one that was open before and one that was opened since."""
    state = _state(context)
    ticket = state.open_request(50.0, 5, NOW_S)
    context.before.mark_started(context.ticket)
    context.before.close_request()
    context.before.close_copy(300)
    assert state.in_flight == 1
    assert state.waiting_count(9) == 1
    assert state.copy_tokens == 0
    state.mark_started(ticket)
    state.close_request()
    assert state.in_flight == 0


@when('it keeps the copy of a run and starts again')
def step_copy(context: Context) -> None:
    """Have a run copied there, and a later start."""
    run = UpstreamState(replace(FIRST, upstream_id='eng-2'))
    context.target = Target(run, 0.0, copy_to=context.before)
    placer = Placer(context.knowledge, 'east')
    assert placer.continuation(context.target) is not None
    _start_again(context, 3)


@then("the run can't go on there")
def step_not_on(context: Context) -> None:
    """Look where the run would go on."""
    placer = Placer(context.knowledge, 'east')
    assert placer.continuation(context.target) is None


def _planner(context: Context, report: UpstreamReport) -> WeightsPlanner:
    context.control = _Control(report)
    lease: Any = _HeldLease()
    return WeightsPlanner(context.knowledge, context.control, lease, 'me')


def _order(context: Context, report: UpstreamReport, before: Any) -> None:
    context.knowledge.record_release(ReleasedWeights(MODEL, 4), False)
    context.planner = _planner(context, report)
    context.control.before = before
    asyncio.run(context.planner._load(context.before, MODEL, 4))


@when('version 4 is named and ordered')
def step_ordered(context: Context) -> None:
    """Give the order, so that none is due."""
    _order(context, UpstreamReport(0, False, {MODEL: 3}, STARTED_MS), None)
    assert len(context.control.orders) == 1
    assert not context.planner._due()


@then('it is due to be ordered at once')
def step_due(context: Context) -> None:
    """Look what is due."""
    due = [state for state, _ in context.planner._due()]
    assert due == [_state(context)], due


@when("version 4 is named and the engine's report is of {start}")
def step_other_report(context: Context, start: str) -> None:
    """Order by a report of an earlier or a later start."""
    later = start == 'a later one'
    started_ms = STARTED_MS + (1000 if later else -1000)
    report = UpstreamReport(0, False, {MODEL: 1}, started_ms)
    _order(context, report, None)


@when('version 4 is named and the engine starts again before its report')
def step_meanwhile(context: Context) -> None:
    """Take the entry of a later start while the report is awaited."""
    report = UpstreamReport(0, False, {MODEL: 3}, STARTED_MS)
    _order(context, report, lambda: _start_again(context, 2))


@then('no order is given and its weights are those of version {version:d}')
def step_no_order(context: Context, version: int) -> None:
    """Look at the orders, and that the engine is due for one."""
    assert not context.control.orders
    assert _state(context).weights(MODEL) == version
    step_due(context)


@when('{what} comes')
def step_entry(context: Context, what: str) -> None:
    """Take an entry, after the engine's was removed where it says so."""
    knowledge = context.knowledge
    earlier = replace(FIRST, leaving=True, started_ms=STARTED_MS - 1)
    if what == 'an entry of another service':
        knowledge.update_upstream(NAME, replace(FIRST, service='registry'))
    if what.startswith('an entry with other weights'):
        knowledge.update_upstream(NAME, replace(FIRST, weights={MODEL: 2}))
    if what == 'an entry that tells no start':
        knowledge.update_upstream(NAME, replace(FIRST, started_ms=0))
    if what == 'an entry of an earlier start':
        knowledge.update_upstream(NAME, earlier)
    if what == 'an entry of an earlier start after it had gone':
        knowledge.update_upstream(NAME, None)
        knowledge.update_upstream(NAME, earlier)
    if what.startswith('an entry of this start'):
        knowledge.update_upstream(NAME, replace(FIRST, leaving=True))
        knowledge.update_upstream(NAME, None)
        knowledge.update_upstream(NAME, FIRST)


@then('the engine {is_}')
def step_is(context: Context, is_: str) -> None:
    """Look at what is known of it now."""
    knowledge = context.knowledge
    if is_ == 'is not known':
        assert knowledge.upstream(NAME) is None
        assert knowledge.upstreams_of(SERVICE) == []
        return
    state = _state(context)
    if is_ == 'is as it was':
        assert state.upstream == FIRST, state.upstream
        assert state.is_usable(NOW_S)
    if is_ == 'is leaving':
        assert not state.is_usable(NOW_S)
    if is_ == 'is due for 3':
        assert state.weights(MODEL) == 2
        report = UpstreamReport(0, False, {MODEL: 2}, STARTED_MS)
        context.planner = _planner(context, report)
        step_due(context)
    if is_ == 'is of that':
        assert knowledge.upstreams_of(SERVICE) == []
        assert knowledge.upstreams_of('registry') == [state]
        knowledge.update_upstream(NAME, None)
        assert knowledge.upstreams_of('registry') == []
