"""Check that a request which crashes upstreams is blocked."""

import asyncio
import time
from collections.abc import Callable
from functools import partial

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct import DirectRouter
from lacewing_daemon.direct.crashes._gossip import LISTEN_RETRY_S
from lacewing_daemon.direct.crashes._guard import PEERS_START_DELAY_S
from lacewing_daemon.direct.crashes._registry import CRASHES_TO_BLOCK
from lacewing_platform_testing import Behaviour
from lacewing_platform_testing import FakeUpstream
from lacewing_platform_testing import StoreMode
from support.direct_bench import direct_bench
from support.direct_bench import DirectBench
from support.direct_bench import KEY
from support.direct_bench import PROMPT
from support.direct_bench import route

CRASHES = b'what crashes upstreams'
BACK_S = 0.4
PAUSE_S = 0.1
# Ends a loop in which nothing crashes; those to upstreams that are just
# starting again are refused.
MOST_SENDS = 30
STORED_KIND = 'lacewing-crashes'


@given('{count:d} upstream of "{service}" that comes back after a crash')
@given('{count:d} upstreams of "{service}" that come back after a crash')
def step_upstreams(context: Context, count: int, service: str) -> None:
    """Start upstreams; all of the service start again after each crash."""
    bench = direct_bench(context)
    for number in range(1, count + 1):
        bench.add_upstream(f'up-{number}', service)
    for upstream in bench.upstreams.values():
        if upstream.service == service:
            upstream.crash_bodies.add(CRASHES)
            upstream.on_crash = _come_back(bench, upstream)


def _come_back(
    bench: DirectBench, upstream: FakeUpstream
) -> Callable[[], None]:
    async def start_again() -> None:
        await asyncio.sleep(BACK_S)
        upstream.start_new_incarnation()
        upstream.server.start(upstream.server.port)
        bench.store.put(
            'servers', upstream.upstream_id, upstream.store_entry()
        )

    def on_crash() -> None:
        asyncio.get_running_loop().create_task(start_again())

    return on_crash


@given('{count:d} direct routers')
def step_routers(context: Context, count: int) -> None:
    """Start routers and wait until all are ready."""
    bench = direct_bench(context)
    for number in range(1, count + 1):
        bench.start_router(f'router-{number}')
    bench.until_ready()


@given('routers that call each other')
def step_call(context: Context) -> None:
    """Let the routers of this scenario listen for each other."""
    direct_bench(context).routers_call = True


@given('another process listens at their ports for peers')
def step_taken(context: Context) -> None:
    """Take the ports for calls of routers before these start."""
    direct_bench(context).peer_ports_taken = True


@given('that process has ended')
def step_goes(context: Context) -> None:
    """Free the ports, and give the routers time to see it."""
    direct_bench(context).free_peer_ports()
    time.sleep(LISTEN_RETRY_S + PAUSE_S)


@given('each router knows the {count:d} other')
@given('each router knows the {count:d} others')
def step_know(context: Context, count: int) -> None:
    """Wait until routers have found each other in the store and listen."""
    bench = direct_bench(context)
    for router in bench.routers:
        bench.until(partial(_knows, router, count), f'{count} other routers')
    time.sleep(PEERS_START_DELAY_S + PAUSE_S)


@given('a router in the store that answers nobody')
def step_dead(context: Context) -> None:
    """Write the entry of a router that is cut off from the others."""
    bench = direct_bench(context)
    value = {'text': f'{"0" * 32} 127.0.0.1:1'}
    bench.on_loop(
        lambda: bench.store.put('lacewing-routers', 'router-9', value)
    )


@given('a public path "{path}" of "{service}" with one attempt')
def step_public(context: Context, path: str, service: str) -> None:
    """Add a route that needs no key, so no confirmation of keys either."""
    bench = direct_bench(context)
    added = route(path, 'idempotent', service, Public=True, MaxAttempts=1)
    bench.configure(Routes=[*bench.config['Routes'], added])


@given('each upstream resets its next {count:d} requests')
def step_resets(context: Context, count: int) -> None:
    """Break answers off while going on to listen."""
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
    asked = 0
    while _crashes(bench) < count and not _all_routers_block(bench):
        _send(bench, path, asked)
        asked += 1
        assert asked < MOST_SENDS, f'{asked} sent, {_crashes(bench)} crashed'
        time.sleep(PAUSE_S)
    crashed = _crashes(bench)
    # A request may be blocked one crash before CRASHES_TO_BLOCK.
    least = min(count, CRASHES_TO_BLOCK - 1)
    assert crashed >= least, f'expected at least {least}, got {crashed}'


