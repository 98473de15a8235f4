"""Call peers over shared connections."""

import asyncio
import ssl
import time
from collections.abc import AsyncIterable
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any
from typing import TypeVar

from grpclib.client import Channel
from grpclib.client import StreamUnaryMethod
from grpclib.client import UnaryUnaryMethod
from grpclib.exceptions import GRPCError
from grpclib.exceptions import ProtocolError
from grpclib.exceptions import StreamTerminatedError
from lacewing_common.codec import MsgpackCodec
from lacewing_common.settings import parse_address
from lacewing_common.settings import SettingsError
from msgspec import DecodeError

from lacewing_daemon.peers._bounded_messages import bound_messages
from lacewing_daemon.peers._metrics import MESSAGE_BYTES

T = TypeVar('T')

_IDLE_S = 30.0


class _CountingCodec(MsgpackCodec):
    """Count the bytes of messages, without their frames."""

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode one message."""
        data = super().encode(message, message_type)
        MESSAGE_BYTES.labels('sent').inc(len(data))
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode one message of a given type."""
        MESSAGE_BYTES.labels('received').inc(len(data))
        return super().decode(data, message_type)


_codec = _CountingCodec()


@dataclass(frozen=True)
class PeerCallFailed:
    """Report a call that a peer did not answer, and why."""

    message: str


@dataclass
class _Connection:
    """Hold a connection; a ``retired`` one gets no new calls."""

    channel: Channel
    used_at_s: float
    calls: int = 0
    retired: bool = False


class PeerChannels:
    """Call peers by address; open, share and close connections.

    With ``has_small_replies`` a call fails once a reply states more than the
    bound of a message.
    """

    def __init__(
        self, tls: ssl.SSLContext | None, has_small_replies: bool = False
    ) -> None:
        self._tls = tls
        self._has_small_replies = has_small_replies
        self._connections: dict[str, _Connection] = {}
        self._retired: list[_Connection] = []

    def __len__(self) -> int:
        return len(self._connections)

    async def call(
        self,
        address: str,
        method: str,
        request: object,
        reply_type: type[T],
        timeout_s: float,
    ) -> T | PeerCallFailed:
        """Make one call to a peer, without retries."""
        try:
            connection = self._connect(address)
        except SettingsError as error:
            return PeerCallFailed(str(error))
        call: UnaryUnaryMethod[Any, Any] = UnaryUnaryMethod(
            connection.channel, method, type(request), reply_type
        )
        return await self._finish(
            address,
            connection,
            _await_call(call, request, self._has_small_replies),
            timeout_s,
        )

    async def stream(
        self,
        address: str,
        method: str,
        messages: AsyncIterable[Any],
        message_type: type,
        reply_type: type[T],
        timeout_s: float,
    ) -> T | PeerCallFailed:
        """Send messages in one call, and return the reply to all of them.

        ``timeout_s`` limits each send, and the wait for the reply.
        """
        try:
            connection = self._connect(address)
        except SettingsError as error:
            return PeerCallFailed(str(error))
        call: StreamUnaryMethod[Any, Any] = StreamUnaryMethod(
            connection.channel, method, message_type, reply_type
        )
        return await self._finish(
            address, connection, _send_all(call, messages, timeout_s)
        )

    async def _finish(
        self,
        address: str,
        connection: _Connection,
        call: Coroutine[Any, Any, T],
        timeout_s: float | None = None,
    ) -> T | PeerCallFailed:
        """Run a call; retire its connection if it fails."""
        connection.calls += 1
        # On a lost connection, grpclib cancels the task that waits for it. In
        # a separate task this is not mistaken for cancellation of the caller.
        call_task = asyncio.create_task(call)
        try:
            async with asyncio.timeout(timeout_s):
                reply: T = await call_task
        except (
            OSError,
            TimeoutError,
            GRPCError,
            ProtocolError,
            StreamTerminatedError,
            DecodeError,
        ) as error:
            # A connection to a vanished VM is never closed by the other side.
            # If reused, each further call would time out on it. Calls in
            # progress on it have their own timeouts.
            self._retire(address, connection)
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                # A connection that is closed while its call is cancelled is
                # reported as lost. If returned as a failed call, the caller's
                # loop would continue and the process would never stop.
                raise asyncio.CancelledError from error
            return PeerCallFailed(f'{address}: {error!r}')
        finally:
            connection.calls -= 1
            self._close_retired()
        return reply

    def close_idle(self) -> None:
        """Close the connections not used for ``_IDLE_S``."""
        before_s = time.monotonic() - _IDLE_S
        for address in list(self._connections):
            if self._connections[address].used_at_s < before_s:
                self._retire(address, self._connections[address])
        self._close_retired()

    def close(self) -> None:
        """Close all connections."""
        for connection in (*self._connections.values(), *self._retired):
            connection.channel.close()
        self._connections.clear()
        self._retired.clear()

    def _connect(self, address: str) -> _Connection:
        now_s = time.monotonic()
        connection = self._connections.get(address)
        if connection is not None:
            connection.used_at_s = now_s
            return connection
        parsed = parse_address(address)
        channel = Channel(
            parsed.host, parsed.port, codec=_codec, ssl=self._tls
        )
        connection = _Connection(channel, now_s)
        self._connections[address] = connection
        return connection

    def _retire(self, address: str, connection: _Connection) -> None:
        """Stop using a connection for new calls."""
        if connection.retired:
            return
        connection.retired = True
        self._retired.append(connection)
        if self._connections.get(address) is connection:
            del self._connections[address]

    def _close_retired(self) -> None:
        """Close the retired connections that have no calls in progress."""
        for connection in tuple(self._retired):
            if connection.calls:
                continue
            connection.channel.close()
            self._retired.remove(connection)


async def _await_call(
    call: UnaryUnaryMethod[Any, Any], request: object, is_small: bool
) -> Any:
    async with call.open() as stream:
        await stream.send_message(request, end=True)
        if is_small:
            bound_messages(stream)
        reply = await stream.recv_message()
    assert reply is not None
    return reply


async def _send_all(
    call: StreamUnaryMethod[Any, Any],
    messages: AsyncIterable[Any],
    timeout_s: float,
) -> Any:
    async with call.open() as stream:
        async for message in messages:
            async with asyncio.timeout(timeout_s):
                await stream.send_message(message)
        async with asyncio.timeout(timeout_s):
            await stream.end()
            return await stream.recv_message()
