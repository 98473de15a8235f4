"""Check what routers serve after the store was restored."""

import json
import time
from typing import Any

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from support.direct_bench import direct_bench
from support.direct_bench import DirectBench
from support.direct_bench import KEY
from support.direct_bench import OTHER_KEY

UNRELATED_WRITES = 30


def _tenants_without(bench: DirectBench, key: str) -> list[dict[str, Any]]:
    teams = []
    for team in bench.config['Tenants']:
        if key not in team['ApiKeys']:
            teams.append(team)
    return teams


def _write(bench: DirectBench, tenants: list[dict[str, Any]]) -> None:
    """Write a configuration; call it on the event loop of the routers."""
    bench.config = {
        **bench.config,
        'Tenants': tenants,
        'Version': bench.config['Version'] + 3,
    }
    bench.store.put('config', 'main', bench.config)


@when(
    'the platform restores the store, a key is revoked and other writes follow'
)
def step_revoked_after(context: Context) -> None:
    """Exceed the revisions that the router has read, in one step."""
    bench = direct_bench(context)
    bench.until(lambda: bench.ask().status == 200, 'a response')
    context.key = KEY

    def write_unrelated() -> None:
        snapshot = bench.store.snapshot()
        for number in range(UNRELATED_WRITES):
            bench.store.put('noise', f'before-{number}', number)
        context.read_revision = bench.store.revision
        context.snapshot = snapshot

    bench.on_loop(write_unrelated)
    # Pending watch calls end, and new ones start from the last revision.
    time.sleep(2.5)

    def restore_and_write() -> None:
        bench.store.restore_from(context.snapshot)
        _write(bench, _tenants_without(bench, KEY))
        for number in range(2 * UNRELATED_WRITES):
            bench.store.put('noise', f'after-{number}', number)
        assert bench.store.revision > context.read_revision

    bench.on_loop(restore_and_write)


@when('a key is revoked and the store is restored to a snapshot from before')
def step_revoked_before(context: Context) -> None:
    """Revoke the key after the snapshot and wait until it is rejected."""
    bench = direct_bench(context)
    context.key = KEY
    snapshot = bench.on_loop(bench.store.snapshot)
    bench.on_loop(lambda: _write(bench, _tenants_without(bench, KEY)))
    bench.until(lambda: bench.ask().status == 401, 'a rejected key')
    bench.on_loop(lambda: bench.store.restore_from(snapshot))


@when('a router starts')
@when('a new router takes its place')
def step_new_router(context: Context) -> None:
    """Start a router with another name; it may not be ready yet."""
    bench = direct_bench(context)
    while bench.routers:
        bench.run(bench.routers.pop().close())
    bench.start_router('router-9')


@then('it is ready within {limit_s:g} s')
def step_ready_within(context: Context, limit_s: float) -> None:
    """Wait for that time at the most."""
    bench = direct_bench(context)
    end_s = time.monotonic() + limit_s
    while not bench.routers[0].ready:
        assert time.monotonic() < end_s
        time.sleep(0.01)


@then('it is not ready within {limit_s:g} s')
def step_unready(context: Context, limit_s: float) -> None:
    """Check for that time."""
    bench = direct_bench(context)
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        assert not bench.routers[0].ready
        time.sleep(0.05)


@given('no router has recorded the era of the store')
def step_no_record(context: Context) -> None:
    """Remove what the bench has written."""
    bench = direct_bench(context)
    bench.on_loop(lambda: bench.store.remove('lacewing-eras', 'settled'))


@given('the system starts for the first time')
def step_first_start(context: Context) -> None:
    """Start routers with that setting, and an empty store."""
    step_no_record(context)
    direct_bench(context).first_start = True


@then('the store soon has the record of its era')
def step_recorded(context: Context) -> None:
    """Wait until a router has written it."""
    bench = direct_bench(context)

    def is_recorded() -> bool:
        value = bench.store.specification('lacewing-eras', 'settled')
        if not isinstance(value, dict):
            return False
        era: int = json.loads(value['text'])['era']
        return era == bench.store.era + 1

    bench.until(is_recorded, 'the record of the era')


@when('the platform restores the store from a copy without that record')
def step_without_record(context: Context) -> None:
    """Lose the record."""
    bench = direct_bench(context)
    step_no_record(context)
    bench.on_loop(lambda: bench.store.restore_from(bench.store.snapshot()))


@when('the operator writes the configuration again')
def step_rewrite_configuration(context: Context) -> None:
    """Repeat the lost write unchanged."""
    bench = direct_bench(context)
    bench.on_loop(lambda: bench.store.put('config', 'main', bench.config))


@then('no request with that key is answered 200 for {duration_s:d} s')
def step_never(context: Context, duration_s: int) -> None:
    """Send requests repeatedly."""
    bench = direct_bench(context)
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        response = bench.ask(key=context.key)
        assert response.status in (401, 503), response.status
        time.sleep(0.05)


@then('a request with another key soon gets {status:d}')
def step_other(context: Context, status: int) -> None:
    """Send requests until the status matches."""
    bench = direct_bench(context)
    bench.until(lambda: bench.ask(key=OTHER_KEY).status == status, str(status))


@when(
    'upstream "{name}" is removed and the store is restored to an earlier'
    ' snapshot'
)
def step_removed(context: Context, name: str) -> None:
    """Remove the entry after the snapshot."""
    bench = direct_bench(context)
    router = bench.routers[0]
    snapshot = bench.on_loop(bench.store.snapshot)
    bench.on_loop(lambda: bench.store.remove('servers', name))
    bench.until(lambda: name not in router.upstream_ids, 'a known removal')
    bench.upstreams[name].received.clear()
    bench.on_loop(lambda: bench.store.restore_from(snapshot))


@then('no request reaches "{name}" for {duration_s:d} s')
def step_unreached(context: Context, name: str, duration_s: int) -> None:
    """Send requests repeatedly."""
    bench = direct_bench(context)
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        bench.ask()
        time.sleep(0.05)
    assert not bench.upstreams[name].received


@when(
    'upstream "{name}" is registered and the store is restored to an earlier'
    ' snapshot'
)
def step_registered(context: Context, name: str) -> None:
    """Register an upstream after the snapshot."""
    bench = direct_bench(context)
    router = bench.routers[0]
    snapshot = bench.on_loop(bench.store.snapshot)
    bench.add_upstream(name, 'registry')
    bench.until(lambda: name in router.upstream_ids, 'a known upstream')
    bench.on_loop(lambda: bench.store.restore_from(snapshot))


@when('upstream "{name}" writes its entry again {after_s:d} s later')
def step_rewrites(context: Context, name: str, after_s: int) -> None:
    """Record meanwhile whether the router knows the upstream."""
    bench = direct_bench(context)
    context.known = []
    end_s = time.monotonic() + after_s
    while time.monotonic() < end_s:
        context.known.append(name in bench.routers[0].upstream_ids)
        time.sleep(0.05)
    bench.register(name)


@then('"{name}" was known throughout')
def step_known(context: Context, name: str) -> None:
    """Check for as long as the entry could still be dropped."""
    bench = direct_bench(context)
    end_s = time.monotonic() + 3.0
    while time.monotonic() < end_s:
        context.known.append(name in bench.routers[0].upstream_ids)
        time.sleep(0.05)
    assert all(context.known)
