"""Save crash records to the store, for routers that peers cannot reach.

A router that starts after all others were killed has no peer to ask, and one
that is partitioned from its peers may still reach the store.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import msgspec
from lacewing_common.decode_errors import DECODE_ERRORS
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.store import MUST_NOT_EXIST
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreFault

from lacewing_daemon.direct._clock import boot_s
from lacewing_daemon.direct._collection_watcher import CollectionWatcher
from lacewing_daemon.direct._site import SystemObjects
from lacewing_daemon.direct._store_eras import StoreEras
from lacewing_daemon.direct.crashes._record import CrashRecord
from lacewing_daemon.direct.crashes._record import UpstreamIncarnation
from lacewing_daemon.direct.crashes._registry import CRASH_TTL_S
from lacewing_daemon.direct.crashes._registry import MAX_CRASHES

CRASHES = 'crashes'
# Delay before a failed write is retried. While the store is disconnected, the
# retry waits for the reconnection, but at most for the second time.
RETRY_DELAY_S = 1.0
RECONNECT_TIMEOUT_S = 5.0
# Mean interval between removals of expired records.
SWEEP_INTERVAL_S = 30.0
# Faults after which a retry of the same write cannot succeed.
_PERMANENT_FAULTS = (
    StoreFault.CONFLICT,
    StoreFault.TOO_LARGE,
    StoreFault.REJECTED,
)

_log = get_log(Part.PLATFORM)


def decode_record(text: str) -> CrashRecord | None:
    """Decode a record from the store; return None if it is invalid."""
    try:
        return msgspec.json.decode(text, type=CrashRecord)
    except DECODE_ERRORS:
        return None


@dataclass(frozen=True)
class _SavedRecord:
    """Hold a record of this router and when it was first saved."""

    record: CrashRecord
    saved_s: float


class CrashStore:
    """Write records to the store and remove them once expired.

    Each router writes the crashes that it detected itself; all routers watch
    the collection.
    """

    def __init__(
        self,
        store: SystemObjects,
        watcher: CollectionWatcher[str],
        process_id: str,
        random: Random,
        eras: StoreEras,
        clock: Callable[[], float] = boot_s,
    ) -> None:
        self._store = store
        self._watcher = watcher
        self._process_id = process_id
        self._random = random
        self._clock = clock
        self._pending: dict[UpstreamIncarnation, CrashRecord] = {}
        self._saved: OrderedDict[UpstreamIncarnation, _SavedRecord] = (
            OrderedDict()
        )
        self._first_seen_s: dict[str, float] = {}
        self._has_pending = asyncio.Event()
        watcher.on_change(self._on_change)
        eras.on_restore(self._rewrite)

    def save(self, record: CrashRecord) -> None:
        """Schedule one write of a record of this router."""
        if record.start in self._saved:
            return
        self._saved[record.start] = _SavedRecord(record, self._clock())
        if len(self._saved) > MAX_CRASHES:
            self._saved.popitem(last=False)
        self._pending[record.start] = record
        self._has_pending.set()

    async def run(self) -> None:
        """Write pending records until cancelled."""
        if self._pending:
            self._has_pending.set()
        while True:
            await self._has_pending.wait()
            self._has_pending.clear()
            while self._pending:
                incarnation = next(iter(self._pending))
                # Moved to the end, so that it delays no other record.
                self._pending[incarnation] = self._pending.pop(incarnation)
                if not await self._write(incarnation):
                    await self._wait_for_retry()

    async def sweep(self) -> None:
        """Remove expired records until cancelled."""
        while True:
            await asyncio.sleep(
                SWEEP_INTERVAL_S * self._random.uniform(0.5, 1.5)
            )
            oldest_s = self._clock() - CRASH_TTL_S
            for name, first_seen_s in list(self._first_seen_s.items()):
                if first_seen_s < oldest_s:
                    await self._remove(name)

    def _rewrite(self) -> None:
        """Write again the records that a restored store may have lost.

        The write of a record that it still has fails with a conflict.
        """
        oldest_s = self._clock() - CRASH_TTL_S
        for incarnation, saved in self._saved.items():
            if saved.saved_s < oldest_s:
                continue
            self._pending[incarnation] = saved.record
        self._has_pending.set()

    async def _wait_for_retry(self) -> None:
        if self._watcher.disconnected:
            await self._watcher.wait_reconnected(RECONNECT_TIMEOUT_S)
            return
        await asyncio.sleep(RETRY_DELAY_S)

    async def _write(self, incarnation: UpstreamIncarnation) -> bool:
        """Write a record; return whether it needs no retry."""
        record = self._pending[incarnation]
        name = (
            f'{incarnation.upstream_id}.{incarnation.started_ms}'
            f'.{incarnation.again}'
        )
        name = f'{name}.{self._process_id}'
        answer = await self._store.put(
            CRASHES, name, msgspec.json.encode(record), MUST_NOT_EXIST
        )
        if not isinstance(answer, StoredObject):
            if answer.fault not in _PERMANENT_FAULTS:
                return False
            if answer.fault is not StoreFault.CONFLICT:
                _log.error(
                    'Cannot save a crash record.',
                    name=name,
                    reason=answer.message,
                )
        self._pending.pop(incarnation, None)
        return True

    async def _remove(self, name: str) -> None:
        stored = await self._store.peek(CRASHES, name)
        if isinstance(stored, StoredObject):
            await self._store.delete(CRASHES, name, stored.version)

    def _on_change(self, name: str, text: str | None) -> None:
        if text is None:
            self._first_seen_s.pop(name, None)
            return
        self._first_seen_s.setdefault(name, self._clock())
