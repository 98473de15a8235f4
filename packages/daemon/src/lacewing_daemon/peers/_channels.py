"""Keep connections to the peers that are called."""

import asyncio
import ssl
import time
from dataclasses import dataclass
from typing import Any
from typing import TypeVar

from grpclib.client import Channel
from grpclib.client import UnaryUnaryMethod
from grpclib.exceptions import GRPCError
from grpclib.exceptions import ProtocolError
from grpclib.exceptions import StreamTerminatedError
from lacewing_common.codec import MsgpackCodec
from lacewing_common.settings import parse_address
from lacewing_common.settings import SettingsError
from msgspec import DecodeError

from lacewing_daemon.peers._metrics import MESSAGE_BYTES

T = TypeVar('T')

_IDLE_S = 30.0


class _CountingCodec(MsgpackCodec):
    """Count the bytes of messages, without the frames around them."""

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
class NoReply:
    """Report a call that a peer did not answer, and why."""

    message: str


@dataclass
class _Open:
    channel: Channel
    used_at_s: float


class Channels:
    """Call peers by address; open, share and close the connections."""

    def __init__(self, tls: ssl.SSLContext | None) -> None:
        self._tls = tls
        self._open: dict[str, _Open] = {}

    def __len__(self) -> int:
        return len(self._open)

    async def call(
        self,
        address: str,
        method: str,
        request: object,
        reply_type: type[T],
        timeout_s: float,
    ) -> T | NoReply:
        """Call one peer once."""
        try:
            channel = self._channel(address)
        except SettingsError as error:
            return NoReply(str(error))
        call: UnaryUnaryMethod[Any, Any] = UnaryUnaryMethod(
            channel, method, type(request), reply_type
        )
        # When a connection is lost the library cancels the task that waits on
        # it. In one of its own that can't be taken for a stop of the caller.
        called = asyncio.create_task(_run(call, request))
        try:
            async with asyncio.timeout(timeout_s):
                reply: T = await called
        except (
            OSError,
            TimeoutError,
            GRPCError,
            ProtocolError,
            StreamTerminatedError,
            DecodeError,
        ) as error:
            # A connection to a VM that vanished sends no end; kept, each
            # further call would wait on it in vain.
            self._drop(address)
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                # A connection that ends as its call is cancelled shows as
                # lost. Reported as that, the loop around the call would go
                # on, and a process that was told to stop would never end.
                raise asyncio.CancelledError from error
            return NoReply(f'{address}: {error!r}')
        return reply

    def close_idle(self) -> None:
        """Close the connections not used of late."""
        before_s = time.monotonic() - _IDLE_S
        for address in list(self._open):
            if self._open[address].used_at_s < before_s:
                self._drop(address)

    def close(self) -> None:
        """Close all connections."""
        for address in list(self._open):
            self._drop(address)

    def _channel(self, address: str) -> Channel:
        now_s = time.monotonic()
        held = self._open.get(address)
        if held is not None:
            held.used_at_s = now_s
            return held.channel
        parsed = parse_address(address)
        channel = Channel(
            parsed.host, parsed.port, codec=_codec, ssl=self._tls
        )
        self._open[address] = _Open(channel, now_s)
        return channel

    def _drop(self, address: str) -> None:
        held = self._open.pop(address, None)
        if held is not None:
            held.channel.close()


async def _run(call: UnaryUnaryMethod[Any, Any], request: object) -> Any:
    return await call(request)
