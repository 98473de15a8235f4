"""Record the origins of streams at several routers, and find them there."""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from typing import Protocol
from typing import TypeVar

from lacewing_daemon.direct._metrics import ORIGIN_RECORDS
from lacewing_daemon.direct._metrics import ORIGINS_SENT
from lacewing_daemon.direct.origins._records import combine
from lacewing_daemon.direct.origins._records import OriginRecords
from lacewing_daemon.direct.origins._records import StreamOrigin
from lacewing_daemon.direct.origins._records import UnknownOrigin
from lacewing_daemon.rendezvous import rank_workers

# Routers that keep a record beside the one that relays the stream.
KEEPERS = 2
# Routers that are asked, and to which a record may go if a keeper does not
# answer. More than keepers, as routers may know different other routers.
CANDIDATES = 4
# A router that lives answers within some ms.
RECORD_TIMEOUT_S = 0.5
FIND_TIMEOUT_S = 0.2
# After a first record the others are awaited for this long: two streams may
# have the same key.
AGREE_S = 0.03
SWEEP_S = 1.0
# Streams that begin in the fraction of a second before peers are served.
MAX_EARLY_RECORDS = 1024
_RANK_BYTES = 8

T = TypeVar('T')


@dataclass(frozen=True)
class SentOrigin:
    """Hold what is sent to a keeper; ``origin`` as for ``OriginRecords``."""

    key: bytes
    origin: StreamOrigin | UnknownOrigin
    life_s: float


class OriginCalls(Protocol):
    """Call other routers."""

    async def record(
        self, address: str, origins: Sequence[SentOrigin], timeout_s: float
    ) -> bool:
        """Have a router keep records; return whether it does."""

    async def find(
        self, address: str, key: bytes, timeout_s: float
    ) -> StreamOrigin | UnknownOrigin:
        """Return what a router has recorded of a stream."""


@dataclass(frozen=True)
class _Pending:
    """Hold a record to send, and where to if the next router fails."""

    sent: SentOrigin
    spares: tuple[str, ...]


class StreamOrigins:
    """Know the origin of each stream that a caller may take up.

    The router that relays a stream records its origin and sends it to the
    keepers of the stream's key, without delaying the stream. Another router
    asks the keepers. ``peer_addresses`` returns the other routers.
    """

    def __init__(
        self,
        peer_addresses: Callable[[], Sequence[str]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._peer_addresses = peer_addresses
        self._clock = clock
        self._records = OriginRecords()
        self._calls: OriginCalls | None = None
        self._early: deque[SentOrigin] = deque(maxlen=MAX_EARLY_RECORDS)
        self._pending: dict[str, list[_Pending]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    def connect(self, calls: OriginCalls) -> None:
        """Send records to other routers from now on, and earlier ones."""
        self._calls = calls
        while self._early:
            self._distribute(self._early.popleft())

    def record(self, key: bytes, origin: StreamOrigin, life_s: float) -> None:
        """Record a stream that this router relays, here and at keepers."""
        known = self._records.add(key, origin, life_s, self._clock())
        sent = SentOrigin(key, known, life_s)
        if self._calls is None:
            self._early.append(sent)
            return
        self._distribute(sent)

    def keep(self, sent: SentOrigin) -> None:
        """Keep a record for another router."""
        self._records.add(sent.key, sent.origin, sent.life_s, self._clock())

    def find_here(self, key: bytes) -> StreamOrigin | UnknownOrigin:
        """Return what this router has recorded of a stream."""
        return self._records.find(key, self._clock())

    async def find(self, key: bytes) -> StreamOrigin | UnknownOrigin:
        """Return the origin of a stream; ask other routers if needed."""
        found = self.find_here(key)
        if found is not UnknownOrigin.NO_RECORD:
            return found
        candidates = self._candidates(key)
        if not candidates:
            return found
        if self._calls is None:
            return UnknownOrigin.NO_ANSWER
        open_calls = set()
        for address in candidates:
            call = self._calls.find(address, key, FIND_TIMEOUT_S)
            open_calls.add(self._start(call))
        return await self._collect(open_calls)

    async def run(self) -> None:
        """Remove expired records until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_S)
            self._records.remove_expired(self._clock())
            ORIGIN_RECORDS.set(len(self._records))

    def close(self) -> None:
        """Cancel open calls."""
        for task in self._tasks:
            task.cancel()

    def _candidates(self, key: bytes) -> tuple[str, ...]:
        addresses = tuple(self._peer_addresses())
        return rank_workers(key[:_RANK_BYTES], addresses, CANDIDATES)

    async def _collect(
        self,
        open_calls: set[asyncio.Task[StreamOrigin | UnknownOrigin]],
    ) -> StreamOrigin | UnknownOrigin:
        """Return what the first answers agree on."""
        answers: list[StreamOrigin | UnknownOrigin] = []
        known = 0
        while open_calls and known < KEEPERS:
            ended, open_calls = await asyncio.wait(
                open_calls,
                timeout=AGREE_S if known else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not ended:
                break
            for call in ended:
                answer = call.result()
                answers.append(answer)
                known += isinstance(answer, StreamOrigin)
        return combine(answers)

    def _distribute(self, sent: SentOrigin) -> None:
        """Send a record to its keepers."""
        candidates = self._candidates(sent.key)
        pending = _Pending(sent, candidates[KEEPERS:])
        for address in candidates[:KEEPERS]:
            self._send(address, pending)

    def _send(self, address: str, pending: _Pending) -> None:
        """Send a record, together with those that wait for the last call."""
        assert self._calls is not None
        queue = self._pending.get(address)
        if queue is not None:
            queue.append(pending)
            return
        self._pending[address] = [pending]
        self._start(self._send_queue(self._calls, address))

    async def _send_queue(self, calls: OriginCalls, address: str) -> None:
        try:
            while batch := self._pending[address]:
                self._pending[address] = []
                origins = [each.sent for each in batch]
                if await calls.record(address, origins, RECORD_TIMEOUT_S):
                    ORIGINS_SENT.labels('kept').inc(len(batch))
                    continue
                ORIGINS_SENT.labels('failed').inc(len(batch))
                for each in batch:
                    if each.spares:
                        spare, *others = each.spares
                        self._send(spare, _Pending(each.sent, tuple(others)))
        finally:
            del self._pending[address]

    def _start(self, call: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
