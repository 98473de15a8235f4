"""Check how long answers of the platform are waited for."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any
from unittest.mock import patch

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.loop_thread import LoopThread
from lacewing_common.platform_client import ClientOptions
from lacewing_common.platform_client import PlatformClient
from lacewing_common.platform_http import _Transfer
from lacewing_common.store import MUST_NOT_EXIST
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault
from lacewing_platform_testing._server import complete_response
from lacewing_platform_testing._server import FakeServer
from lacewing_platform_testing._server import NarrowLink
from lacewing_platform_testing._server import ReceivedRequest
from support.event_loop import delay_iterations

KIND = 'bundle'
SMALL = b'small'
SLOW_ITERATION_S = 0.06
SLOW_ITERATIONS = 6
LIMIT_S = 0.2
RECHECK_DELAY_S = 0.05


@dataclass(frozen=True)
class Took:
    """Hold a result and the time that it took."""

    result: StoredObject | StoreError
    seconds: float


class SlowPlatform:
    """Serve one large object slowly and all others at once."""

    def __init__(self) -> None:
        self.server = FakeServer(self._handle)
        self.link = NarrowLink()
        self.large = b''
        self.piece = 0
        self.write_after_s = 0.0

    async def _handle(self, received: ReceivedRequest) -> None:
        large = received.path.endswith('/large')
        body = self.large if large else SMALL
        answer = complete_response(200, {'ETag': '"1"'}, body)
        if large and received.method == 'PUT' and self.write_after_s:
            await asyncio.sleep(self.write_after_s)
            await received.stream.write(
                complete_response(200, {'ETag': '"1"'}, b'')
            )
            return
        if not large:
            await received.stream.write(answer)
            return
        if not self.piece:
            await self.link.send(received.stream, answer)
            return
        for start in range(0, len(answer), self.piece):
            await received.stream.write(answer[start : start + self.piece])
            await asyncio.sleep(0.1)


async def _timed(client: PlatformClient, name: str) -> Took:
    began_s = time.monotonic()
    result = await client.get(KIND, name)
    return Took(result, time.monotonic() - began_s)


@given('a platform whose calls begin to be answered within {begin_s:f} s')
def step_platform(context: Context, begin_s: float) -> None:
    """Serve on a loop of its own."""
    context.loop = LoopThread()
    context.resources.callback(context.loop.close)
    context.platform = SlowPlatform()
    context.begin_s = begin_s

    async def start() -> None:
        context.platform.server.start()

    async def close() -> None:
        context.platform.server.close()

    context.loop.call(start())
    context.resources.callback(lambda: context.loop.call(close()))


async def _client(context: Context) -> PlatformClient:
    return PlatformClient(
        context.platform.server.address,
        ClientOptions(
            connect_timeout_s=0.1,
            request_timeout_s=context.begin_s,
            max_concurrent_calls=1,
        ),
    )


@given('a client with room for one call')
def step_client(context: Context) -> None:
    """Connect it."""

    async def close() -> None:
        context.client.close()

    context.client = context.loop.call(_client(context))
    context.resources.callback(lambda: context.loop.call(close()))


@when('an object of {size:d} bytes comes at {rate:d} bytes a second')
def step_rate(context: Context, size: int, rate: int) -> None:
    """Pace the answer."""
    context.platform.large = b'x' * size
    context.platform.link.bytes_s = float(rate)


@when('an object of {size:d} bytes falls silent after {most:d} bytes')
def step_silent(context: Context, size: int, most: int) -> None:
    """Stop the answer."""
    context.platform.large = b'x' * size
    context.platform.link.most = most


@when(
    'an object of {size:d} bytes comes in pieces of {piece:d} bytes each 0.1 s'
)
def step_trickle(context: Context, size: int, piece: int) -> None:
    """Let the answer trickle."""
    context.platform.large = b'x' * size
    context.platform.piece = piece


async def _stall(after_s: float, stall_s: float) -> None:
    """Block the event loop once, then slow its next iterations."""
    await asyncio.sleep(after_s)
    time.sleep(stall_s)
    slow = asyncio.create_task(delay_iterations(SLOW_ITERATION_S))
    await asyncio.sleep(SLOW_ITERATIONS * SLOW_ITERATION_S)
    slow.cancel()


@when('the process stalls for {stall_s:f} s after {after_s:f} s')
def step_stall(context: Context, stall_s: float, after_s: float) -> None:
    """Stall the event loop shared by the client and the platform."""

    async def begin() -> 'asyncio.Task[None]':
        return asyncio.create_task(_stall(after_s, stall_s))

    context.stall = context.loop.call(begin())


class _RecordingClient:
    """Record the messages of calls that are given up."""

    def __init__(self) -> None:
        self.given_up: list[str] = []

    def abort(self, _request: object, message: str) -> None:
        """Record the message."""
        self.given_up.append(message)


class _ManualLoop:
    """Event loop stub whose clock and callbacks the test controls."""

    def __init__(self) -> None:
        self._now_s = 0.0
        self._timers: list[tuple[float, Callable[[], None]]] = []
        self._ready: list[Callable[[], None]] = []

    def time(self) -> float:
        """Return the current time in seconds."""
        return self._now_s

    def call_at(self, at_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at a given time."""
        self._timers.append((at_s, callback))

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Queue a callback for the next iteration."""
        self._ready.append(callback)

    def advance(self, to_s: float) -> None:
        """Advance the clock and run the scheduled callbacks that are due."""
        self._now_s = to_s
        due = [callback for at_s, callback in self._timers if at_s <= to_s]
        self._timers = [timer for timer in self._timers if timer[0] > to_s]
        for callback in due:
            callback()

    def run_ready(self) -> None:
        """Run the queued callbacks."""
        ready, self._ready = self._ready, []
        for callback in ready:
            callback()


def _take_at_last_check() -> list[str]:
    """Deliver the first data of a call right after its last check.

    Return the messages of the calls that are given up.
    """
    recorder = _RecordingClient()
    client: Any = recorder
    request: Any = object()
    loop = _ManualLoop()
    with patch.object(asyncio, 'get_running_loop', lambda: loop):
        transfer = _Transfer(client, LIMIT_S, LIMIT_S, False)
    transfer.watch(request)
    loop.advance(LIMIT_S)
    loop.call_soon(partial(transfer.take, b'data'))
    loop.advance(LIMIT_S + RECHECK_DELAY_S)
    loop.run_ready()
    return recorder.given_up


@when('a call gets its first data in the iteration of its last check')
def step_last_check(context: Context) -> None:
    """Read the data and run the check in one event loop iteration."""
    context.given_up = _take_at_last_check()


@then('the call is not given up')
def step_not_given_up(context: Context) -> None:
    """Check that no call was given up."""
    assert not context.given_up, context.given_up


@when('its reader leaves after {after_s:f} s')
def step_leave(context: Context, after_s: float) -> None:
    """Cancel a read."""

    async def leave() -> None:
        reading = asyncio.create_task(context.client.get(KIND, 'large'))
        await asyncio.sleep(after_s)
        reading.cancel()

    context.loop.call(leave())


@when('it is written')
def step_write(context: Context) -> None:
    """Write with a silent answer."""
    context.result = context.loop.call(
        context.client.put(KIND, 'large', b'x', MUST_NOT_EXIST)
    )


@when(
    'an object of {size:d} bytes is written and acknowledged after'
    ' {after_s:f} s'
)
def step_write_large(context: Context, size: int, after_s: float) -> None:
    """Write a large body."""
    context.platform.write_after_s = after_s
    context.result = context.loop.call(
        context.client.put(KIND, 'large', b'x' * size, MUST_NOT_EXIST)
    )


@when('the client is closed during a read')
def step_close(context: Context) -> None:
    """Close it, and note what fails later."""
    context.failures = []

    async def close() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _loop, failure: context.failures.append(failure)
        )
        reading = asyncio.create_task(context.client.get(KIND, 'large'))
        await asyncio.sleep(0.1)
        reading.cancel()
        context.client.close()

    context.loop.call(close())


@then('nothing fails within {limit_s:f} s')
def step_nothing_fails(context: Context, limit_s: float) -> None:
    """Wait and look."""
    context.loop.call(asyncio.sleep(limit_s))
    assert not context.failures, context.failures
    context.client = context.loop.call(_client(context))


@then('it is read whole')
def step_whole(context: Context) -> None:
    """Compare the value."""
    took = context.loop.call(_timed(context.client, 'large'))
    assert isinstance(took.result, StoredObject), took.result
    assert took.result.value == context.platform.large
    assert took.seconds > context.begin_s, took.seconds


@then('the read is given up after {least_s:f} to {most_s:f} s')
def step_given_up(context: Context, least_s: float, most_s: float) -> None:
    """Look at the error and the time."""
    took = context.loop.call(_timed(context.client, 'large'))
    assert isinstance(took.result, StoreError), took.result
    assert took.result.fault is StoreFault.UNAVAILABLE, took.result
    assert least_s <= took.seconds <= most_s, took.seconds
    context.error = took.result


@then('the error tells of {least:d} to {most:d} bytes')
def step_bytes(context: Context, least: int, most: int) -> None:
    """Look at the bytes that had come."""
    assert least <= context.error.received <= most, context.error


@then('the next call has room at once')
def step_room(context: Context) -> None:
    """Read another object."""
    took = context.loop.call(_timed(context.client, 'small'))
    assert isinstance(took.result, StoredObject), took.result


@then('the next call has room within {limit_s:f} s')
def step_room_soon(context: Context, limit_s: float) -> None:
    """Read another object until it comes."""
    end_s = time.monotonic() + limit_s
    while True:
        took = context.loop.call(_timed(context.client, 'small'))
        if isinstance(took.result, StoredObject):
            return
        assert time.monotonic() < end_s, took.result


@then("the write's effect is unknown")
def step_unknown(context: Context) -> None:
    """Look at the fault."""
    assert context.result.fault is StoreFault.UNKNOWN, context.result


@then('it is acknowledged')
def step_acknowledged(context: Context) -> None:
    """Look at the result."""
    assert isinstance(context.result, StoredObject), context.result
