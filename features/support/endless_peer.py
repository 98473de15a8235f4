"""Send messages without end to a router, as another router would."""

import asyncio
import struct
import threading
from dataclasses import dataclass
from time import monotonic
from typing import Any

from grpclib.client import Channel
from grpclib.client import UnaryUnaryMethod
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError
from lacewing_common.codec import MsgpackCodec
from lacewing_daemon.direct.limits._messages import MOVE_METHOD
from lacewing_daemon.direct.limits._messages import TokenReply
from lacewing_daemon.direct.limits._messages import TokenRequest

_CALL_AGAIN_S = 0.25


@dataclass
class EndlessPeer:
    """Send messages that say that they have ``stated_bytes``, and never end.

    ``calls`` counts them, ``longest_s`` is how long one was received for.
    """

    address: str
    stated_bytes: int
    piece: bytes
    interval_s: float
    calls: int = 0
    longest_s: float = 0.0

    def start(self, connections: int, lasts_s: float) -> threading.Thread:
        """Send from a thread of its own, and return it."""
        thread = threading.Thread(
            target=asyncio.run, args=(self.send_all(connections, lasts_s),)
        )
        thread.start()
        return thread

    async def send_all(self, connections: int, lasts_s: float) -> None:
        """Send over several connections at once."""
        end_s = monotonic() + lasts_s
        await asyncio.gather(
            *[self._send_calls(end_s) for _ in range(connections)]
        )

    async def _send_calls(self, end_s: float) -> None:
        host, _, port = self.address.rpartition(':')
        while monotonic() < end_s:
            channel = Channel(host, int(port), codec=MsgpackCodec())
            call: UnaryUnaryMethod[Any, Any] = UnaryUnaryMethod(
                channel, MOVE_METHOD, TokenRequest, TokenReply
            )
            self.calls += 1
            start_s = monotonic()
            try:
                async with asyncio.timeout(end_s - start_s):
                    await self._send(call)
            except (GRPCError, StreamTerminatedError, OSError, TimeoutError):
                self.longest_s = max(self.longest_s, monotonic() - start_s)
            channel.close()
            await asyncio.sleep(_CALL_AGAIN_S)

    async def _send(self, call: 'UnaryUnaryMethod[Any, Any]') -> None:
        async with call.open() as stream:
            await stream.send_request()
            sending = asyncio.create_task(self._send_pieces(stream))
            try:
                await stream.recv_initial_metadata()
                await stream.recv_message()
            finally:
                sending.cancel()

    async def _send_pieces(self, stream: Any) -> None:
        try:
            await stream._stream.send_data(
                b'\0' + struct.pack('>I', self.stated_bytes)
            )
            while True:
                await stream._stream.send_data(self.piece)
                await asyncio.sleep(self.interval_s)
        except (StreamTerminatedError, OSError):
            return
