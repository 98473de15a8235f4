"""Serve one router's connection: read its frames, send what is due."""

import asyncio
from collections import deque
from collections.abc import Callable
from collections.abc import Iterable
from functools import partial
from typing import Protocol

from lacewing_common.identity import ProcessName
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.verdict import Refusal
from lacewing_common.wire import Ack
from lacewing_common.wire import AgentFrame
from lacewing_common.wire import AgentMessage
from lacewing_common.wire import Allotments
from lacewing_common.wire import Ask
from lacewing_common.wire import AttemptId
from lacewing_common.wire import Batch
from lacewing_common.wire import Cancel
from lacewing_common.wire import Data
from lacewing_common.wire import Demands
from lacewing_common.wire import Hello
from lacewing_common.wire import LoadReport
from lacewing_common.wire import Refused
from lacewing_common.wire import RouterFrame
from lacewing_common.wire import Start
from lacewing_common.wire import Welcome
from msgspec import ValidationError

from lacewing_daemon.agent._attempt import Attempt
from lacewing_daemon.agent._delivery import Delivery

_MOST_NOTICES = 1000
_MOST_FRAMES = 256
_MESSAGE_BYTES = 64 * 1024

_log = get_log(Part.LINK)


class FrameStream(Protocol):
    """Carry frames to and from one router."""

    async def recv_message(self) -> RouterFrame | None:
        """Return the next frame; None at the end."""

    async def send_message(self, message: AgentMessage) -> None:
        """Send a message once the connection has room."""


class Desk(Protocol):
    """Serve what a link asks for."""

    def welcome(self) -> Welcome:
        """Return the answer to a Hello."""

    def load(self) -> LoadReport:
        """Return the load now."""

    def start_attempt(self, start: Start) -> Attempt | Refusal:
        """Record and run an attempt, or find it."""

    def ask(self, ask: Ask) -> Attempt | Refusal:
        """Find an attempt or close it for ever."""

    def cancel(self, cancel: Cancel) -> None:
        """Stop an attempt, or close it if it was never seen."""

    def acknowledge(self, ack: Ack) -> None:
        """Let go of confirmed bytes."""

    def share_out(self, router: str, demands: Demands) -> Allotments:
        """Return a router's part of its teams' limits."""

    def link_opened(self, link: 'Link', router: str) -> None:
        """Take a new link."""

    def link_closed(self, link: 'Link', router: str) -> None:
        """Take a link's end."""


