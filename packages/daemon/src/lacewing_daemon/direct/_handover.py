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

from lacewing_daemon.direct._metrics import HANDOVERS
from lacewing_daemon.direct._site import ReplyHead
from lacewing_daemon.direct._stream_relay import EventRelay

T = TypeVar('T')

_log = get_log(Part.LINK)

# Upstreams that are asked one right after the other.
MAX_SENDS_AT_ONCE = 2
# Time until upstreams are asked again, once none has taken the stream over.
RETRY_INTERVAL_S = 0.2
# Events of the earlier run wait this long for the upstream that has its copy.
MAX_HOLD_S = 0.5


class NoSuccessor(Enum):
    """Say why an upstream did not go on with a stream.

    FAILED: it refused, or broke off before its first event. NOBODY: no
    upstream could be asked.
    """

    FAILED = 'failed'
    NOBODY = 'nobody'


class HandoverEnd(Enum):
    """Name how a handover ended; the value is a label of a metric.

    RESUMED: the earlier run went on first.
    """

    TAKEN_OVER = 'taken_over'
    RESUMED = 'resumed'
    NO_SUCCESSOR = 'no_successor'


class SuccessorRelay:
    """Relay the events of a successor; the first one ends the earlier run."""

    def __init__(
        self, relay: EventRelay, take_over: Callable[[], None]
    ) -> None:
        self._relay = relay
        self._take_over = take_over
        self._has_taken_over = False

    @property
    def has_started(self) -> bool:
        """Return whether the head of the answer was sent."""
        return self._relay.has_started

    @property
    def last_event(self) -> int | None:
        """Return the id of the last event that the caller has."""
        return self._relay.last_event

    @property
    def has_taken_over(self) -> bool:
        """Return whether the successor has sent an event."""
        return self._has_taken_over

    def take_over(self) -> None:
        """End the earlier run, as the successor has answered."""
        if not self._has_taken_over:
            self._has_taken_over = True
            self._take_over()

    async def forward(self, head: ReplyHead, events: Iterable[bytes]) -> None:
        """Forward complete events."""
        pieces = list(events)
        if pieces:
            self.take_over()
        await self._relay.forward(head, pieces)


Ask = Callable[[SuccessorRelay], Awaitable[T | NoSuccessor]]


class Handover(Generic[T]):
    """Move one started stream away from an upstream that delays it.

    That its upstream is lost is a suspicion: the upstream may be silent and
    go on, and the next one may refuse. The run therefore goes on until a
    successor has sent an event; whichever sends one first is kept.

    ``ask`` sends the rest of the stream to one other upstream and returns
    when that has ended. ``from_copy``: only the upstream with the copy of the
    run can go on. It uses the copy up, so it is asked once, and events of the
    run wait until it has refused or begun: with both, the run would go on at
    two upstreams.
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
        self._end_run: Callable[[], None] | None = None
        self._task: asyncio.Task[T | NoSuccessor] | None = None
        self._has_taken_over = False
        self._from_copy = from_copy
        self._ask_again_s = 0.0
        self._is_decided = asyncio.Event()

    def can_begin(self, now_s: float) -> bool:
        """Return whether other upstreams may be asked now."""
        return self._task is None and now_s >= self._ask_again_s

    def begin(self, end_run: Callable[[], None]) -> None:
        """Ask other upstreams; ``end_run`` ends the run once one answers."""
        if self._task is not None:
            return
        self._end_run = end_run
        self._task = asyncio.create_task(self._find_successor())

    @property
    def has_begun(self) -> bool:
        """Return whether other upstreams are asked, or one has answered."""
        return self._task is not None or self._has_taken_over

    async def keep_run(self) -> bool:
        """Keep the run, as it goes on; return false if it has a successor."""
        if self._from_copy and self._task is not None:
            try:
                async with asyncio.timeout(MAX_HOLD_S):
                    await self._is_decided.wait()
            except TimeoutError:
                _log.info('An upstream with a copy is slow to answer.')
        if self._has_taken_over:
            return False
        if self._task is not None:
            self._count(HandoverEnd.RESUMED)
            self.close()
        return True

    async def successor(self) -> T | None:
        """Return the successor of a run that ended, once it has ended too."""
        if self._task is None:
            return None
        found = await self._task
        return None if isinstance(found, NoSuccessor) else found

    def close(self) -> None:
        """Stop asking other upstreams, and end a successor."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _find_successor(self) -> T | NoSuccessor:
        found: T | NoSuccessor = NoSuccessor.NOBODY
        for _ in range(1 if self._from_copy else MAX_SENDS_AT_ONCE):
            relay = SuccessorRelay(self._relay, self._take_over)
            found = await self._ask(relay)
            if found is not NoSuccessor.FAILED:
                break
        if isinstance(found, NoSuccessor):
            self._count(HandoverEnd.NO_SUCCESSOR)
            pause_s = inf if self._from_copy else RETRY_INTERVAL_S
            self._ask_again_s = time.monotonic() + pause_s
            self._task = None
            self._is_decided.set()
        return found

    def _take_over(self) -> None:
        self._has_taken_over = True
        self._is_decided.set()
        self._count(HandoverEnd.TAKEN_OVER)
        if self._end_run is not None:
            self._end_run()

    def _count(self, end: HandoverEnd) -> None:
        HANDOVERS.labels(self._service, end.value).inc()
