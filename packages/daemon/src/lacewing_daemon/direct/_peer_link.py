"""Serve calls of other routers and call them over shared connections."""

import asyncio
from collections.abc import AsyncIterable
from collections.abc import Callable
from typing import Any
from typing import Protocol
from typing import TypeVar

from grpclib.const import Cardinality
from grpclib.const import Handler
from grpclib.server import Server
from grpclib.server import Stream
from lacewing_common.codec import MsgpackCodec
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.settings import parse_address

from lacewing_daemon.peers import PeerCallFailed
from lacewing_daemon.peers import PeerChannels
from lacewing_daemon.peers import receive_only_message

# Retry interval if the port is in use at startup. The previous router process
# keeps it for some seconds while it drains.
LISTEN_RETRY_S = 1.0
# Interval between checks for connections that are no longer used.
CLOSE_IDLE_INTERVAL_S = 5.0

T = TypeVar('T')

_log = get_log(Part.MEMBERS)


class PeerService(Protocol):
    """Handle calls of peers."""

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by method, for grpclib."""


class PeerLink:
    """Listen at one address for all services, and call other routers."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._channels = PeerChannels(None, has_small_replies=True)
        self._services: list[PeerService] = []
        self._server: Server | None = None

    @property
    def address(self) -> str:
        """Return the ``ip:port`` at which peers call this router."""
        return self._address

    def add_service(self, service: PeerService) -> None:
        """Serve more calls; only before ``run``."""
        self._services.append(service)

    async def call(
        self,
        address: str,
        method: str,
        request: object,
        reply_type: type[T],
        timeout_s: float,
    ) -> T | PeerCallFailed:
        """Make one call to a peer, without retries."""
        answer = await self._channels.call(
            address, method, request, reply_type, timeout_s
        )
        if isinstance(answer, PeerCallFailed):
            _log.debug('Call to a peer failed.', error=answer.message)
        return answer

    async def stream(
        self,
        address: str,
        method: str,
        messages: AsyncIterable[Any],
        message_type: type,
        reply_type: type[T],
        timeout_s: float,
    ) -> T | PeerCallFailed:
        """Send a peer messages in one call; ``timeout_s`` is for each."""
        return await self._channels.stream(
            address, method, messages, message_type, reply_type, timeout_s
        )

    async def run(self) -> None:
        """Listen and close idle connections until cancelled."""
        await self._listen()
        while True:
            await asyncio.sleep(CLOSE_IDLE_INTERVAL_S)
            self._channels.close_idle()

    def close(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        self._channels.close()

    async def _listen(self) -> None:
        """Listen as soon as the port is free.

        Until then this router calls peers but cannot be called.
        """
        address = parse_address(self._address)
        server = Server(self._services, codec=MsgpackCodec())
        has_failed = False
        while self._server is None:
            try:
                await server.start(address.host, address.port)
                self._server = server
            except OSError as error:
                if not has_failed:
                    _log.error('Cannot listen for peers.', error=str(error))
                has_failed = True
                await asyncio.sleep(LISTEN_RETRY_S)
        if has_failed:
            _log.info('Listens for peers.')


def unary(handle: Callable[[Any], Any], request: type, reply: type) -> Handler:
    """Return the handler of a method that takes and returns one message."""

    async def serve(stream: Stream[Any, Any]) -> None:
        message = await receive_only_message(stream)
        if message is not None:
            await stream.send_message(handle(message))

    return Handler(serve, Cardinality.UNARY_UNARY, request, reply)