class Link:
    """Read one router's frames and write what its attempts have due.

    Attempts do not queue bytes here: the writer takes them from the
    attempt when the connection has room, so that a slow router costs no
    more memory than the answers' windows.
    """

    def __init__(self, stream: FrameStream, desk: Desk) -> None:
        self._stream = stream
        self._desk = desk
        self._router = ''
        self._knowledge_bytes_s = 0.0
        self._notices: deque[AgentFrame] = deque()
        self._due: deque[Delivery] = deque()
        self._deliveries: dict[AttemptId, Delivery] = {}
        self._callbacks: dict[AttemptId, Callable[[], None]] = {}
        self._wake = asyncio.Event()
        self._room = asyncio.Event()
        self._room.set()
        self._closing = False

    @property
    def knowledge_bytes_s(self) -> float:
        """Return the bytes a second of knowledge that the router takes."""
        return self._knowledge_bytes_s

    async def serve(self) -> None:
        """Serve the link until either side closes it."""
        hello = await self._stream.recv_message()
        if not isinstance(hello, Hello):
            _log.warning('expected a hello first; link closed')
            return
        self._router = str(hello.name)
        self._knowledge_bytes_s = hello.knowledge_bytes_s
        self.notify(self._desk.welcome())
        self._desk.link_opened(self, self._router)
        writer = asyncio.create_task(self._write())
        reader = asyncio.create_task(self._read(hello.name))
        try:
            await asyncio.wait(
                [writer, reader], return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            self._detach_all()
            self._desk.link_closed(self, self._router)
            for task in (writer, reader):
                task.cancel()
            ends = await asyncio.gather(writer, reader, return_exceptions=True)
            self._log_errors(ends)

    def _log_errors(self, ends: Iterable[None | BaseException]) -> None:
        for end in ends:
            if isinstance(end, ValidationError):
                _log.warning(
                    'malformed frame; link closed',
                    router=self._router,
                    error=str(end),
                )
                continue
            if isinstance(end, Exception):
                _log.info('link broke', router=self._router, error=repr(end))

    def notify(self, frame: AgentFrame) -> None:
        """Send a frame that belongs to no answer."""
        self._notices.append(frame)
        if len(self._notices) >= _MOST_NOTICES:
            self._room.clear()
        self._wake.set()

    def close(self) -> None:
        """End the link once all that is due has been sent."""
        self._closing = True
        self._wake.set()

    async def _read(self, name: ProcessName) -> None:
        while True:
            # A router that sends but does not read would fill the memory
            # with refusals: it is read only while they find room.
            await self._room.wait()
            frame = await self._stream.recv_message()
            if frame is None:
                return
            if isinstance(frame, Hello):
                _log.warning('second hello; link closed', router=str(name))
                return
            if isinstance(frame, Demands):
                self.notify(self._desk.share_out(self._router, frame))
                continue
            if frame.attempt.router != self._router:
                _log.warning(
                    'frame names another router; link closed',
                    router=str(name),
                    attempt=str(frame.attempt),
                )
                return
            self._take(frame)

    def _take(self, frame: Start | Ask | Cancel | Ack) -> None:
        if isinstance(frame, Ack):
            self._desk.acknowledge(frame)
            return
        if isinstance(frame, Cancel):
            self._desk.cancel(frame)
            return
        offset = 0
        if isinstance(frame, Start):
            found = self._desk.start_attempt(frame)
        else:
            found = self._desk.ask(frame)
            offset = frame.offset
        if isinstance(found, Refusal):
            self._refuse(frame.attempt, found)
            return
        self._deliver(found, offset)

    def _refuse(self, attempt_id: AttemptId, refusal: Refusal) -> None:
        self.notify(
            Refused(
                attempt_id,
                refusal.verdict,
                refusal.reason,
                refusal.message,
                refusal.retry_after_s,
                self._desk.load(),
            )
        )

    def _deliver(self, attempt: Attempt, offset: int) -> None:
        earlier = self._deliveries.get(attempt.attempt_id)
        if earlier is not None:
            earlier.stop()
        delivery = Delivery(attempt, offset)
        callback = partial(self._now_due, delivery)
        self._deliveries[attempt.attempt_id] = delivery
        self._callbacks[attempt.attempt_id] = callback
        attempt.presence.attach(callback)
        self._now_due(delivery)

    def _now_due(self, delivery: Delivery) -> None:
        if delivery.due:
            return
        delivery.mark_due(True)
        self._due.append(delivery)
        self._wake.set()

    async def _write(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._notices or self._due:
                await self._write_waiting()
            if self._closing:
                return

    async def _write_waiting(self) -> None:
        """Send what waits now as one message."""
        frames: list[AgentFrame] = []
        ended: list[Delivery] = []
        size = 0
        while self._notices and len(frames) < _MOST_FRAMES:
            frames.append(self._notices.popleft())
        while self._due and len(frames) < _MOST_FRAMES:
            if size > _MESSAGE_BYTES:
                break
            delivery = self._due.popleft()
            delivery.mark_due(False)
            frame = delivery.next_frame(self._desk.load)
            if frame is None:
                continue
            frames.append(frame)
            if isinstance(frame, Data):
                size += len(frame.payload)
            if delivery.done:
                ended.append(delivery)
            if delivery.has_more:
                self._now_due(delivery)
        await self._send(frames)
        for delivery in ended:
            self._forget(delivery)

    async def _send(self, frames: list[AgentFrame]) -> None:
        if not frames:
            return
        message: AgentMessage = frames[0]
        if len(frames) > 1:
            message = Batch(tuple(frames))
        await self._stream.send_message(message)
        self._room.set()

    def _forget(self, delivery: Delivery) -> None:
        attempt = delivery.attempt
        attempt.presence.mark_delivered()
        if self._deliveries.get(attempt.attempt_id) is not delivery:
            return
        del self._deliveries[attempt.attempt_id]
        attempt.presence.detach(self._callbacks.pop(attempt.attempt_id))

    def _detach_all(self) -> None:
        for attempt_id, delivery in self._deliveries.items():
            delivery.attempt.presence.detach(self._callbacks[attempt_id])
        self._deliveries.clear()
        self._callbacks.clear()
