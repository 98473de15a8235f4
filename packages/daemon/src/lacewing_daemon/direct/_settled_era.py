"""Know whether writes that a restore of the store has lost were repeated.

A process that starts can't know how long ago the store's era began. A record
that was written in that era tells: a snapshot of an earlier one can't have it.
"""

import asyncio
from collections.abc import Callable
from random import Random

import msgspec
from lacewing_common.decode_errors import DECODE_ERRORS
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.store import MUST_NOT_EXIST
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault
from lacewing_common.whole_number import WholeNumber

from lacewing_daemon.direct._clock import boot_s
from lacewing_daemon.direct._site import SystemObjects
from lacewing_daemon.direct._store_eras import StoreEras

KIND = 'eras'
NAME = 'settled'
# Writers repeat lost writes within about two seconds of a restore. A list that
# is requested together with the record may be a call's time older than it.
SETTLE_S = 3.0
MAX_CALL_S = 1.0
CHECK_INTERVAL_S = 0.25
# Delay after a write, which may have failed.
RETRY_DELAY_S = 1.0
# Routers write the record at random moments of this time, and usually find
# that another one has written it.
WRITE_SPREAD_S = 2.0

_log = get_log(Part.PLATFORM)


class EraRecord(msgspec.Struct, frozen=True):
    """Hold the latest era of the store that had lasted ``SETTLE_S``."""

    era: WholeNumber


class SettledEra:
    """Hold from when on lists of the store have all repeated writes.

    ``first_start``: the settings say that the system starts for the first
    time, so that nothing was written, or lost, before. They may still say so
    when the process starts again, so it counts once the store has answered
    that no record exists.
    """

    def __init__(
        self,
        store: SystemObjects,
        eras: StoreEras,
        random: Random,
        first_start: bool = False,
        clock: Callable[[], float] = boot_s,
    ) -> None:
        self._store = store
        self._eras = eras
        self._random = random
        self._first_start = first_start
        self._clock = clock
        self._has_tried = asyncio.Event()
        self._era = 0
        self._era_observed_s = float('-inf')
        self._settled_s = float('inf')
        self._is_proven = False
        self._has_recorded = False

    @property
    def confirmable_from_s(self) -> float:
        """Return from when on lists that are requested are complete."""
        return self._settled_s

    async def wait_tried(self) -> None:
        """Wait until the record was read once, or could not be."""
        await self._has_tried.wait()
        self._observe()

    async def run(self) -> None:
        """Read the record, and write it once an era has settled."""
        try:
            await self._read()
        finally:
            self._has_tried.set()
        write_after_s = SETTLE_S + self._random.uniform(0.0, WRITE_SPREAD_S)
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._observe()
            if not self._era or self._has_recorded:
                continue
            age_s = self._clock() - self._era_observed_s
            if age_s < SETTLE_S and not self._is_proven:
                await self._read()
            if age_s >= write_after_s:
                await self._record()
                await asyncio.sleep(RETRY_DELAY_S)

    def _observe(self) -> None:
        """Apply the latest era of the store."""
        era = self._eras.current
        if era == self._era:
            return
        is_first = self._era == 0
        self._era = era
        self._era_observed_s = self._clock()
        self._has_recorded = False
        self._settled_s = self._era_observed_s + SETTLE_S
        # Only a process that starts in an era does not know its age.
        self._is_proven = not is_first
        self._first_start &= is_first

    async def _read(self) -> StoredObject | StoreError:
        """Read the record; it proves the era in which it was written.

        That there is none proves a first start.
        """
        sent_s = self._clock()
        answer = await self._store.peek(KIND, NAME)
        self._observe()
        if isinstance(answer, StoreError):
            if self._first_start and answer.fault is StoreFault.NOT_FOUND:
                self._is_proven = True
                self._settled_s = float('-inf')
            return answer
        self._first_start = False
        if self._era and _decode(answer) == self._era == answer.era:
            self._has_recorded = True
            self._is_proven = True
            self._settled_s = min(self._settled_s, sent_s - MAX_CALL_S)
        return answer

    async def _record(self) -> None:
        """Write the record unless another router has."""
        era = self._era
        answer = await self._read()
        if self._has_recorded or self._era != era:
            return
        revision = MUST_NOT_EXIST
        if isinstance(answer, StoredObject):
            revision = answer.version
        elif answer.fault is not StoreFault.NOT_FOUND:
            return
        written = await self._store.put(
            KIND, NAME, msgspec.json.encode(EraRecord(era)), revision
        )
        if isinstance(written, StoredObject) and written.era == era:
            self._has_recorded = True
            _log.info('Recorded that the era of the store has settled.')


def _decode(stored: StoredObject) -> int | None:
    try:
        return msgspec.json.decode(stored.value, type=EraRecord).era
    except DECODE_ERRORS:
        return None
