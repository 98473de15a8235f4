"""Check orders under a lease that changes hands in quick succession."""

from enum import Enum

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as draw
from lacewing_daemon.direct._planner import LEASE_S
from support.lease_fleet import BOUNDS
from support.lease_fleet import check_turns
from support.lease_fleet import EXPIRY_S
from support.lease_fleet import LeaseFleet
from support.lease_fleet import MAX_WAIT_S
from support.lease_fleet import TICK_S
from support.lease_fleet import WriteFault

CHECKED = settings(max_examples=60, deadline=None, derandomize=True)
# Between the wait's end and the order: the announcement and the next check.
SLACK_S = 4 * TICK_S
NAMES = ('a', 'b', 'c', 'd')
# Most faults matter at the router that holds the lease.
HOLDER = 'holder'


class Change(Enum):
    """Name what a drawn script does to a router."""

    WANT = 'orders are due'
    WANT_NOT = 'no order is due'
    STOP = 'stops'
    KILL = 'is killed'
    RESUME = 'resumes'
    SLOW = 'orders arrive late'
    DELIVER = 'late writes arrive'
    UNREADABLE = 'another writer replaces the record'


short_times = draw.floats(0.0, 1.2).map(lambda value: round(value, 2))
links = draw.tuples(short_times, short_times, draw.floats(-500.0, 500.0))
changes = draw.tuples(
    draw.sampled_from((HOLDER, HOLDER, HOLDER, *NAMES)),
    draw.one_of(draw.sampled_from(Change), draw.sampled_from(WriteFault)),
    draw.sampled_from((0.0, 0.1, 0.3, 0.7, 1.5, 2.4, 4.0, 6.5)),
)


def _fleet(context: Context) -> LeaseFleet:
    if not hasattr(context, 'lease_fleet'):
        context.lease_fleet = LeaseFleet()
        context.resources.callback(context.lease_fleet.close)
    fleet: LeaseFleet = context.lease_fleet
    return fleet


def _order_first(fleet: LeaseFleet, name: str) -> None:
    fleet.start(name).want_orders()
    fleet.advance(2 * TICK_S)
    assert fleet.orders, 'no order'


@given('router "{name}" orders under the lease')
def step_orders(context: Context, name: str) -> None:
    """Let the first holder order."""
    _order_first(_fleet(context), name)


@when(
    'router "{first}" stops, and router "{second}" after it without an order'
)
def step_stop(context: Context, first: str, second: str) -> None:
    """Stop one holder and then its successor."""
    fleet = _fleet(context)
    fleet.stop(first)
    fleet.start(second, 70.0)
    fleet.advance(2 * TICK_S)
    assert fleet.machines[second].lease.is_held
    fleet.stop(second)


@when('router "{name}" wants to order')
def step_wants(context: Context, name: str) -> None:
    """Let another router take the lease and order."""
    fleet = _fleet(context)
    fleet.start(name, -20.0).want_orders()
    fleet.advance(EXPIRY_S + MAX_WAIT_S + SLACK_S)


@then('its first order comes within the wait after the last one of "{name}"')
def step_waited(context: Context, name: str) -> None:
    """Check the time between the orders of two holders."""
    orders = _fleet(context).orders
    check_turns(orders)
    before_s = [each.arrived_s for each in orders if each.holder == name]
    after_s = [each.arrived_s for each in orders if each.holder != name]
    waited_s = min(after_s) - max(before_s)
    assert waited_s <= MAX_WAIT_S + SLACK_S, waited_s


@given('router "{name}" holds the lease and orders nothing')
def step_idle(context: Context, name: str) -> None:
    """Let a router hold the lease for a while."""
    fleet = _fleet(context)
    fleet.start(name)
    fleet.advance(2 * MAX_WAIT_S)
    assert fleet.holder == name


@given('router "{name}" waits for a report of the engine that it is to order')
def step_prepares(context: Context, name: str) -> None:
    """Withhold the report that an order needs."""
    fleet = _fleet(context)
    machine = fleet.start(name)
    machine.control.answers_reports.clear()
    machine.want_orders()
    fleet.advance(2 * TICK_S)
    assert machine.lease.is_acting
    assert not fleet.orders


@when('it is suspended during a renewal, and router "{name}" orders and stops')
def step_suspended(context: Context, name: str) -> None:
    """Let another router take the lease meanwhile."""
    fleet = _fleet(context)
    suspended = fleet.machines[fleet.holder]
    suspended.connection.fault = WriteFault.SUSPENDED_BEFORE
    fleet.start(name).want_orders()
    fleet.advance(2 * EXPIRY_S + MAX_WAIT_S)
    assert suspended.is_suspended
    assert [each.holder for each in fleet.orders], 'no order'
    fleet.stop(name)


@when('it resumes with an order due')
def step_resumes(context: Context) -> None:
    """Let it take the lease back and order."""
    fleet = _fleet(context)
    (name,) = fleet.machines
    fleet.machines[name].want_orders()
    fleet.resume(name)
    fleet.advance(MAX_WAIT_S + SLACK_S)


@when('it resumes, and the report is answered')
def step_report(context: Context) -> None:
    """Let it take the lease back before its report comes."""
    fleet = _fleet(context)
    (name,) = fleet.machines
    fleet.resume(name)
    fleet.machines[name].control.answers_reports.set()
    fleet.advance(2 * MAX_WAIT_S)


@given('router "{first}" holds the lease, and router "{second}" knows of it')
def step_two(context: Context, first: str, second: str) -> None:
    """Start a holder that prepares an order, and a standby."""
    fleet = _fleet(context)
    fleet.store.take_snapshot()
    step_prepares(context, first)
    fleet.start(second)
    fleet.advance(TICK_S)


