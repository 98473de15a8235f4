"""Serve HTTP on a port whose connections can be dropped at will."""

import socket
import struct
from typing import Any
from weakref import WeakSet

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.web import Application

_HOST = '127.0.0.1'
_BACKLOG = 512
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_MAX_BODY_BYTES = 64 * 1024 * 1024


class _TrackedServer(HTTPServer):
    """Remember the open connections."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Start with no connections."""
        super().initialize(*args, **kwargs)
        self.streams: WeakSet[IOStream] = WeakSet()

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a new connection."""
        self.streams.add(stream)
        super().handle_stream(stream, address)


class Listener:
    """Own one listening port, its server and its connections."""

    def __init__(self, application: Application, port: int) -> None:
        self._application = application
        self._port = port
        self._server = self._new_server()

    @property
    def address(self) -> str:
        """Return the address as ``ip:port``."""
        return f'{_HOST}:{self._port}'

    def start(self) -> None:
        """Bind the port and accept connections."""
        bound = self._bind()
        self._port = bound.getsockname()[1]
        self._accept(bound)

    def refuse(self) -> socket.socket:
        """Refuse connections; return the socket that keeps the port."""
        self._server.stop()
        return self._bind()

    def accept_again(self, bound: socket.socket) -> None:
        """Accept connections on a socket that ``refuse`` returned."""
        self._server = self._new_server()
        self._accept(bound)

    def drop_connections(self, spared: IOStream | None = None) -> None:
        """Reset all connections but one, as a killed process would."""
        for stream in list(self._server.streams):
            if stream is spared or stream.closed():
                continue
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
            stream.close()

    def close(self) -> None:
        """Stop accepting and drop all connections."""
        self._server.stop()
        self.drop_connections()

    def _new_server(self) -> _TrackedServer:
        return _TrackedServer(
            self._application,
            max_body_size=_MAX_BODY_BYTES,
            max_buffer_size=_MAX_BODY_BYTES,
        )

    def _bind(self) -> socket.socket:
        bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.setblocking(False)
        bound.bind((_HOST, self._port))
        return bound

    def _accept(self, bound: socket.socket) -> None:
        bound.listen(_BACKLOG)
        self._server.add_sockets([bound])
