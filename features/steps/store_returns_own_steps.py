"""Check what routers store across a restore from a snapshot."""

import asyncio
from random import Random
from typing import Any

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct._collection_watcher import CollectionWatcher
from lacewing_daemon.direct._router_count import RENEW_S
from lacewing_daemon.direct._router_count import RouterCount
from lacewing_daemon.direct._router_count import ROUTERS
from lacewing_daemon.direct._store_calls import InstrumentedObjects
from lacewing_daemon.direct._store_calls import StoreCallCounter
from lacewing_daemon.direct._store_eras import StoreEras
from lacewing_daemon.direct.crashes._crash_store import CRASHES
from lacewing_daemon.direct.crashes._crash_store import CrashStore
from lacewing_daemon.direct.crashes._record import CrashRecord
from lacewing_daemon.direct.crashes._record import UpstreamIncarnation
from lacewing_daemon.lease import Lease
from lacewing_daemon.lease import LeaseHeld
from lacewing_daemon.lease import LEASES
from steps.followed_steps import ScriptedCollection
from support.orders_bench import ManualClock
from support.returning_store import RestorableStore

LEASE = 'weights'
LEASE_S = 1.8
MARGIN_S = 0.4
COUNT_INTERVAL_S = 5.0


@given('a store of objects in era 1')
def step_store(context: Context) -> None:
    """Start with an empty store and a simulated clock."""
    context.store = RestorableStore()
    context.clock = ManualClock()
    context.leases = {}


def _lease(context: Context, name: str) -> Lease:
    if name not in context.leases:
        context.leases[name] = Lease(
            context.store, LEASE, name, LEASE_S, MARGIN_S, context.clock
        )
    lease: Lease = context.leases[name]
    return lease


def _acquire(context: Context, name: str) -> bool:
    response = asyncio.run(_lease(context, name).acquire())
    return isinstance(response, LeaseHeld)


def _advance(context: Context, duration_s: float) -> None:
    context.clock.now_s += duration_s


@given('router "{name}" held and released the lease before the snapshot')
def step_released(context: Context, name: str) -> None:
    """Leave a record without a holder in the snapshot."""
    assert _acquire(context, name)
    asyncio.run(_lease(context, name).release())
    context.store.take_snapshot()


@given(
    'router "{name}" held the lease before the snapshot and did not release it'
)
def step_held_before(context: Context, name: str) -> None:
    """Leave an own record in the snapshot, and let it expire."""
    assert _acquire(context, name)
    context.store.take_snapshot()
    # Another router starts to wait until it expires.
    assert not _acquire(context, 'b')
    _advance(context, LEASE_S + MARGIN_S + 0.1)


@given('router "{name}" holds the lease')
def step_holds(context: Context, name: str) -> None:
    """Acquire the lease."""
    if not _acquire(context, name):
        _advance(context, LEASE_S + MARGIN_S + 0.1)
        assert _acquire(context, name)
    if not context.store.objects:
        context.store.take_snapshot()


@given('router "{name}" holds a lease that is not in the snapshot')
def step_not_in_snapshot(context: Context, name: str) -> None:
    """Acquire the lease after the snapshot."""
    context.store.take_snapshot()
    assert _acquire(context, name)


@given('router "{name}" knows that it is held')
def step_knows(context: Context, name: str) -> None:
    """Fail to acquire the lease."""
    assert not _acquire(context, name)


@when('the platform restores the store from the snapshot')
def step_returns(context: Context) -> None:
    """Lose all writes since the snapshot."""
    context.store.restore()
    context.restored_s = context.clock.now_s


@then('router "{name}" acquires the lease after {after_s:f} s and not earlier')
def step_takes(context: Context, name: str, after_s: float) -> None:
    """Try to acquire the lease every 0.1 s."""
    started_s = context.clock.now_s
    while not _acquire(context, name):
        _advance(context, 0.1)
        assert context.clock.now_s - started_s < 4 * after_s
    assert context.clock.now_s - started_s >= after_s - 1e-6


@then('"{name}" assumes that another holder acted until the restore')
def step_acted(context: Context, name: str) -> None:
    """Check when another holder may have acted last."""
    ago_s = _lease(context, name).other_acted_ago_s
    since_s = context.clock.now_s - context.restored_s
    assert ago_s <= since_s + 1e-6, (ago_s, since_s)


@when(
    'the platform restores the store and another write has the same revision'
)
def step_same_revision(context: Context) -> None:
    """Assign the revision of the lease again."""
    context.store.take_snapshot()
    context.store.restore()


@then('router "{name}" renews the lease and does not consider it held')
def step_renews_unheld(context: Context, name: str) -> None:
    """Renew in the new era; the version matches by chance."""
    assert not _acquire(context, name)
    assert not _lease(context, name).is_held


