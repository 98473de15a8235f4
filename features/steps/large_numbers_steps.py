"""Count versions and eras from a time in milliseconds."""

import time

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct._planner import LEASE_MARGIN_S
from lacewing_daemon.direct._planner import LEASE_S
from lacewing_daemon.lease import Lease
from lacewing_daemon.lease import LeaseHeld
from lacewing_platform import PlatformSite
from steps.direct_steps import name_weights
from support.direct_bench import direct_bench
from support.direct_bench import MODEL

_TIME_MS = 1_764_800_000_000


@given('an engine whose weights have a newer version of 13 digits')
def step_newer(context: Context) -> None:
    """Load weights at an engine after it wrote its entry."""
    bench = direct_bench(context)
    name_weights(context, _TIME_MS)
    engine = bench.add_upstream('eng-1', 'models')
    engine.weights[MODEL] = _TIME_MS
    bench.register('eng-1')
    engine.weights[MODEL] = _TIME_MS + 1


@given('eras of the store that count from {first:d}')
def step_eras(context: Context, first: int) -> None:
    """Set the first era."""
    bench = direct_bench(context)
    bench.on_loop(lambda: bench.store.count_eras_from(first))


@given('router "{name}" holds the lease when the platform makes a copy')
def step_in_copy(context: Context, name: str) -> None:
    """Acquire the lease over the platform's protocol."""
    bench = direct_bench(context)
    context.leases = {}
    assert _acquire(context, name)
    context.copy = bench.on_loop(bench.store.snapshot)


@given('router "{first}" has released it, and router "{second}" holds it')
def step_handed_on(context: Context, first: str, second: str) -> None:
    """Release the lease and acquire it."""
    bench = direct_bench(context)
    bench.run(context.leases[first].release())
    assert _acquire(context, second)


@when('the platform restores the store from that copy')
def step_restore(context: Context) -> None:
    """Start a new era."""
    bench = direct_bench(context)
    bench.on_loop(lambda: bench.store.restore_from(context.copy))


@then(
    'router "{name}" does not hold the lease before that of "{holder}" has'
    ' ended'
)
def step_one_holder(context: Context, name: str, holder: str) -> None:
    """Try to acquire it until that succeeds."""
    lease: Lease = context.leases[holder]
    assert lease.is_held
    while not _acquire(context, name):
        time.sleep(0.05)
    assert not lease.is_held


def _acquire(context: Context, name: str) -> bool:
    """Let a router acquire the lease; return whether it holds it."""
    bench = direct_bench(context)
    return bool(bench.run(_acquire_lease(context, bench.store.address, name)))


async def _acquire_lease(context: Context, address: str, name: str) -> bool:
    lease = context.leases.get(name)
    if lease is None:
        site = PlatformSite(address)
        context.resources.callback(site.close)
        lease = Lease(
            site.store,
            'weights',
            name,
            LEASE_S,
            LEASE_MARGIN_S,
            peek=site.store.peek,
        )
        context.leases[name] = lease
    return isinstance(await lease.acquire(), LeaseHeld)
