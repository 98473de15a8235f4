"""Keep records of crashes in the store, for routers that peers don't reach.

A router that was started after all others were killed hears of crashes from
nobody, and one that is cut off from its peers may still reach the store.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import msgspec
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
# A write that failed is made again after this; while the store is lost, once
# others have found it, or after so long.
AGAIN_S = 1.0
LOST_AGAIN_S = 5.0
# How often it is looked for records that count no more.
SWEEP_S = 30.0
# Answers after which writing the same once more changes nothing.
_SETTLED = (StoreFault.CONFLICT, StoreFault.TOO_LARGE, StoreFault.REJECTED)

_log = get_log(Part.PLATFORM)


def decode_record(text: str) -> CrashRecord | None:
    """Return a record from the store; None if somebody else wrote it."""
    try:
        return msgspec.json.decode(text, type=CrashRecord)
    except msgspec.DecodeError:
        return None


@dataclass(frozen=True)
class _Written:
    """Hold a record of this router's and when it was first written."""

    record: CrashRecord
    at_s: float


class CrashStore:
    """Write records and remove them when they count no more.

    Each router writes what it saw itself; the collection is followed by all.
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
        self._followed = watcher
        self._process_id = process_id
        self._random = random
        self._clock = clock
        self._due: dict[UpstreamIncarnation, CrashRecord] = {}
        self._written: OrderedDict[UpstreamIncarnation, _Written] = (
            OrderedDict()
        )
        self._heard_s: dict[str, float] = {}
        self._wakes = asyncio.Event()
        watcher.on_change(self._note)
        eras.on_restore(self._write_again)

    def save(self, record: CrashRecord) -> None:
        """Write a record of this router's, once."""
        if record.start in self._written:
            return
        self._written[record.start] = _Written(record, self._clock())
        if len(self._written) > MAX_CRASHES:
            self._written.popitem(last=False)
        self._due[record.start] = record
        self._wakes.set()

    async def run(self) -> None:
        """Write what is due until cancelled."""
        while True:
            await self._wakes.wait()
            self._wakes.clear()
            while self._due:
                if not await self._write(next(iter(self._due))):
                    await self._rest()

    async def sweep(self) -> None:
        """Remove what counts no more until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_S * self._random.uniform(0.5, 1.5))
            oldest_s = self._clock() - CRASH_TTL_S
            for name, heard_s in list(self._heard_s.items()):
                if heard_s < oldest_s:
                    await self._remove(name)

    def _write_again(self) -> None:
        """Write what the store may have lost; what it has is a conflict."""
        oldest_s = self._clock() - CRASH_TTL_S
        for start, written in self._written.items():
            if written.at_s < oldest_s:
                continue
            self._due[start] = written.record
        self._wakes.set()

    async def _rest(self) -> None:
        if self._followed.disconnected:
            await self._followed.wait_reconnected(LOST_AGAIN_S)
            return
        await asyncio.sleep(AGAIN_S)

    async def _write(self, start: UpstreamIncarnation) -> bool:
        """Return whether nothing more has to be done for a record."""
        record = self._due[start]
        name = f'{start.upstream_id}.{start.started_ms}.{start.again}'
        name = f'{name}.{self._process_id}'
        answer = await self._store.put(
            CRASHES, name, msgspec.json.encode(record), MUST_NOT_EXIST
        )
        if not isinstance(answer, StoredObject):
            if answer.fault not in _SETTLED:
                return False
            if answer.fault is not StoreFault.CONFLICT:
                _log.error('Lost a crash.', name=name, reason=answer.message)
        self._due.pop(start, None)
        return True

    async def _remove(self, name: str) -> None:
        found = await self._store.peek(CRASHES, name)
        if isinstance(found, StoredObject):
            await self._store.delete(CRASHES, name, found.version)

    def _note(self, name: str, text: str | None) -> None:
        if text is None:
            self._heard_s.pop(name, None)
            return
        self._heard_s.setdefault(name, self._clock())
