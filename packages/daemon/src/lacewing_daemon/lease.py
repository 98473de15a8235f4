"""Hold a lease in the platform's store, with one holder at a time.

Each process measures the lease by its own clock. The fencing number is
composed of the store era and the object's version. Both only grow, so a
replaced holder has a lower number than its successor, even after the store was
restored from an older snapshot.
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

from lacewing_daemon.lease_record import decode_record
from lacewing_daemon.lease_record import LastActions
from lacewing_daemon.lease_record import LeaseRecord

LEASES = 'leases'
# Versions are less than two to this power.
_VERSION_BITS = 32

Clock = Callable[[], float]
Peek = Callable[[str, str], Awaitable[StoredObject | StoreError]]


@dataclass(frozen=True)
class LeaseHeld:
    """Report that the lease is held; ``fence`` is its fencing number."""

    fence: int


@dataclass(frozen=True)
class LeaseNotHeld:
    """Report that the lease is held by another or its state is unknown."""

    message: str


class Lease:
    """Acquire, renew and release one lease.

    ``peek`` is an eventually consistent read at low cost, which processes that
    wait for the lease make all the time: a stale version only makes them wait
    longer. Durations are measured by the process's own monotonic clock;
    ``margin_s`` covers clock differences and calls in progress.

    A store that was restored from an older snapshot may show the lease as
    free, or as held by an earlier holder, while the last holder still acts
    under it. So a record of an earlier era is treated as that of an unknown
    holder that acted until that era ended, and has to expire like any other.
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
        self._era_started_s = float('-inf')
        self._expires_s = 0.0
        self._observed_version = 0
        self._observed_at_s = 0.0
        self._observed_duration_s = duration_s
        self._acting = False
        self._actions = LastActions(holder, clock)
        self._nonce_prefix = uuid4().hex
        self._writes = 0

    @property
    def is_acting(self) -> bool:
        """Return whether the holder has announced that it acts."""
        return self._acting and self.is_held

    @property
    def other_acted_ago_s(self) -> float:
        """Return the minimum time since another holder may have acted."""
        return self._actions.other_ago_s

    @property
    def is_held(self) -> bool:
        """Return whether the lease is held by this process's own clock."""
        return self._version > 0 and self._clock() < self._expires_s

    @property
    def fence(self) -> int:
        """Return the last fencing number, 0 before the first."""
        if not self._version:
            return 0
        return (self._era << _VERSION_BITS) + self._version

    async def acquire(self) -> LeaseHeld | LeaseNotHeld:
        """Renew the lease, or acquire it if it is free or has expired.

        Returns a fencing number higher than all previous ones.
        """
        if self._version:
            answer = await self._renew()
            if isinstance(answer, LeaseHeld) or self.is_held:
                return answer
        # What was announced under an earlier hold does not apply to a new one.
        self._acting = False
        peeked = await self._peek(LEASES, self._name)
        self._update_era(peeked.era)
        if isinstance(peeked, StoredObject):
            not_held = self._check_expired(peeked)
            if not_held is not None:
                return not_held
        stored = await self._store.get(LEASES, self._name)
        self._update_era(stored.era)
        if isinstance(stored, StoreError):
            if stored.fault is not StoreFault.NOT_FOUND:
                return LeaseNotHeld(stored.message)
            if self._may_be_held_from_earlier_era(self._duration_s):
                return LeaseNotHeld(
                    f'the record of lease {self._name} may have been lost when'
                    ' the store was restored'
                )
            self._actions.record(
                '', self._era_started_s + self._duration_s + self._margin_s
            )
            return await self._write(self._holder, MUST_NOT_EXIST)
        not_held = self._check_expired(stored)
        if not_held is not None:
            return not_held
        self._record_last_action(stored)
        return await self._write(self._holder, stored.version)

    async def _renew(self) -> LeaseHeld | LeaseNotHeld:
        """Write on the condition that nobody has written since this process.

        This also renews a lease that has expired: no other process has held
        it meanwhile. On a slow link an answer may take longer than the lease
        lasts, and reading the lease first would take that long again.
        """
        version = self._version
        answer = await self._write(self._holder, version)
        is_late = self._version > version and not self.is_held
        if not is_late:
            return answer
        return await self._write(self._holder, self._version)

    async def begin_acting(self) -> bool:
        """Announce that the holder acts from now on; false if it must not.

        A successor waits only if its predecessor may have acted recently. So
        while no holder acts, the lease changes hands without a delay, as in a
        rolling restart.
        """
        if self.is_acting:
            return True
        if not self.is_held:
            # Acquiring it here would skip the wait for a predecessor.
            return False
        answer = await self._write(self._holder, self._version, announces=True)
        self._acting = isinstance(answer, LeaseHeld)
        return self._acting

    def record_action(self) -> None:
        """Record that the holder acts now."""
        self._actions.record(self._holder, self._clock())

    def end_acting(self) -> None:
        """Mark that the holder does not act before ``begin_acting``."""
        self._acting = False

    async def release(self) -> None:
        """Release the lease, so that others need not wait for its expiry."""
        version = self._version if self.is_held else 0
        self._version = 0
        self._acting = False
        if version:
            await self._put('', version)

    def _update_era(self, era: int) -> None:
        """Update the era from an answer; a new era ends the lease."""
        if era <= self._era:
            return
        if self._era:
            # The first era that is observed may have started long ago.
            self._era_started_s = self._clock()
        self._era = era
        self._version = 0
        self._acting = False
        self._observed_version = 0

    def _may_be_held_from_earlier_era(self, duration_s: float) -> bool:
        """Return whether a holder of the previous era may still act."""
        era_age_s = self._clock() - self._era_started_s
        return era_age_s < duration_s + self._margin_s

    def _check_expired(self, stored: StoredObject) -> LeaseNotHeld | None:
        """Return a refusal if a lease has not expired yet, else None.

        Its holder counts from before it sent its last renewal, which was
        before this process first saw that version: after a whole duration the
        lease has expired by the holder's own clock, even if it was suspended.
        """
        if stored.era < self._era:
            return LeaseNotHeld(
                f'lease {self._name} was read before the store was restored'
            )
        record = decode_record(stored.value, self._duration_s)
        now_s = self._clock()
        if self._is_of_earlier_era(record):
            record = None
        if stored.version != self._observed_version:
            self._observed_version = stored.version
            self._observed_at_s = now_s
            self._observed_duration_s = self._duration_s
            if record is not None:
                self._observed_duration_s = record.duration_s
        if record is not None and record.holder in ('', self._holder):
            # Released, or this process's own write whose answer was lost.
            return None
        wait_s = self._observed_duration_s + self._margin_s
        if now_s - self._observed_at_s >= wait_s:
            return None
        holder = 'an unknown holder' if record is None else record.holder
        return LeaseNotHeld(f'lease {self._name} is held by {holder}')

    def _is_of_earlier_era(self, record: LeaseRecord | None) -> bool:
        """Return whether a record was written before the store was restored.

        Routers of an earlier software release write no era.
        """
        return record is not None and 0 < record.era < self._era

    def _record_last_action(self, stored: StoredObject) -> None:
        """Record who acted last, before this process acquires the lease."""
        record = decode_record(stored.value, self._duration_s)
        if record is None:
            self._actions.record('', self._clock())
            return
        if self._is_of_earlier_era(record):
            # Its successors had renewed before the store was restored, which
            # was before this process first saw the record, and may have acted
            # until their leases ended.
            acted_s = max(self._era_started_s, self._observed_at_s)
            acted_s += self._duration_s + self._margin_s
            self._actions.record('', acted_s)
            return
        if record.nonce.startswith(self._nonce_prefix):
            return
        acted_s = self._observed_at_s - record.acted_ago_s
        if record.may_be_acting:
            acted_s += self._observed_duration_s + self._margin_s
        elif record.acted_by is None:
            # The holders before it may have acted until it took the lease.
            self._actions.record('', self._observed_at_s)
            return
        acted_by = record.acted_by
        if acted_by is None:
            acted_by = record.holder
        self._actions.record(acted_by, acted_s)

    async def _write(
        self, holder: str, expect: int, announces: bool = False
    ) -> LeaseHeld | LeaseNotHeld:
        # Counted from before the call: if its answer arrives late, the lease
        # has been running since the store applied the write.
        sent_s = self._clock()
        era = self._era
        answer = await self._put(holder, expect, announces)
        self._update_era(answer.era)
        if self._era != era and era:
            # A restored store reuses versions: the precondition may have
            # matched by chance.
            return LeaseNotHeld('the store was restored during the write')
        if isinstance(answer, StoredObject):
            self._version = answer.version
            self._expires_s = sent_s + self._duration_s
            if self.is_held:
                return LeaseHeld(self.fence)
            return LeaseNotHeld(
                'the lease expired before the write was answered'
            )
        if answer.fault is StoreFault.CONFLICT:
            self._version = 0
        return LeaseNotHeld(answer.message)

    async def _put(
        self, holder: str, expect: int, announces: bool = False
    ) -> StoredObject | StoreError:
        acted_by, acted_ago_s = self._holder, 0.0
        if not self._acting and not announces:
            acted_by = self._actions.last_holder
            acted_ago_s = self._actions.last_ago_s
        self._writes += 1
        record = LeaseRecord(
            holder,
            f'{self._nonce_prefix}{self._writes:x}',
            self._duration_s,
            acted_ago_s,
            self._era,
            acted_by,
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
