"""Write the answer to one caller."""

import asyncio
import time
from http.client import responses

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamClosedError

from lacewing_daemon.callers import CallerLimit
from lacewing_daemon.callers import counted_stream
from lacewing_daemon.callers import CountedStream
from lacewing_daemon.callers import Held
from lacewing_daemon.direct._answer_end import has_body
from lacewing_daemon.direct._read_bounds import MAX_HELD_BYTES

# What a piece of a stream takes on its way from the connection of the
# upstream to that of the caller, in multiples of its size.
STREAM_COPIES = 6
LARGE_BODY_BYTES = 64 * 1024


class CallerGoneError(Exception):
    """Report that the caller closed its connection."""


class AnswerNotHeldError(Exception):
    """Report that there is no room to hold an answer until its end."""


class CallerReply:
    """Send the answer to one request, complete or streamed.

    Without ``accepts_chunks`` only the close of the connection would end a
    stream, and its caller could not distinguish an abort from the end. It is
    sent as one answer with a length, once it is complete. ``method`` is that
    of the request.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        accepts_chunks: bool = True,
        method: str = 'GET',
    ) -> None:
        self._connection = connection
        self._method = method
        self._accepts_chunks = accepts_chunks
        self._held_status = 0
        self._held_headers = HTTPHeaders()
        self._held_body: list[bytes] = []
        self._held_bytes = 0
        self._will_close = False
        self._stopped = False
        self._has_started = False
        self._has_ended = False
        self._written_s = 0.0

    @property
    def has_started(self) -> bool:
        """Return whether the head was sent."""
        return self._has_started

    @property
    def can_answer(self) -> bool:
        """Return whether a complete answer can still be sent.

        At the stop of this process, that includes requests whose answers
        have begun and are held until they are complete.
        """
        if not self._stopped:
            return not self._has_started
        if self._has_ended or self._connection.stream.closed():
            return False
        return not self._has_started or not self._accepts_chunks

    @property
    def has_ended(self) -> bool:
        """Return whether the answer is complete or was aborted."""
        return self._has_ended

    @property
    def written_s(self) -> float:
        """Return when the last piece was written, by the monotonic clock."""
        return self._written_s

    @property
    def stopped(self) -> bool:
        """Return whether this process stops before the answer is complete."""
        return self._stopped

    def hold(self, size: int) -> bool:
        """Hold more of an answer; return whether there is room for it."""
        stream = self._stream
        if stream is None or stream.holding.is_closed:
            return True
        return stream.holding.add(Held.ANSWER, size)

    def release(self) -> None:
        """Hold no part of an answer, as it is not used."""
        if self._stream is not None:
            self._stream.holding.set(Held.ANSWER, 0)

    def mark_stopped(self) -> None:
        """Record that this process stops before the answer is complete."""
        self._stopped = True

    def announce_close(self) -> None:
        """Announce the close of the connection if no head was sent yet."""
        self._will_close = True

    def send_head(self, status: int, headers: HTTPHeaders) -> None:
        """Send the head of an answer that is streamed."""
        self._has_started = True
        if not self._accepts_chunks:
            self._held_status = status
            self._held_headers = headers
            return
        self._add_close_header(headers)
        self._connection.write_headers(_status_line(status), headers)

    async def write(self, data: bytes) -> None:
        """Send a piece; wait until the connection accepts more data."""
        self._written_s = time.monotonic()
        if not self._accepts_chunks:
            self._hold_piece(data)
            return
        stream = self._stream
        try:
            written = self._connection.write(data)
            if stream is None:
                await written
            else:
                await stream.hold_write(written, len(data) * STREAM_COPIES)
        except StreamClosedError as error:
            raise CallerGoneError from error

    def end(self) -> None:
        """Complete a streamed answer."""
        if not self._accepts_chunks:
            body = b''.join(self._held_body)
            self._held_body.clear()
            self.send_complete(self._held_status, self._held_headers, body)
            return
        self._has_ended = True
        self._connection.finish()

    def send_complete(
        self, status: int, headers: HTTPHeaders, body: bytes
    ) -> None:
        """Send a complete answer."""
        self._has_started = True
        self._has_ended = True
        self._add_close_header(headers)
        if has_body(self._method, status) and 'Content-Length' not in headers:
            headers['Content-Length'] = str(len(body))
        line = _status_line(status)
        if len(body) < LARGE_BODY_BYTES:
            written = self._connection.write_headers(line, headers, body)
        else:
            # In one write the head would be put before a copy of the body.
            written = self._connection.write_headers(line, headers)
            written.add_done_callback(_retrieve_exception)
            written = self._connection.write(body)
        written.add_done_callback(_retrieve_exception)
        self._connection.finish()
        stream = self._stream
        if stream is None:
            return
        stream.request_ends()
        if stream.writing():
            stream.write_begins(len(body))

    def abort(self) -> None:
        """Close the connection, so that the answer is seen as incomplete."""
        self._has_ended = True
        self._held_body.clear()
        self.release()
        self._connection.close()

    @property
    def _stream(self) -> CountedStream | None:
        """Return the stream if it counts what the connection holds."""
        return counted_stream(self._connection)

    def _hold_piece(self, data: bytes) -> None:
        self._held_bytes += len(data)
        if self._held_bytes > MAX_HELD_BYTES:
            if self._stream is not None:
                self._stream.holding.account.limits.record(
                    CallerLimit.HELD_STREAM, self._held_bytes
                )
            raise AnswerNotHeldError(
                f'a caller without chunks gets streams of at most'
                f' {MAX_HELD_BYTES} bytes'
            )
        if not self.hold(len(data)):
            raise AnswerNotHeldError('callers hold all that may be kept')
        self._held_body.append(data)

    def _add_close_header(self, headers: HTTPHeaders) -> None:
        if self._will_close:
            headers['Connection'] = 'close'


def _status_line(status: int) -> ResponseStartLine:
    reason = responses.get(status, 'Unknown')
    return ResponseStartLine('HTTP/1.1', status, reason)


def _retrieve_exception(written: 'asyncio.Future[None]') -> None:
    # The close callback of the connection handles callers that disconnect.
    # Retrieving the exception keeps asyncio from logging it.
    if not written.cancelled():
        written.exception()
