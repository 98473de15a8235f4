"""Check that requests that crash upstreams are blocked."""

import asyncio
import time
from collections.abc import Callable
from functools import partial

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct import DirectRouter
from lacewing_daemon.direct._fleet import PEERS_START_DELAY_S
from lacewing_daemon.direct._peer_link import LISTEN_RETRY_S
from lacewing_daemon.direct.crashes._registry import CRASHES_TO_BLOCK
from lacewing_platform_testing import Behaviour
from lacewing_platform_testing import FakeUpstream
from lacewing_platform_testing import StoreMode
from support.direct_bench import direct_bench
from support.direct_bench import DirectBench
from support.direct_bench import KEY
from support.direct_bench import PROMPT
from support.direct_bench import route

CRASHING_BODY = b'what crashes upstreams'
RESTART_DELAY_S = 0.4
PAUSE_S = 0.1
# Bounds a loop in which nothing crashes, since requests to upstreams that are
# restarting are refused.
MAX_SENDS = 30
STORED_KIND = 'lacewing-crashes'


@given('{count:d} upstream of "{service}" that comes back after a crash')
@given('{count:d} upstreams of "{service}" that come back after a crash')
def step_upstreams(context: Context, count: int, service: str) -> None:
    """Start upstreams; all of the service restart after each crash."""
    bench = direct_bench(context)
    for number in range(1, count + 1):
        bench.add_upstream(f'up-{number}', service)
    for upstream in bench.upstreams.values():
        if upstream.service == service:
            upstream.crash_bodies.add(CRASHING_BODY)
            upstream.on_crash = _restart_on_crash(bench, upstream)


def _restart_on_crash(
    bench: DirectBench, upstream: FakeUpstream
) -> Callable[[], None]:
    async def restart() -> None:
        await asyncio.sleep(RESTART_DELAY_S)
        upstream.start_new_incarnation()
        upstream.server.start(upstream.server.port)
        bench.store.put(
            'servers', upstream.upstream_id, upstream.store_entry()
        )

    def on_crash() -> None:
        asyncio.get_running_loop().create_task(restart())

    return on_crash


@given('{count:d} direct routers')
def step_routers(context: Context, count: int) -> None:
    """Start routers and wait until all are ready."""
    bench = direct_bench(context)
    for number in range(1, count + 1):
        bench.start_router(f'router-{number}')
    bench.until_ready()


@given('routers that call each other')
def step_peer_calls(context: Context) -> None:
    """Let the routers of this scenario listen for peers."""
    direct_bench(context).routers_call = True


@given('another process listens on their peer ports')
def step_ports_in_use(context: Context) -> None:
    """Occupy the peer ports of the routers before they start."""
    direct_bench(context).peer_ports_taken = True


@given('that process has ended')
def step_ports_free(context: Context) -> None:
    """Free the ports and wait until the routers have retried."""
    direct_bench(context).free_peer_ports()
    time.sleep(LISTEN_RETRY_S + PAUSE_S)


@given('each router knows the {count:d} other')
@given('each router knows the {count:d} others')
def step_peers_known(context: Context, count: int) -> None:
    """Wait until routers have found each other in the store and listen."""
    bench = direct_bench(context)
    for router in bench.routers:
        bench.until(
            partial(_has_peers, router, count), f'{count} other routers'
        )
    time.sleep(PEERS_START_DELAY_S + PAUSE_S)


@given('a registered router that does not respond')
def step_unresponsive(context: Context) -> None:
    """Write the entry of a router that its peers cannot reach."""
    bench = direct_bench(context)
    value = {'text': f'{"0" * 32} 127.0.0.1:1'}
    bench.on_loop(
        lambda: bench.store.put('lacewing-routers', 'router-9', value)
    )


@given('a public path "{path}" of "{service}" with one attempt')
def step_public(context: Context, path: str, service: str) -> None:
    """Add a route without keys, so that no keys have to be confirmed."""
    bench = direct_bench(context)
    added = route(path, 'idempotent', service, Public=True, MaxAttempts=1)
    bench.configure(Routes=[*bench.config['Routes'], added])


@given('each upstream resets its next {count:d} requests')
def step_resets(context: Context, count: int) -> None:
    """Reset connections while the upstreams continue to listen."""
    for upstream in direct_bench(context).upstreams.values():
        upstream.script.extend([Behaviour.RESET] * count)


@when(
    'callers send what crashes them to "{path}" until {count:d} have crashed'
)
@when('callers send what crashes them to "{path}" until {count:d} has crashed')
def step_crash(context: Context, path: str, count: int) -> None:
    """Send the request to the routers in turn until upstreams have crashed.

    Stop early once all routers block a request, since refused sends crash no
    upstream and the count might never be reached.
    """
    bench = direct_bench(context)
    sent_count = 0
    while _crash_count(bench) < count and not _all_routers_block(bench):
        _send(bench, path, sent_count)
        sent_count += 1
        assert sent_count < MAX_SENDS, (
            f'{sent_count} sent, {_crash_count(bench)} crashed'
        )
        time.sleep(PAUSE_S)
    crash_count = _crash_count(bench)
    # A request may be blocked one crash before CRASHES_TO_BLOCK.
    min_count = min(count, CRASHES_TO_BLOCK - 1)
    assert crash_count >= min_count, (
        f'expected at least {min_count}, got {crash_count}'
    )


