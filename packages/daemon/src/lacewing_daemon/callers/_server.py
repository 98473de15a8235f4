"""Serve HTTP to callers within the bounds of an account."""

import asyncio
import socket
import ssl
from typing import Any
from typing import Protocol
from typing import runtime_checkable

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine
from tornado.netutil import ssl_wrap_socket

from lacewing_daemon.background import keep_running
from lacewing_daemon.callers._account import CallerAccount
from lacewing_daemon.callers._account import Held
from lacewing_daemon.callers._account import Wait
from lacewing_daemon.callers._limit import CallerLimit
from lacewing_daemon.callers._limit import CONNECTIONS
from lacewing_daemon.callers._limit import HELD_BYTES
from lacewing_daemon.callers._stream import CallerStream
from lacewing_daemon.callers._stream import CallerTlsStream
from lacewing_daemon.callers._stream import counted_stream
from lacewing_daemon.callers._stream import CountedStream

# The largest head that a configuration may allow.
MAX_HEADER_BYTES = 65536
DEFAULT_HEAD_S = 15.0
# Heads arrive later than they are sent.
HEAD_MARGIN_S = 1.0
CHECK_INTERVAL_S = 0.5


@runtime_checkable
class Refusable(Protocol):
    """Answer a request that is received only in part."""

    def refuse_held(self) -> None:
        """Refuse it, as there is no room for the rest."""


class BoundedServer(HTTPServer):
    """Close connections, or refuse requests, past a bound of callers.

    The sizes of heads are bounded by ``conn_params``, as in tornado.
    """

    def initialize(  # type: ignore[override]
        self,
        request_callback: Any,
        account: CallerAccount,
        head_s: float = DEFAULT_HEAD_S,
        **options: Any,
    ) -> None:
        """Set what bounds the server; ``head_s`` a head may take."""
        super().initialize(request_callback, **options)
        self.head_s = head_s
        self._account = account
        self._streams: dict[object, CountedStream] = {}
        self._delegates: dict[CountedStream, HTTPMessageDelegate] = {}
        self._checking: asyncio.Task[None] | None = None

    def add_sockets(self, sockets: Any) -> None:
        """Start accepting connections, and checking them."""
        super().add_sockets(sockets)
        if self._checking is None:
            self._checking = asyncio.create_task(
                keep_running('callers', self._check_always)
            )

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Count what the next request of a connection holds."""
        delegate = super().start_request(server_conn, request_conn)
        stream = counted_stream(request_conn)
        assert stream is not None
        self._streams[server_conn] = stream
        self._delegates[stream] = delegate
        holding = stream.holding
        stream.request_ends()
        if not stream.writing():
            holding.set(Held.WRITE, 0)
            holding.wait_for(Wait.REQUEST)
        return _CountingDelegate(delegate, stream)

    def on_close(self, server_conn: object) -> None:
        """Release what a connection held."""
        super().on_close(server_conn)
        stream = self._streams.pop(server_conn, None)
        if stream is not None:
            self._delegates.pop(stream, None)
            holding = stream.holding
            is_head = holding.wait is Wait.REQUEST
            if is_head and holding.size(Held.HEAD) >= _max_header(self):
                self._account.limits.record(CallerLimit.HEAD_SIZE)
            stream.holding.close()

    def check(self, now_s: float) -> None:
        """Close connections that have made no progress for too long."""
        HELD_BYTES.set(self._account.held_bytes)
        CONNECTIONS.set(len(self._account.holdings))
        for stream in tuple(self._streams.values()):
            limit = None
            if stream.head_age_s(now_s) > self.head_s + HEAD_MARGIN_S:
                limit = CallerLimit.HEAD_TIME
            elif stream.stalled_s(now_s) > self._account.bounds.write_stall_s:
                limit = CallerLimit.WRITE_STALL
            if limit is not None:
                self._account.limits.record(limit, stream.holding.bytes)
                stream.close()

    async def close_all_connections(self) -> None:
        """Close all connections and stop checking them."""
        if self._checking is not None:
            self._checking.cancel()
            self._checking = None
        await super().close_all_connections()

    def _handle_connection(
        self, connection: socket.socket, address: Any
    ) -> None:
        """Take a new connection if there is room for it."""
        try:
            stream = self._open(connection)
        except OSError:
            # The caller has closed it already.
            connection.close()
            return
        if stream is not None:
            self.handle_stream(stream, address)

    def _open(self, connection: socket.socket) -> CountedStream | None:
        streams: list[CountedStream] = []
        holding = self._account.open(lambda: self._end(streams))
        if holding is None:
            connection.close()
            return None
        stream: CountedStream
        try:
            if self.ssl_options is None:
                stream = CallerStream(connection)
            else:
                wrapped = ssl_wrap_socket(
                    connection,
                    self.ssl_options,
                    server_side=True,
                    do_handshake_on_connect=False,
                )
                stream = CallerTlsStream(wrapped)
        except (OSError, ssl.SSLError):
            holding.close()
            raise
        stream.attach(holding)
        streams.append(stream)
        return stream

    def _end(self, streams: list[CountedStream]) -> None:
        """Refuse a request that is received in part, or close.

        Later, as this may be called while the stream reads.
        """
        loop = asyncio.get_running_loop()
        for stream in streams:
            delegate = self._delegates.get(stream)
            if isinstance(delegate, Refusable) and not stream.writing():
                loop.call_soon(delegate.refuse_held)
                continue
            loop.call_soon(stream.close)

    async def _check_always(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check(self._account.now_s())


class _CountingDelegate(HTTPMessageDelegate):
    """Count the head and the body of a request before they are passed on."""

    def __init__(
        self, delegate: HTTPMessageDelegate, stream: CountedStream
    ) -> None:
        self._delegate = delegate
        self._stream = stream

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Any:
        """Wait for the body from now on."""
        self._stream.body_begins()
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Any:
        """Hold a piece, and drop what is more than there is room for."""
        if not self._stream.holding.add(Held.BODY, len(chunk)):
            return None
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        """Wait for the answer from now on."""
        self._stream.holding.wait_for(Wait.OWN)
        self._delegate.finish()

    def on_connection_close(self) -> None:
        """Pass it on."""
        self._delegate.on_connection_close()


def _max_header(server: HTTPServer) -> int:
    return server.conn_params.max_header_size or MAX_HEADER_BYTES
