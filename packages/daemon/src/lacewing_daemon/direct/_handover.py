"""Let another upstream go on with a stream before its run is given up."""

import asyncio
import time
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from enum import Enum
from math import inf
from typing import Generic
from typing import TypeVar

from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.direct._metrics import HANDOVER_OVERLAP_SECONDS
from lacewing_daemon.direct._metrics import HANDOVERS
from lacewing_daemon.direct._site import ReplyHead
from lacewing_daemon.direct._stream_relay import EventRelay

T = TypeVar('T')

_log = get_log(Part.LINK)

# Upstreams that are asked one right after the other.
MAX_SENDS_AT_ONCE = 2
# Time until upstreams are asked again, once none has taken the stream over.
RETRY_INTERVAL_S = 0.2
# Two upstreams may have a stream for this long. A run must not be at work at
# the earlier one 0.4 s after it went on; the rest of that time is for delays
# on the way there and of this process.
MAX_OVERLAP_S = 0.15


class NoSuccessor(Enum):
    """Say why an upstream did not go on with a stream.

    FAILED: it refused, or broke off a stream that may be resumed before its
    first event. NOBODY: no upstream could be asked.
    """

    FAILED = 'failed'
    NOBODY = 'nobody'


class HandoverEnd(Enum):
    """Name how a handover ended; the value is a label of a metric.

    TAKEN_OVER: the successor has answered. NOT_REFUSED: it had not refused
    when the earlier run had to end. RESUMED: the earlier run went on before
    anything was sent to a successor.
    """

    TAKEN_OVER = 'taken_over'
    NOT_REFUSED = 'not_refused'
    RESUMED = 'resumed'
    NO_SUCCESSOR = 'no_successor'


class SuccessorRelay:
    """Relay the events of a successor; the first one ends the earlier run.

    So does the time for which two upstreams may have the stream.
    """

    def __init__(
        self, relay: EventRelay, take_over: Callable[[HandoverEnd], None]
    ) -> None:
        self._relay = relay
        self._take_over = take_over
        self._has_taken_over = False
        self._is_closed = False
        self._sent_s: float | None = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def has_started(self) -> bool:
        """Return whether the head of the answer was sent."""
        return self._relay.has_started

    @property
    def last_event(self) -> str | None:
        """Return the id of the last event that the caller has."""
        return self._relay.last_event

    @property
    def has_taken_over(self) -> bool:
        """Return whether the stream goes on at the successor only."""
        return self._has_taken_over

    @property
    def sent_s(self) -> float | None:
        """Return when the successor was asked, None if it was not yet."""
        return self._sent_s

    def hold(self, size: int) -> bool:
        """Hold more of an answer that is no stream, if there is room."""
        return self._relay.hold(size)

    def record_sending(self) -> None:
        """Limit from now on how long the earlier run goes on."""
        self._sent_s = time.monotonic()
        self._timer = asyncio.get_running_loop().call_later(
            MAX_OVERLAP_S, self.take_over, HandoverEnd.NOT_REFUSED
        )

    def close(self) -> None:
        """Drop what a successor still sends that is not needed any more."""
        self._is_closed = True
        self.stop_timer()

    def stop_timer(self) -> None:
        """Wait for the successor's answer for as long as it takes."""
        if self._timer is not None:
            self._timer.cancel()

    def take_over(self, end: HandoverEnd = HandoverEnd.TAKEN_OVER) -> None:
        """End the earlier run."""
        if self._has_taken_over or self._is_closed:
            return
        self._has_taken_over = True
        self.stop_timer()
        self._take_over(end)

    async def forward(self, head: ReplyHead, events: Iterable[bytes]) -> None:
        """Forward complete events."""
        pieces = list(events)
        if not pieces or self._is_closed:
            return
        self.take_over()
        await self._relay.forward(head, pieces)


Ask = Callable[[SuccessorRelay], Awaitable[T | NoSuccessor]]


