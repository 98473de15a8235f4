"""Accept callers' connections and read their requests."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import replace
from time import monotonic

from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPConnection
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine
from tornado.netutil import bind_sockets

from lacewing_daemon.callers import BoundedServer
from lacewing_daemon.callers import CallerAccount
from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._caller_reply import CallerGoneError
from lacewing_daemon.direct._caller_reply import CallerReply
from lacewing_daemon.direct._metrics import OPEN_REQUESTS
from lacewing_daemon.direct._routing_config import Limits
from lacewing_daemon.direct._site import Wire

# The routing configuration sets a lower limit; this one applies until the
# first configuration is loaded.
MAX_BODY_BYTES = 16 * 1024 * 1024
# What is read of a body past the limit, so that its caller, which still
# sends, gets the answer. It is not held.
MAX_DROPPED_BYTES = 1024 * 1024
# A body is read until the deadline of its request: its caller is gone then.
# The upper bound applies to requests without a deadline, too.
MIN_BODY_S = 1.0
MAX_BODY_S = 60.0
MAX_HEADER_BYTES = 65536
# A caller that was refused for lack of room may come again after this.
NO_ROOM_RETRY_S = 1.0
# The routing configuration sets how long callers may keep connections idle;
# this applies until the first one is loaded. This process closes them later by
# the margin, so that no request is sent while the connection is being closed.
IDLE_S = 15.0
IDLE_MARGIN_S = 1.0

_HTTP_WITHOUT_CHUNKS = 'HTTP/1.0'
_SENT_CHECK_INTERVAL_S = 0.01

Serve = Callable[[CallerRequest, CallerReply], Awaitable[None]]

_log = get_log(Part.CALLERS)


class CallerServer(HTTPServerConnectionDelegate):
    """Serve callers with one task for each request."""

    def __init__(
        self, wire: Wire, serve: Serve, account: CallerAccount
    ) -> None:
        self._wire = wire
        self._serve = serve
        self._open: dict[asyncio.Task[None], CallerReply] = {}
        self._stopping = False
        self._address = ''
        self._used: dict[object, HTTP1Connection] = {}
        self._receiving: dict[object, _RequestReader] = {}
        self._quiet: dict[object, HTTP1Connection] = {}
        self._max_body_bytes = MAX_BODY_BYTES
        self._server = _NotifyingServer(
            self,
            account,
            idle_connection_timeout=IDLE_S + IDLE_MARGIN_S,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
        )

    @property
    def address(self) -> str:
        """Return the ``ip:port`` that callers connect to."""
        return self._address

    @property
    def open_requests(self) -> int:
        """Return the number of requests without a complete answer.

        Includes requests whose bodies are still being received: their
        callers already wait for an answer.
        """
        return len(self._open) + len(self._receiving)

    @property
    def max_body_bytes(self) -> int:
        """Return how much of a body is held."""
        return self._max_body_bytes

    @property
    def is_busy(self) -> bool:
        """Return whether answers are open or not sent completely."""
        if self.open_requests:
            return True
        for connection in self._used.values():
            if connection.stream.writing():
                return True
        return False

    def listen(self, host: str, port: int) -> None:
        """Start accepting connections."""
        sockets = bind_sockets(port, host, backlog=_BACKLOG)
        bound = sockets[0].getsockname()
        self._address = f'{bound[0]}:{bound[1]}'
        self._server.add_sockets(sockets)

    def set_limits(self, limits: Limits) -> None:
        """Set what callers may send, and how long they may be idle."""
        params = self._server.conn_params
        params.header_timeout = limits.idle_s + IDLE_MARGIN_S
        params.max_header_size = min(limits.max_header_bytes, MAX_HEADER_BYTES)
        self._server.head_s = limits.head_s
        self._max_body_bytes = min(limits.max_body_bytes, MAX_BODY_BYTES)

    def begin_drain(self) -> None:
        """Close each connection after its next answer.

        Callers reuse connections for many requests. Without a
        ``Connection: close`` header their next request would be sent to a
        process that is terminating.
        """
        self._stopping = True
        self._server.conn_params.no_keep_alive = True
        for reply in self._open.values():
            reply.announce_close()

    def stop_listening(self) -> None:
        """Accept no new connections; close those without a request.

        A request that arrived on an idle connection shortly before the
        process exits could not be completed.
        """
        self._server.stop()
        for connection in tuple(self._quiet.values()):
            connection.close()
        self._quiet.clear()

    async def answer_open(self, limit_s: float) -> None:
        """Let all open requests be answered now; wait for their sockets.

        Requests that are received only in part are served as they are, which
        refuses them: they must not be sent any more when this is called.
        """
        end_s = monotonic() + limit_s
        opened = tuple(self._open.items())
        # A task that is cancelled before its first step answers nothing.
        await asyncio.sleep(0)
        for reader in tuple(self._receiving.values()):
            reader.finish()
        for task, reply in opened:
            reply.mark_stopped()
            task.cancel()
        while self.is_busy and monotonic() < end_s:
            await asyncio.sleep(_SENT_CHECK_INTERVAL_S)

    async def close(self) -> None:
        """Close all connections."""
        for reply in self._open.values():
            reply.mark_stopped()
        await self._server.close_all_connections()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Read the next request of a connection."""
        assert isinstance(request_conn, HTTP1Connection)
        if self._stopping and server_conn in self._used:
            # The last request was read before the drain began, so its answer
            # may have been sent too early to announce the close.
            request_conn.stream.close()
        else:
            request_conn.stream.set_nodelay(True)
        self._used[server_conn] = request_conn
        self._quiet[server_conn] = request_conn
        return _RequestReader(self, server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Remove a connection; a close callback cancels its request."""
        self._quiet.pop(server_conn, None)
        self._receiving.pop(server_conn, None)
        self._used.pop(server_conn, None)

    def read_head(
        self,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        received_s: float,
    ) -> CallerRequest:
        """Return a request of which only the head was read."""
        return self._wire.read_request(
            start_line.method, start_line.path, headers, b'', received_s
        )

    def request_started(
        self, server_conn: object, reader: '_RequestReader'
    ) -> None:
        """Record that a request is being received on a connection."""
        self._quiet.pop(server_conn, None)
        self._receiving[server_conn] = reader

    def request_dropped(self, server_conn: object) -> None:
        """Record that a request will not be received completely."""
        self._receiving.pop(server_conn, None)

    def request_received(
        self,
        server_conn: object,
        request: CallerRequest,
        accepts_chunks: bool,
        connection: HTTP1Connection,
    ) -> None:
        """Serve a request that was read completely, or refuse its body."""
        self._receiving.pop(server_conn, None)
        if connection.stream.closed():
            # The request was read in the same iteration of the event loop in
            # which the connection was closed. Forwarded, it would run
            # without a caller, who could not retry it if it must not run
            # twice.
            return
        reply = CallerReply(connection, accepts_chunks, request.method)
        if self._stopping:
            # Its head may have been read before the stop.
            reply.announce_close()
        task = asyncio.create_task(self._run(request, reply))
        self._open[task] = reply
        task.add_done_callback(self._open.pop)
        # A caller that disconnects cancels its request, which also stops the
        # work at the upstream.
        connection.set_close_callback(lambda: _cancel_request(task))

    async def _run(self, request: CallerRequest, reply: CallerReply) -> None:
        OPEN_REQUESTS.inc()
        try:
            await self._serve(request, reply)
        except CallerGoneError:
            return
        except Exception:
            _log.exception(
                'Unexpected error while serving.', request=request.request_id
            )
            if not reply.has_ended:
                reply.abort()
        finally:
            OPEN_REQUESTS.dec()
            if not reply.has_ended:
                reply.abort()


class _RequestReader(HTTPMessageDelegate):
    """Read one request and pass it to the caller server."""

    def __init__(
        self,
        server: CallerServer,
        server_conn: object,
        connection: HTTP1Connection,
    ) -> None:
        self._caller_server = server
        self._server_conn = server_conn
        self._connection = connection
        self._request: CallerRequest | None = None
        self._accepts_chunks = True
        self._body: list[bytes] = []
        self._received_bytes = 0
        self._max_body_bytes = 0
        self._has_ended = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Store the head, and bound the time that the body may take."""
        assert isinstance(start_line, RequestStartLine)
        self._caller_server.request_started(self._server_conn, self)
        self._accepts_chunks = start_line.version != _HTTP_WITHOUT_CHUNKS
        self._request = self._caller_server.read_head(
            start_line, headers, monotonic()
        )
        self._connection.set_body_timeout(_body_limit_s(self._request))
        self._max_body_bytes = self._caller_server.max_body_bytes

    def data_received(self, chunk: bytes) -> None:
        """Store a piece of the body; drop a body that is too large."""
        self._received_bytes += len(chunk)
        if self._received_bytes <= self._max_body_bytes:
            self._body.append(chunk)
            return
        self._body.clear()
        if self._received_bytes > self._max_body_bytes + MAX_DROPPED_BYTES:
            # An answer to a request that is not complete closes its
            # connection.
            self.finish()

    def refuse_held(self) -> None:
        """Refuse a request, as its body takes room that others need."""
        if self._request is None or self._has_ended:
            self._connection.close()
            return
        self._body.clear()
        self._received_bytes = 0
        self._request = replace(
            self._request,
            receive_refusal=not_run(
                Reason.QUEUE_FULL,
                'callers hold all that this router may keep for them',
                NO_ROOM_RETRY_S,
            ),
        )
        self.finish()

    def finish(self) -> None:
        """Pass on the request once, complete or with a body too large."""
        if self._has_ended:
            return
        self._has_ended = True
        assert self._request is not None
        request = self._request
        if self._received_bytes > self._max_body_bytes:
            request = replace(request, dropped_bytes=self._received_bytes)
        elif self._received_bytes:
            request = replace(request, body=b''.join(self._body))
        # This lives until the next request of the connection.
        self._body.clear()
        self._request = None
        self._caller_server.request_received(
            self._server_conn, request, self._accepts_chunks, self._connection
        )

    def on_connection_close(self) -> None:
        """Drop a request that was received only in part."""
        self._caller_server.request_dropped(self._server_conn)


class _NotifyingServer(BoundedServer):
    """Notify the caller server of closed connections.

    Tornado does not pass this event on to the delegate.
    """

    def on_close(self, server_conn: object) -> None:
        """Remove the connection."""
        super().on_close(server_conn)
        server = self.request_callback
        assert isinstance(server, CallerServer)
        server.on_close(server_conn)


_BACKLOG = 1024


def _body_limit_s(request: CallerRequest) -> float:
    if request.deadline_s is None:
        return MAX_BODY_S
    return max(MIN_BODY_S, min(request.deadline_s, MAX_BODY_S))


def _cancel_request(task: 'asyncio.Task[None]') -> None:
    task.cancel()
