"""Bound the messages that are read from peers."""

import asyncio
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.protocol import Buffer

# A report of 100 crashes with 64 runs each, whose prompts have 15 parts that
# others may share, takes 8.7 MiB.
MAX_MESSAGE_BYTES = 10 * 1024 * 1024
# The time for a message once its length was read, and, where one is expected,
# for its length too. Callers wait for half a second at most.
MESSAGE_TIMEOUT_S = 2.0
# The length of a message precedes it.
_PREFIX_BYTES = 5


class _BoundedBuffer(Buffer):
    """Refuse to wait for more data than a message may have."""

    def __init__(self, buffer: Buffer) -> None:
        self._buffer = buffer

    def add(self, data: bytes, ack_size: int) -> None:
        """Add a piece that was received."""
        self._buffer.add(data, ack_size)

    def eof(self) -> None:
        """Record that no more data will be received."""
        self._buffer.eof()

    def unacked_size(self) -> int:
        """Return what was received and not read, for flow control."""
        return self._buffer.unacked_size()

    async def read(self, size: int) -> bytes:
        """Read a message or its length; raise GRPCError past a bound."""
        if size <= _PREFIX_BYTES:
            return await self._buffer.read(size)
        if size > MAX_MESSAGE_BYTES:
            raise GRPCError(
                Status.RESOURCE_EXHAUSTED,
                f'at most {MAX_MESSAGE_BYTES} bytes are taken, got {size}',
            )
        try:
            async with asyncio.timeout(MESSAGE_TIMEOUT_S):
                return await self._buffer.read(size)
        except TimeoutError as error:
            raise _late() from error


def bound_messages(stream: Any) -> None:
    """Bound the messages that a stream of grpclib receives from now on.

    The library has no bound of its own: it reads as many bytes as a message
    says that it has. ``stream`` is one of a call or of a handler, which have
    no public name for what is under them.
    """
    wire = stream._stream
    wire.buffer = _BoundedBuffer(wire.buffer)


async def receive_only_message(stream: Any) -> Any:
    """Return the message of a call with one message, None if it has none."""
    bound_messages(stream)
    try:
        async with asyncio.timeout(MESSAGE_TIMEOUT_S):
            return await stream.recv_message()
    except TimeoutError as error:
        raise _late() from error


def _late() -> GRPCError:
    return GRPCError(Status.DEADLINE_EXCEEDED, 'the message is not complete')
