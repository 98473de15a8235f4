"""Send HTTP/1.1 requests to an upstream over a single connection.

tornado's curl client is unsuitable here: it passes a response to the current
call even if the response belongs to another request, and then closes the
connection. This module skips a late copy of an earlier response and still
delivers the expected one after it. Responses are parsed by tornado's
HTTP1Connection.
"""

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Protocol

from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamBufferFullError
from tornado.iostream import StreamClosedError
from tornado.iostream import UnsatisfiableReadError

from lacewing_daemon.direct._answer_end import BodyEnd
from lacewing_daemon.direct._answer_end import end_of_parsed_body
from lacewing_daemon.direct._answer_end import has_body
from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._carried_requests import AnswerDigest
from lacewing_daemon.direct._carried_requests import AnswerFingerprint
from lacewing_daemon.direct._carried_requests import CarriedRequests
from lacewing_daemon.direct._clock import boot_s
from lacewing_daemon.direct._overrun import is_in_head
from lacewing_daemon.direct._read_bounds import MAX_HEADER_BYTES
from lacewing_daemon.direct._read_bounds import MAX_HELD_BYTES
from lacewing_daemon.direct._read_bounds import MAX_INTERIM_ANSWERS
from lacewing_daemon.direct._read_bounds import MAX_SKIP_S
from lacewing_daemon.direct._read_bounds import MAX_SKIPPED_BYTES
from lacewing_daemon.direct._read_bounds import ReadSource
from lacewing_daemon.direct._read_bounds import record_cut
from lacewing_daemon.direct._site import ReplyHead
from lacewing_daemon.direct._site import Wire
from lacewing_daemon.direct._stray_answers import StrayAnswer
from lacewing_daemon.direct._stray_answers import StrayKind
from lacewing_daemon.direct._upstream_stream import UpstreamStream

# A peer without power sends nothing, not even a reset. The kernel closes the
# connection once data stays unsent or unacknowledged for this long.
TCP_USER_TIMEOUT_MS = 1500
# TCP keepalive detects a peer that disappeared between two events.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# A stream of events may be of any length; each is bounded by itself.
MAX_REPLY_BYTES = 1 << 40
# The parser holds a body without framing until the connection is closed.
MAX_BUFFERED_BYTES = MAX_HELD_BYTES + MAX_HEADER_BYTES
# Requests that a connection carries. It remembers the ids of all and their
# answers: a caller may send a request again with the same id, and an upstream
# its answer at any later moment.
MAX_CARRIED_REQUESTS = 64
# A timer that is later than this indicates a stall of the process.
STALL_THRESHOLD_S = 0.02
_MIN_STATUS = 100
_MIN_FINAL_STATUS = 200


class ReplySink(Protocol):
    """Receive the response to one request as it arrives."""

    @property
    def wire(self) -> Wire:
        """Return what decodes the heads of responses."""

    def on_skipped(self) -> None:
        """Handle that a copy of an earlier response was skipped."""

    def on_head(self, status: int, headers: HTTPHeaders) -> None:
        """Handle the status and the headers."""

    async def on_data(self, piece: bytes) -> None:
        """Handle a chunk of the body; return when ready for the next one."""

    def on_end(self, body_end: BodyEnd, following: bytes = b'') -> None:
        """Handle the end of the response and what was received after it."""


def _ignore_refusal(_is_named: bool) -> None:
    return


def _ignore_stray(_answer: StrayAnswer) -> None:
    return


