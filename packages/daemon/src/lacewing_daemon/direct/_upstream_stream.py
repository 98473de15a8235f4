"""Read from an upstream's connection until its end."""

from asyncio import Future
from collections.abc import Awaitable

from tornado.iostream import IOStream
from tornado.iostream import StreamClosedError


class UpstreamStream(IOStream):
    """Report the end of a connection after what was received before it.

    tornado's parser collects small chunks for as long as reads complete at
    once, and drops what it has if one fails at once. Here a read that fails
    never does so at once, so the parser passes on what it has first.
    """

    @property
    def unread(self) -> bytes:
        """Return what was received and not read yet."""
        return bytes(self._read_buffer)

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read up to a delimiter."""
        try:
            return _fail_later(super().read_until(delimiter, max_bytes))
        except StreamClosedError as error:
            return _fail(error)

    def read_bytes(
        self, num_bytes: int, partial: bool = False
    ) -> Awaitable[bytes]:
        """Read a number of bytes, or some of them."""
        try:
            return _fail_later(super().read_bytes(num_bytes, partial))
        except StreamClosedError as error:
            return _fail(error)


def _fail_later(read: Awaitable[bytes]) -> Awaitable[bytes]:
    if not isinstance(read, Future) or not read.done() or read.cancelled():
        return read
    error = read.exception()
    return read if error is None else _fail(error)


async def _fail(error: BaseException) -> bytes:
    raise error