@when('the response to a renewal is lost and the store is restored')
def step_lost(context: Context) -> None:
    """Lose the write together with its response."""
    context.store.take_snapshot()
    context.record = context.store.objects[LEASES, LEASE]
    context.store.restore_on_next_put = True
    _advance(context, 0.7)


@then('router "{name}" does not hold the lease')
def step_not_held(context: Context, name: str) -> None:
    """Check that a renewal fails."""
    assert not _acquire(context, name)


@then('the store has the record from the snapshot')
def step_record(context: Context) -> None:
    """Compare versions."""
    assert context.store.objects[LEASES, LEASE] == context.record


@when(
    'the platform restores the store from the snapshot twice and'
    ' "{name}" acquires the lease'
)
def step_twice(context: Context, name: str) -> None:
    """Record the fencing numbers."""
    context.fences = [_lease(context, name).fence]
    context.store.take_snapshot()
    for _ in range(2):
        context.store.restore()
        while not _acquire(context, name):
            _advance(context, 0.1)
        context.fences.append(_lease(context, name).fence)


@then('each fencing number is higher than the one before')
def step_higher(context: Context) -> None:
    """Check that the numbers increase strictly."""
    assert context.fences == sorted(set(context.fences)), context.fences


def _create_routers(context: Context) -> None:
    context.counts = []
    for number in range(3):
        eras = StoreEras()
        store = InstrumentedObjects(context.store, StoreCallCounter(), eras)
        context.counts.append(
            RouterCount(
                store,
                f'router-{number}',
                Random(number),
                lambda count: None,
                context.clock,
                eras=eras,
            )
        )


def _count(context: Context) -> list[int]:
    """Let each router renew its entry if it is due, and count."""

    async def renew_and_count(count: Any) -> None:
        if context.clock.now_s - count._renewed_s >= RENEW_S:
            await count.renew()
        await count.refresh()

    for count in context.counts:
        asyncio.run(renew_and_count(count))
    return [count.count for count in context.counts]


def _count_repeatedly(context: Context, times: int) -> list[list[int]]:
    found = []
    for _ in range(times):
        _advance(context, COUNT_INTERVAL_S)
        found.append(_count(context))
    return found


@given('3 routers counted each other after the snapshot')
def step_counted_after(context: Context) -> None:
    """Take the snapshot before any router has written its entry."""
    context.store.take_snapshot()
    _create_routers(context)
    assert _count_repeatedly(context, 2)[-1] == [3, 3, 3]


@given('3 routers counted each other before the snapshot and renewed often')
def step_counted_before(context: Context) -> None:
    """Let versions grow far beyond those in the snapshot."""
    _create_routers(context)
    _count_repeatedly(context, 2)
    context.store.take_snapshot()
    assert _count_repeatedly(context, 20)[-1] == [3, 3, 3]


@then('each counts 3 routers while all write their entries again')
def step_counts(context: Context) -> None:
    """Count a few times."""
    found = _count_repeatedly(context, 3)
    assert found == [[3, 3, 3]] * 3, found


@then('the store has entries of 3 routers')
def step_entries(context: Context) -> None:
    """Check the entries in the store."""
    kinds = [kind for kind, _ in context.store.objects]
    assert kinds.count(ROUTERS) == 3, kinds


@then('each counts 3 routers for {duration_s:d} s')
def step_counts_for(context: Context, duration_s: int) -> None:
    """Count repeatedly for the whole time."""
    times = int(duration_s / COUNT_INTERVAL_S)
    found = _count_repeatedly(context, times)
    assert found == [[3, 3, 3]] * times, found


@given('a router that wrote a record of a crash after the snapshot')
def step_crash(context: Context) -> None:
    """Write a record through the crash store."""
    context.store.take_snapshot()
    context.eras = StoreEras()
    store = InstrumentedObjects(
        context.store, StoreCallCounter(), context.eras
    )
    unused: Any = ScriptedCollection()
    watcher: CollectionWatcher[str] = CollectionWatcher(
        CRASHES, unused, 1.0, Random()
    )
    context.crash_store = CrashStore(
        store, watcher, 'router-1', Random(), context.eras, context.clock
    )
    context.crash_store.save(
        CrashRecord(UpstreamIncarnation('engine-1', 1), ())
    )
    context.eras.observe(1)
    _write_pending(context)
    assert _crash_record_count(context) == 1


@then('the store has the record again')
def step_crash_again(context: Context) -> None:
    """Report the era, as any response does."""
    assert _crash_record_count(context) == 0
    context.eras.observe(context.store.era)
    _write_pending(context)
    assert _crash_record_count(context) == 1


def _write_pending(context: Context) -> None:
    async def run_writer() -> None:
        task = asyncio.create_task(context.crash_store.run())
        await asyncio.sleep(0.05)
        task.cancel()

    asyncio.run(run_writer())


def _crash_record_count(context: Context) -> int:
    kinds = [kind for kind, _ in context.store.objects]
    return kinds.count(CRASHES)
