"""Write an answer to a caller."""

from typing import Protocol

from lacewing_common.verdict import Refusal
from lacewing_common.verdict import Verdict
from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from lacewing_daemon.callers import counted_stream
from lacewing_daemon.router._errors import error_body
from lacewing_daemon.router._errors import error_event
from lacewing_daemon.router._errors import retry_after_of
from lacewing_daemon.router._errors import status_of
from lacewing_daemon.router._errors import VERDICT_HEADER
from lacewing_daemon.router._metrics import RELAYED_BYTES

REQUEST_ID_HEADER = 'X-Request-Id'
REPLAYED_HEADER = 'Idempotency-Replayed'
JSON_TYPE = 'application/json'
EVENT_STREAM_TYPE = 'text/event-stream'
_CHUNKED_VERSION = 'HTTP/1.1'
_OK = 200
# What a piece of a stream takes on its way from the link to the agent to the
# connection of the caller, in multiples of its size.
STREAM_COPIES = 2


class Reply(Protocol):
    """Send one answer to one caller."""

    @property
    def started(self) -> bool:
        """Tell whether any byte was sent."""

    @property
    def gone(self) -> bool:
        """Tell whether the caller hung up."""

    def mark_replayed(self) -> None:
        """Tell the caller that the answer is that of an earlier attempt."""

    async def start(self, status: int, content_type: str) -> None:
        """Send the head of an answer of unknown length."""

    async def write(self, payload: bytes) -> None:
        """Send bytes; return when the caller's socket took them."""

    async def end(self) -> None:
        """End a started answer."""

    async def whole(
        self, status: int, content_type: str, payload: bytes
    ) -> None:
        """Send an answer in one piece."""

    async def refuse(self, refusal: Refusal) -> None:
        """Send a refusal; a started stream ends with an error event."""

    def cut(self) -> None:
        """Break the connection, so that nobody takes the answer as whole."""


class CallerReply:
    """Send one answer through tornado's server."""

    def __init__(self, handler: RequestHandler, request_id: str) -> None:
        self._handler = handler
        self._request_id = request_id
        self._started = False
        self._gone = False
        self._status = 0
        self._content_type = ''
        self._verdict = Verdict.NOT_RUN
        self._relayed = 0
        self._chunked = False

    @property
    def started(self) -> bool:
        """Tell whether any byte was sent."""
        return self._started

    @property
    def gone(self) -> bool:
        """Tell whether the caller hung up."""
        return self._gone

    @property
    def status(self) -> int:
        """Return the HTTP status sent, 0 before."""
        return self._status

    @property
    def verdict(self) -> Verdict:
        """Return the verdict sent last."""
        return self._verdict

    def hang_up(self) -> None:
        """Note that the caller hung up."""
        self._gone = True

    def mark_replayed(self) -> None:
        """Tell the caller that the answer is that of an earlier attempt."""
        self._handler.set_header(REPLAYED_HEADER, 'true')

    async def start(self, status: int, content_type: str) -> None:
        """Send the head of an answer of unknown length."""
        self._head(status, content_type, Verdict.RAN)
        self._started = True
        # As tornado decides it for an answer without a length.
        version = self._handler.request.version
        self._chunked = version == _CHUNKED_VERSION and status == _OK
        self._send_small()
        await self._flush()

    async def write(self, payload: bytes) -> None:
        """Send bytes; return when the caller's socket took them."""
        if self._gone:
            return
        self._relayed += len(payload)
        try:
            await self._send(payload)
        except StreamClosedError:
            self._gone = True

    async def end(self) -> None:
        """End a started answer."""
        RELAYED_BYTES.inc(self._relayed)
        await self._finish(b'')

    async def whole(
        self, status: int, content_type: str, payload: bytes
    ) -> None:
        """Send an answer in one piece."""
        self._head(status, content_type, Verdict.RAN)
        self._started = True
        RELAYED_BYTES.inc(len(payload))
        await self._finish(payload)

    async def refuse(self, refusal: Refusal) -> None:
        """Send a refusal; a started stream ends with an error event."""
        self._verdict = refusal.verdict
        if self._started:
            await self._refuse_late(refusal)
            return
        self._head(status_of(refusal), JSON_TYPE, refusal.verdict)
        retry_after = retry_after_of(refusal)
        if retry_after is not None:
            self._handler.set_header('Retry-After', retry_after)
        self._started = True
        await self._finish(error_body(refusal, self._request_id))

    def fail(self, refusal: Refusal, status: int) -> None:
        """Send the answer to a request that could not be handled."""
        self._head(status, JSON_TYPE, refusal.verdict)
        self._handler.finish(error_body(refusal, self._request_id))

    def cut(self) -> None:
        """Break the connection, so that nobody takes the answer as whole."""
        self._gone = True
        RELAYED_BYTES.inc(self._relayed)
        self._handler.detach().close()

    async def _refuse_late(self, refusal: Refusal) -> None:
        if self._content_type != EVENT_STREAM_TYPE:
            # Other answers have no way to carry an error after their head.
            self.cut()
            return
        await self.write(error_event(refusal, self._request_id))
        await self.end()

    def _head(self, status: int, content_type: str, verdict: Verdict) -> None:
        self._status = status
        self._content_type = content_type.partition(';')[0].strip()
        self._verdict = verdict
        self._handler.set_status(status)
        self._handler.set_header('Content-Type', content_type)
        self._handler.set_header(VERDICT_HEADER, verdict.value)
        self._handler.set_header(REQUEST_ID_HEADER, self._request_id)

    def _send_small(self) -> None:
        # Nagle's algorithm holds a token back until the caller's kernel has
        # confirmed the bytes before it, which it delays in turn: the first
        # token of a stream came with the second one. Tornado sets the
        # option back after each answer.
        connection = self._handler.request.connection
        if isinstance(connection, HTTP1Connection):
            connection.stream.set_nodelay(True)

    async def _send(self, payload: bytes) -> None:
        connection = self._handler.request.connection
        assert connection is not None
        if not self._chunked or not isinstance(connection, HTTP1Connection):
            # RequestHandler.write and flush would cost twice as much for
            # each token; the head has gone out through them already.
            await connection.write(payload)
            return
        if not payload:
            # A chunk of no bytes would end the answer.
            return
        # Through the connection each token would pass two more futures and
        # wake the loop twice, although the socket has taken it at once.
        written = connection.stream.write(_chunk(payload))
        stream = counted_stream(connection)
        if stream is None:
            await written
        else:
            await stream.hold_write(written, len(payload) * STREAM_COPIES)

    async def _flush(self) -> None:
        try:
            await self._handler.flush()
        except StreamClosedError:
            self._gone = True

    async def _finish(self, payload: bytes) -> None:
        if self._gone:
            return
        try:
            written = self._handler.finish(payload)
            stream = counted_stream(self._handler.request.connection)
            if stream is not None:
                stream.request_ends()
                if stream.writing():
                    stream.write_begins(len(payload))
            await written
        except StreamClosedError:
            self._gone = True


def _chunk(payload: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(payload), payload)
