"""Hold a lease in the platform: one holder at a time, by own clocks.

The fencing number is made of the store's era and the object's version. Both
only grow, so a holder that was replaced carries a lower one than its
successor, also after the store has returned from an older copy.
"""

import time
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from uuid import uuid4

import msgspec
from lacewing_common.resolved_put import put_with_resolution
from lacewing_common.resolved_put import ResolvePolicy
from lacewing_common.store import MUST_NOT_EXIST
from lacewing_common.store import SingleObjects
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault

LEASES = 'leases'
# Written for a holder that never acted; JSON has no infinity.
_LONG_S = 3600.0
# Versions are below two to this power.
_VERSION_BITS = 32
# Durations of a lease's holders differ where a deployment is changed, but
# not by more; a record that says so was written by somebody else.
_MOST_LONGER = 10.0

Clock = Callable[[], float]
Peek = Callable[[str, str], Awaitable[StoredObject | StoreError]]


class LeaseRecord(msgspec.Struct, frozen=True):
    """Hold a lease's value; ``holder`` '' means released.

    ``nonce`` is new for each write, by which a writer finds its own one
    when the answer was lost. ``duration_s`` is the holder's promise.
    ``acted_ago_s``: at the time of this write the holder had not acted for
    so long, and will not before its next write; 0: it may be acting.
    ``era`` is the store's in which it was written, 0 if none is told.
    """

    holder: str
    nonce: str
    duration_s: float
    acted_ago_s: float = 0.0
    era: int = 0


@dataclass(frozen=True)
class LeaseHeld:
    """Report the lease as held; ``fence`` is its fencing number."""

    fence: int


@dataclass(frozen=True)
class LeaseNotHeld:
    """Report that another holds the lease, or that nobody can tell."""

    message: str


