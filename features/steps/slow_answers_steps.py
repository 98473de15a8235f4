"""Test the timeouts of slow responses of the platform."""

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
from lacewing_common.platform_http import HttpCall
from lacewing_common.platform_http import MAX_BODY_BYTES
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
class TimedResult:
    """Hold a result and the duration of its call."""

    result: StoredObject | StoreError
    seconds: float


class SlowPlatform:
    """Serve one large object slowly and all others immediately."""

    def __init__(self) -> None:
        self.server = FakeServer(self._handle)
        self.link = NarrowLink()
        self.large = b''
        self.piece_bytes = 0
        self.write_delay_s = 0.0

    async def _handle(self, request: ReceivedRequest) -> None:
        is_large = request.path.endswith('/large')
        body = self.large if is_large else SMALL
        response = complete_response(200, {'ETag': '"1"'}, body)
        if is_large and request.method == 'PUT' and self.write_delay_s:
            await asyncio.sleep(self.write_delay_s)
            await request.stream.write(
                complete_response(200, {'ETag': '"1"'}, b'')
            )
            return
        if not is_large:
            await request.stream.write(response)
            return
        if not self.piece_bytes:
            await self.link.send(request.stream, response)
            return
        for start in range(0, len(response), self.piece_bytes):
            await request.stream.write(
                response[start : start + self.piece_bytes]
            )
            await asyncio.sleep(0.1)


async def _timed(client: PlatformClient, name: str) -> TimedResult:
    started_s = time.monotonic()
    result = await client.get(KIND, name)
    return TimedResult(result, time.monotonic() - started_s)


@given('a platform and a request timeout of {timeout_s:f} s')
def step_platform(context: Context, timeout_s: float) -> None:
    """Start the platform on a separate event loop."""
    context.loop = LoopThread()
    context.resources.callback(context.loop.close)
    context.platform = SlowPlatform()
    context.timeout_s = timeout_s

    async def start() -> None:
        context.platform.server.start()

    async def close() -> None:
        context.platform.server.close()

    context.loop.call(start())
    context.resources.callback(lambda: context.loop.call(close()))


async def _open_client(context: Context) -> PlatformClient:
    return PlatformClient(
        context.platform.server.address,
        ClientOptions(
            connect_timeout_s=0.1,
            request_timeout_s=context.timeout_s,
            max_concurrent_calls=1,
        ),
    )


@given('a client that allows one concurrent call')
def step_client(context: Context) -> None:
    """Open the client."""

    async def close() -> None:
        context.client.close()

    context.client = context.loop.call(_open_client(context))
    context.resources.callback(lambda: context.loop.call(close()))


@when('an object of {size:d} bytes is sent at {rate:d} bytes per second')
def step_rate(context: Context, size: int, rate: int) -> None:
    """Limit the rate of the response."""
    context.platform.large = b'x' * size
    context.platform.link.bytes_s = float(rate)


@when('an object of {size:d} bytes stalls after {max_bytes:d} bytes')
def step_stalled_response(context: Context, size: int, max_bytes: int) -> None:
    """Stop sending in the middle of the response."""
    context.platform.large = b'x' * size
    context.platform.link.most = max_bytes


@when(
    'an object of {size:d} bytes is sent in pieces of {piece_bytes:d} bytes'
    ' every 0.1 s'
)
def step_trickle(context: Context, size: int, piece_bytes: int) -> None:
    """Send the response in small pieces."""
    context.platform.large = b'x' * size
    context.platform.piece_bytes = piece_bytes


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
    """Record the messages of aborted calls."""

    def __init__(self) -> None:
        self.messages: list[str] = []

    def abort(self, _request: object, message: str) -> None:
        """Record the message."""
        self.messages.append(message)


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


def _receive_at_last_check() -> list[str]:
    """Deliver the first data of a call right after its last check.

    Return the messages of the aborted calls.
    """
    recorder = _RecordingClient()
    client: Any = recorder
    request: Any = object()
    loop = _ManualLoop()
    with patch.object(asyncio, 'get_running_loop', lambda: loop):
        transfer = _Transfer(
            client, HttpCall('PUT', '', LIMIT_S), LIMIT_S, MAX_BODY_BYTES
        )
    transfer.start(request)
    loop.advance(LIMIT_S)
    loop.call_soon(partial(transfer.add_piece, b'data'))
    loop.advance(LIMIT_S + RECHECK_DELAY_S)
    loop.run_ready()
    return recorder.messages