@when(
    'no answer reaches "{name}" after a restore of the store, and it orders at'
    ' last'
)
def step_cut_off(context: Context, name: str) -> None:
    """Send an order shortly before the lease of its holder ends."""
    fleet = _fleet(context)
    machine = fleet.machines[name]
    machine.connection.fault = WriteFault.SUSPENDED_AFTER
    while not machine.is_suspended:
        fleet.advance(TICK_S)
    fleet.store.restore()
    context.restored_s = fleet.now_s
    fleet.advance(LEASE_S - 8 * TICK_S)
    fleet.answer_reports(name)
    assert [each.holder for each in fleet.orders] == [name]


@when('router "{name}" takes the lease and orders')
def step_takes_over(context: Context, name: str) -> None:
    """Let the standby take over."""
    fleet = _fleet(context)
    fleet.machines[name].want_orders()
    fleet.advance(EXPIRY_S + MAX_WAIT_S + SLACK_S)


@then('its first order comes within the wait after the lease of "{name}" ends')
def step_after_end(context: Context, name: str) -> None:
    """Check the time since the restore, from which the lease is counted."""
    fleet = _fleet(context)
    check_turns(fleet.orders)
    after_s = [each.arrived_s for each in fleet.orders if each.holder != name]
    waited_s = min(after_s) - context.restored_s - EXPIRY_S
    assert waited_s <= MAX_WAIT_S + SLACK_S, waited_s


@when(
    'router "{name}" stops, and a router of an earlier release writes {record}'
)
def step_earlier_release(context: Context, name: str, record: str) -> None:
    """Replace the record of a holder that released the lease."""
    fleet = _fleet(context)
    fleet.stop(name)
    fleet.replace_record(record.encode())
    context.written_s = fleet.now_s


@then('its first order comes within the wait after that record')
def step_after_record(context: Context) -> None:
    """Check the first order of the last holder."""
    orders = _fleet(context).orders
    check_turns(orders)
    first_s = min(each.arrived_s for each in orders if each.holder == 'c')
    waited_s = first_s - context.written_s
    assert waited_s <= EXPIRY_S + MAX_WAIT_S + SLACK_S, waited_s


@then('holders that stop one after the other never take turns too soon')
def step_chain(context: Context) -> None:
    """Draw chains of holders, of which the first and the last order."""

    @CHECKED
    @for_any(draw.lists(links, min_size=1, max_size=8))
    def check(drawn: list[tuple[float, float, float]]) -> None:
        fleet = LeaseFleet()
        _order_first(fleet, 'first')
        last_s = fleet.orders[-1].arrived_s
        fleet.stop('first')
        unread_s = 0.0
        for index, (free_s, held_s, clock_ahead_s) in enumerate(drawn):
            # Nobody reads the record meanwhile.
            fleet.advance(free_s)
            unread_s += free_s
            name = f'router-{index}'
            fleet.start(name, clock_ahead_s)
            fleet.step(name)
            assert fleet.machines[name].lease.is_held
            fleet.advance(held_s)
            fleet.stop(name)
        fleet.start('last').want_orders()
        fleet.step('last')
        held_from_s = fleet.now_s
        fleet.advance(MAX_WAIT_S + SLACK_S)
        check_turns(fleet.orders)
        after_s = [
            each.arrived_s for each in fleet.orders if each.holder == 'last'
        ]
        waited_s = min(after_s) - max(held_from_s, last_s)
        assert waited_s <= MAX_WAIT_S + SLACK_S, waited_s
        if held_from_s < last_s + unread_s + MAX_WAIT_S:
            late_s = min(after_s) - last_s - unread_s
            assert late_s <= MAX_WAIT_S + SLACK_S, late_s
        fleet.close()

    check()


def _apply(fleet: LeaseFleet, name: str, change: Change | WriteFault) -> None:
    if name == HOLDER:
        name = fleet.holder or NAMES[0]
    if name not in fleet.machines:
        fleet.start(name, len(fleet.orders) * 10.0)
        return
    machine = fleet.machines[name]
    if isinstance(change, WriteFault):
        machine.connection.fault = change
    if change is Change.WANT:
        machine.want_orders()
    if change is Change.WANT_NOT:
        machine.want_no_orders()
    if change is Change.STOP and not machine.is_suspended:
        machine.connection.fault = None
        fleet.stop(name)
    if change is Change.KILL:
        fleet.kill(name)
    if change is Change.RESUME:
        for each in tuple(fleet.machines):
            fleet.resume(each)
    if change is Change.SLOW:
        machine.control.order_delay_s = MAX_WAIT_S - BOUNDS.lease_s
    if change is Change.DELIVER:
        fleet.deliver_late_writes()
    if change is Change.UNREADABLE:
        fleet.replace_record(b'5')


@then('holders with random faults never take turns too soon')
def step_random(context: Context) -> None:
    """Draw scripts of faults; then let all routers go on without faults."""

    @settings(CHECKED, max_examples=150)
    @for_any(draw.lists(changes, min_size=5, max_size=30))
    def check(
        drawn: list[tuple[str, Change | WriteFault, float]],
    ) -> None:
        fleet = LeaseFleet()
        for name in NAMES:
            fleet.start(name).want_orders()
        for name, change, duration_s in drawn:
            _apply(fleet, name, change)
            fleet.advance(duration_s)
        for name in NAMES:
            if name not in fleet.machines:
                fleet.start(name)
            fleet.machines[name].connection.fault = None
            fleet.machines[name].want_orders()
            fleet.resume(name)
        ended_s = fleet.now_s
        fleet.advance(EXPIRY_S + MAX_WAIT_S + SLACK_S)
        check_turns(fleet.orders)
        last_s = max(each.arrived_s for each in fleet.orders)
        assert last_s >= ended_s, (last_s, ended_s)
        fleet.close()

    check()
