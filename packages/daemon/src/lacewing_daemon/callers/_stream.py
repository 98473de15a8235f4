"""Count what is received and sent on a caller's connection."""

import fcntl
import sys
import termios
from collections.abc import Awaitable
from typing import Any

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPInputError
from tornado.iostream import BaseIOStream
from tornado.iostream import IOStream
from tornado.iostream import SSLIOStream

from lacewing_daemon.callers._account import Held
from lacewing_daemon.callers._account import Holding
from lacewing_daemon.callers._account import Wait
from lacewing_daemon.callers._limit import CallerLimit

# Each chunk of a body costs processor time, however small it is.
FREE_CHUNKS = 1024
MIN_MEAN_CHUNK_BYTES = 64


def unsent_bytes(descriptor: Any) -> int:
    """Return what a socket has taken and its peer has not, 0 if unknown.

    A socket with a full buffer takes no byte until a good part of it is
    free, however steadily its peer reads.
    """
    size = bytearray(4)
    try:
        fcntl.ioctl(descriptor, termios.TIOCOUTQ, size)
    except OSError:
        return 0
    return int.from_bytes(size, sys.byteorder)


class _Counting(BaseIOStream):
    """Count bytes, chunks and progress.

    A mixin of streams with a socket. ``attach`` is called before anything is
    read or written.
    """

    _holding: Holding
    _received = 0
    _chunks = 0
    _sent_bytes = 0
    _acked_bytes = 0
    _progress_s = 0.0
    _head_s = 0.0

    @property
    def holding(self) -> Holding:
        """Return what the connection holds."""
        return self._holding

    def attach(self, holding: Holding) -> None:
        """Set where to count."""
        self._holding = holding

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read, and count what belongs to a head."""
        size = super().read_from_fd(buf)
        if not size:
            return size
        self._received += size
        holding = self._holding
        if holding.wait is Wait.CALLER and not holding.size(Held.WRITE):
            return size
        # During a request these are the first bytes of the next one.
        if not holding.size(Held.HEAD):
            self._head_s = self._holding.account.now_s()
        holding.add(Held.HEAD, size)
        return size

    def write_to_fd(self, data: memoryview) -> int:
        """Write, and count what the socket has taken."""
        size = super().write_to_fd(data)
        self._sent_bytes += size or 0
        return size

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read the size of the next chunk of a body."""
        self._chunks += 1
        least = (self._chunks - FREE_CHUNKS) * MIN_MEAN_CHUNK_BYTES
        if least > self._received:
            self._holding.account.limits.record(
                CallerLimit.CHUNK_SIZE, self._received
            )
            raise HTTPInputError('the chunks of the body are too small')
        return super().read_until(delimiter, max_bytes)

    def body_begins(self) -> None:
        """Record that a head was parsed and its body is to be received."""
        self._received = self._holding.size(Held.HEAD)
        self._chunks = 0
        self._holding.set(Held.HEAD, 0)
        self._holding.wait_for(Wait.CALLER)

    def write_begins(self, size: int) -> bool:
        """Hold bytes until the socket has taken them; return if there is room.

        Nothing may be written without room.
        """
        self._progress_s = self._holding.account.now_s()
        self._holding.wait_for(Wait.CALLER)
        return self._holding.set(Held.WRITE, size)

    async def hold_write(self, written: Awaitable[None], size: int) -> None:
        """Wait until the socket has taken a piece, and hold it until then."""
        if not self.writing():
            await written
            return
        self.write_begins(size)
        await written
        self._holding.set(Held.WRITE, 0)
        self._holding.wait_for(Wait.OWN)

    def request_ends(self) -> None:
        """Hold its body and the parts of its answer no more."""
        self._holding.set(Held.BODY, 0)
        self._holding.set(Held.ANSWER, 0)

    def head_age_s(self, now_s: float) -> float:
        """Return how long a head has been received that is not complete."""
        if self._holding.wait is not Wait.REQUEST:
            return 0.0
        if not self._holding.size(Held.HEAD):
            return 0.0
        return now_s - max(self._head_s, self._holding.since_s)

    def stalled_s(self, now_s: float) -> float:
        """Return for how long the caller has taken no byte of an answer."""
        if not self._holding.size(Held.WRITE):
            return 0.0
        acked_bytes = self._sent_bytes - unsent_bytes(self.fileno())
        if acked_bytes > self._acked_bytes:
            self._acked_bytes = acked_bytes
            self._progress_s = now_s
        return now_s - self._progress_s


class CallerStream(_Counting, IOStream):
    """Count what is received and sent on a plain connection."""


class CallerTlsStream(_Counting, SSLIOStream):
    """Count what is received and sent on an encrypted connection."""


CountedStream = CallerStream | CallerTlsStream


def counted_stream(connection: object) -> CountedStream | None:
    """Return the stream of a connection, None if it does not count."""
    if not isinstance(connection, HTTP1Connection):
        return None
    stream = connection.stream
    return stream if isinstance(stream, CountedStream) else None
