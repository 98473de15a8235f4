"""Check how a collection is followed, call by call."""

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

Answered = Listing[int] | Changes[int] | HistoryExpired | StoreError
WAIT_S = 1.2
LIST = 'the list'


class Scripted:
    """Give the answers that a scenario names, and note the calls."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.answer: Answered = HistoryExpired('nothing is scripted')
        self.takes_s = 0.0
        self.calls: list[tuple[int | str, float]] = []

    async def read(self) -> Listing[int] | StoreError:
        """Read the list."""
        self.calls.append((LIST, 0.0))
        self.now_s += self.takes_s
        assert isinstance(self.answer, Listing | StoreError)
        return self.answer

    async def changes(
        self, since: int, wait_s: float
    ) -> Changes[int] | HistoryExpired | StoreError:
        """Ask for changes."""
        self.calls.append((since, wait_s))
        self.now_s += self.takes_s
        assert not isinstance(self.answer, Listing)
        return self.answer

    def clock(self) -> float:
        """Return the scenario's time."""
        return self.now_s


def _step(context: Context, answer: Answered, takes_s: float = 0.0) -> None:
    context.scripted.answer = answer
    context.scripted.takes_s = takes_s
    asyncio.run(context.follower.step())


@given('a follower whose entries are doubted after {doubted_s:f} s')
def step_follower(context: Context, doubted_s: float) -> None:
    """Make a follower with a clock of its own."""
    context.scripted = Scripted()
    context.follower = CollectionWatcher(
        'entries',
        context.scripted,
        WAIT_S,
        Random(),
        max_unconfirmed_s=doubted_s,
        clock=context.scripted.clock,
    )


@given('it has read the list of revision {revision:d}')
def step_list(context: Context, revision: int) -> None:
    """Give it the list."""
    _step(context, Listing({'a': 1}, revision))


@given('it has read a list that took {took_s:f} s to arrive')
def step_slow_list(context: Context, took_s: float) -> None:
    """Give it a list that took long."""
    _step(context, Listing({'a': 1}, 5, took_s=took_s), took_s)


@when('its next call fails as {fault} after {received:d} bytes')
def step_fails(context: Context, fault: str, received: int) -> None:
    """Fail a call."""
    _step(context, StoreError(StoreFault(fault), fault, received=received))


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


@when('its next call says that the history is gone')
def step_gone(context: Context) -> None:
    """Drop the history."""
    _step(context, HistoryExpired('gone'))


@when('{later_s:f} s later a call tells revision {revision:d} without changes')
def step_tells(context: Context, later_s: float, revision: int) -> None:
    """Give an empty answer."""
    _step(context, Changes((), revision), later_s)


@when(
    'a change comes after {after_s:f} s, {took_s:f} s of which it was arriving'
)
def step_change(context: Context, after_s: float, took_s: float) -> None:
    """Give a change that took long."""
    change = Changes((('a', 2),), 6, size=900_000, took_s=took_s)
    _step(context, change, after_s)


@then('it asks for changes since {since:d} without waiting next')
def step_asks(context: Context, since: int) -> None:
    """Look at the next call."""
    step_gone(context)
    assert context.scripted.calls[-1] == (since, 0.0), context.scripted.calls


@then('it reads the whole list next')
def step_reads(context: Context) -> None:
    """Look at the next call."""
    _step(context, Listing({'a': 1}, 9))
    assert context.scripted.calls[-1][0] == LIST, context.scripted.calls


@then('all changes up to {age_s:f} s ago are known to it')
def step_known(context: Context, age_s: float) -> None:
    """Compare the age."""
    assert abs(context.follower.age_s - age_s) < 1e-6, context.follower.age_s


@then('its next call waits {wait_s:f} s')
def step_waits(context: Context, wait_s: float) -> None:
    """Look at the wait of the next call."""
    _step(context, Changes((), 6))
    waited_s = context.scripted.calls[-1][1]
    assert abs(waited_s - wait_s) < 0.006, waited_s
