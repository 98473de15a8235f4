"""Test direct routers on a link that a large answer saturates."""

import asyncio
import threading
import time
from typing import Any

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_platform_testing._server import NarrowLink
from support.direct_bench import Answer
from support.direct_bench import BOUNDS
from support.direct_bench import direct_bench
from support.direct_bench import DirectBench
from support.direct_bench import MODEL
from support.direct_bench import PREFIX
from support.direct_bench import route
from support.direct_bench import sleep
from support.event_loop import delay_simulated_iterations
from support.event_loop import run_simulated
from support.event_loop import SimulatedLoop

REQUEST_INTERVAL_S = 0.03
OK = 200
NEW_VERSION = 2
LINK_ANSWER_BYTES = 650_000


class ContinuousCaller:
    """Send requests with a key continuously, in a separate thread."""

    def __init__(self, bench: DirectBench) -> None:
        self.served = 0
        self.refused: list[Answer] = []
        self._bench = bench
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def stop(self) -> None:
        """Stop sending requests and wait for the thread."""
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        number = 0
        while not self._stopping.wait(REQUEST_INTERVAL_S):
            number += 1
            headers: dict[str, Any] = {
                PREFIX + 'Request-Id': f'asking-{number}'
            }
            answer = self._bench.ask(**headers)
            if answer.status == OK:
                self.served += 1
                continue
            self.refused.append(answer)


@given('a caller with a key that sends requests continuously')
def step_continuous_caller(context: Context) -> None:
    """Send requests until the scenario ends."""
    context.continuous_caller = ContinuousCaller(direct_bench(context))
    context.resources.callback(context.continuous_caller.stop)


@given('keys that must be refused {revoke_s:d} s after they were revoked')
def step_revoke_limit(context: Context, revoke_s: int) -> None:
    """Set the limit for routers that are started later."""
    direct_bench(context).bounds = msgspec.structs.replace(
        BOUNDS, revoke_s=float(revoke_s)
    )


@when(
    'the configuration grows by {count:d} routes on a link that needs'
    ' {needs_s:g} s'
)
def step_grow(context: Context, count: int, needs_s: float) -> None:
    """Add routes and limit the link's rate."""
    add_routes(direct_bench(context), count, needs_s)


@when('a router starts on that link')
def step_start(context: Context) -> None:
    """Start a router without waiting until it is ready."""
    direct_bench(context).start_router()


@then('its last route is served within {limit_s:d} s')
def step_last(context: Context, limit_s: int) -> None:
    """Send requests until the last route is known."""
    bench = direct_bench(context)
    last = bench.config['Routes'][-1]['PathPrefix']
    end_s = time.monotonic() + limit_s
    while bench.ask(last + '1').status != 200:
        assert time.monotonic() < end_s, f'{last} is unknown after {limit_s} s'
        time.sleep(REQUEST_INTERVAL_S)


@then('no request with a key was refused meanwhile')
def step_none_refused(context: Context) -> None:
    """Check the answers that the continuous caller received."""
    refused = context.continuous_caller.refused
    assert context.continuous_caller.served, 'no request was served'
    assert not refused, f'{len(refused)}, the first: {refused[0]}'


@then('the engines have the new weights within {limit_s:d} s of that')
def step_weights(context: Context, limit_s: int) -> None:
    """Wait until all upstreams with weights have the new ones."""
    bench = direct_bench(context)
    engines = [
        upstream for upstream in bench.upstreams.values() if upstream.weights
    ]
    end_s = time.monotonic() + limit_s
    while not all(engine.weights[MODEL] == NEW_VERSION for engine in engines):
        assert time.monotonic() < end_s, [engine.weights for engine in engines]
        time.sleep(REQUEST_INTERVAL_S)


def add_routes(bench: DirectBench, count: int, needs_s: float) -> None:
    """Write a larger configuration that takes ``needs_s`` on the link."""
    first = len(bench.config['Routes'])
    routes = list(bench.config['Routes'])
    for number in range(first, first + count):
        routes.append(route(f'/grown/{number}/', 'idempotent', 'registry'))
    size = len(msgspec.json.encode({**bench.config, 'Routes': routes}))
    bench.store.link.bytes_s = size / needs_s
    bench.configure(Routes=routes)


