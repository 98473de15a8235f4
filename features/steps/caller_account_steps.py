"""Check the account of what callers hold."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.caller_limits import CallerLimits
from lacewing_common.caller_limits import VmSize
from lacewing_daemon.callers import caller_bounds
from lacewing_daemon.callers import CallerAccount
from lacewing_daemon.callers import CallerBounds
from lacewing_daemon.callers import CallerLimit
from lacewing_daemon.callers import Held
from lacewing_daemon.callers import Holding
from lacewing_daemon.callers import Wait
from lacewing_daemon.callers._limit import CALLERS_LIMITED

_NOW_S = 10.0
_HELD = {'head': Held.HEAD, 'body': Held.BODY, 'answer': Held.WRITE}


def _count(limit: str) -> float:
    value: float = CALLERS_LIMITED.labels(limit)._value.get()
    return value


@given('an account for {size:d} bytes and {count:d} connections')
def step_account(context: Context, size: int, count: int) -> None:
    """Make an account whose clock stands still."""
    context.now_s = _NOW_S
    context.account = CallerAccount(
        CallerBounds(size, count, 15.0), lambda: context.now_s
    )
    context.ended = []
    context.counts = {one: _count(one.value) for one in CallerLimit}


def _open(context: Context, name: str, since_s: float) -> Holding | None:
    context.now_s = since_s
    holding: Holding | None = context.account.open(
        lambda: context.ended.append(name)
    )
    context.now_s = _NOW_S
    return holding


def _hold(
    context: Context,
    name: str,
    size: int,
    held: Held,
    wait: Wait,
    since_s: float = _NOW_S,
) -> None:
    holding = _open(context, name, since_s)
    assert holding is not None
    context.now_s = since_s
    holding.wait_for(wait)
    context.has_room = holding.set(held, size)
    context.now_s = _NOW_S


@given('"{name}" holds {size:d} bytes of a {kind} since {since_s:g} s')
@given('"{name}" holds {size:d} bytes of an {kind} since {since_s:g} s')
def step_holds(
    context: Context, name: str, size: int, kind: str, since_s: float
) -> None:
    """Let a caller be waited for."""
    _hold(context, name, size, _HELD[kind], Wait.CALLER, since_s)


@given('"{name}" collects {size:d} bytes of an answer since {since_s:g} s')
def step_collects(
    context: Context, name: str, size: int, since_s: float
) -> None:
    """Let the process work."""
    _hold(context, name, size, Held.ANSWER, Wait.OWN, since_s)


@given('"{name}" is idle since {since_s:g} s')
def step_idle(context: Context, name: str, since_s: float) -> None:
    """Open a connection."""
    assert _open(context, name, since_s) is not None


@when('"{name}" holds {size:d} bytes of a body')
def step_body(context: Context, name: str, size: int) -> None:
    """Receive a body."""
    _hold(context, name, size, Held.BODY, Wait.CALLER)


@when('"{name}" collects {size:d} bytes of an answer')
def step_answer(context: Context, name: str, size: int) -> None:
    """Receive an answer."""
    _hold(context, name, size, Held.ANSWER, Wait.OWN)


@when('"{name}" connects')
def step_connects(context: Context, name: str) -> None:
    """Open one more connection."""
    context.taken = _open(context, name, _NOW_S)


@when(
    'a VM has {memory_mb:d} MB and {vm:d} descriptors, and a process {own:d}'
)
def step_vm(context: Context, memory_mb: int, vm: int, own: int) -> None:
    """Derive the bounds."""
    size = VmSize(memory_mb=memory_mb, file_descriptors=vm)
    context.bounds = caller_bounds(size, CallerLimits(), own)


@then('these were ended: ""')
def step_none_ended(context: Context) -> None:
    """Check that nothing was."""
    assert not context.ended, context.ended


@then('these were ended: "{name}"')
def step_ended(context: Context, name: str) -> None:
    """Check what was."""
    assert context.ended == [name], context.ended


@then('{size:d} bytes are held')
def step_held(context: Context, size: int) -> None:
    """Check the sum."""
    assert context.account.held_bytes == size, context.account.held_bytes


@then('the limit "{limit}" has acted')
def step_acted(context: Context, limit: str) -> None:
    """Check the metric."""
    before = context.counts[CallerLimit(limit)]
    assert _count(limit) == before + 1, _count(limit)


@then('it has no room')
def step_no_room(context: Context) -> None:
    """Check what its caller was told."""
    assert not context.has_room


@then('it is not taken')
def step_not_taken(context: Context) -> None:
    """Check that there is no connection."""
    assert context.taken is None


@then('callers may hold {size:d} bytes and {count:d} connections')
def step_bounds(context: Context, size: int, count: int) -> None:
    """Compare the bounds."""
    assert context.bounds.max_bytes == size, context.bounds
    assert context.bounds.max_connections == count, context.bounds
