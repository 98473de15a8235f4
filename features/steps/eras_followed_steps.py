"""Check how a watcher separates the eras of a store."""

import asyncio
from random import Random

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault
from lacewing_daemon.direct import Changes
from lacewing_daemon.direct import Listing
from lacewing_daemon.direct._collection_watcher import CollectionWatcher
from lacewing_daemon.direct._store_eras import StoreEras
from steps.followed_steps import LIST
from steps.followed_steps import ScriptedCollection
from steps.followed_steps import WAIT_S

NAME = 'main'
MAX_UNCONFIRMED_S = 4.85


def _response(answer: str, era: int) -> Changes[int] | StoreError:
    if answer == 'no change':
        return Changes((), 6, era=era)
    if answer == 'a change':
        return Changes(((NAME, 8),), 6, era=era)
    assert answer == 'an error', answer
    return StoreError(StoreFault.UNAVAILABLE, 'unavailable', era=era)


def _is_older(value: int, known: int) -> bool:
    return value < known


def _make_call(
    context: Context, response: Listing[int] | Changes[int] | StoreError
) -> None:
    context.scripted.response = response
    pause_s = asyncio.run(context.watcher.step())
    context.scripted.now_s += pause_s


@given('a strict watcher of versions that has read version 7 in era 1')
def step_follower(context: Context) -> None:
    """Watch strictly, as the configuration is watched."""
    context.scripted = ScriptedCollection()
    context.eras = StoreEras()
    context.watcher = CollectionWatcher(
        'entries',
        context.scripted,
        WAIT_S,
        Random(),
        strict=True,
        max_unconfirmed_s=MAX_UNCONFIRMED_S,
        clock=context.scripted.clock,
        eras=context.eras,
        is_older=_is_older,
    )
    _make_call(context, Listing({NAME: 7}, 5, era=1))
    context.scripted.now_s += 0.5


@when('{answer} of era {era:d} arrives')
def step_answer(context: Context, answer: str, era: int) -> None:
    """Return a response to the next call."""
    if answer == 'a list':
        _make_call(context, Listing({NAME: 8}, 6, era=era))
        return
    _make_call(context, _response(answer, era))


@then('the whole list is read next')
def step_list_next(context: Context) -> None:
    """Check that the next call reads the list."""
    context.scripted.calls.clear()
    _make_call(context, StoreError(StoreFault.UNAVAILABLE, 'unavailable'))
    assert context.scripted.calls == [(LIST, 0.0)], context.scripted.calls


@when('another watcher of the store observes era {era:d}')
def step_observes(context: Context, era: int) -> None:
    """Update the era that all watchers share."""
    context.eras.observe(era)


@when(
    'another watcher of the store observes era {era:d} during a call of'
    ' {wait_s:d} s'
)
def step_observes_during(context: Context, era: int, wait_s: int) -> None:
    """Make a call for changes that waits in real time."""

    class WaitingCollection(ScriptedCollection):
        """Delay responses to calls for changes."""

        async def changes(self, since: int, wait_s: float) -> Changes[int]:
            """Wait regardless of the requested time."""
            self.calls.append((since, wait_s))
            await asyncio.sleep(context.wait_s)
            return Changes((), since, era=1)

    async def run_call() -> float:
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, context.eras.observe, era)
        started_s = loop.time()
        await context.watcher.step()
        return loop.time() - started_s

    context.wait_s = wait_s
    context.scripted = WaitingCollection()
    context.watcher._collection = context.scripted
    context.took_s = asyncio.run(run_call())


@then('the call ends within {limit_s:d} s')
def step_ends(context: Context, limit_s: int) -> None:
    """Check the duration of the call."""
    assert context.took_s < limit_s, context.took_s


@when('a list of era {era:d} with version {version:d} arrives')
def step_list(context: Context, era: int, version: int) -> None:
    """Report the era first, as any response does."""
    context.eras.observe(era)
    _make_call(context, Listing({NAME: version}, 3, era=era))


@when(
    'a list of era {era:d} with version {version:d} arrives, and again'
    ' {later_s:d} s later'
)
def step_list_twice(
    context: Context, era: int, version: int, later_s: int
) -> None:
    """Return the same list twice."""
    step_list(context, era, version)
    context.scripted.now_s += later_s
    _make_call(context, StoreError(StoreFault.UNKNOWN, 'unreadable'))
    _make_call(context, Listing({NAME: version}, 4, era=era))


@when('version {version:d} is reported in era {era:d}')
def step_reported(context: Context, version: int, era: int) -> None:
    """Return the change, then no changes."""
    _make_call(context, Changes(((NAME, version),), 6, era=era))
    context.scripted.takes_s = WAIT_S
    _make_call(context, Changes((), 6, era=era))
    context.scripted.takes_s = 0.0


@when('the watcher runs for {duration_s:f} s more')
def step_runs(context: Context, duration_s: float) -> None:
    """Return no changes after the wait of each call."""
    end_s = context.scripted.now_s + duration_s
    context.scripted.takes_s = 0.25
    while context.scripted.now_s < end_s:
        _make_call(context, Changes((), 6, era=context.eras.current))
    context.scripted.takes_s = 0.0


@then('version {version:d} is known and not confirmed')
def step_unconfirmed(context: Context, version: int) -> None:
    """Check the entry and its age: the first list is 0.5 s old."""
    assert context.watcher.entries == {NAME: version}
    age_s = context.scripted.now_s - 100.0
    assert context.watcher.age_s >= age_s - 1e-6, context.watcher.age_s


@then('version {version:d} is known and confirmed')
def step_confirmed(context: Context, version: int) -> None:
    """Check the entry and its age."""
    assert context.watcher.entries == {NAME: version}
    assert context.watcher.age_s < MAX_UNCONFIRMED_S / 2, context.watcher.age_s