def _all_routers_block(bench: DirectBench) -> bool:
    def all_block() -> bool:
        return bool(bench.routers) and all(
            router._fleet.crash_guard._registry.blocked
            for router in bench.routers
        )

    # Ledgers are not thread-safe; read them on the routers' event loop.
    return bool(bench.on_loop(all_block))


@when('it comes again to "{path}" {count:d} time after {later_s:d} seconds')
@when('it comes again to "{path}" {count:d} times after {later_s:d} second')
@when('it comes again to "{path}" {count:d} times after {later_s:d} seconds')
def step_again(context: Context, path: str, count: int, later_s: int) -> None:
    """Send it to all routers in turn, each time to upstreams that live."""
    bench = direct_bench(context)
    time.sleep(later_s)
    context.reached = _reached(bench)
    for number in range(count):
        time.sleep(BACK_S + PAUSE_S)
        _send(bench, path, number)


@when('callers send what crashes nothing to "{path}" {count:d} times')
def step_good(context: Context, path: str, count: int) -> None:
    """Send another request to the first router."""
    for _ in range(count):
        direct_bench(context).ask(path, method='POST', body=b'harmless')
        time.sleep(PAUSE_S)


@when('the store has been busy for {seconds:d} seconds')
def step_busy(context: Context, seconds: int) -> None:
    """Let no call of the routers be under way that would still succeed."""
    direct_bench(context).store.mode = StoreMode.BUSY
    time.sleep(seconds)


@when('all routers are replaced')
def step_replaced(context: Context) -> None:
    """End all of them at once and start as many others."""
    bench = direct_bench(context)
    count = len(bench.routers)
    for router in bench.routers:
        bench.run(router.close())
    bench.routers.clear()
    for number in range(1, count + 1):
        bench.start_router(f'new-{number}')
    bench.until_ready()


@when('the store forgets all crashes')
def step_forgets(context: Context) -> None:
    """Take them out of the store, so that peers alone know them."""
    bench = direct_bench(context)
    bench.until(lambda: bool(_written(bench)), 'a crash in the store')
    for name in _written(bench):
        bench.on_loop(partial(bench.store.remove, STORED_KIND, name))


@when('another router starts that the others know')
def step_another(context: Context) -> None:
    """Start a router that callers are sent to first."""
    bench = direct_bench(context)
    others = len(bench.routers)
    newest = bench.start_router('router-new')
    bench.until_ready()
    bench.until(
        lambda: len(newest.peer_addresses) == others, 'its peers known'
    )
    bench.routers.remove(newest)
    bench.routers.insert(0, newest)


@when("others write crashes that can't be read")
def step_foreign(context: Context) -> None:
    """Write what no router would."""
    bench = direct_bench(context)
    for number, value in enumerate((7, {'text': 'none'}, {'text': '{}'})):
        name = f'odd-{number}'
        bench.on_loop(partial(bench.store.put, STORED_KIND, name, value))


@then('it reaches at most {count:d} more upstreams')
def step_reaches(context: Context, count: int) -> None:
    """Count the sends that upstreams received."""
    more = _reached(direct_bench(context)) - context.reached
    assert more <= count, f'expected at most {count} more sends, got {more}'


@when('{count:d} crashes are written within {seconds:d} seconds')
@then('{count:d} crashes are written within {seconds:d} seconds')
@then('{count:d} crash is written within {seconds:d} seconds')
def step_written(context: Context, count: int, seconds: int) -> None:
    """Look into the store until it is there."""
    bench = direct_bench(context)
    end_s = time.monotonic() + seconds
    while len(_written(bench)) < count and time.monotonic() < end_s:
        time.sleep(PAUSE_S)
    assert len(_written(bench)) == count, _written(bench)


@then('no crash is written within {seconds:d} second')
def step_unwritten(context: Context, seconds: int) -> None:
    """Look into the store after a while."""
    time.sleep(seconds)
    assert not _written(direct_bench(context))


def _knows(router: DirectRouter, count: int) -> bool:
    return len(router.peer_addresses) == count


def _send(bench: DirectBench, path: str, number: int) -> None:
    at = number % max(1, len(bench.routers))
    headers = PROMPT if path.startswith(('/chat/', '/talk/')) else {}
    connection = bench.connect(at)
    try:
        bench.ask_on(connection, path, KEY, 'POST', CRASHES, **headers)
    finally:
        connection.close()


def _crashes(bench: DirectBench) -> int:
    return sum(one.crashes for one in bench.upstreams.values())


def _reached(bench: DirectBench) -> int:
    return sum(one.body == CRASHES for one in bench.received())


def _written(bench: DirectBench) -> tuple[str, ...]:
    names: tuple[str, ...] = bench.on_loop(
        lambda: bench.store.names(STORED_KIND)
    )
    return names
