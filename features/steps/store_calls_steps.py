"""Check how many calls a router makes to the store, and why."""

import asyncio
import time
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
from lacewing_daemon.direct._collection_watcher import CollectionWatcher
from lacewing_daemon.direct._store_calls import InstrumentedObjects
from lacewing_daemon.direct._store_calls import StoreCallCounter
from lacewing_daemon.direct._store_eras import StoreEras
from lacewing_platform_testing import StoreMode
from prometheus_client import REGISTRY
from steps.followed_steps import Answered
from steps.followed_steps import Scripted
from steps.followed_steps import WAIT_S
from structlog.testing import capture_logs
from support.direct_bench import direct_bench

COLLECTIONS = ('configuration', 'upstreams', 'weights')
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
    context.calls = StoreCallCounter()
    context.follower = CollectionWatcher(
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
    context.calls = StoreCallCounter()
    context.objects = InstrumentedObjects(
        _NoObjects(), context.calls, StoreEras()
    )


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
        context.calls.log_counts()
        context.calls.log_counts()


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


def _made(subject: str, reason: str) -> float:
    """Return the calls that all routers of this process made so far."""
    labels = {'subject': subject, 'reason': reason}
    made = REGISTRY.get_sample_value(
        'lacewing_direct_store_calls_total', labels
    )
    return made or 0.0


def _all_made(reason: str) -> dict[str, float]:
    return {subject: _made(subject, reason) for subject in COLLECTIONS}


@when('the store turns all calls away for {seconds:f} seconds')
def step_busy(context: Context, seconds: float) -> None:
    """Turn all calls away for a while."""
    bench = direct_bench(context)
    bench.store.mode = StoreMode.BUSY
    # Calls that wait end meanwhile.
    time.sleep(seconds / 2)
    before = _all_made('failure')
    time.sleep(seconds)
    after = _all_made('failure')
    context.failures = {
        subject: after[subject] - before[subject] for subject in COLLECTIONS
    }
    context.quiet = _all_made('quiet')
    bench.store.mode = StoreMode.CALM


@then(
    'the other collections made at most {times:f} times the calls of the'
    ' configuration'
)
def step_few(context: Context, times: float) -> None:
    """Compare the calls that failed."""
    others = context.failures['upstreams'] + context.failures['weights']
    own = context.failures['configuration']
    assert own > 0, context.failures
    assert others <= own * times, context.failures


@then('all collections are followed again within {seconds:f} seconds')
def step_followed(context: Context, seconds: float) -> None:
    """Wait until each has made a call after one that succeeded."""
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        now = _all_made('quiet')
        if all(now[name] > context.quiet[name] for name in COLLECTIONS):
            return
        time.sleep(0.01)
    raise AssertionError(f'expected calls after {context.quiet}, came {now}')
