"""Check how calls to peers end."""

import asyncio

from behave import then
from behave import when
from behave.runner import Context
from grpclib.const import Cardinality
from grpclib.const import Handler
from grpclib.server import Server
from grpclib.server import Stream
from lacewing_common.codec import MsgpackCodec
from lacewing_daemon.direct.crashes._messages import CrashReport
from lacewing_daemon.direct.crashes._messages import CrashReportAck
from lacewing_daemon.direct.crashes._messages import TELL_METHOD
from lacewing_daemon.peers import PeerCallFailed
from lacewing_daemon.peers import PeerChannels
from lacewing_platform_testing import free_ports

TIMEOUT_S = 5.0
UNDER_WAY_S = 0.1


async def _read_on(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer nothing."""
    while await reader.read(1024):
        continue
    writer.close()


@when('a call to a peer is cancelled as its connection is lost')
def step_cancelled(context: Context) -> None:
    """Cancel it and end its connection in one turn of the loop."""
    context.call_cancelled = asyncio.run(_cancelled())


@when('the connection of a call to a peer is lost')
def step_lost(context: Context) -> None:
    """Let the peer end it once it has read some of the call."""
    context.call_cancelled = asyncio.run(_lost())


async def _break_off(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Reset the connection a while after the first bytes."""
    await reader.read(1024)
    await asyncio.sleep(UNDER_WAY_S)
    writer.transport.abort()


async def _lost() -> bool:
    server = await asyncio.start_server(_break_off, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    channels = PeerChannels(None)
    call = asyncio.create_task(_tell(channels, port, TIMEOUT_S))
    await asyncio.wait((call,))
    channels.close()
    server.close()
    return call.cancelled()


class _SlowPeer:
    """Answer each call a while after it came."""

    def __mapping__(self) -> dict[str, Handler]:
        """Map the method for grpclib."""
        handler = Handler(
            self._take, Cardinality.UNARY_UNARY, CrashReport, CrashReportAck
        )
        return {TELL_METHOD: handler}

    async def _take(self, stream: Stream[CrashReport, CrashReportAck]) -> None:
        await stream.recv_message()
        await asyncio.sleep(2 * UNDER_WAY_S)
        await stream.send_message(CrashReportAck())


@when('two calls to a peer are under way and the first is late')
def step_late(context: Context) -> None:
    """Give up one call while another goes on."""
    context.answer = asyncio.run(_late())


async def _late() -> object:
    server = Server([_SlowPeer()], codec=MsgpackCodec())
    port = free_ports()
    await server.start('127.0.0.1', port)
    channels = PeerChannels(None)
    answers = await asyncio.gather(
        _tell(channels, port, UNDER_WAY_S), _tell(channels, port, TIMEOUT_S)
    )
    channels.close()
    server.close()
    await server.wait_closed()
    assert isinstance(answers[0], PeerCallFailed), answers[0]
    return answers[1]


async def _tell(channels: PeerChannels, port: int, timeout_s: float) -> object:
    address = f'127.0.0.1:{port}'
    told = CrashReport('', ())
    return await channels.call(
        address, TELL_METHOD, told, CrashReportAck, timeout_s
    )


@then('the second is answered')
def step_second(context: Context) -> None:
    """Look that it came to its end."""
    assert context.answer == CrashReportAck(), context.answer


async def _cancelled() -> bool:
    server = await asyncio.start_server(_read_on, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    channels = PeerChannels(None)
    call = asyncio.create_task(_tell(channels, port, TIMEOUT_S))
    await asyncio.sleep(UNDER_WAY_S)
    call.cancel()
    channels.close()
    await asyncio.wait((call,))
    server.close()
    return call.cancelled()


@then('the call ends cancelled')
def step_ends(context: Context) -> None:
    """Look how it ended."""
    assert context.call_cancelled


@then('the call is answered as one without a reply')
def step_no_reply(context: Context) -> None:
    """Look that whoever called goes on."""
    assert not context.call_cancelled
