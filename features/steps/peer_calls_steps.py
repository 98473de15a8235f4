"""Check how calls to peers end."""

import asyncio

from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct.crashes._messages import TELL_METHOD
from lacewing_daemon.direct.crashes._messages import Told
from lacewing_daemon.direct.crashes._messages import TookTold
from lacewing_daemon.peers import Channels

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
    host, port = server.sockets[0].getsockname()
    channels = Channels(None)
    call = asyncio.create_task(
        channels.call(
            f'{host}:{port}', TELL_METHOD, Told('', ()), TookTold, TIMEOUT_S
        )
    )
    await asyncio.wait((call,))
    channels.close()
    server.close()
    return call.cancelled()


async def _cancelled() -> bool:
    server = await asyncio.start_server(_read_on, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    channels = Channels(None)
    call = asyncio.create_task(
        channels.call(
            f'{host}:{port}', TELL_METHOD, Told('', ()), TookTold, TIMEOUT_S
        )
    )
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
