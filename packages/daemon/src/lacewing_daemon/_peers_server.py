"""Listen for the system's own processes."""

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

_CLOSE_S = 2.0
# A router's VM that vanishes sends no end of its connection; pings find out
# so that its attempts count as orphaned. Nothing waits for that but memory and
# slots of streams nobody reads; at 890 links a ping every 10 s took a router
# all the CPU that control may use.
PING_EVERY_S = 60.0
_PING_TIMEOUT_S = 10.0


class GrpcService(Protocol):
    """Serve some gRPC methods."""

    def __mapping__(self) -> Mapping[str, Handler]:
        """Map paths of methods to their handlers."""


class PeersServer:
    """Serve several parts of a process on its one listener for peers."""

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
        """Return the ``ip:port`` it listens on, '' before the start."""
        return self._address

    async def start(self) -> None:
        """Bind the address of the settings and listen."""
        wanted = parse_address(self._settings.listen.peers)
        sock = _listening_socket(wanted)
        await self._server.start(
            sock=sock,
            ssl=server_context(self._settings, ClientCertificate.PEERS),
        )
        host, port = sock.getsockname()[:2]
        self._address = str(Address(host, port))

    def stop(self) -> None:
        """Take no more connections and end the calls."""
        self._server.close()

    async def wait_closed(self) -> None:
        """Wait a little for the calls to end."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._server.wait_closed(), _CLOSE_S)


def _configuration() -> Configuration:
    return Configuration(
        _keepalive_time=PING_EVERY_S,
        _keepalive_timeout=_PING_TIMEOUT_S,
        _http2_max_pings_without_data=0,
        _http2_min_sent_ping_interval_without_data=PING_EVERY_S / 2,
    )


def _listening_socket(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    # asyncio switches Nagle's algorithm off only where the protocol number
    # is given. Left on, a small frame waits 40 ms for the peer's delayed
    # acknowledgement, which shows as a first token that much later.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address.host, address.port))
    sock.setblocking(False)
    return sock
