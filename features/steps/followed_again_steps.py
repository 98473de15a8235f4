"""Check how a watcher handles repeated, delayed and unreadable changes."""

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
from steps.followed_steps import ScriptedCollection
from steps.followed_steps import WAIT_S

TRUNCATED = StoreError(StoreFault.UNAVAILABLE, 'truncated')
ROUNDING_S = 1e-6


def _start_watcher(context: Context, name: str, **options: Any) -> None:
    context.scripted = ScriptedCollection()
    context.watcher = CollectionWatcher(
        'entries',
        context.scripted,
        WAIT_S,
        Random(),
        clock=context.scripted.clock,
        **options,
    )
    asyncio.run(_make_call(context, Listing({name: 1}, 5)))


async def _make_call(
    context: Context,
    response: Listing[int] | Changes[int] | StoreError,
    takes_s: float = 0.0,
) -> None:
    context.scripted.response = response
    context.scripted.takes_s = takes_s
    pause_s = await context.watcher.step()
    context.scripted.now_s += pause_s


@given('a watcher that retains lapsed entries, with entry "{name}"')
def step_retains(context: Context, name: str) -> None:
    """Retain lapsed entries, as for upstreams."""
    _start_watcher(context, name, retain_lapsed=True)


@given('a watcher that drops unreadable entries, with entry "{name}"')
def step_drops(context: Context, name: str) -> None:
    """Drop unreadable entries, as for upstreams."""
    _start_watcher(context, name, drop_unreadable=True)


@given('a strict watcher whose entries must be confirmed within {limit_s:f} s')
def step_strict(context: Context, limit_s: float) -> None:
    """Watch strictly, as the configuration is watched."""
    _start_watcher(context, 'main', strict=True, max_unconfirmed_s=limit_s)


@when(
    '"{name}" changes and is removed, a call fails and both are returned again'
)
def step_repeated(context: Context, name: str) -> None:
    """Return both changes twice."""

    async def run_calls() -> None:
        context.scripted.now_s += 2.0
        await _make_call(context, Changes(((name, 2),), 6))
        await _make_call(context, Changes(((name, None),), 7))
        assert not context.watcher.entries
        await _make_call(context, TRUNCATED)
        await _make_call(context, Changes(((name, 2), (name, None)), 7))
        context.entries_left = dict(context.watcher.entries)

    asyncio.run(run_calls())


@then('it has no entries')
def step_none(context: Context) -> None:
    """Check the remaining entries."""
    assert not context.entries_left, context.entries_left


@when(
    'a call that should wait 1.2 s returns a change {late_s:d} s after it was'
    ' sent'
)
def step_late(context: Context, late_s: int) -> None:
    """Record the maximum age of the change."""

    def note_age(_name: str, _value: int | None) -> None:
        context.max_age_s = context.watcher.max_change_age_s

    context.watcher.on_change(note_age)
    asyncio.run(_make_call(context, Changes((), 5)))
    asyncio.run(_make_call(context, Changes((('a', 2),), 6), late_s))


@then('the change may have been made {ago_s:d} s ago')
def step_ago(context: Context, ago_s: int) -> None:
    """Check the recorded age."""
    assert abs(context.max_age_s - ago_s) < ROUNDING_S, context.max_age_s


@when("its entry can't be read for {duration_s:d} s")
def step_unread(context: Context, duration_s: int) -> None:
    """Return no changes after the wait of each call."""
    asyncio.run(_make_call(context, Changes((), 6, ('main',))))
    context.scripted.calls.clear()
    end_s = context.scripted.now_s + duration_s
    while context.scripted.now_s < end_s:
        asyncio.run(_make_call(context, Changes((), 6), WAIT_S))


@then('every call waits {wait_s:f} s')
def step_waits(context: Context, wait_s: float) -> None:
    """Check the waits of all calls."""
    waits = {wait for _, wait in context.scripted.calls}
    assert waits == {wait_s}, waits


@when('one response returns a change of "{name}" and reports it as unreadable')
def step_unreadable(context: Context, name: str) -> None:
    """Return both in one response."""
    asyncio.run(_make_call(context, Changes(((name, 2),), 6, (name,))))
    context.entries_left = dict(context.watcher.entries)