class UpstreamConnection:
    """Handle one connection, with one request at a time.

    A response that does not name the request under way is skipped only if it
    is the same again as one that the connection has carried. Any other may be
    the response to this request, which must not be believed to have another
    one after it: it ends the request, and the connection is closed.

    ``on_refusal`` is called with whether a refusal named its request. One
    that does not counts only as the first response on the connection.
    ``on_stray`` is called with each response that does not name the request
    under way.
    """

    def __init__(
        self,
        stream: UpstreamStream,
        opened_s: float,
        on_refusal: Callable[[bool], None] = _ignore_refusal,
        on_stray: Callable[[StrayAnswer], None] = _ignore_stray,
    ) -> None:
        self._stream = stream
        self._opened_s = opened_s
        self._on_refusal = on_refusal
        self._on_stray = on_stray
        self._sink: ReplySink | None = None
        self._wire: Wire | None = None
        self._sent_requests = 0
        self._method = ''
        self._request_id = ''
        self._idle_since_s = time.monotonic()
        self._reuse_until_s = float('inf')
        self._has_responded = False
        self._carried = CarriedRequests()
        self._reader = asyncio.create_task(self._read())

    @property
    def is_usable(self) -> bool:
        """Return whether a request can be sent on it."""
        if self._stream.closed() or self._sink is not None:
            return False
        return time.monotonic() < self._reuse_until_s

    @property
    def is_closed(self) -> bool:
        """Return whether it was closed, here or by its peer."""
        return self._stream.closed()

    @property
    def opened_s(self) -> float:
        """Return when the connection was open, on the boot clock."""
        return self._opened_s

    @property
    def idle_s(self) -> float:
        """Return the time since the last request on it ended."""
        return time.monotonic() - self._idle_since_s

    @property
    def sent_requests(self) -> int:
        """Return how many requests were sent on it."""
        return self._sent_requests

    def has_carried(self, request: CallerRequest) -> bool:
        """Return whether it carried a request, or one with its id."""
        return self._carried.has_id(request.request_id)

    def send(
        self, request: CallerRequest, headers: HTTPHeaders, sink: ReplySink
    ) -> None:
        """Send one request; its response is passed to the sink."""
        self._sink = sink
        self._wire = sink.wire
        self._sent_requests += 1
        self._method = request.method
        self._request_id = request.request_id
        self._carried.add(request)
        head = _format_head(
            request.method, request.path, headers, request.body
        )
        future = self._stream.write(head + request.body)
        future.add_done_callback(_retrieve_exception)

    def release(self, keep_alive_s: float | None) -> bool:
        """End a request; return whether the connection can be reused.

        ``keep_alive_s`` is how long the peer keeps an idle connection open,
        None if unknown.
        """
        self._sink = None
        if self._stream.closed():
            return False
        if self._stream.writing():
            # The response arrived before the request body was sent. The next
            # request would wait behind the remaining bytes, which the peer
            # may never read.
            self.close()
            return False
        if self._stream.unread:
            # It would be read as the start of the next response.
            self.close()
            return False
        if self._sent_requests >= MAX_CARRIED_REQUESTS:
            self.close()
            return False
        self._idle_since_s = time.monotonic()
        if keep_alive_s is not None:
            self._reuse_until_s = self._idle_since_s + keep_alive_s
        return True

    def close(self) -> None:
        """Close the connection and cancel a request on it."""
        self._sink = None
        self._stream.close()

    async def _read(self) -> None:
        try:
            while not self._stream.closed():
                if not await self._read_reply():
                    return
        except StreamClosedError:
            return
        except (UnsatisfiableReadError, StreamBufferFullError) as error:
            self._cut(ReadSource.REQUEST, 0, str(error))
        finally:
            self._stream.close()
            self._end_reply(BodyEnd.BROKEN)

    async def _read_reply(self) -> bool:
        connection = HTTP1Connection(self._stream, True, _PARAMETERS)
        # This class writes requests itself; HTTP1Connection would otherwise
        # wait until a request of its own is finished.
        connection.finish()
        self._stream.set_nodelay(True)
        reader = _ReplyReader(self, connection)
        is_open = await connection.read_response(reader)
        return is_open or reader.has_detached

    def _cut(self, source: ReadSource, received: int, reason: str) -> None:
        """Close the connection: its peer sends more than may be read."""
        record_cut(source, received, reason)
        self._end_reply(BodyEnd.CUT)
        self._stream.close()

    def _end_reply(self, body_end: BodyEnd, following: bytes = b'') -> None:
        sink = self._sink
        if sink is None:
            return
        self._sink = None
        sink.on_end(body_end, following)

    def _start_reply(
        self, status: int, headers: HTTPHeaders
    ) -> ReplySink | None:
        """Return the sink of this response; None if it is to be skipped."""
        head = self._read_head(status, headers)
        if self._sink is None:
            self._report_stray(status, head)
            self._stream.close()
            return None
        if head is None or not self._is_expected(head):
            kind = self._report_stray(status, head)
            self._has_responded = True
            if kind is not StrayKind.EARLIER:
                self._end_request(BodyEnd.UNASSIGNED)
                return None
            self._sink.on_skipped()
            return None
        self._has_responded = True
        self._sink.on_head(status, headers)
        return self._sink

    def _read_head(
        self, status: int, headers: HTTPHeaders
    ) -> ReplyHead | None:
        """Decode a head; return None if no request was ever sent."""
        if self._wire is None:
            return None
        return self._wire.read_reply(status, headers)

    def _digest_of(
        self, status: int, headers: HTTPHeaders
    ) -> AnswerDigest | None:
        head = self._read_head(status, headers)
        return None if head is None else AnswerDigest(head)

    def _is_expected(self, head: ReplyHead) -> bool:
        """Return whether a response belongs to the request under way."""
        answered_id = head.request_id
        is_own = answered_id == self._request_id
        if head.is_refusal and (is_own or not answered_id):
            self._on_refusal(bool(answered_id))
        if answered_id:
            return is_own
        # Upstreams send the request id with every request they ran; only a
        # refusal may lack it.
        return head.is_refusal and not self._has_responded

    def _report_stray(self, status: int, head: ReplyHead | None) -> StrayKind:
        """Record a response to no request under way; return its kind."""
        kind = StrayKind.UNNAMED
        if head is not None:
            kind = self._carried.kind_of(head)
        self._record_stray(status, head, kind)
        return kind

    def _record_stray(
        self, status: int, head: ReplyHead | None, kind: StrayKind
    ) -> None:
        self._on_stray(
            StrayAnswer(
                kind,
                status,
                '' if self._sink is None else self._request_id,
                '' if head is None else head.request_id,
                self._sent_requests - (self._sink is not None),
            )
        )

    def _skipped_has_body(self, status: int, headers: HTTPHeaders) -> bool:
        """Return whether a response to another request has a body."""
        method = self._method
        head = self._read_head(status, headers)
        if self._sink is not None and head is not None:
            method = self._carried.method_of(head.request_id)
        return has_body(method, status)

    def _has_body(self, status: int) -> bool:
        return has_body(self._method, status)

    def _finish_copy(self, answer: AnswerDigest) -> None:
        """End the request unless what was skipped is an earlier response.

        One that is cut off may have taken the response to this request for
        the rest of its body.
        """
        if self._sink is None or self._carried.is_copy(answer):
            return
        head = answer.head
        self._record_stray(head.status, head, StrayKind.DIFFERENT)
        self._end_request(BodyEnd.UNASSIGNED)

    def _end_request(self, body_end: BodyEnd) -> None:
        """End the request under way and close the connection."""
        self._end_reply(body_end)
        self._stream.close()

    def _finish_reply(
        self,
        sink: ReplySink,
        status: int,
        headers: HTTPHeaders,
        answer: AnswerFingerprint,
    ) -> None:
        if sink is not self._sink:
            return
        self._carried.record_answer(self._request_id, answer)
        if not self._has_body(status):
            self._end_reply(BodyEnd.NO_BODY)
            return
        has_error = self._stream.error is not None
        body_end = end_of_parsed_body(headers, has_error)
        self._end_reply(body_end, self._stream.unread)