class Lease:
    """Acquire, renew and release one lease.

    ``peek`` reads an object cheaply and maybe late, as those who wait for
    the lease do all the time: an old version only makes them wait longer.
    Durations are measured by the process's own monotonic clock: ``margin_s``
    covers what clocks and calls under way may differ.

    A store that returns from an older copy may show the lease as free, or as
    held by an earlier holder, while the last one still acts under it. So a
    record of an earlier era counts as one of an unknown holder that acted
    until that era ended, and is waited out like any other.
    """

    def __init__(
        self,
        store: SingleObjects,
        name: str,
        holder: str,
        duration_s: float,
        margin_s: float,
        clock: Clock = time.monotonic,
        random: Random | None = None,
        peek: Peek | None = None,
    ) -> None:
        self._store = store
        self._peek = peek or store.get
        self._name = name
        self._holder = holder
        self._duration_s = duration_s
        self._margin_s = margin_s
        self._clock = clock
        self._random = random or Random()
        self._version = 0
        self._era = 0
        self._era_from_s = float('-inf')
        self._until_s = 0.0
        self._seen_version = 0
        self._seen_at_s = 0.0
        self._seen_duration_s = duration_s
        self._acting = False
        self._acted_s = float('-inf')
        self._other_acted_s = float('-inf')

    @property
    def is_acting(self) -> bool:
        """Tell whether the lease is written as one that is acted under."""
        return self._acting and self.is_held

    @property
    def other_acted_ago_s(self) -> float:
        """Return how long ago at least another holder may have acted."""
        return self._clock() - self._other_acted_s

    @property
    def is_held(self) -> bool:
        """Tell whether this process's own clock is within the lease."""
        return self._version > 0 and self._clock() < self._until_s

    @property
    def fence(self) -> int:
        """Return the fencing number last held, 0 before the first."""
        if not self._version:
            return 0
        return (self._era << _VERSION_BITS) + self._version

    async def acquire(self) -> LeaseHeld | LeaseNotHeld:
        """Renew the lease, or take one that is free or has lapsed.

        Returns a fencing number higher than all before it.
        """
        if self.is_held:
            answer = await self._write(self._holder, self._version)
            if isinstance(answer, LeaseHeld) or self.is_held:
                return answer
        glimpse = await self._peek(LEASES, self._name)
        self._take_era(glimpse.era)
        if isinstance(glimpse, StoredObject):
            waiting = self._look(glimpse)
            if waiting is not None:
                return waiting
        seen = await self._store.get(LEASES, self._name)
        self._take_era(seen.era)
        if isinstance(seen, StoreError):
            if seen.fault is not StoreFault.NOT_FOUND:
                return LeaseNotHeld(seen.message)
            if self._may_be_held_from_before(self._duration_s):
                return LeaseNotHeld(f'{self._name} may have been lost')
            self._other_acted_s = max(self._other_acted_s, self._era_from_s)
            return await self._write(self._holder, MUST_NOT_EXIST)
        waiting = self._look(seen)
        if waiting is not None:
            return waiting
        self._note_other(seen)
        return await self._write(self._holder, seen.version)

    async def begin_acting(self) -> bool:
        """Write that the holder acts from now on; false if it must not.

        A successor waits only if its predecessor may have acted lately.
        While nobody acts, holders may then change without a pause, as they
        do when all processes are restarted in turn.
        """
        if self.is_acting:
            return True
        if not self.is_held:
            # Taking it over first would skip the wait for a predecessor.
            return False
        self._acting = True
        if isinstance(
            await self._write(self._holder, self._version), LeaseHeld
        ):
            return True
        self._acting = False
        return False

    def record_action(self) -> None:
        """Note that the holder acts at this moment."""
        self._acted_s = self._clock()

    def end_acting(self) -> None:
        """Promise not to act before the next ``begin_acting``."""
        self._acting = False

    async def release(self) -> None:
        """Let others take the lease without waiting it out."""
        version = self._version if self.is_held else 0
        self._version = 0
        self._acting = False
        if version:
            await self._put('', version)

    def _take_era(self, era: int) -> None:
        """Take the era of an answer; a new one ends the lease."""
        if era <= self._era:
            return
        if self._era:
            # The first one that is told has not begun just now.
            self._era_from_s = self._clock()
        self._era = era
        self._version = 0
        self._acting = False
        self._seen_version = 0

    def _may_be_held_from_before(self, duration_s: float) -> bool:
        """Tell whether a holder of the era before may still act."""
        since_s = self._clock() - self._era_from_s
        return since_s < duration_s + self._margin_s

    def _look(self, seen: StoredObject) -> LeaseNotHeld | None:
        """Tell whether a lease seen has to be waited out.

        Its holder counts from before it sent its last renewal, which was
        before this process first saw that version: after a whole duration
        the holder's own clock has passed the end, paused or not.
        """
        if seen.era < self._era:
            return LeaseNotHeld(
                f'{self._name} was read before the store returned'
            )
        record = self._record(seen)
        now_s = self._clock()
        if self._from_before(record):
            record = None
        if record is not None and record.holder in ('', self._holder):
            # Released, or this process's own write whose answer was lost.
            return None
        if seen.version != self._seen_version:
            self._seen_version = seen.version
            self._seen_at_s = now_s
            self._seen_duration_s = self._duration_s
            if record is not None:
                self._seen_duration_s = record.duration_s
        wait_s = self._seen_duration_s + self._margin_s
        if now_s - self._seen_at_s >= wait_s:
            return None
        holder = 'unknown' if record is None else record.holder
        return LeaseNotHeld(f'{self._name} is held by {holder}')

    def _record(self, seen: StoredObject) -> LeaseRecord | None:
        """Decode a lease's value; None if no holder wrote it.

        Believed, one that is to last for years would keep everybody from
        the lease, and one that acted long ago would let two holders act.
        """
        record = _decode(seen.value)
        if record is None:
            return None
        if not 0 < record.duration_s <= self._duration_s * _MOST_LONGER:
            return None
        if not 0 <= record.acted_ago_s <= _LONG_S:
            return None
        return record

    def _from_before(self, record: LeaseRecord | None) -> bool:
        """Tell whether a record was written before the store returned.

        Routers of an earlier release write no era.
        """
        return record is not None and 0 < record.era < self._era

    def _note_other(self, seen: StoredObject) -> None:
        record = self._record(seen)
        if self._from_before(record):
            # Its successors may have acted until the store returned, which
            # was before this process first saw the record.
            self._other_acted_s = max(self._era_from_s, self._seen_at_s)
            return
        if record is not None and record.holder == self._holder:
            return
        acted_ago_s = 0.0 if record is None else record.acted_ago_s
        self._other_acted_s = self._clock() - acted_ago_s

    async def _write(
        self, holder: str, expect: int
    ) -> LeaseHeld | LeaseNotHeld:
        # Counted from before the call: when its answer comes late, the
        # lease has run since the platform took the write.
        began_s = self._clock()
        era = self._era
        answer = await self._put(holder, expect)
        self._take_era(answer.era)
        if self._era != era and era:
            # Versions are given out again: the condition held by chance.
            return LeaseNotHeld('the store has returned from a copy')
        if isinstance(answer, StoredObject):
            self._version = answer.version
            self._until_s = began_s + self._duration_s
            if self.is_held:
                return LeaseHeld(self.fence)
            return LeaseNotHeld('the renewal took as long as the lease')
        if answer.fault is StoreFault.CONFLICT:
            self._version = 0
        return LeaseNotHeld(answer.message)

    async def _put(
        self, holder: str, expect: int
    ) -> StoredObject | StoreError:
        acted_ago_s = 0.0
        if not self._acting:
            acted_ago_s = min(_LONG_S, self._clock() - self._acted_s)
        record = LeaseRecord(
            holder, uuid4().hex, self._duration_s, acted_ago_s, self._era
        )
        return await put_with_resolution(
            self._store,
            LEASES,
            self._name,
            msgspec.json.encode(record),
            expect,
            ResolvePolicy(give_up_after_s=self._duration_s),
            self._random,
            era=self._era,
        )


def _decode(value: bytes) -> LeaseRecord | None:
    try:
        return msgspec.json.decode(value, type=LeaseRecord)
    except msgspec.DecodeError:
        return None
