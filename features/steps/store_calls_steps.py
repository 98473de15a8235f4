"""Check how many calls a router makes to the store, and why."""

import asyncio
from collections import Counter
from random import Random

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault
from lacewing_daemon.direct import Changes
from lacewing_daemon.direct import Listing
from lacewing_daemon.direct._followed import Followed
from lacewing_daemon.direct._store_calls import CountedObjects
from lacewing_daemon.direct._store_calls import StoreCalls
from steps.followed_steps import Answered
from steps.followed_steps import Scripted
from steps.followed_steps import WAIT_S
from structlog.testing import capture_logs

AWAY = StoreError(StoreFault.UNAVAILABLE, 'away')


class _NoObjects:
    """Answer each call for own objects with a failure."""

    async def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Fail."""
        return AWAY

    async def peek(self, kind: str, name: str) -> StoredObject | StoreError:
        """Fail."""
        return AWAY

    async def peek_all(
        self, kind: str
    ) -> tuple[StoredObject, ...] | StoreError:
        """Fail."""
        return AWAY

    async def put(
        self, kind: str, name: str, value: bytes, expect: int
    ) -> StoredObject | StoreError:
        """Fail."""
        return AWAY

    async def delete(
        self, kind: str, name: str, expect: int
    ) -> None | StoreError:
        """Fail."""
        return AWAY


@given('a follower of "{name}" whose calls are counted')
def step_counted(context: Context, name: str) -> None:
    """Make a follower with a clock of its own."""
    context.scripted = Scripted()
    context.calls = StoreCalls()
    context.follower = Followed(
        name,
        context.scripted,
        WAIT_S,
        Random(),
        clock=context.scripted.clock,
        calls=context.calls,
    )


@when('it reads, waits in vain, is told a change and loses the next call')
def step_all_reasons(context: Context) -> None:
    """Give each kind of answer."""
    answers: tuple[Answered, ...] = (
        Listing({'a': 1}, 5),
        Changes((), 5),
        Changes((('a', 2),), 6),
        AWAY,
        Changes((), 6),
    )

    async def play() -> None:
        for answer in answers:
            context.scripted.answer = answer
            await context.follower.step()

    asyncio.run(play())


@given('a store of own objects whose calls are counted')
def step_own_objects(context: Context) -> None:
    """Count the calls for own objects."""
    context.calls = StoreCalls()
    context.objects = CountedObjects(_NoObjects(), context.calls)


@when('an object is written, read, looked at cheaply and removed')
def step_own_calls(context: Context) -> None:
    """Make one call of each kind."""

    async def play() -> None:
        await context.objects.put('leases', 'weights', b'', 0)
        await context.objects.get('leases', 'weights')
        await context.objects.peek('leases', 'weights')
        await context.objects.peek_all('routers')
        await context.objects.delete('leases', 'weights', 1)

    asyncio.run(play())


@when('the counts are logged twice')
def step_logged(context: Context) -> None:
    """Log them with nothing between."""
    with capture_logs() as context.lines:
        context.calls.tell()
        context.calls.tell()


@then('these calls were counted')
def step_counts(context: Context) -> None:
    """Compare with the table."""
    expected: Counter[str] = Counter()
    for row in context.table:
        name = f'{row["subject"]}.{row["reason"]}'
        expected[name] = int(row['calls'])
    assert context.calls.counts == expected, context.calls.counts


@then('one line tells {calls:d} calls')
def step_line(context: Context, calls: int) -> None:
    """Look at what was logged."""
    assert len(context.lines) == 1, context.lines
    told = sum(context.lines[0]['calls'].values())
    assert told == calls, told
