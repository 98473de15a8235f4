"""Check how a lease is renewed when answers of the store are late."""

import asyncio

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_daemon.lease import Lease
from lacewing_daemon.lease import LeaseHeld
from support.orders_bench import ManualClock
from support.returning_store import RestorableStore

LEASE = 'weights'
LEASE_S = 1.8
MARGIN_S = 0.4


class SlowStore(RestorableStore):
    """Count calls; ``late_s`` delays the answer to the next write."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self.late_s = 0.0
        self.reads = 0
        self.writes = 0
        self._clock = clock

    async def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object."""
        self.reads += 1
        return await super().get(kind, name)

    async def put(
        self, kind: str, name: str, value: bytes, expect: int
    ) -> StoredObject | StoreError:
        """Write at once and answer late."""
        self.writes += 1
        answer = await super().put(kind, name, value, expect)
        self._clock.now_s += self.late_s
        self.late_s = 0.0
        return answer


@given('router "{name}" holds a lease on a slow link')
def step_holds(context: Context, name: str) -> None:
    """Acquire the lease of a new store."""
    context.clock = ManualClock()
    context.store = SlowStore(context.clock)
    context.leases = {}
    assert _acquire(context, name)


@when('the answer to its next write takes {late_s:g} s')
def step_late(context: Context, late_s: float) -> None:
    """Renew with a late answer."""
    context.store.reads = 0
    context.store.writes = 0
    context.store.late_s = late_s
    context.acquired = _acquire(context, 'a')


@then(
    'router "{name}" still holds it after {writes:d} writes and'
    ' {reads:d} reads'
)
def step_calls(context: Context, name: str, writes: int, reads: int) -> None:
    """Compare the calls since the late answer."""
    assert context.acquired
    assert context.leases[name].is_held
    found = (context.store.writes, context.store.reads)
    assert found == (writes, reads), found


@when('it expires and router "{name}" takes it over')
def step_expires(context: Context, name: str) -> None:
    """Let another router observe the lease until it has expired."""
    assert not _acquire(context, name)
    context.clock.now_s += LEASE_S + MARGIN_S + 0.1
    assert _acquire(context, name)


@then('router "{name}" does not get it back')
def step_lost(context: Context, name: str) -> None:
    """Try to renew the lease that another router holds."""
    assert not _acquire(context, name)
    assert context.leases['b'].is_held


def _acquire(context: Context, name: str) -> bool:
    lease = context.leases.get(name)
    if lease is None:
        lease = Lease(
            context.store, LEASE, name, LEASE_S, MARGIN_S, context.clock
        )
        context.leases[name] = lease
    return isinstance(asyncio.run(lease.acquire()), LeaseHeld)
