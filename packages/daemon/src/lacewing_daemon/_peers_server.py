"""Serve gRPC to the other processes of the fleet."""

import asyncio
import contextlib
import socket
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Protocol

from grpclib.config import Configuration
from grpclib.const import Handler
from grpclib.server import Server
from lacewing_common.codec import MsgpackCodec
from lacewing_common.settings import Address
from lacewing_common.settings import parse_address
from lacewing_common.settings import Settings
from lacewing_common.tls import ClientCertificate
from lacewing_common.tls import server_context

_CLOSE_TIMEOUT_S = 2.0
# A router whose VM vanishes does not close its connections. Pings detect
# this, so that its attempts count as orphaned. Until then they only hold
# memory and the slots of streams that nobody reads, so detection may be slow:
# at 890 links, a ping every 10 s used all the CPU that a router has for
# control.
PING_EVERY_S = 60.0
_PING_TIMEOUT_S = 10.0


class GrpcService(Protocol):
    """Implement gRPC methods that a listener can serve."""

    def __mapping__(self) -> Mapping[str, Handler]:
        """Map method paths to their handlers."""


class PeersServer:
    """Serve several gRPC services on the single listener for peers."""

    def __init__(
        self, settings: Settings, services: Sequence[GrpcService]
    ) -> None:
        self._settings = settings
        self._server = Server(
            list(services), codec=MsgpackCodec(), config=_configuration()
        )
        self._address = ''

    @property
    def address(self) -> str:
        """Return the ``ip:port`` of the listener, '' before the start."""
        return self._address

    async def start(self) -> None:
        """Bind the configured address and listen."""
        configured = parse_address(self._settings.listen.peers)
        sock = _listening_socket(configured)
        await self._server.start(
            sock=sock,
            ssl=server_context(self._settings, ClientCertificate.PEERS),
        )
        host, port = sock.getsockname()[:2]
        self._address = str(Address(host, port))

    def stop(self) -> None:
        """Accept no more connections and end all calls."""
        self._server.close()

    async def wait_closed(self) -> None:
        """Wait for the calls to end, for a bounded time."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(
                self._server.wait_closed(), _CLOSE_TIMEOUT_S
            )


def _configuration() -> Configuration:
    return Configuration(
        _keepalive_time=PING_EVERY_S,
        _keepalive_timeout=_PING_TIMEOUT_S,
        _http2_max_pings_without_data=0,
        _http2_min_sent_ping_interval_without_data=PING_EVERY_S / 2,
    )


def _listening_socket(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    # asyncio disables Nagle's algorithm only if the socket was created with
    # the protocol number. With Nagle's algorithm, a small frame waits 40 ms
    # for the peer's delayed acknowledgement, which delays the first token.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address.host, address.port))
    sock.setblocking(False)
    return sock
