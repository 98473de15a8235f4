"""Keep the software versions that may have begun streams in the store.

A router that has just started has observed no versions, and after all routers
were killed there is no peer that has.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from math import isfinite

import msgspec
import xxhash
from lacewing_common.decode_errors import DECODE_ERRORS
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.store import MUST_NOT_EXIST
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault

from lacewing_daemon.direct._metrics import SOFTWARE_RECORDS
from lacewing_daemon.direct._site import SystemObjects
from lacewing_daemon.direct._store_eras import StoreEras
from lacewing_daemon.direct.origins._history import MAX_HISTORY_S
from lacewing_daemon.direct.origins._history import SoftwareHistory
from lacewing_daemon.rendezvous import rank_workers

KIND = 'software'
CHECK_INTERVAL_S = 0.25
# Until the list of upstreams has been read first. Callers whose streams broke
# off when all routers were killed come back as soon as one is up.
START_INTERVAL_S = 0.02
# Delay after a failed read or write.
RETRY_DELAY_S = 1.0
# The router ranked first writes at once. Each later one waits this much
# longer and then usually finds the record written.
RANK_DELAY_S = 0.5
MAX_RANK = 8

_log = get_log(Part.PLATFORM)


class VersionRecord(msgspec.Struct, frozen=True):
    """Hold all versions that may have begun a stream of a service."""

    versions: tuple[str, ...]


@dataclass(frozen=True)
class _Stored:
    """Hold a record as read; ``revision`` 0 if there is none."""

    versions: frozenset[str]
    revision: int


class VersionRecords:
    """Read the records of services, and write what is missing in them.

    A version is recorded as soon as a router sees it, and removed once one
    has observed for ``MAX_HISTORY_S`` that it is gone. A record is created
    only by a router that knows all versions of that time. ``confirm`` records
    in the history how old the list of upstreams is; ``services`` returns
    None until they are known.
    """

    def __init__(
        self,
        store: SystemObjects,
        history: SoftwareHistory,
        confirm: Callable[[float], None],
        services: Callable[[], Iterable[str] | None],
        own_address: str,
        peer_addresses: Callable[[], Sequence[str]],
        eras: StoreEras,
        list_age_s: Callable[[], float],
    ) -> None:
        self._store = store
        self._history = history
        self._confirm = confirm
        self._services = services
        self._own_address = own_address
        self._peer_addresses = peer_addresses
        self._stored: dict[str, _Stored] = {}
        self._list_age_s = list_age_s
        self._has_tried = False
        self._is_wanted = asyncio.Event()
        history.suspend_first_start()
        eras.on_restore(self._on_restore)

    @property
    def has_tried(self) -> bool:
        """Return whether the records were read once, or could not be."""
        return self._has_tried

    def check_soon(self) -> None:
        """Update at once: a version may have appeared."""
        self._is_wanted.set()

    async def run(self) -> None:
        """Keep the records up to date until cancelled."""
        while self._services() is None or not isfinite(self._list_age_s()):
            await asyncio.sleep(START_INTERVAL_S)
        while True:
            self._is_wanted.clear()
            try:
                succeeded = await self.update()
            finally:
                self._has_tried = True
            if succeeded:
                await self._wait_wanted()
            else:
                await asyncio.sleep(RETRY_DELAY_S)

    async def update(self) -> bool:
        """Read and write what is needed now; false if that failed."""
        if self._history.claims_first_start:
            await self._settle_first_start()
        self._confirm(self._list_age_s())
        if self._history.observed_s <= 0:
            # Other routers may write while this one is disconnected.
            self._stored.clear()
            return True
        succeeded = True
        for service in tuple(self._services() or ()):
            succeeded &= await self._check(service)
        return succeeded

    def _on_restore(self) -> None:
        """Read and write again: the store may have lost versions."""
        self._history.store_restored()
        self._stored.clear()

    async def _wait_wanted(self) -> None:
        """Wait until the next check is due or wanted."""
        try:
            async with asyncio.timeout(CHECK_INTERVAL_S):
                await self._is_wanted.wait()
        except TimeoutError:
            return

    async def _settle_first_start(self) -> None:
        """Find out whether the system ran before.

        The settings of a process that starts again may still be those of the
        first start. Without an answer of the store it stays open.
        """
        services = tuple(self._services() or ())
        if not services:
            return
        is_first = True
        for service in services:
            answer = await self._store.get(KIND, service)
            if isinstance(answer, StoredObject):
                is_first = False
                continue
            if answer.fault is not StoreFault.NOT_FOUND:
                SOFTWARE_RECORDS.labels('read_failed').inc()
                return
        self._history.settle_first_start(is_first)

    async def _check(self, service: str) -> bool:
        """Read or write the record if needed; false if that failed."""
        stored = self._stored.get(service)
        if stored is None or (
            stored.versions and not self._history.has_recorded(service)
        ):
            return await self._read(service)
        versions = self._missing_in(service, stored)
        if versions is None:
            return True
        await asyncio.sleep(self._rank(service) * RANK_DELAY_S)
        if not await self._read(service):
            return False
        stored = self._stored[service]
        versions = self._missing_in(service, stored)
        if versions is None:
            return True
        return await self._write(service, versions, stored.revision)

    def _missing_in(
        self, service: str, stored: _Stored
    ) -> frozenset[str] | None:
        """Return the versions to record, None if the record is right."""
        knows_all = self._history.observed_s >= MAX_HISTORY_S
        if not stored.versions and not knows_all:
            return None
        versions = self._history.recent_software(service)
        if not versions:
            return None
        kept = stored.versions
        if knows_all:
            kept &= self._history.recently_recorded(service)
        versions |= kept
        return None if versions == stored.versions else versions

    def _rank(self, service: str) -> int:
        """Return the place of this router in the order of writers."""
        candidates = (self._own_address, *self._peer_addresses())
        key = xxhash.xxh3_64_digest(service.encode())
        ranked = rank_workers(key, candidates, MAX_RANK)
        if self._own_address not in ranked:
            return MAX_RANK
        return ranked.index(self._own_address)

    async def _read(self, service: str) -> bool:
        answer = await self._store.get(KIND, service)
        if isinstance(answer, StoreError):
            if answer.fault is not StoreFault.NOT_FOUND:
                SOFTWARE_RECORDS.labels('read_failed').inc()
                return False
            self._stored[service] = _Stored(frozenset(), MUST_NOT_EXIST)
            return True
        return self._apply(service, answer)

    async def _write(
        self, service: str, versions: frozenset[str], revision: int
    ) -> bool:
        record = VersionRecord(tuple(sorted(versions)))
        answer = await self._store.put(
            KIND, service, msgspec.json.encode(record), revision
        )
        if isinstance(answer, StoreError):
            # Another router may have written, or this write took effect.
            # A restore of the store has cleared all of them.
            self._stored.pop(service, None)
            SOFTWARE_RECORDS.labels('write_failed').inc()
            return False
        SOFTWARE_RECORDS.labels('written').inc()
        _log.info(
            'Recorded the software versions of a service.',
            service=service,
            versions=record.versions,
        )
        return self._apply(service, answer)

    def _apply(self, service: str, stored: StoredObject) -> bool:
        try:
            record = msgspec.json.decode(stored.value, type=VersionRecord)
        except DECODE_ERRORS as error:
            SOFTWARE_RECORDS.labels('unreadable').inc()
            _log.error(
                'Left a record of software versions out.',
                service=service,
                error=str(error),
            )
            # Without versions it is replaced by a router that knows all.
            self._stored[service] = _Stored(frozenset(), stored.version)
            return True
        versions = frozenset(record.versions)
        self._stored[service] = _Stored(versions, stored.version)
        self._history.set_recorded(service, versions)
        return True