@when('the first data of a call arrives in the iteration of its last check')
def step_last_check(context: Context) -> None:
    """Read the data and run the check in one event loop iteration."""
    context.aborted_messages = _receive_at_last_check()


@then('the call is not aborted')
def step_not_aborted(context: Context) -> None:
    """Check that no call was aborted."""
    assert not context.aborted_messages, context.aborted_messages


@when('its reader is cancelled after {after_s:f} s')
def step_cancel_read(context: Context, after_s: float) -> None:
    """Cancel a read."""

    async def cancel() -> None:
        reading = asyncio.create_task(context.client.get(KIND, 'large'))
        await asyncio.sleep(after_s)
        reading.cancel()

    context.loop.call(cancel())


@when('it is written')
def step_write(context: Context) -> None:
    """Write an object whose response stalls."""
    context.result = context.loop.call(
        context.client.put(KIND, 'large', b'x', MUST_NOT_EXIST)
    )


@when(
    'an object of {size:d} bytes is written and acknowledged after'
    ' {after_s:f} s'
)
def step_write_large(context: Context, size: int, after_s: float) -> None:
    """Write a large body."""
    context.platform.write_delay_s = after_s
    context.result = context.loop.call(
        context.client.put(KIND, 'large', b'x' * size, MUST_NOT_EXIST)
    )


@when('the client is closed during a read')
def step_close(context: Context) -> None:
    """Close the client and record later errors."""
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


@then('no error is reported within {limit_s:f} s')
def step_no_error(context: Context, limit_s: float) -> None:
    """Check that no error was recorded, then reopen the client."""
    context.loop.call(asyncio.sleep(limit_s))
    assert not context.failures, context.failures
    context.client = context.loop.call(_open_client(context))


@then('it is read completely')
def step_complete(context: Context) -> None:
    """Compare the value and check that the timeout was exceeded."""
    timed = context.loop.call(_timed(context.client, 'large'))
    assert isinstance(timed.result, StoredObject), timed.result
    assert timed.result.value == context.platform.large
    assert timed.seconds > context.timeout_s, timed.seconds


@then('the read is aborted after {min_s:f} to {max_s:f} s')
def step_aborted(context: Context, min_s: float, max_s: float) -> None:
    """Check the error and the duration."""
    timed = context.loop.call(_timed(context.client, 'large'))
    assert isinstance(timed.result, StoreError), timed.result
    assert timed.result.fault is StoreFault.UNAVAILABLE, timed.result
    assert min_s <= timed.seconds <= max_s, timed.seconds
    context.error = timed.result


@then('the error reports {min_bytes:d} to {max_bytes:d} received bytes')
def step_bytes(context: Context, min_bytes: int, max_bytes: int) -> None:
    """Check the number of received bytes."""
    assert min_bytes <= context.error.received <= max_bytes, context.error


@then('the next call succeeds immediately')
def step_next_call(context: Context) -> None:
    """Read another object once."""
    timed = context.loop.call(_timed(context.client, 'small'))
    assert isinstance(timed.result, StoredObject), timed.result


@then('the next call succeeds within {limit_s:f} s')
def step_next_call_within(context: Context, limit_s: float) -> None:
    """Retry reading another object until it succeeds."""
    end_s = time.monotonic() + limit_s
    while True:
        timed = context.loop.call(_timed(context.client, 'small'))
        if isinstance(timed.result, StoredObject):
            return
        assert time.monotonic() < end_s, timed.result


@then("the write's effect is unknown")
def step_unknown(context: Context) -> None:
    """Check the fault."""
    assert context.result.fault is StoreFault.UNKNOWN, context.result


@then('it is acknowledged')
def step_acknowledged(context: Context) -> None:
    """Check the result."""
    assert isinstance(context.result, StoredObject), context.result
