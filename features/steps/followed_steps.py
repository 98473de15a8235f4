"""Check the calls that watch a collection."""

import asyncio
from random import Random

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault
from lacewing_daemon.direct import Changes
from lacewing_daemon.direct import HistoryExpired
from lacewing_daemon.direct import Listing
from lacewing_daemon.direct._collection_watcher import CollectionWatcher

Response = Listing[int] | Changes[int] | HistoryExpired | StoreError
WAIT_S = 1.2
LIST = 'the list'


class ScriptedCollection:
    """Return scripted responses and record the calls."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.response: Response = HistoryExpired('nothing is scripted')
        self.takes_s = 0.0
        self.calls: list[tuple[int | str, float]] = []

    async def read(self) -> Listing[int] | StoreError:
        """Read the list."""
        self.calls.append((LIST, 0.0))
        self.now_s += self.takes_s
        assert isinstance(self.response, Listing | StoreError)
        return self.response

    async def changes(
        self, since: int, wait_s: float
    ) -> Changes[int] | HistoryExpired | StoreError:
        """Ask for changes."""
        self.calls.append((since, wait_s))
        self.now_s += self.takes_s
        assert not isinstance(self.response, Listing)
        return self.response

    def clock(self) -> float:
        """Return the simulated time."""
        return self.now_s


def _make_call(
    context: Context, response: Response, takes_s: float = 0.0
) -> None:
    context.scripted.response = response
    context.scripted.takes_s = takes_s
    asyncio.run(context.watcher.step())


@given('a watcher whose entries must be confirmed within {limit_s:f} s')
def step_watcher(context: Context, limit_s: float) -> None:
    """Create a watcher with a simulated clock."""
    context.scripted = ScriptedCollection()
    context.watcher = CollectionWatcher(
        'entries',
        context.scripted,
        WAIT_S,
        Random(),
        max_unconfirmed_s=limit_s,
        clock=context.scripted.clock,
    )


@given('it has read the list of revision {revision:d}')
def step_list(context: Context, revision: int) -> None:
    """Return the list."""
    _make_call(context, Listing({'a': 1}, revision))


@given('it has read a list that took {took_s:f} s to arrive')
def step_slow_list(context: Context, took_s: float) -> None:
    """Return a list with a long transfer time."""
    _make_call(context, Listing({'a': 1}, 5, took_s=took_s), took_s)


@when('its next call fails as {fault} after {received:d} bytes')
def step_fails(context: Context, fault: str, received: int) -> None:
    """Fail a call."""
    _make_call(
        context, StoreError(StoreFault(fault), fault, received=received)
    )


@when(
    '{passed_s:f} s pass and its next call fails as {fault} after'
    ' {received:d} bytes'
)
def step_fails_later(
    context: Context, passed_s: float, fault: str, received: int
) -> None:
    """Let time pass and fail a call."""
    context.scripted.now_s += passed_s
    step_fails(context, fault, received)


@when('its next call reports that its history has expired')
def step_expired(context: Context) -> None:
    """Report that the history has expired."""
    _make_call(context, HistoryExpired('expired'))


@when(
    '{later_s:f} s later a call returns revision {revision:d} without changes'
)
def step_returns_revision(
    context: Context, later_s: float, revision: int
) -> None:
    """Return no changes."""
    _make_call(context, Changes((), revision), later_s)


@when(
    'a change arrives after {after_s:f} s, {took_s:f} s of which is its'
    ' transfer'
)
def step_change(context: Context, after_s: float, took_s: float) -> None:
    """Return a change with a long transfer time."""
    change = Changes((('a', 2),), 6, size=900_000, took_s=took_s)
    _make_call(context, change, after_s)


@then('it asks for changes since {since:d} without waiting next')
def step_asks(context: Context, since: int) -> None:
    """Check the next call."""
    step_expired(context)
    assert context.scripted.calls[-1] == (since, 0.0), context.scripted.calls


@then('it reads the whole list next')
def step_reads(context: Context) -> None:
    """Check the next call."""
    _make_call(context, Listing({'a': 1}, 9))
    assert context.scripted.calls[-1][0] == LIST, context.scripted.calls


@then('all changes up to {age_s:f} s ago are known to it')
def step_known(context: Context, age_s: float) -> None:
    """Check the age of the last confirmation."""
    assert abs(context.watcher.age_s - age_s) < 1e-6, context.watcher.age_s


@then('its next call waits {wait_s:f} s')
def step_waits(context: Context, wait_s: float) -> None:
    """Check the wait of the next call."""
    _make_call(context, Changes((), 6))
    waited_s = context.scripted.calls[-1][1]
    assert abs(waited_s - wait_s) < 0.006, waited_s
