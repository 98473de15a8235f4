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
from steps.followed_steps import Response
from steps.followed_steps import ScriptedCollection
from steps.followed_steps import WAIT_S
from structlog.testing import capture_logs
from support.direct_bench import direct_bench

COLLECTIONS = ('configuration', 'upstreams', 'weights')
STORE_UNAVAILABLE = StoreError(StoreFault.UNAVAILABLE, 'unavailable')


class _UnavailableObjects:
    """Fail each call for system objects."""

    async def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Fail."""
        return STORE_UNAVAILABLE

    async def peek(self, kind: str, name: str) -> StoredObject | StoreError:
        """Fail."""
        return STORE_UNAVAILABLE

    async def peek_all(
        self, kind: str
    ) -> tuple[StoredObject, ...] | StoreError:
        """Fail."""
        return STORE_UNAVAILABLE

    async def put(
        self, kind: str, name: str, value: bytes, expect: int
    ) -> StoredObject | StoreError:
        """Fail."""
        return STORE_UNAVAILABLE

    async def delete(
        self, kind: str, name: str, expect: int
    ) -> None | StoreError:
        """Fail."""
        return STORE_UNAVAILABLE


@given('a watcher of "{name}" whose calls are counted')
def step_counted(context: Context, name: str) -> None:
    """Create a watcher with a simulated clock."""
    context.scripted = ScriptedCollection()
    context.calls = StoreCallCounter()
    context.watcher = CollectionWatcher(
        name,
        context.scripted,
        WAIT_S,
        Random(),
        clock=context.scripted.clock,
        calls=context.calls,
    )


@when(
    'it reads, waits without a result, receives a change and fails the next'
    ' call'
)
def step_all_reasons(context: Context) -> None:
    """Return each kind of response."""
    responses: tuple[Response, ...] = (
        Listing({'a': 1}, 5),
        Changes((), 5),
        Changes((('a', 2),), 6),
        STORE_UNAVAILABLE,
        Changes((), 6),
    )

    async def make_calls() -> None:
        for response in responses:
            context.scripted.response = response
            await context.watcher.step()

    asyncio.run(make_calls())


@given('a store of system objects whose calls are counted')
def step_system_objects(context: Context) -> None:
    """Count the calls for system objects."""
    context.calls = StoreCallCounter()
    context.objects = InstrumentedObjects(
        _UnavailableObjects(), context.calls, StoreEras()
    )


@when('an object is written, read, peeked at and removed')
def step_object_calls(context: Context) -> None:
    """Make one call of each kind."""

    async def make_calls() -> None:
        await context.objects.put('leases', 'weights', b'', 0)
        await context.objects.get('leases', 'weights')
        await context.objects.peek('leases', 'weights')
        await context.objects.peek_all('routers')
        await context.objects.delete('leases', 'weights', 1)

    asyncio.run(make_calls())


@when('the counts are logged twice')
def step_logged(context: Context) -> None:
    """Log them twice without calls in between."""
    with capture_logs() as context.lines:
        context.calls.log_counts()
        context.calls.log_counts()


@then('these calls were counted')
def step_counts(context: Context) -> None:
    """Check the counts against the table."""
    expected: Counter[str] = Counter()
    for row in context.table:
        name = f'{row["subject"]}.{row["reason"]}'
        expected[name] = int(row['calls'])
    assert context.calls.counts == expected, context.calls.counts


@then('one log line reports {calls:d} calls')
def step_line(context: Context, calls: int) -> None:
    """Check the log line."""
    assert len(context.lines) == 1, context.lines
    reported = sum(context.lines[0]['calls'].values())
    assert reported == calls, reported


def _call_count(subject: str, reason: str) -> float:
    """Return the number of calls by all routers of this process."""
    labels = {'subject': subject, 'reason': reason}
    made = REGISTRY.get_sample_value(
        'lacewing_direct_store_calls_total', labels
    )
    return made or 0.0


def _call_counts(reason: str) -> dict[str, float]:
    return {subject: _call_count(subject, reason) for subject in COLLECTIONS}


@when('the store refuses all calls for {seconds:f} seconds')
def step_busy(context: Context, seconds: float) -> None:
    """Refuse all calls for a while."""
    bench = direct_bench(context)
    bench.store.mode = StoreMode.BUSY
    # Calls that are waiting end meanwhile.
    time.sleep(seconds / 2)
    before = _call_counts('failure')
    time.sleep(seconds)
    after = _call_counts('failure')
    context.failures = {
        subject: after[subject] - before[subject] for subject in COLLECTIONS
    }
    context.calls_before = _call_counts('quiet')
    bench.store.mode = StoreMode.CALM


@then(
    'the other collections made at most {times:f} times the calls of the'
    ' configuration'
)
def step_few(context: Context, times: float) -> None:
    """Compare the numbers of failed calls."""
    others = context.failures['upstreams'] + context.failures['weights']
    own = context.failures['configuration']
    assert own > 0, context.failures
    assert others <= own * times, context.failures


@then('all collections are watched again within {seconds:f} seconds')
def step_reconnected(context: Context, seconds: float) -> None:
    """Wait until each has made a call after a successful one."""
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        now = _call_counts('quiet')
        if all(now[name] > context.calls_before[name] for name in COLLECTIONS):
            return
        time.sleep(0.01)
    raise AssertionError(
        f'expected calls after {context.calls_before}, came {now}'
    )
