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
class PeerCallFailed:
    """Report a call that a peer did not answer, and why."""

    message: str


@dataclass
class _Open:
    """Hold a connection; ``left``: no new call is made over it."""

    channel: Channel
    used_at_s: float
    calls: int = 0
    left: bool = False


class PeerChannels:
    """Call peers by address; open, share and close the connections."""

    def __init__(self, tls: ssl.SSLContext | None) -> None:
        self._tls = tls
        self._open: dict[str, _Open] = {}
        self._left: list[_Open] = []

    def __len__(self) -> int:
        return len(self._open)

    async def call(
        self,
        address: str,
        method: str,
        request: object,
        reply_type: type[T],
        timeout_s: float,
    ) -> T | PeerCallFailed:
        """Call one peer once."""
        try:
            held = self._hold(address)
        except SettingsError as error:
            return PeerCallFailed(str(error))
        call: UnaryUnaryMethod[Any, Any] = UnaryUnaryMethod(
            held.channel, method, type(request), reply_type
        )
        held.calls += 1
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
            # further call would wait on it in vain. Calls under way on it
            # have times of their own.
            self._leave(address, held)
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                # A connection that ends as its call is cancelled shows as
                # lost. Reported as that, the loop around the call would go
                # on, and a process that was told to stop would never end.
                raise asyncio.CancelledError from error
            return PeerCallFailed(f'{address}: {error!r}')
        finally:
            held.calls -= 1
            self._close_left()
        return reply

    def close_idle(self) -> None:
        """Close the connections not used of late."""
        before_s = time.monotonic() - _IDLE_S
        for address in list(self._open):
            if self._open[address].used_at_s < before_s:
                self._leave(address, self._open[address])
        self._close_left()

    def close(self) -> None:
        """Close all connections."""
        for held in (*self._open.values(), *self._left):
            held.channel.close()
        self._open.clear()
        self._left.clear()

    def _hold(self, address: str) -> _Open:
        now_s = time.monotonic()
        held = self._open.get(address)
        if held is not None:
            held.used_at_s = now_s
            return held
        parsed = parse_address(address)
        channel = Channel(
            parsed.host, parsed.port, codec=_codec, ssl=self._tls
        )
        opened = _Open(channel, now_s)
        self._open[address] = opened
        return opened

    def _leave(self, address: str, held: _Open) -> None:
        """Make no new call over a connection."""
        if held.left:
            return
        held.left = True
        self._left.append(held)
        if self._open.get(address) is held:
            del self._open[address]

    def _close_left(self) -> None:
        """Close connections that are left once their calls have ended."""
        for held in tuple(self._left):
            if held.calls:
                continue
            held.channel.close()
            self._left.remove(held)


async def _run(call: UnaryUnaryMethod[Any, Any], request: object) -> Any:
    return await call(request)
