"""Check how long answers of the platform are waited for."""

import asyncio
import time
from dataclasses import dataclass

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.loop_thread import LoopThread
from lacewing_common.platform_client import ClientOptions
from lacewing_common.platform_client import PlatformClient
from lacewing_common.store import MUST_NOT_EXIST
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault
from lacewing_platform_testing._server import NarrowLink
from lacewing_platform_testing._server import Received
from lacewing_platform_testing._server import StandInServer
from lacewing_platform_testing._server import whole_answer

KIND = 'bundle'
SMALL = b'small'


@dataclass(frozen=True)
class Took:
    """Hold a result and the time that it took."""

    result: StoredObject | StoreError
    seconds: float


class SlowPlatform:
    """Serve one large object slowly and all others at once."""

    def __init__(self) -> None:
        self.server = StandInServer(self._handle)
        self.link = NarrowLink()
        self.large = b''
        self.piece = 0
        self.write_after_s = 0.0

    async def _handle(self, received: Received) -> None:
        large = received.path.endswith('/large')
        body = self.large if large else SMALL
        answer = whole_answer(200, {'ETag': '"1"'}, body)
        if large and received.method == 'PUT' and self.write_after_s:
            await asyncio.sleep(self.write_after_s)
            await received.stream.write(
                whole_answer(200, {'ETag': '"1"'}, b'')
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
            calls_at_once=1,
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
