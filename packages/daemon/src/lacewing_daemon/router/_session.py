"""Speak to one agent over one connection, from Hello to its end."""

import asyncio
import ssl
from collections import deque
from typing import Any
from typing import Protocol

from grpclib.client import Channel
from grpclib.client import Stream
from grpclib.const import Cardinality
from lacewing_common.codec import FromAgent
from lacewing_common.codec import FromRouter
from lacewing_common.codec import MsgpackCodec
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.settings import Address
from lacewing_common.wire import AgentMessage
from lacewing_common.wire import Hello
from lacewing_common.wire import LINK_METHOD
from lacewing_common.wire import RouterFrame
from lacewing_common.wire import Start
from lacewing_common.wire import Welcome

WELCOME_TIMEOUT_S = 3.0

_log = get_log(Part.LINK)
_codec = MsgpackCodec()


class SessionOwner(Protocol):
    """Take what a session brings."""

    def welcomed(self, welcome: Welcome) -> None:
        """Take the agent's greeting; frames may be sent from now on."""

    def take(self, message: AgentMessage) -> None:
        """Take one message."""

    def is_wanted(self, start: Start) -> bool:
        """Tell whether a Start is still to be sent, just before it is."""


class Session:
    """Hold one connection: a reader, and one writer of queued frames."""

    def __init__(
        self, address: Address, owner: SessionOwner, hello: Hello
    ) -> None:
        self._address = address
        self._owner = owner
        self._hello = hello
        self._outbox: deque[RouterFrame] = deque()
        self._filled = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def send(self, frame: RouterFrame) -> None:
        """Queue a frame; those left when the session ends are lost."""
        self._outbox.append(frame)
        self._filled.set()

    def end(self) -> None:
        """Break the connection."""
        if self._task is not None:
            self._task.cancel()

    async def run(self, tls: ssl.SSLContext | None) -> str:
        """Connect and speak; return the cause of the end."""
        self._task = asyncio.create_task(self._connect(tls))
        try:
            await asyncio.wait([self._task])
        finally:
            self._task.cancel()
        if self._task.cancelled():
            return 'ended here'
        return repr(self._task.exception())

    async def _connect(self, tls: ssl.SSLContext | None) -> None:
        channel = Channel(
            self._address.host, self._address.port, codec=_codec, ssl=tls
        )
        try:
            await self._converse(channel)
        finally:
            channel.close()

    async def _converse(self, channel: Channel) -> None:
        opened: Stream[Any, Any] = channel.request(
            LINK_METHOD, Cardinality.STREAM_STREAM, FromRouter, FromAgent
        )
        async with opened as stream:
            async with asyncio.timeout(WELCOME_TIMEOUT_S):
                await stream.send_message(self._hello)
                welcome = await stream.recv_message()
            if not isinstance(welcome, Welcome):
                _log.warning(
                    'Expected a Welcome.',
                    agent=str(self._address),
                    got=type(welcome).__name__,
                )
                return
            self._owner.welcomed(welcome)
            writer = asyncio.create_task(self._write(stream))
            writer.add_done_callback(self._writer_ended)
            try:
                async for message in stream:
                    self._owner.take(message)
            finally:
                writer.cancel()

    async def _write(self, stream: Stream[Any, Any]) -> None:
        while True:
            await self._filled.wait()
            self._filled.clear()
            while self._outbox:
                frame = self._outbox.popleft()
                if type(frame) is Start and not self._owner.is_wanted(frame):
                    continue
                await stream.send_message(frame)

    def _writer_ended(self, writer: asyncio.Task[None]) -> None:
        if writer.cancelled() or writer.exception() is None:
            return
        # The reader alone would wait for ever for answers to frames that
        # were never written.
        self.end()
