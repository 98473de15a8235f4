"""Check a router beside other routers that send without end."""

import asyncio
import struct
import time
from typing import Any

from behave import then
from behave import when
from behave.runner import Context
from grpclib.const import Cardinality
from grpclib.const import Handler
from grpclib.server import Server
from grpclib.server import Stream
from lacewing_common.codec import MsgpackCodec
from lacewing_daemon.direct._peer_link import PeerLink
from lacewing_daemon.direct._peer_link import unary
from lacewing_daemon.direct.crashes._messages import CrashReportAck
from lacewing_daemon.direct.limits._messages import MOVE_METHOD
from lacewing_daemon.direct.limits._messages import TokenReply
from lacewing_daemon.direct.limits._messages import TokenRequest
from lacewing_daemon.peers import PeerCallFailed
from lacewing_platform_testing import free_ports
from steps.endless_answers_steps import load_router
from support.direct_bench import direct_bench
from support.endless_peer import EndlessPeer

LARGE_BYTES = 2**31 - 1
PIECE_BYTES = 16384
FAST_INTERVAL_S = 0.001
SLOW_INTERVAL_S = 0.1
LISTEN_S = 0.1


@when(
    '{count:d} routers send it messages of 2 GiB under that load for'
    ' {lasts_s:g} s'
)
def step_large_messages(context: Context, count: int, lasts_s: float) -> None:
    """Send them as fast as the router reads."""
    peer = EndlessPeer(
        direct_bench(context).peers_address,
        LARGE_BYTES,
        b'x' * PIECE_BYTES,
        FAST_INTERVAL_S,
    )
    sending = peer.start(count, lasts_s)
    context.load = load_router(context, lasts_s)
    sending.join()
    assert peer.calls > 0


@when(
    '{count:d} routers send one messages of {size:d} bytes slowly for'
    ' {lasts_s:g} s'
)
def step_slow_messages(
    context: Context, count: int, size: int, lasts_s: float
) -> None:
    """Send a byte at a time to a router in this event loop."""
    address = f'127.0.0.1:{free_ports()}'
    context.peer = EndlessPeer(address, size, b'x', SLOW_INTERVAL_S)
    asyncio.run(_receive_from(context.peer, count, lasts_s))


@then('each of these calls was refused after at most {most_s:g} s')
def step_refused_late(context: Context, most_s: float) -> None:
    """Check how long one was received for at most."""
    assert context.peer.calls > 0
    assert context.peer.longest_s <= most_s, context.peer


@when(
    'a router answers a call of at most {limit_s:g} s with a message of 2 GiB'
)
def step_large_answer(context: Context, limit_s: float) -> None:
    """Call a stand-in for it in an event loop of its own."""
    start_s = time.monotonic()
    context.answer = asyncio.run(_call_endless(limit_s))
    context.took_s = time.monotonic() - start_s


@then('the call fails for its size within {most_s:g} s')
def step_fails(context: Context, most_s: float) -> None:
    """Check the failure and the time."""
    assert isinstance(context.answer, PeerCallFailed), context.answer
    assert str(LARGE_BYTES) in context.answer.message, context.answer
    assert context.took_s < most_s, context.took_s


async def _receive_from(peer: EndlessPeer, count: int, lasts_s: float) -> None:
    link = PeerLink(peer.address)
    link.add_service(_MoveService())
    running = asyncio.create_task(link.run())
    await asyncio.sleep(LISTEN_S)
    try:
        await peer.send_all(count, lasts_s)
    finally:
        running.cancel()
        link.close()


class _MoveService:
    """Grant nothing."""

    def __mapping__(self) -> dict[str, Handler]:
        return {
            MOVE_METHOD: unary(
                lambda _request: TokenReply(), TokenRequest, TokenReply
            )
        }


async def _call_endless(limit_s: float) -> object:
    address = f'127.0.0.1:{free_ports()}'
    host, _, port = address.rpartition(':')
    server = Server([_EndlessService()], codec=MsgpackCodec())
    await server.start(host, int(port))
    link = PeerLink('')
    try:
        return await link.call(
            address, MOVE_METHOD, CrashReportAck(), CrashReportAck, limit_s
        )
    finally:
        link.close()
        server.close()
        await server.wait_closed()


class _EndlessService:
    """Answer calls with a message that does not end."""

    def __mapping__(self) -> dict[str, Handler]:
        return {
            MOVE_METHOD: Handler(
                self._answer,
                Cardinality.UNARY_UNARY,
                CrashReportAck,
                CrashReportAck,
            )
        }

    async def _answer(self, stream: Stream[Any, Any]) -> None:
        await stream.recv_message()
        await stream.send_initial_metadata()
        await stream._stream.send_data(b'\0' + struct.pack('>I', LARGE_BYTES))
        while True:
            await stream._stream.send_data(b'x' * PIECE_BYTES)
            await asyncio.sleep(FAST_INTERVAL_S)
