"""Hold the link to one agent: one long-lived task."""

import random
import ssl
import time
from asyncio import sleep
from collections import deque
from typing import Protocol

from lacewing_common.backoff import Backoff
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.prefix import split_hashes
from lacewing_common.settings import Address
from lacewing_common.wire import AgentFrame
from lacewing_common.wire import AgentMessage
from lacewing_common.wire import Allotments
from lacewing_common.wire import Ask
from lacewing_common.wire import AttemptId
from lacewing_common.wire import Batch
from lacewing_common.wire import Cancel
from lacewing_common.wire import End
from lacewing_common.wire import Hello
from lacewing_common.wire import Knowledge
from lacewing_common.wire import LoadReport
from lacewing_common.wire import Refused
from lacewing_common.wire import RouterFrame
from lacewing_common.wire import Start
from lacewing_common.wire import Welcome
from lacewing_common.wire import WorkerChanged

from lacewing_daemon.router._attempt import Attempt
from lacewing_daemon.router._in_flight import InFlight
from lacewing_daemon.router._mailbox import Interrupt
from lacewing_daemon.router._metrics import DROPPED_FRAMES
from lacewing_daemon.router._metrics import LINK_BREAKS
from lacewing_daemon.router._metrics import LINKS_UP
from lacewing_daemon.router._policy import CacheChange
from lacewing_daemon.router._policy import WorkerView
from lacewing_daemon.router._session import Session
from lacewing_daemon.router._worker_state import changed_state
from lacewing_daemon.router._worker_state import welcomed_state
from lacewing_daemon.router._worker_state import WorkerState

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