class _ReplyReader(HTTPMessageDelegate):
    """Pass one response to the sink of its connection."""

    def __init__(
        self, connection: UpstreamConnection, parser: HTTP1Connection
    ) -> None:
        self._connection = connection
        self._parser = parser
        self._sink: ReplySink | None = None
        self._status = 0
        self._headers = HTTPHeaders()
        self._digest: AnswerDigest | None = None
        self._has_detached = False
        self._interim_answers = 0
        self._skipped = 0
        self._skip_timer: asyncio.TimerHandle | None = None
        self._skip_due_s = 0.0
        self._has_extended_skip = False

    @property
    def has_detached(self) -> bool:
        """Return whether the parser was stopped at the end of a head."""
        return self._has_detached

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Determine the sink of the response."""
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code < _MIN_STATUS:
            self._connection._end_request(BodyEnd.UNASSIGNED)
            return
        if is_in_head(start_line.reason, headers):
            self._connection._end_request(BodyEnd.OVERRUN)
            return
        if start_line.code < _MIN_FINAL_STATUS:
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                self._connection._cut(ReadSource.REQUEST, 0, 'interim answers')
            return
        self._status = start_line.code
        self._headers = headers
        self._digest = self._connection._digest_of(self._status, headers)
        self._sink = self._connection._start_reply(self._status, headers)
        if self._sink is None:
            has_body = self._connection._skipped_has_body(
                self._status, headers
            )
        else:
            has_body = self._connection._has_body(self._status)
        if has_body:
            if self._sink is None:
                self._bound_skip()
            return
        # The parser does not know the method, and would read a body of the
        # length that the headers state.
        self._parser.detach()
        self._has_detached = True
        self.finish()

    async def data_received(self, chunk: bytes) -> None:
        """Pass a chunk of the body to the sink."""
        if self._digest is not None:
            self._digest.update(chunk)
        if self._sink is not None:
            await self._sink.on_data(chunk)
            return
        self._skipped += len(chunk)
        if self._skipped > MAX_SKIPPED_BYTES:
            self._cut_skipped('bytes')

    def finish(self) -> None:
        """Report the end of the response."""
        self._end_skip()
        if self._digest is None:
            return
        if self._sink is None:
            self._connection._finish_copy(self._digest)
            return
        self._connection._finish_reply(
            self._sink,
            self._status,
            self._headers,
            self._digest.fingerprint,
        )

    def on_connection_close(self) -> None:
        """Stop a timer; the connection's read task ends and reports it."""
        self._end_skip()

    def _bound_skip(self) -> None:
        loop = asyncio.get_running_loop()
        self._skip_due_s = loop.time() + MAX_SKIP_S
        self._skip_timer = loop.call_at(self._skip_due_s, self._check_skip)

    def _check_skip(self) -> None:
        """Cut the answer off; after a stall of this process, wait once more.

        The rest of it may have arrived meanwhile without being read.
        """
        late_s = asyncio.get_running_loop().time() - self._skip_due_s
        if late_s > STALL_THRESHOLD_S and not self._has_extended_skip:
            self._has_extended_skip = True
            self._bound_skip()
            return
        self._cut_skipped('time')

    def _cut_skipped(self, reason: str) -> None:
        self._end_skip()
        self._connection._cut(ReadSource.SKIPPED, self._skipped, reason)

    def _end_skip(self) -> None:
        if self._skip_timer is not None:
            self._skip_timer.cancel()
            self._skip_timer = None


