"""Check how a follower keeps eras of the store apart."""

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
from steps.followed_steps import Scripted
from steps.followed_steps import WAIT_S

NAME = 'main'
DOUBTED_S = 4.85


def _answer(answer: str, era: int) -> Changes[int] | StoreError:
    if answer == 'no change':
        return Changes((), 6, era=era)
    if answer == 'a change':
        return Changes(((NAME, 8),), 6, era=era)
    assert answer == 'an error', answer
    return StoreError(StoreFault.UNAVAILABLE, 'away', era=era)


def _older(value: int, known: int) -> bool:
    return value < known


def _step(
    context: Context, answer: Listing[int] | Changes[int] | StoreError
) -> None:
    context.scripted.answer = answer
    pause_s = asyncio.run(context.follower.step())
    context.scripted.now_s += pause_s


@given('a strict follower of versions that has read version 7 in era 1')
def step_follower(context: Context) -> None:
    """Follow as the configuration is."""
    context.scripted = Scripted()
    context.eras = StoreEras()
    context.follower = CollectionWatcher(
        'entries',
        context.scripted,
        WAIT_S,
        Random(),
        strict=True,
        max_unconfirmed_s=DOUBTED_S,
        clock=context.scripted.clock,
        eras=context.eras,
        is_older=_older,
    )
    _step(context, Listing({NAME: 7}, 5, era=1))
    context.scripted.now_s += 0.5


@when('{answer} of era {era:d} comes')
def step_answer(context: Context, answer: str, era: int) -> None:
    """Answer the call for changes."""
    if answer == 'a list':
        _step(context, Listing({NAME: 8}, 6, era=era))
        return
    _step(context, _answer(answer, era))


@then('the whole list is read next')
def step_list_next(context: Context) -> None:
    """Make one more call."""
    context.scripted.calls.clear()
    _step(context, StoreError(StoreFault.UNAVAILABLE, 'away'))
    assert context.scripted.calls == [(LIST, 0.0)], context.scripted.calls


@when('another follower of the store hears of era {era:d}')
def step_hears(context: Context, era: int) -> None:
    """Tell the era that all share."""
    context.eras.observe(era)


@when(
    'another follower of the store hears of era {era:d} during a call of'
    ' {wait_s:d} s'
)
def step_hears_during(context: Context, era: int, wait_s: int) -> None:
    """Let a call for changes wait in real time."""

    class Waiting(Scripted):
        """Answer no call for changes for a while."""

        async def changes(self, since: int, wait_s: float) -> Changes[int]:
            """Wait, whatever the call asked for."""
            self.calls.append((since, wait_s))
            await asyncio.sleep(context.wait_s)
            return Changes((), since, era=1)

    async def play() -> float:
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, context.eras.observe, era)
        began_s = loop.time()
        await context.follower.step()
        return loop.time() - began_s

    context.wait_s = wait_s
    context.scripted = Waiting()
    context.follower._collection = context.scripted
    context.took_s = asyncio.run(play())


@then('the call ends within {limit_s:d} s')
def step_ends(context: Context, limit_s: int) -> None:
    """Compare."""
    assert context.took_s < limit_s, context.took_s


@when('a list of era {era:d} with version {version:d} comes')
def step_list(context: Context, era: int, version: int) -> None:
    """Tell the era first, as any answer does."""
    context.eras.observe(era)
    _step(context, Listing({NAME: version}, 3, era=era))


@when(
    'a list of era {era:d} with version {version:d} comes, and again'
    ' {later_s:d} s later'
)
def step_list_twice(
    context: Context, era: int, version: int, later_s: int
) -> None:
    """Read the same list twice."""
    step_list(context, era, version)
    context.scripted.now_s += later_s
    _step(context, StoreError(StoreFault.UNKNOWN, 'unreadable'))
    _step(context, Listing({NAME: version}, 4, era=era))


@when('version {version:d} is told in era {era:d}')
def step_told(context: Context, version: int, era: int) -> None:
    """Tell the change, then nothing."""
    _step(context, Changes(((NAME, version),), 6, era=era))
    context.scripted.takes_s = WAIT_S
    _step(context, Changes((), 6, era=era))
    context.scripted.takes_s = 0.0


@when('it is followed for {span_s:f} s more')
def step_followed(context: Context, span_s: float) -> None:
    """Let calls wait and tell nothing."""
    end_s = context.scripted.now_s + span_s
    context.scripted.takes_s = 0.25
    while context.scripted.now_s < end_s:
        _step(context, Changes((), 6, era=context.eras.current))
    context.scripted.takes_s = 0.0


@then('version {version:d} is known and not confirmed')
def step_unconfirmed(context: Context, version: int) -> None:
    """Look at the entry and its age: the first list is 0.5 s old."""
    assert context.follower.entries == {NAME: version}
    age_s = context.scripted.now_s - 100.0
    assert context.follower.age_s >= age_s - 1e-6, context.follower.age_s


@then('version {version:d} is known and confirmed')
def step_confirmed(context: Context, version: int) -> None:
    """Look at the entry and its age."""
    assert context.follower.entries == {NAME: version}
    assert context.follower.age_s < DOUBTED_S / 2, context.follower.age_s
