"""Check what a follower makes of changes told again, late or spoilt."""

import asyncio
from random import Random
from typing import Any

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault
from lacewing_daemon.direct import Changes
from lacewing_daemon.direct import Listing
from lacewing_daemon.direct._collection_watcher import CollectionWatcher
from steps.followed_steps import Scripted
from steps.followed_steps import WAIT_S

CUT = StoreError(StoreFault.UNAVAILABLE, 'cut')
ROUNDING_S = 1e-6


def _follow(context: Context, name: str, **how: Any) -> None:
    context.scripted = Scripted()
    context.follower = CollectionWatcher(
        'entries',
        context.scripted,
        WAIT_S,
        Random(),
        clock=context.scripted.clock,
        **how,
    )
    asyncio.run(_step(context, Listing({name: 1}, 5)))


async def _step(
    context: Context,
    answer: Listing[int] | Changes[int] | StoreError,
    takes_s: float = 0.0,
) -> None:
    context.scripted.answer = answer
    context.scripted.takes_s = takes_s
    pause_s = await context.follower.step()
    context.scripted.now_s += pause_s


@given('a follower that keeps what lapsed, with entry "{name}"')
def step_keeps(context: Context, name: str) -> None:
    """Follow as upstreams are."""
    _follow(context, name, retain_lapsed=True)


@given('a follower that drops what can\'t be read, with entry "{name}"')
def step_drops(context: Context, name: str) -> None:
    """Follow as upstreams are."""
    _follow(context, name, drop_unreadable=True)


@given('a strict follower whose entries are doubted after {doubted_s:f} s')
def step_strict(context: Context, doubted_s: float) -> None:
    """Follow as the configuration is."""
    _follow(context, 'main', strict=True, max_unconfirmed_s=doubted_s)


@when('"{name}" changes and is removed, a call fails and both are told again')
def step_again(context: Context, name: str) -> None:
    """Tell the two changes twice."""

    async def play() -> None:
        context.scripted.now_s += 2.0
        await _step(context, Changes(((name, 2),), 6))
        await _step(context, Changes(((name, None),), 7))
        assert not context.follower.entries
        await _step(context, CUT)
        await _step(context, Changes(((name, 2), (name, None)), 7))
        context.left = dict(context.follower.entries)

    asyncio.run(play())


@then('it has no entries')
def step_none(context: Context) -> None:
    """Look at what was left."""
    assert not context.left, context.left


@when(
    'a call that was to wait 1.2 s tells a change {late_s:d} s after it was'
    ' sent'
)
def step_late(context: Context, late_s: int) -> None:
    """Note for how long the change may have been made."""

    def told(_name: str, _value: int | None) -> None:
        context.unsure_s = context.follower.max_change_age_s

    context.follower.on_change(told)
    asyncio.run(_step(context, Changes((), 5)))
    asyncio.run(_step(context, Changes((('a', 2),), 6), late_s))


@then('the change may have been made {ago_s:d} s ago')
def step_ago(context: Context, ago_s: int) -> None:
    """Compare."""
    assert abs(context.unsure_s - ago_s) < ROUNDING_S, context.unsure_s


@when("its entry can't be read for {span_s:d} s")
def step_unread(context: Context, span_s: int) -> None:
    """Let calls return empty after their wait."""
    asyncio.run(_step(context, Changes((), 6, ('main',))))
    context.scripted.calls.clear()
    end_s = context.scripted.now_s + span_s
    while context.scripted.now_s < end_s:
        asyncio.run(_step(context, Changes((), 6), WAIT_S))


@then('every call waits {wait_s:f} s')
def step_waits(context: Context, wait_s: float) -> None:
    """Look at the calls."""
    waits = {wait for _, wait in context.scripted.calls}
    assert waits == {wait_s}, waits


@when('one answer tells a change of "{name}" and that it can\'t be read')
def step_spoilt(context: Context, name: str) -> None:
    """Tell both."""
    asyncio.run(_step(context, Changes(((name, 2),), 6, (name,))))
    context.left = dict(context.follower.entries)
