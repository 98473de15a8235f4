"""Carry messages of the exchange between routers."""

from collections.abc import AsyncIterator

import msgspec
from grpclib.const import Cardinality
from grpclib.const import Handler
from grpclib.server import Stream

from lacewing_daemon.direct._peer_link import PeerLink
from lacewing_daemon.direct.exchange._load_exchange import LoadExchange
from lacewing_daemon.direct.exchange._messages import EXCHANGE_METHOD
from lacewing_daemon.direct.exchange._messages import ExchangeAck
from lacewing_daemon.direct.exchange._messages import ExchangeMessage
from lacewing_daemon.peers import bound_messages
from lacewing_daemon.peers import PeerCallFailed

# A peer that takes no message for this long does not read.
SEND_TIMEOUT_S = 1.0


class ExchangeService:
    """Receive the streams of peers, and stream to them."""

    def __init__(self, link: PeerLink, exchange: LoadExchange) -> None:
        self._link = link
        self._exchange = exchange

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by method, for grpclib."""
        return {
            EXCHANGE_METHOD: Handler(
                self._serve,
                Cardinality.STREAM_UNARY,
                msgspec.Raw,
                ExchangeAck,
            )
        }

    async def send(
        self, address: str, messages: AsyncIterator[msgspec.Raw]
    ) -> str | None:
        """Return None once the peer has read all, or what failed."""
        reply = await self._link.stream(
            address,
            EXCHANGE_METHOD,
            messages,
            msgspec.Raw,
            ExchangeAck,
            SEND_TIMEOUT_S,
        )
        return reply.message if isinstance(reply, PeerCallFailed) else None

    async def _serve(self, stream: Stream[msgspec.Raw, ExchangeAck]) -> None:
        bound_messages(stream)
        async for data in stream:
            message = msgspec.msgpack.decode(data, type=ExchangeMessage)
            self._exchange.receive(message, len(bytes(data)))
        await stream.send_message(ExchangeAck())


def connect_exchange(
    link: PeerLink, exchange: LoadExchange
) -> ExchangeService:
    """Serve the streams of peers from now on, and return the carrier."""
    service = ExchangeService(link, exchange)
    link.add_service(service)
    return service
