"""Check that a request which crashes upstreams is kept from the rest."""

import asyncio
import time
from collections.abc import Callable

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_platform_testing import StandInUpstream
from support.direct_bench import direct_bench
from support.direct_bench import DirectBench
from support.direct_bench import KEY
from support.direct_bench import PROMPT

CRASHES = b'what crashes upstreams'
BACK_S = 0.4
PAUSE_S = 0.1


@given('{count:d} upstreams of "{service}" that come back after a crash')
def step_upstreams(context: Context, count: int, service: str) -> None:
    """Start upstreams that start again a little after each crash."""
    bench = direct_bench(context)
    for number in range(1, count + 1):
        name = f'up-{number}'
        upstream = bench.add_upstream(name, service)
        upstream.crash_bodies.add(CRASHES)
        upstream.on_crash = _come_back(bench, upstream)


def _come_back(
    bench: DirectBench, upstream: StandInUpstream
) -> Callable[[], None]:
    async def start_again() -> None:
        await asyncio.sleep(BACK_S)
        upstream.start_again()
        upstream.server.start(upstream.server.port)
        bench.store.put('servers', upstream.upstream_id, upstream.entry())

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


@when(
    'callers send what crashes them to "{path}" until {count:d} have crashed'
)
def step_crash(context: Context, path: str, count: int) -> None:
    """Send it to one router after the other."""
    bench = direct_bench(context)
    asked = 0
    while _crashes(bench) < count:
        _send(bench, path, asked)
        asked += 1
        assert asked < 4 * count, f'{asked} sent, {_crashes(bench)} crashed'
        time.sleep(PAUSE_S)


@when('it comes again to "{path}" {count:d} times after {later_s:d} seconds')
def step_again(context: Context, path: str, count: int, later_s: int) -> None:
    """Send it to all routers in turn, each time to upstreams that live."""
    bench = direct_bench(context)
    time.sleep(later_s)
    context.reached = _reached(bench)
    for number in range(count):
        time.sleep(BACK_S + PAUSE_S)
        _send(bench, path, number)


@then('it reaches at most {count:d} more upstreams')
def step_reaches(context: Context, count: int) -> None:
    """Count the sends that upstreams received."""
    more = _reached(direct_bench(context)) - context.reached
    assert more <= count, f'expected at most {count} more sends, got {more}'


def _send(bench: DirectBench, path: str, number: int) -> None:
    at = number % len(bench.routers)
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
