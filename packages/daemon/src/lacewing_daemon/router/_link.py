"""Hold the link to one agent: one long-lived task, one writer."""

import asyncio
import random
import ssl
import time
from collections import deque
from typing import Any
from typing import Protocol

from grpclib.client import Channel
from grpclib.client import Stream
from grpclib.const import Cardinality
from lacewing_common.backoff import Backoff
from lacewing_common.codec import FromAgent
from lacewing_common.codec import FromRouter
from lacewing_common.codec import MsgpackCodec
from lacewing_common.identity import Place
from lacewing_common.identity import ProcessName
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.prefix import split_hashes
from lacewing_common.settings import Address
from lacewing_common.wire import AgentFrame
from lacewing_common.wire import AgentMessage
from lacewing_common.wire import Ask
from lacewing_common.wire import AttemptId
from lacewing_common.wire import Batch
from lacewing_common.wire import Cancel
from lacewing_common.wire import End
from lacewing_common.wire import Hello
from lacewing_common.wire import Knowledge
from lacewing_common.wire import LINK_METHOD
from lacewing_common.wire import LoadReport
from lacewing_common.wire import Refused
from lacewing_common.wire import RouterFrame
from lacewing_common.wire import Start
from lacewing_common.wire import Welcome
from lacewing_common.wire import WorkerChanged

from lacewing_daemon.router._attempt import Attempt
from lacewing_daemon.router._mailbox import Interrupt
from lacewing_daemon.router._metrics import DROPPED_FRAMES
from lacewing_daemon.router._metrics import LINK_BREAKS
from lacewing_daemon.router._metrics import LINKS_UP
from lacewing_daemon.router._policy import CacheChange
from lacewing_daemon.router._policy import WorkerView

WELCOME_TIMEOUT_S = 3.0
RECONNECT_BASE_S = 0.05
RECONNECT_CAP_S = 2.0
# A peer that vanished sends no reset, and requests would wait for it until
# their deadline. With attempts open, silence for the first time makes the
# router ask and choose other workers; no reply for the second breaks the
# link, which its attempts survive if the agent comes back.
SILENCE_ASK_S = 1.0
SILENCE_BREAK_S = 1.0
_MAX_CANCELS_KEPT = 1024

_log = get_log(Part.LINK)
_codec = MsgpackCodec()


class LinkOwner(Protocol):
    """Hear of a link's changes."""

    def hello(self) -> Hello:
        """Return the greeting that opens a link."""

    def link_changed(self) -> None:
        """Note that a link's worker, models or state changed."""

    def worker_forgotten(self, process_id: str) -> None:
        """Note that a worker restarted or its agent did."""

    def cache_changed(self, service: str, change: CacheChange) -> None:
        """Take an agent's digest of its worker's cache."""


