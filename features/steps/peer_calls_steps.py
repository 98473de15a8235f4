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
CALL_DURATION_S = 0.1


async def _read_without_reply(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Read without sending a reply."""
    while await reader.read(1024):
        continue
    writer.close()


@when('a call to a peer is cancelled as its connection is lost')
def step_cancelled(context: Context) -> None:
    """Cancel it and close its connection in one event loop iteration."""
    context.call_cancelled = asyncio.run(_cancel_call())


@when('the connection of a call to a peer is lost')
def step_lost(context: Context) -> None:
    """Let the peer reset it once it has read part of the call."""
    context.call_cancelled = asyncio.run(_call_with_lost_connection())


async def _reset_connection(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Reset the connection after a delay from the first bytes."""
    await reader.read(1024)
    await asyncio.sleep(CALL_DURATION_S)
    writer.transport.abort()


async def _call_with_lost_connection() -> bool:
    server = await asyncio.start_server(_reset_connection, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    channels = PeerChannels(None)
    call = asyncio.create_task(_send_report(channels, port, TIMEOUT_S))
    await asyncio.wait((call,))
    channels.close()
    server.close()
    return call.cancelled()


class _SlowPeer:
    """Answer each call after a delay."""

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by method, for grpclib."""
        handler = Handler(
            self._on_report,
            Cardinality.UNARY_UNARY,
            CrashReport,
            CrashReportAck,
        )
        return {TELL_METHOD: handler}

    async def _on_report(
        self, stream: Stream[CrashReport, CrashReportAck]
    ) -> None:
        await stream.recv_message()
        await asyncio.sleep(2 * CALL_DURATION_S)
        await stream.send_message(CrashReportAck())


@when('two calls to a peer are in progress and the first times out')
def step_timeout(context: Context) -> None:
    """Let one call time out while another one continues."""
    context.second_answer = asyncio.run(_calls_with_timeout())


async def _calls_with_timeout() -> object:
    server = Server([_SlowPeer()], codec=MsgpackCodec())
    port = free_ports()
    await server.start('127.0.0.1', port)
    channels = PeerChannels(None)
    answers = await asyncio.gather(
        _send_report(channels, port, CALL_DURATION_S),
        _send_report(channels, port, TIMEOUT_S),
    )
    channels.close()
    server.close()
    await server.wait_closed()
    assert isinstance(answers[0], PeerCallFailed), answers[0]
    return answers[1]


async def _send_report(
    channels: PeerChannels, port: int, timeout_s: float
) -> object:
    address = f'127.0.0.1:{port}'
    report = CrashReport('', ())
    return await channels.call(
        address, TELL_METHOD, report, CrashReportAck, timeout_s
    )


@then('the second call is answered')
def step_second_answered(context: Context) -> None:
    """Check that it was answered."""
    assert context.second_answer == CrashReportAck(), context.second_answer


async def _cancel_call() -> bool:
    server = await asyncio.start_server(_read_without_reply, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    channels = PeerChannels(None)
    call = asyncio.create_task(_send_report(channels, port, TIMEOUT_S))
    await asyncio.sleep(CALL_DURATION_S)
    call.cancel()
    channels.close()
    await asyncio.wait((call,))
    server.close()
    return call.cancelled()


@then('the call ends cancelled')
def step_call_cancelled(context: Context) -> None:
    """Check that its task was cancelled."""
    assert context.call_cancelled


@then('the call is not cancelled')
def step_call_not_cancelled(context: Context) -> None:
    """Check that its task was not cancelled."""
    assert not context.call_cancelled
