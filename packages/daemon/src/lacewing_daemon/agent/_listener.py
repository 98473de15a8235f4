"""Set up the listener for routers."""

import socket

from grpclib.config import Configuration

# A router's VM that vanishes sends no end of its connection; pings find out
# so that its attempts count as orphaned.
_PING_EVERY_S = 10.0
_PING_TIMEOUT_S = 5.0


def server_config() -> Configuration:
    """Ping routers, so that one that vanished is noticed."""
    return Configuration(
        _keepalive_time=_PING_EVERY_S,
        _keepalive_timeout=_PING_TIMEOUT_S,
        _http2_max_pings_without_data=0,
        _http2_min_sent_ping_interval_without_data=_PING_EVERY_S / 2,
    )


def listening_socket(host: str, port: int) -> socket.socket:
    """Bind an IP number and a port, 0 for a free one."""
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    # asyncio switches Nagle's algorithm off only where the protocol number
    # is given. Left on, a small frame waits 40 ms for the peer's delayed
    # acknowledgement, which shows as a first token that much later.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.setblocking(False)
    return sock