class LinkOwner(Protocol):
    """Hear of a link's changes."""

    def hello(self) -> Hello:
        """Return the greeting that opens a link."""

    def link_changed(self) -> None:
        """Note that a link's worker, models or state changed."""

    def worker_forgotten(self, process_id: str) -> None:
        """Note that a worker restarted or its agent did."""

    def allotted(self, allotments: Allotments) -> None:
        """Take this router's part of some teams' limits."""

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
        self._session: Session | None = None
        self._up = False
        self._worker = WorkerState()
        self._load = LoadReport()
        self._load_at_s = 0.0
        self._last_frame_s = 0.0
        self._asked_at_s = 0.0
        self._in_flight = InFlight()
        self._cancels: deque[AttemptId] = deque(maxlen=_MAX_CANCELS_KEPT)
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
    def worker(self) -> WorkerState:
        """Return what the agent last said of itself and its worker."""
        return self._worker

    @property
    def process_id(self) -> str:
        """Return the agent's process id, '' before the first Welcome."""
        return self._worker.process_id

    @property
    def incarnation(self) -> int:
        """Return the agent's run, 0 before the first Welcome."""
        if self._worker.name is None:
            return 0
        return self._worker.name.incarnation

    @property
    def suspect(self) -> bool:
        """Tell whether the agent owes a reply for longer than is usual."""
        return self._asked_at_s > 0.0

    @property
    def open_attempts(self) -> int:
        """Return the number of attempts in flight."""
        return self._in_flight.count

    @property
    def view(self) -> WorkerView:
        """Return what policies may know of the worker."""
        if self._view is None:
            self._view = WorkerView(
                process_id=self.process_id,
                place=self._worker.place,
                epoch=self._worker.epoch,
                load=self._load,
                load_at_s=self._load_at_s,
                in_flight=self._in_flight.count,
                in_flight_blocks=self._in_flight.blocks,
                recent_blocks=self._in_flight.recent_blocks,
                recent=self._in_flight.recent,
            )
        return self._view

    def start(self, attempt: Attempt, frame: Start) -> None:
        """Send an attempt to the agent."""
        self._in_flight.add(attempt)
        self._view = None
        self.send(frame)
        if not self._up:
            attempt.interrupt(Interrupt.LINK_DOWN)

    def send(self, frame: RouterFrame) -> None:
        """Queue a frame; it is lost when the link is down."""
        if self._up and self._session is not None:
            self._session.send(frame)

    def prefilled(self, attempt: Attempt) -> None:
        """Note that an attempt's prompt has been computed."""
        self._in_flight.prefilled(attempt)
        self._view = None

    def release(self, attempt: Attempt) -> None:
        """Forget an attempt; it goes on at the agent if it still runs."""
        self._in_flight.remove(attempt)
        self._view = None
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
        oldest = self._in_flight.oldest
        if not self._up or oldest is None:
            return
        now = time.monotonic()
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
            self._session.end()

    async def run(self) -> None:
        """Connect, and connect again, until cancelled."""
        while True:
            self._session = Session(self._address, self, self._owner.hello())
            cause = 'closed'
            try:
                cause = await self._session.run(self._tls)
            finally:
                self._went_down(cause)
            await sleep(self._backoff.next_s())

    def welcomed(self, welcome: Welcome) -> None:
        """Take the agent's greeting: the link is up."""
        before = self._worker
        self._worker = welcomed_state(welcome)
        if before.name != welcome.name:
            self._cancels.clear()
        if before.name != welcome.name or before.epoch != welcome.epoch:
            self._owner.worker_forgotten(welcome.name.process_id)
        self._set_load(welcome.load)
        self._last_frame_s = time.monotonic()
        self._asked_at_s = 0.0
        self._up = True
        self._backoff.reset()
        LINKS_UP.inc()
        _log.info(
            'Link is up.', agent=str(welcome.name), service=welcome.service
        )
        self._owner.link_changed()
        self._send_cancels()
        for attempt in self._in_flight.all():
            attempt.interrupt(Interrupt.LINK_UP)

    def take(self, message: AgentMessage) -> None:
        """Take one message of the agent."""
        self._last_frame_s = time.monotonic()
        if self._asked_at_s:
            self._asked_at_s = 0.0
            self._owner.link_changed()
        if isinstance(message, Batch):
            for frame in message.frames:
                self._take_frame(frame)
            return
        self._take_frame(message)

    def is_wanted(self, start: Start) -> bool:
        """Tell whether a Start is still to be sent, just before it is."""
        attempt = self._in_flight.find(start.attempt.sequence)
        if attempt is None:
            # Given up while it waited here, and reported as not run. Sent
            # now it would run all the same, perhaps for a second time.
            return False
        attempt.mark_sent()
        return True

    def _went_down(self, cause: str) -> None:
        if not self._up:
            _log.debug('No link yet.', agent=str(self._address), cause=cause)
            return
        self._up = False
        LINKS_UP.dec()
        LINK_BREAKS.inc()
        _log.info('Link is down.', agent=str(self._address), cause=cause)
        self._owner.link_changed()
        for attempt in self._in_flight.all():
            attempt.interrupt(Interrupt.LINK_DOWN)

    def _send_cancels(self) -> None:
        while self._up and self._cancels:
            self.send(Cancel(self._cancels.popleft()))

    def _take_frame(self, frame: AgentFrame) -> None:
        if isinstance(frame, WorkerChanged):
            self._worker_changed(frame)
            return
        if isinstance(frame, Knowledge):
            self._learn(frame)
            return
        if isinstance(frame, Allotments):
            self._owner.allotted(frame)
            return
        if isinstance(frame, Welcome):
            DROPPED_FRAMES.labels('second-welcome').inc()
            return
        if isinstance(frame, (End, Refused)):
            self._set_load(frame.load)
        attempt = self._in_flight.find(frame.attempt.sequence)
        if attempt is None:
            DROPPED_FRAMES.labels('attempt-closed').inc()
            return
        if attempt.id != frame.attempt:
            # The sequence alone would let an answer to another router's,
            # or to an earlier run's, attempt through to this caller.
            DROPPED_FRAMES.labels('crossed').inc()
            return
        attempt.deliver(frame)

    def _worker_changed(self, frame: WorkerChanged) -> None:
        if frame.epoch != self._worker.epoch:
            self._owner.worker_forgotten(self.process_id)
        self._worker = changed_state(self._worker, frame)
        self._set_load(frame.load)
        self._owner.link_changed()

    def _learn(self, frame: Knowledge) -> None:
        self._set_load(frame.load)
        if frame.epoch != self._worker.epoch:
            return
        change = CacheChange(
            self.process_id,
            frame.epoch,
            split_hashes(frame.stored),
            split_hashes(frame.evicted),
        )
        self._owner.cache_changed(self._worker.service, change)

    def _set_load(self, load: LoadReport) -> None:
        self._load = load
        self._load_at_s = time.monotonic()
        self._in_flight.reported()
        self._view = None