@when('{later_s:g} s later it grows by one more route')
def step_grow_again(context: Context, later_s: float) -> None:
    """Add a route and keep the link's rate."""
    bench = direct_bench(context)
    bench.run(sleep(later_s))
    bytes_s = bench.store.link.bytes_s
    add_routes(bench, 1, 1.0)
    bench.store.link.bytes_s = bytes_s


@given('a link that sends one answer at a time')
def step_one_at_a_time(context: Context) -> None:
    """Queue answers instead of sharing the rate."""
    direct_bench(context).store.link.in_turn = True


@when('the next answers stop after {max_bytes:d} bytes without a reset')
def step_silent(context: Context, max_bytes: int) -> None:
    """Send only so many bytes of larger answers."""
    direct_bench(context).store.link.most = max_bytes


@when('the answers are complete again after {after_s:f} s')
def step_complete(context: Context, after_s: float) -> None:
    """Send complete answers again."""
    bench = direct_bench(context)
    bench.run(sleep(after_s))
    bench.store.link.most = 0


@when('all connections to the store break {count:d} times')
def step_break(context: Context, count: int) -> None:
    """Reset them, with pauses in which calls start waiting again."""
    bench = direct_bench(context)
    for _ in range(count):
        bench.on_loop(bench.store.server.reset_all)
        bench.run(sleep(0.8))


@then('the configuration was read once and is still confirmed')
def step_read_once(context: Context) -> None:
    """Check the calls to the store, and that a key is accepted."""
    bench = direct_bench(context)
    lists = [call for call in bench.store.calls if call.endswith('/config')]
    assert len(lists) == 1, lists
    assert bench.ask().status == 200, bench.answer


class NullStream:
    """A stream that discards what is written to it."""

    async def write(self, data: bytes) -> None:
        """Discard the data."""


async def _time_answer(
    loop: SimulatedLoop, needs_s: float, idle_s: float, block_s: float
) -> float:
    """Return the seconds that sending an answer on a narrow link takes."""
    link = NarrowLink()
    stream: Any = NullStream()
    answer = bytes(LINK_ANSWER_BYTES)
    link.bytes_s = LINK_ANSWER_BYTES / needs_s
    await link.send(stream, b'first')
    await asyncio.sleep(idle_s)
    blocker = None
    if block_s:
        blocker = asyncio.create_task(
            delay_simulated_iterations(loop, block_s)
        )
    started_s = loop.time()
    await link.send(stream, answer)
    duration_s = loop.time() - started_s
    if blocker is not None:
        blocker.cancel()
    return duration_s


def _simulate_answer(needs_s: float, idle_s: float, block_s: float) -> float:
    loop = SimulatedLoop()
    return run_simulated(loop, _time_answer(loop, needs_s, idle_s, block_s))


@when(
    'an answer is sent on a link that needs {needs_s:g} s with wake-ups'
    ' {late_ms:d} ms late'
)
def step_send_late(context: Context, needs_s: float, late_ms: int) -> None:
    """Send an answer while each event loop iteration is blocked."""
    context.send_duration_s = _simulate_answer(needs_s, 0.0, late_ms / 1000)


@when(
    'an answer is sent on a link that needs {needs_s:g} s after {idle_s:g} s'
    ' of idle time'
)
def step_send_after_idle(
    context: Context, needs_s: float, idle_s: float
) -> None:
    """Send an answer after the link has been idle."""
    context.send_duration_s = _simulate_answer(needs_s, idle_s, 0.0)


@then('sending the answer took at least {min_s:g} s and at most {max_s:g} s')
def step_send_duration(context: Context, min_s: float, max_s: float) -> None:
    """Compare the sending time with the bounds."""
    assert min_s <= context.send_duration_s <= max_s, context.send_duration_s