_PARAMETERS = HTTP1ConnectionParameters(
    max_header_size=MAX_HEADER_BYTES, max_body_size=MAX_REPLY_BYTES
)


async def connect(
    address: str,
    timeout_s: float,
    on_refusal: Callable[[bool], None] = _ignore_refusal,
    on_stray: Callable[[StrayAnswer], None] = _ignore_stray,
) -> UpstreamConnection:
    """Open a connection to ``ip:port``; raise OSError on failure."""
    host, _, port = address.rpartition(':')
    sock = socket.socket(socket.AF_INET)
    stream = UpstreamStream(sock, max_buffer_size=MAX_BUFFERED_BYTES)
    prepare_socket(sock)
    try:
        async with asyncio.timeout(timeout_s):
            await stream.connect((host, int(port)))
    except (StreamClosedError, TimeoutError) as error:
        stream.close()
        if isinstance(stream.error, ConnectionRefusedError):
            raise stream.error from error
        raise ConnectionError(f'cannot connect to {address}') from error
    except BaseException:
        stream.close()
        raise
    return UpstreamConnection(stream, boot_s(), on_refusal, on_stray)


def prepare_socket(sock: socket.socket) -> None:
    """Disable send delays; detect a peer that no longer responds."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


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


def _retrieve_exception(future: 'asyncio.Future[None]') -> None:
    # A failed write is reported as the end of the response. Its exception is
    # retrieved only so that asyncio does not log it.
    if not future.cancelled():
        future.exception()
