"""Open a link to an agent with one certificate or another."""

import asyncio
from ssl import CERT_NONE
from ssl import create_default_context
from ssl import Purpose
from ssl import SSLContext
from ssl import SSLError
from typing import Any

from grpclib.client import Channel
from grpclib.client import Stream
from grpclib.const import Cardinality
from grpclib.exceptions import StreamTerminatedError
from lacewing_common.codec import FromAgent
from lacewing_common.codec import FromRouter
from lacewing_common.codec import MsgpackCodec
from lacewing_common.identity import Place
from lacewing_common.identity import ProcessName
from lacewing_common.settings import parse_address
from lacewing_common.settings import TlsFiles
from lacewing_common.wire import Hello
from lacewing_common.wire import LINK_METHOD
from lacewing_common.wire import Welcome

_PATIENCE_S = 10.0


async def can_link(address: str, files: TlsFiles | None) -> bool:
    """Tell whether an agent welcomes a router with these files."""
    parsed = parse_address(address)
    channel = Channel(
        parsed.host,
        parsed.port,
        codec=MsgpackCodec(),
        ssl=_context(files),
    )
    try:
        async with asyncio.timeout(_PATIENCE_S):
            return await _greet(channel)
    except (OSError, SSLError, StreamTerminatedError):
        return False
    finally:
        channel.close()


async def _greet(channel: Channel) -> bool:
    opened: Stream[Any, Any] = channel.request(
        LINK_METHOD, Cardinality.STREAM_STREAM, FromRouter, FromAgent
    )
    async with opened as stream:
        name = ProcessName('probe', 1)
        await stream.send_message(Hello(name, Place('r', 'z'), 0))
        welcome = await stream.recv_message()
        await stream.cancel()
    return isinstance(welcome, Welcome)


def _context(files: TlsFiles | None) -> SSLContext:
    """Trust any server, so that only the agent's own check can refuse."""
    context = create_default_context(Purpose.SERVER_AUTH)
    context.check_hostname = False
    context.verify_mode = CERT_NONE
    context.set_alpn_protocols(['h2'])
    if files is not None:
        context.load_cert_chain(files.certificate, files.key)
    return context