class Link:
    """Stay connected to one agent and carry attempts over one stream."""

    def __init__(
        self,
        address: Address,
        owner: LinkOwner,
        rng: random.Random,
        tls: ssl.SSLContext | None,
    ) -> None:
        self._address = address
        self._owner = owner
        self._tls = tls
        self._backoff = Backoff(RECONNECT_BASE_S, RECONNECT_CAP_S, rng)
        self._up = False
        self._process: ProcessName | None = None
        self._place = Place('', '')
        self._service = ''
        self._epoch = ''
        self._models: frozenset[str] = frozenset()
        self._leaving = False
        self._load = LoadReport()
        self._load_at_s = 0.0
        self._last_frame_s = 0.0
        self._asked_at_s = 0.0
        self._attempts: dict[int, Attempt] = {}
        self._prefilling: dict[int, int] = {}
        self._prefilling_blocks = 0
        self._recent_blocks = 0
        self._cancels: deque[AttemptId] = deque(maxlen=_MAX_CANCELS_KEPT)
        self._outbox: deque[RouterFrame] = deque()
        self._outbox_filled = asyncio.Event()
        self._session: asyncio.Task[None] | None = None
        self._view: WorkerView | None = None

    @property
    def address(self) -> Address:
        """Return the agent's address."""
        return self._address

    @property
    def up(self) -> bool:
        """Tell whether the agent greeted back and the stream is open."""
        return self._up

    @property
    def process(self) -> ProcessName | None:
        """Return the agent's name, None before the first Welcome."""
        return self._process

    @property
    def process_id(self) -> str:
        """Return the agent's process id, '' before the first Welcome."""
        if self._process is None:
            return ''
        return self._process.process_id

    @property
    def service(self) -> str:
        """Return the service of the agent's worker."""
        return self._service

    @property
    def epoch(self) -> str:
        """Return the worker's epoch."""
        return self._epoch

    @property
    def models(self) -> frozenset[str]:
        """Return what the worker has loaded, as a Welcome names it."""
        return self._models

    @property
    def leaving(self) -> bool:
        """Tell whether the agent takes no new work."""
        return self._leaving

    @property
    def suspect(self) -> bool:
        """Tell whether the agent owes a reply for longer than is usual."""
        return self._asked_at_s > 0.0

    @property
    def open_attempts(self) -> int:
        """Return the number of attempts in flight."""
        return len(self._attempts)

    @property
    def view(self) -> WorkerView:
        """Return what policies may know of the worker."""
        if self._view is None:
            self._view = WorkerView(
                process_id=self.process_id,
                place=self._place,
                epoch=self._epoch,
                load=self._load,
                load_at_s=self._load_at_s,
                in_flight=len(self._attempts),
                in_flight_blocks=self._prefilling_blocks,
                recent_blocks=self._recent_blocks,
            )
        return self._view

    def start(self, attempt: Attempt, frame: Start) -> None:
        """Send an attempt to the agent."""
        sequence = attempt.id.sequence
        self._attempts[sequence] = attempt
        self._prefilling[sequence] = attempt.blocks
        self._prefilling_blocks += attempt.blocks
        self._recent_blocks += attempt.blocks
        self._view = None
        self.send(frame)
        if not self._up:
            attempt.interrupt(Interrupt.LINK_DOWN)

    def send(self, frame: RouterFrame) -> None:
        """Queue a frame; it is lost when the link is down."""
        if not self._up:
            return
        self._outbox.append(frame)
        self._outbox_filled.set()

    def first_byte(self, attempt: Attempt) -> None:
        """Note that an attempt's prompt has been computed."""
        blocks = self._prefilling.pop(attempt.id.sequence, 0)
        self._prefilling_blocks -= blocks
        self._view = None

    def release(self, attempt: Attempt) -> None:
        """Forget an attempt; it goes on at the agent if it still runs."""
        self.first_byte(attempt)
        self._attempts.pop(attempt.id.sequence, None)
        attempt.close()

    def abandon(self, attempt: Attempt) -> None:
        """Forget an attempt and cancel it, if need be on the next link."""
        self.release(attempt)
        if attempt.ended or not attempt.sent:
            return
        self._cancels.append(attempt.id)
        self._send_cancels()

    def check_silence(self) -> None:
        """Ask a silent agent of its attempts; break a link that stays so."""
        if not self._up or not self._attempts:
            return
        now = time.monotonic()
        oldest = next(iter(self._attempts.values()))
        silent_s = now - max(self._last_frame_s, oldest.started_at_s)
        if silent_s < SILENCE_ASK_S:
            return
        if not self.suspect:
            self._asked_at_s = now
            self.send(Ask(oldest.id, oldest.received))
            self._owner.link_changed()
            return
        if now - self._asked_at_s < SILENCE_BREAK_S:
            return
        _log.warning('Agent is silent, link broken.', agent=str(self._address))
        if self._session is not None:
            self._session.cancel()

    async def run(self) -> None:
        """Connect, and connect again, until cancelled."""
        try:
            while True:
                self._session = asyncio.create_task(self._hold())
                await asyncio.wait([self._session])
                self._went_down(self._session)
                await asyncio.sleep(self._backoff.next_s())
        finally:
            if self._session is not None:
                self._session.cancel()
                await asyncio.wait([self._session])
                self._went_down(self._session)

    async def _hold(self) -> None:
        channel = Channel(
            self._address.host,
            self._address.port,
            codec=_codec,
            ssl=self._tls,
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
                await stream.send_message(self._owner.hello())
                welcome = await stream.recv_message()
            if not isinstance(welcome, Welcome):
                _log.warning(
                    'Expected a Welcome.',
                    agent=str(self._address),
                    got=type(welcome).__name__,
                )
                return
            self._came_up(welcome)
            writer = asyncio.create_task(self._write(stream))
            writer.add_done_callback(self._writer_ended)
            try:
                async for message in stream:
                    self._take_message(message)
            finally:
                writer.cancel()

    async def _write(self, stream: Stream[Any, Any]) -> None:
        while True:
            await self._outbox_filled.wait()
            self._outbox_filled.clear()
            while self._outbox:
                frame = self._outbox.popleft()
                if type(frame) is Start and not self._still_wanted(frame):
                    continue
                await stream.send_message(frame)

    def _writer_ended(self, writer: asyncio.Task[None]) -> None:
        if writer.cancelled() or writer.exception() is None:
            return
        # The reader alone would wait for ever for answers to frames that
        # were never written.
        if self._session is not None:
            self._session.cancel()

    def _still_wanted(self, start: Start) -> bool:
        attempt = self._attempts.get(start.attempt.sequence)
        if attempt is None:
            # Given up while it waited here, and reported as not run. Sent
            # now it would run all the same, perhaps for a second time.
            return False
        attempt.mark_sent()
        return True

    def _came_up(self, welcome: Welcome) -> None:
        restarted = self._process != welcome.name
        if restarted or self._epoch != welcome.epoch:
            self._owner.worker_forgotten(welcome.name.process_id)
        if restarted:
            self._cancels.clear()
        self._process = welcome.name
        self._place = welcome.place
        self._service = welcome.service
        self._epoch = welcome.epoch
        self._models = frozenset(welcome.models)
        self._leaving = welcome.leaving
        self._last_frame_s = time.monotonic()
        self._asked_at_s = 0.0
        self._set_load(welcome.load)
        self._outbox.clear()
        self._up = True
        self._backoff.reset()
        LINKS_UP.inc()
        _log.info(
            'Link is up.', agent=str(welcome.name), service=welcome.service
        )
        self._owner.link_changed()
        self._send_cancels()
        for attempt in self._attempts.values():
            attempt.interrupt(Interrupt.LINK_UP)

    def _went_down(self, session: asyncio.Task[None]) -> None:
        error = None
        if not session.cancelled():
            error = session.exception()
        if not self._up:
            _log.debug(
                'No link yet.', agent=str(self._address), error=repr(error)
            )
            return
        self._up = False
        self._view = None
        self._outbox.clear()
        LINKS_UP.dec()
        LINK_BREAKS.inc()
        _log.info('Link is down.', agent=str(self._address), error=repr(error))
        self._owner.link_changed()
        for attempt in self._attempts.values():
            attempt.interrupt(Interrupt.LINK_DOWN)

    def _send_cancels(self) -> None:
        while self._up and self._cancels:
            self.send(Cancel(self._cancels.popleft()))

    def _take_message(self, message: AgentMessage) -> None:
        self._last_frame_s = time.monotonic()
        if self._asked_at_s:
            self._asked_at_s = 0.0
            self._owner.link_changed()
        if isinstance(message, Batch):
            for frame in message.frames:
                self._take(frame)
            return
        self._take(message)

    def _take(self, frame: AgentFrame) -> None:
        if isinstance(frame, WorkerChanged):
            self._worker_changed(frame)
            return
        if isinstance(frame, Knowledge):
            self._learn(frame)
            return
        if isinstance(frame, Welcome):
            DROPPED_FRAMES.labels('second-welcome').inc()
            return
        if isinstance(frame, (End, Refused)):
            self._set_load(frame.load)
        attempt = self._attempts.get(frame.attempt.sequence)
        if attempt is None:
            DROPPED_FRAMES.labels('attempt-closed').inc()
            return
        if attempt.id != frame.attempt:
            # The sequence alone would let an answer to another router's,
            # or to an earlier run's, attempt through to this caller.
            DROPPED_FRAMES.labels('crossed').inc()
            return
        attempt.deliver(frame)

    def _learn(self, frame: Knowledge) -> None:
        self._set_load(frame.load)
        if frame.epoch != self._epoch:
            return
        change = CacheChange(
            self.process_id,
            frame.epoch,
            split_hashes(frame.stored),
            split_hashes(frame.evicted),
        )
        self._owner.cache_changed(self._service, change)

    def _worker_changed(self, frame: WorkerChanged) -> None:
        if frame.epoch != self._epoch:
            self._owner.worker_forgotten(self.process_id)
        self._epoch = frame.epoch
        self._models = frozenset(frame.models)
        self._leaving = frame.leaving
        self._set_load(frame.load)
        self._owner.link_changed()

    def _set_load(self, load: LoadReport) -> None:
        self._load = load
        self._load_at_s = time.monotonic()
        self._recent_blocks = 0
        self._view = None
