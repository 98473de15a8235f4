"""Speak HTTP/1.1 with one upstream over one connection.

tornado's curl client can't be used on this leg. It hands an answer to the
call that is under way, whichever request the answer belongs to, and drops
the connection with it; here an answer to another request is read past and
the awaited one behind it is still delivered. tornado's own connection class
reads the answers.
"""

import asyncio
import socket
import time
from typing import Protocol

from lacewing_common.log import get_log
from lacewing_common.log import Part
from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine
from tornado.iostream import IOStream
from tornado.iostream import StreamClosedError
from tornado.iostream import UnsatisfiableReadError

from lacewing_daemon.direct._clock import boot_s

# A peer without power answers nothing, not even with a reset: unsent or
# unacknowledged bytes end the connection after this long.
UNACKNOWLEDGED_MS = 1500
# Probes on a quiet connection find a peer that vanished between two events.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_EVERY_S = 1
KEEPALIVE_PROBES = 2
# Answers come in pieces; one larger than this is not an answer of ours.
MAX_ANSWER_BYTES = 64 * 1024 * 1024
MAX_HEADER_BYTES = 65536
_INFORMATIONAL = 200

_log = get_log(Part.LINK)


class ReplySink(Protocol):
    """Take the answer to one request as it arrives."""

    def expects(self, status: int, headers: HTTPHeaders) -> bool:
        """Tell whether an answer with this head is the awaited one."""

    def on_head(self, status: int, headers: HTTPHeaders) -> None:
        """Take the status and the headers."""

    async def on_data(self, piece: bytes) -> None:
        """Take a piece of the body; returns when more may come."""

    def on_end(self, complete: bool) -> None:
        """Learn that the answer ended; incomplete when it was cut."""


class UpstreamConnection:
    """Hold one connection; one request at a time."""

    def __init__(self, stream: IOStream, opened_s: float) -> None:
        self._stream = stream
        self._opened_s = opened_s
        self._sink: ReplySink | None = None
        self._idle_since_s = time.monotonic()
        self._reuse_until_s = float('inf')
        self._reader = asyncio.create_task(self._read())

    @property
    def is_usable(self) -> bool:
        """Tell whether a request can be sent on it."""
        if self._stream.closed() or self._sink is not None:
            return False
        return time.monotonic() < self._reuse_until_s

    @property
    def opened_s(self) -> float:
        """Return when it was begun to open it, on the boot clock."""
        return self._opened_s

    @property
    def idle_s(self) -> float:
        """Return for how long it has carried no request."""
        return time.monotonic() - self._idle_since_s

    def send(
        self,
        method: str,
        path: str,
        headers: HTTPHeaders,
        body: bytes,
        sink: ReplySink,
    ) -> None:
        """Send one request whose answer goes to the sink."""
        self._sink = sink
        head = _format_head(method, path, headers, body)
        written = self._stream.write(head + body)
        written.add_done_callback(_look_at)

    def release(self, keep_alive_s: float | None) -> bool:
        """Keep the connection for the next request, if it is sound.

        ``keep_alive_s`` is how long the peer keeps it idle, None if unknown.
        """
        self._sink = None
        if self._stream.closed():
            return False
        if self._stream.writing():
            # The answer came before the body was out. The next request
            # would wait behind the rest, which the peer may not read any
            # more.
            self.close()
            return False
        self._idle_since_s = time.monotonic()
        if keep_alive_s is not None:
            self._reuse_until_s = self._idle_since_s + keep_alive_s
        return True

    def close(self) -> None:
        """Close the connection; a request on it is cancelled."""
        self._sink = None
        self._stream.close()

    async def _read(self) -> None:
        try:
            while not self._stream.closed():
                if not await self._read_answer():
                    return
        except (StreamClosedError, UnsatisfiableReadError):
            return
        finally:
            self._stream.close()
            self._end(False)

    async def _read_answer(self) -> bool:
        connection = HTTP1Connection(self._stream, True, _PARAMETERS)
        # This class writes requests itself; the connection object would
        # otherwise wait for a request of its own to be finished.
        connection.finish()
        self._stream.set_nodelay(True)
        return await connection.read_response(_AnswerReader(self))

    def _end(self, complete: bool) -> None:
        sink = self._sink
        if sink is None:
            return
        self._sink = None
        sink.on_end(complete)

    def _head(self, status: int, headers: HTTPHeaders) -> ReplySink | None:
        """Return the sink of this answer; None for one to be read past."""
        if self._sink is None:
            _log.info('Closed a connection: an answer nobody awaits.')
            self._stream.close()
            return None
        if not self._sink.expects(status, headers):
            _log.info('Read past an answer to another request.')
            return None
        self._sink.on_head(status, headers)
        return self._sink

    def _finished(self, sink: ReplySink, framed: bool) -> None:
        if sink is not self._sink:
            return
        # Without a length an answer ends with its connection. After a reset
        # the end looks the same to the reader, but pieces are missing.
        self._end(framed or self._stream.error is None)


class _AnswerReader(HTTPMessageDelegate):
    """Hand one answer to the sink of its connection."""

    def __init__(self, connection: UpstreamConnection) -> None:
        self._connection = connection
        self._sink: ReplySink | None = None
        self._framed = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Find out whose answer begins."""
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code < _INFORMATIONAL:
            return
        self._framed = (
            'Content-Length' in headers or 'Transfer-Encoding' in headers
        )
        self._sink = self._connection._head(start_line.code, headers)

    async def data_received(self, chunk: bytes) -> None:
        """Pass on a piece of the body."""
        if self._sink is not None:
            await self._sink.on_data(chunk)

    def finish(self) -> None:
        """Report the end of the answer."""
        if self._sink is not None:
            self._connection._finished(self._sink, self._framed)

    def on_connection_close(self) -> None:
        """Leave the report to the connection's reader, which ends next."""


_PARAMETERS = HTTP1ConnectionParameters(
    max_header_size=MAX_HEADER_BYTES, max_body_size=MAX_ANSWER_BYTES
)


async def connect(address: str, timeout_s: float) -> UpstreamConnection:
    """Open a connection to ``ip:port``; raises OSError when it fails."""
    host, _, port = address.rpartition(':')
    opened_s = boot_s()
    raw = socket.socket(socket.AF_INET)
    stream = IOStream(raw)
    prepare_socket(raw)
    try:
        async with asyncio.timeout(timeout_s):
            await stream.connect((host, int(port)))
    except (StreamClosedError, TimeoutError) as error:
        stream.close()
        if isinstance(stream.error, ConnectionRefusedError):
            raise stream.error from error
        raise ConnectionError(f'no connection to {address}') from error
    except BaseException:
        stream.close()
        raise
    return UpstreamConnection(stream, opened_s)


def prepare_socket(raw: socket.socket) -> None:
    """Send small pieces at once; end the connection to a silent peer."""
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
    )
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_EVERY_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        raw.setsockopt(socket.IPPROTO_TCP, option, value)


def _format_head(
    method: str, path: str, headers: HTTPHeaders, body: bytes
) -> bytes:
    lines = [f'{method} {path} HTTP/1.1']
    for name, value in headers.get_all():
        lines.append(f'{name}: {value}')
    if body or method in ('POST', 'PUT', 'PATCH'):
        lines.append(f'Content-Length: {len(body)}')
    lines.append('\r\n')
    return '\r\n'.join(lines).encode('latin1')


def _look_at(written: 'asyncio.Future[None]') -> None:
    # A failed write shows as the end of the answer; the future's own error
    # only has to be looked at once.
    if not written.cancelled():
        written.exception()