class Handover(Generic[T]):
    """Move one started stream away from an upstream that delays it.

    That its upstream is lost is a suspicion: the upstream may be silent and
    go on, and the next one may refuse. The earlier run therefore goes on
    until a successor has sent an event, but for ``MAX_OVERLAP_S`` at most:
    a successor may work long before its first event. Once the rest of the
    stream was sent, the earlier run is kept only if that found no successor;
    until this is known, its events wait.

    ``ask`` sends the rest of the stream to one other upstream and returns
    when that has ended, or why it is no successor. ``from_copy``: only the
    upstream with the copy of the run can go on, and a copy can be used once.
    """

    def __init__(
        self,
        service: str,
        relay: EventRelay,
        ask: Ask[T],
        from_copy: bool = False,
    ) -> None:
        self._service = service
        self._relay = relay
        self._ask = ask
        self._from_copy = from_copy
        self._end_run: Callable[[], None] | None = None
        self._task: asyncio.Task[T | NoSuccessor] | None = None
        self._asked: SuccessorRelay | None = None
        self._has_ended_run = False
        self._is_closed = False
        self._is_decided = asyncio.Event()
        self._ask_again_s = 0.0

    @property
    def has_begun(self) -> bool:
        """Return whether other upstreams are asked, or were."""
        return self._task is not None or self._has_ended_run

    def can_begin(self, now_s: float) -> bool:
        """Return whether other upstreams may be asked now."""
        return self._task is None and now_s >= self._ask_again_s

    def begin(self, end_run: Callable[[], None]) -> None:
        """Ask other upstreams; ``end_run`` ends the earlier run."""
        if self._task is not None or self._is_closed:
            return
        self._end_run = end_run
        self._asked = None
        self._is_decided.clear()
        self._task = asyncio.create_task(self._find_successor())
        self._task.add_done_callback(_log_error)

    async def keep_run(self) -> bool:
        """Return whether an event of the earlier run is to be forwarded.

        Other upstreams are not asked any more then.
        """
        if self._is_sent:
            await self._is_decided.wait()
        if self._has_ended_run or self._is_closed:
            return False
        self._stop_asking()
        return True

    def run_ended(self) -> None:
        """Record that the earlier run is at work no more."""
        self._has_ended_run = True
        if self._task is None or self._asked is None:
            return
        self._asked.stop_timer()
        self._record_overlap()

    async def successor(self) -> T | None:
        """Return the successor of a run that ended, once it has ended too."""
        if self._task is None:
            return None
        found = await self._task
        return None if isinstance(found, NoSuccessor) else found

    def close(self) -> None:
        """Stop asking other upstreams, and end a successor."""
        self._is_closed = True
        self._is_decided.set()
        if self._asked is not None:
            self._asked.close()
        if self._task is not None:
            self._task.cancel()

    @property
    def _is_sent(self) -> bool:
        """Return whether an upstream has been sent the rest of the stream."""
        if self._task is None or self._asked is None:
            return False
        return self._asked.sent_s is not None

    def _stop_asking(self) -> None:
        """Keep the earlier run, as nothing was sent to a successor."""
        if self._task is None:
            return
        if self._asked is not None:
            self._asked.close()
        self._task.cancel()
        self._task = None
        self._pause(False)
        self._count(HandoverEnd.RESUMED)
        self._is_decided.set()

    async def _find_successor(self) -> T | NoSuccessor:
        found: T | NoSuccessor = NoSuccessor.NOBODY
        for _ in range(1 if self._from_copy else MAX_SENDS_AT_ONCE):
            self._asked = SuccessorRelay(self._relay, self._take_over)
            found = await self._ask(self._asked)
            if isinstance(found, NoSuccessor):
                self._asked.close()
            if found is not NoSuccessor.FAILED:
                break
        if isinstance(found, NoSuccessor):
            self._count(HandoverEnd.NO_SUCCESSOR)
            self._task = None
            self._pause(self._from_copy and found is NoSuccessor.FAILED)
            self._is_decided.set()
        return found

    def _take_over(self, end: HandoverEnd) -> None:
        self._count(end)
        self._has_ended_run = True
        self._is_decided.set()
        if self._end_run is not None:
            self._end_run()

    def _pause(self, for_good: bool) -> None:
        pause_s = inf if for_good else RETRY_INTERVAL_S
        self._ask_again_s = time.monotonic() + pause_s

    def _record_overlap(self) -> None:
        """Record for how long two upstreams have had the stream."""
        if self._asked is None or self._asked.sent_s is None:
            return
        HANDOVER_OVERLAP_SECONDS.labels(self._service).observe(
            time.monotonic() - self._asked.sent_s
        )

    def _count(self, end: HandoverEnd) -> None:
        HANDOVERS.labels(self._service, end.value).inc()


def _log_error(task: 'asyncio.Task[T | NoSuccessor]') -> None:
    if not task.cancelled() and task.exception() is not None:
        _log.info('A handover failed.', error=repr(task.exception()))