def _all_routers_block(bench: DirectBench) -> bool:
    def all_block() -> bool:
        return bool(bench.routers) and all(
            router._fleet.crash_guard._registry.blocked
            for router in bench.routers
        )

    # Registries are not thread-safe; read them on the routers' event loop.
    return bool(bench.on_loop(all_block))


@when('it comes again to "{path}" {count:d} time after {later_s:d} seconds')
@when('it comes again to "{path}" {count:d} times after {later_s:d} second')
@when('it comes again to "{path}" {count:d} times after {later_s:d} seconds')
def step_repeat(context: Context, path: str, count: int, later_s: int) -> None:
    """Send it to all routers in turn, each time after upstreams restarted."""
    bench = direct_bench(context)
    time.sleep(later_s)
    context.received_before = _received_count(bench)
    for number in range(count):
        time.sleep(RESTART_DELAY_S + PAUSE_S)
        _send(bench, path, number)


@when('callers send a harmless request to "{path}" {count:d} times')
def step_harmless(context: Context, path: str, count: int) -> None:
    """Send a harmless request to the first router."""
    for _ in range(count):
        direct_bench(context).ask(path, method='POST', body=b'harmless')
        time.sleep(PAUSE_S)


@when('the store has been busy for {seconds:d} seconds')
def step_busy(context: Context, seconds: int) -> None:
    """Wait until no call of the routers that may still succeed is open."""
    direct_bench(context).store.mode = StoreMode.BUSY
    time.sleep(seconds)


@when('all routers are replaced')
def step_replaced(context: Context) -> None:
    """Close all routers and start the same number of new ones."""
    bench = direct_bench(context)
    count = len(bench.routers)
    for router in bench.routers:
        bench.run(router.close())
    bench.routers.clear()
    for number in range(1, count + 1):
        bench.start_router(f'new-{number}')
    bench.until_ready()


@when('all crash records are removed from the store')
def step_records_removed(context: Context) -> None:
    """Remove the records, so that only peers have them."""
    bench = direct_bench(context)
    bench.until(
        lambda: bool(_saved_names(bench)), 'a crash record in the store'
    )
    for name in _saved_names(bench):
        bench.on_loop(partial(bench.store.remove, STORED_KIND, name))


@when('another router starts that the others know')
def step_new_router(context: Context) -> None:
    """Start a router and make it the first that requests are sent to."""
    bench = direct_bench(context)
    other_count = len(bench.routers)
    newest = bench.start_router('router-new')
    bench.until_ready()
    bench.until(
        lambda: len(newest.peer_addresses) == other_count, 'its peers known'
    )
    bench.routers.remove(newest)
    bench.routers.insert(0, newest)


@when('another client writes invalid crash records')
def step_invalid_records(context: Context) -> None:
    """Write values that no router writes."""
    bench = direct_bench(context)
    for number, value in enumerate((7, {'text': 'none'}, {'text': '{}'})):
        name = f'odd-{number}'
        bench.on_loop(partial(bench.store.put, STORED_KIND, name, value))


@then('it reaches at most {count:d} more upstreams')
def step_reaches(context: Context, count: int) -> None:
    """Count the requests that upstreams received."""
    more = _received_count(direct_bench(context)) - context.received_before
    assert more <= count, f'expected at most {count} more requests, got {more}'


@when('{count:d} crash records are saved within {seconds:d} seconds')
@then('{count:d} crash records are saved within {seconds:d} seconds')
@then('{count:d} crash record is saved within {seconds:d} seconds')
def step_saved(context: Context, count: int, seconds: int) -> None:
    """Poll the store until the records are there."""
    bench = direct_bench(context)
    end_s = time.monotonic() + seconds
    while len(_saved_names(bench)) < count and time.monotonic() < end_s:
        time.sleep(PAUSE_S)
    assert len(_saved_names(bench)) == count, _saved_names(bench)


@then('no crash record is saved within {seconds:d} second')
def step_not_saved(context: Context, seconds: int) -> None:
    """Check the store after a while."""
    time.sleep(seconds)
    assert not _saved_names(direct_bench(context))


def _has_peers(router: DirectRouter, count: int) -> bool:
    return len(router.peer_addresses) == count


def _send(bench: DirectBench, path: str, number: int) -> None:
    at = number % max(1, len(bench.routers))
    headers = PROMPT if path.startswith(('/chat/', '/talk/')) else {}
    connection = bench.connect(at)
    try:
        bench.ask_on(connection, path, KEY, 'POST', CRASHING_BODY, **headers)
    finally:
        connection.close()


def _crash_count(bench: DirectBench) -> int:
    return sum(one.crashes for one in bench.upstreams.values())


def _received_count(bench: DirectBench) -> int:
    return sum(one.body == CRASHING_BODY for one in bench.received())


def _saved_names(bench: DirectBench) -> tuple[str, ...]:
    names: tuple[str, ...] = bench.on_loop(
        lambda: bench.store.names(STORED_KIND)
    )
    return names
