"""Take callers' connections and requests."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from time import monotonic

from lacewing_common.log import get_log
from lacewing_common.log import Part
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine
from tornado.netutil import bind_sockets

from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._caller_reply import CallerGoneError
from lacewing_daemon.direct._caller_reply import CallerReply
from lacewing_daemon.direct._metrics import OPEN_REQUESTS
from lacewing_daemon.direct._site import Wire

# A configuration bounds bodies more tightly; this bounds them before the
# first one is known.
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_HEADER_BYTES = 65536
# A configuration tells how long callers may leave connections unused; this
# holds before the first one. This process closes them later by the margin,
# so that no request crosses its close.
IDLE_S = 15.0
IDLE_MARGIN_S = 1.0

Serve = Callable[[CallerRequest, CallerReply], Awaitable[None]]

_log = get_log(Part.CALLERS)


class CallerServer(HTTPServerConnectionDelegate):
    """Serve callers; one task for each request."""

    def __init__(self, wire: Wire, serve: Serve) -> None:
        self._wire = wire
        self._serve = serve
        self._open: dict[asyncio.Task[None], CallerReply] = {}
        self._stopping = False
        self._address = ''
        self._used: set[object] = set()
        self._arriving: set[object] = set()
        self._quiet: dict[object, HTTP1Connection] = {}
        self._server = _CallersServer(
            self,
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

        Those whose bodies are still arriving count: they were begun, and
        their callers wait.
        """
        return len(self._open) + len(self._arriving)

    def listen(self, host: str, port: int) -> None:
        """Begin to take connections."""
        sockets = bind_sockets(port, host, backlog=_BACKLOG)
        bound = sockets[0].getsockname()
        self._address = f'{bound[0]}:{bound[1]}'
        self._server.add_sockets(sockets)

    def set_idle_timeout(self, idle_s: float) -> None:
        """Keep connections open for so long between requests."""
        self._server.conn_params.header_timeout = idle_s + IDLE_MARGIN_S

    def begin_drain(self) -> None:
        """Close each connection with its next answer.

        Callers keep connections open for many requests; without the notice
        their next request would meet the end of the process.
        """
        self._stopping = True
        self._server.conn_params.no_keep_alive = True
        for reply in self._open.values():
            reply.announce_close()

    def stop_listening(self) -> None:
        """Take no new connections; close those without a request.

        A request that came on a kept connection shortly before the end of
        the process could not be finished.
        """
        self._server.stop()
        for connection in tuple(self._quiet.values()):
            connection.close()
        self._quiet.clear()

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
            # Its last request was read before the stop, by when the answer
            # could not announce the end of the connection any more.
            request_conn.stream.close()
        else:
            request_conn.stream.set_nodelay(True)
        self._used.add(server_conn)
        self._quiet[server_conn] = request_conn
        return _RequestReader(self, server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection; its request learns of the end by itself."""
        self._quiet.pop(server_conn, None)
        self._arriving.discard(server_conn)
        self._used.discard(server_conn)

    def awake(self, server_conn: object) -> None:
        """Note that a request arrives on a connection."""
        self._quiet.pop(server_conn, None)
        self._arriving.add(server_conn)

    def dropped(self, server_conn: object) -> None:
        """Note that a request which arrived will not come whole."""
        self._arriving.discard(server_conn)

    def begin(
        self,
        server_conn: object,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
        received_s: float,
        connection: HTTP1Connection,
    ) -> None:
        """Serve a request that was read whole."""
        self._arriving.discard(server_conn)
        if connection.stream.closed():
            # Read in the same turn of the loop in which the connection was
            # closed. Passed on it would run for nobody, and if it must not
            # run twice, its caller could not repeat it.
            return
        request = self._wire.read_request(
            start_line.method, start_line.path, headers, body, received_s
        )
        reply = CallerReply(connection)
        task = asyncio.create_task(self._run(request, reply))
        self._open[task] = reply
        task.add_done_callback(self._open.pop)
        # A caller that leaves cancels its request, and with it the work at
        # the upstream, which nobody would take.
        connection.set_close_callback(lambda: _cancel(task))

    async def _run(self, request: CallerRequest, reply: CallerReply) -> None:
        OPEN_REQUESTS.inc()
        try:
            await self._serve(request, reply)
        except CallerGoneError:
            return
        except Exception:
            _log.exception('A request failed.', request=request.request_id)
            if not reply.has_ended:
                reply.abort()
        finally:
            OPEN_REQUESTS.dec()
            if not reply.has_ended:
                reply.abort()


class _RequestReader(HTTPMessageDelegate):
    """Collect one request."""

    def __init__(
        self,
        front: CallerServer,
        server_conn: object,
        connection: HTTP1Connection,
    ) -> None:
        self._front = front
        self._server_conn = server_conn
        self._connection = connection
        self._start_line = RequestStartLine('', '', '')
        self._headers = HTTPHeaders()
        self._body: list[bytes] = []
        self._received_s = 0.0

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Take the head."""
        assert isinstance(start_line, RequestStartLine)
        self._front.awake(self._server_conn)
        self._start_line = start_line
        self._headers = headers
        self._received_s = monotonic()

    def data_received(self, chunk: bytes) -> None:
        """Take a piece of the body."""
        self._body.append(chunk)

    def finish(self) -> None:
        """Hand the request over."""
        self._front.begin(
            self._server_conn,
            self._start_line,
            self._headers,
            b''.join(self._body),
            self._received_s,
            self._connection,
        )

    def on_connection_close(self) -> None:
        """Drop what was read of a request that never came whole."""
        self._front.dropped(self._server_conn)


class _CallersServer(HTTPServer):
    """Tell the front when a connection ends, which tornado does not."""

    def on_close(self, server_conn: object) -> None:
        """Forget the connection."""
        super().on_close(server_conn)
        front = self.request_callback
        assert isinstance(front, CallerServer)
        front.on_close(server_conn)


_BACKLOG = 1024


def _cancel(task: 'asyncio.Task[None]') -> None:
    task.cancel()
