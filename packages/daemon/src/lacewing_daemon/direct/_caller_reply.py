"""Write the answer to one caller."""

import asyncio
from http.client import responses

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamClosedError


class CallerGoneError(Exception):
    """Report that the caller closed its connection."""


class CallerReply:
    """Hold the answer of one request; whole, or begun and streamed."""

    def __init__(self, connection: HTTP1Connection) -> None:
        self._connection = connection
        self._closing = False
        self._stopped = False
        self._begun = False
        self._ended = False

    @property
    def has_started(self) -> bool:
        """Tell whether the head was sent."""
        return self._begun

    @property
    def has_ended(self) -> bool:
        """Tell whether the answer is complete or was cut."""
        return self._ended

    @property
    def stopped(self) -> bool:
        """Tell whether the end of this process ended the connection."""
        return self._stopped

    def mark_stopped(self) -> None:
        """Note that this process ends before the answer does."""
        self._stopped = True

    def announce_close(self) -> None:
        """Tell the caller, if still possible, not to use its connection."""
        self._closing = True

    def send_head(self, status: int, headers: HTTPHeaders) -> None:
        """Send the head of an answer that is streamed."""
        self._begun = True
        self._announce(headers)
        self._connection.write_headers(_line(status), headers)

    async def write(self, data: bytes) -> None:
        """Send a piece; returns when the caller has taken enough."""
        try:
            await self._connection.write(data)
        except StreamClosedError as error:
            raise CallerGoneError from error

    def end(self) -> None:
        """Complete a streamed answer."""
        self._ended = True
        self._connection.finish()

    def send_complete(
        self, status: int, headers: HTTPHeaders, body: bytes
    ) -> None:
        """Send a whole answer."""
        self._begun = True
        self._ended = True
        self._announce(headers)
        if 'Content-Length' not in headers:
            headers['Content-Length'] = str(len(body))
        written = self._connection.write_headers(_line(status), headers, body)
        written.add_done_callback(_look_at)
        self._connection.finish()

    def abort(self) -> None:
        """Cut an answer, so that the caller can't take it for complete."""
        self._ended = True
        self._connection.close()

    def _announce(self, headers: HTTPHeaders) -> None:
        if self._closing:
            headers['Connection'] = 'close'


def _line(status: int) -> ResponseStartLine:
    reason = responses.get(status, 'Unknown')
    return ResponseStartLine('HTTP/1.1', status, reason)


def _look_at(written: 'asyncio.Future[None]') -> None:
    # A caller that left is noticed by its connection's close callback.
    if not written.cancelled():
        written.exception()
