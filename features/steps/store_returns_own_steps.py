"""Check what routers keep in a store that returns from a copy."""

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
from steps.followed_steps import Scripted
from support.orders_bench import ManualClock
from support.returning_store import ReturningStore

LEASE = 'weights'
LEASE_S = 1.8
MARGIN_S = 0.4
LOOK_S = 5.0


@given('a store of objects in era 1')
def step_store(context: Context) -> None:
    """Begin with an empty store and a clock of the scenario's."""
    context.store = ReturningStore()
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
    answer = asyncio.run(_lease(context, name).acquire())
    return isinstance(answer, LeaseHeld)


def _pass(context: Context, span_s: float) -> None:
    context.clock.now_s += span_s


@given('router "{name}" held and released the lease before the copy')
def step_released(context: Context, name: str) -> None:
    """Leave a record of nobody in the copy."""
    assert _acquire(context, name)
    asyncio.run(_lease(context, name).release())
    context.store.copy()


@given('router "{name}" held the lease before the copy and did not release it')
def step_held_before(context: Context, name: str) -> None:
    """Leave an own record in the copy, and let it lapse."""
    assert _acquire(context, name)
    context.store.copy()
    # Another one waits it out.
    assert not _acquire(context, 'b')
    _pass(context, LEASE_S + MARGIN_S + 0.1)


@given('router "{name}" holds the lease')
def step_holds(context: Context, name: str) -> None:
    """Take the lease."""
    if not _acquire(context, name):
        _pass(context, LEASE_S + MARGIN_S + 0.1)
        assert _acquire(context, name)
    if not context.store.objects:
        context.store.copy()


@given('router "{name}" holds a lease that is no part of the copy')
def step_no_part(context: Context, name: str) -> None:
    """Take the lease after the copy."""
    context.store.copy()
    assert _acquire(context, name)


@given('router "{name}" knows that it is held')
def step_knows(context: Context, name: str) -> None:
    """Let another one ask in vain."""
    assert not _acquire(context, name)


@when('the store returns from the copy')
def step_returns(context: Context) -> None:
    """Lose what was written since."""
    context.store.return_from_copy()
    context.returned_s = context.clock.now_s


@then('router "{name}" takes the lease after {after_s:f} s and not before')
def step_takes(context: Context, name: str, after_s: float) -> None:
    """Ask every 0.1 s."""
    began_s = context.clock.now_s
    while not _acquire(context, name):
        _pass(context, 0.1)
        assert context.clock.now_s - began_s < 4 * after_s
    assert context.clock.now_s - began_s >= after_s - 1e-6


@then('"{name}" counts another holder as acting until the return')
def step_acted(context: Context, name: str) -> None:
    """Look at when another one may have acted."""
    ago_s = _lease(context, name).other_acted_ago_s
    since_s = context.clock.now_s - context.returned_s
    assert ago_s <= since_s + 1e-6, (ago_s, since_s)


@when('the store returns and another write has the same revision')
def step_same_revision(context: Context) -> None:
    """Give the revision of the lease out again."""
    context.store.copy()
    context.store.return_from_copy()


@then('router "{name}" renews the lease without effect on its own belief')
def step_no_belief(context: Context, name: str) -> None:
    """Renew in the new era; the condition holds by chance."""
    assert not _acquire(context, name)
    assert not _lease(context, name).is_held


@when('the answer to a renewal is lost and the store returns')
def step_lost(context: Context) -> None:
    """Let the write be lost with its answer."""
    context.store.copy()
    context.record = context.store.objects[LEASES, LEASE]
    context.store.loses_next = True
    _pass(context, 0.7)


@then('router "{name}" does not hold the lease')
def step_not_held(context: Context, name: str) -> None:
    """Renew, and look."""
    assert not _acquire(context, name)


@then('the store has its record of the copy')
def step_record(context: Context) -> None:
    """Compare versions."""
    assert context.store.objects[LEASES, LEASE] == context.record


@when(
    'the store returns from the copy twice and "{name}" takes the lease each'
    ' time'
)
def step_twice(context: Context, name: str) -> None:
    """Note the fencing numbers."""
    context.fences = [_lease(context, name).fence]
    context.store.copy()
    for _ in range(2):
        context.store.return_from_copy()
        while not _acquire(context, name):
            _pass(context, 0.1)
        context.fences.append(_lease(context, name).fence)


@then('each fencing number is higher than the one before')
def step_higher(context: Context) -> None:
    """Compare."""
    assert context.fences == sorted(set(context.fences)), context.fences


def _routers(context: Context) -> None:
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


def _look(context: Context) -> list[int]:
    """Let each router renew if it is due, and look."""

    async def play(count: Any) -> None:
        if context.clock.now_s - count._renewed_s >= RENEW_S:
            await count.renew()
        await count.refresh()

    for count in context.counts:
        asyncio.run(play(count))
    return [count.count for count in context.counts]


def _looks(context: Context, times: int) -> list[list[int]]:
    found = []
    for _ in range(times):
        _pass(context, LOOK_S)
        found.append(_look(context))
    return found


@given('3 routers counted each other after the copy')
def step_counted_after(context: Context) -> None:
    """Make the copy before any router wrote its entry."""
    context.store.copy()
    _routers(context)
    assert _looks(context, 2)[-1] == [3, 3, 3]


@given('3 routers counted each other before the copy and were renewed often')
def step_counted_before(context: Context) -> None:
    """Let versions grow far beyond those of the copy."""
    _routers(context)
    _looks(context, 2)
    context.store.copy()
    assert _looks(context, 20)[-1] == [3, 3, 3]


@then('each counts 3 routers while all write their entries again')
def step_counts(context: Context) -> None:
    """Look a few times."""
    found = _looks(context, 3)
    assert found == [[3, 3, 3]] * 3, found


@then('the store has entries of 3 routers')
def step_entries(context: Context) -> None:
    """Look at the store."""
    kinds = [kind for kind, _ in context.store.objects]
    assert kinds.count(ROUTERS) == 3, kinds


@then('each counts 3 routers for {span_s:d} s')
def step_counts_for(context: Context, span_s: int) -> None:
    """Look all the time."""
    times = int(span_s / LOOK_S)
    found = _looks(context, times)
    assert found == [[3, 3, 3]] * times, found


@given('a router that wrote a record of a crash after the copy')
def step_crash(context: Context) -> None:
    """Write a record through the store of crashes."""
    context.store.copy()
    context.eras = StoreEras()
    store = InstrumentedObjects(
        context.store, StoreCallCounter(), context.eras
    )
    unused: Any = Scripted()
    followed: CollectionWatcher[str] = CollectionWatcher(
        CRASHES, unused, 1.0, Random()
    )
    context.stored = CrashStore(
        store, followed, 'router-1', Random(), context.eras, context.clock
    )
    context.stored.save(CrashRecord(UpstreamIncarnation('engine-1', 1), ()))
    context.eras.observe(1)
    _write_due(context)
    assert _crashes(context) == 1


@then('the store has the record again')
def step_crash_again(context: Context) -> None:
    """Tell the era, as any answer does."""
    assert _crashes(context) == 0
    context.eras.observe(context.store.era)
    _write_due(context)
    assert _crashes(context) == 1


def _write_due(context: Context) -> None:
    async def play() -> None:
        task = asyncio.create_task(context.stored.run())
        await asyncio.sleep(0.05)
        task.cancel()

    asyncio.run(play())


def _crashes(context: Context) -> int:
    kinds = [kind for kind, _ in context.store.objects]
    return kinds.count(CRASHES)
