"""Hold what this process knows of all processes of the fleet."""

import time
from collections.abc import Callable
from collections.abc import Iterable

import msgspec
import xxhash
from lacewing_common.identity import Role
from lacewing_common.status import MemberStatus
from lacewing_common.wire_peers import Liveness
from lacewing_common.wire_peers import MemberRecord

BUCKETS = 64
# Longer than regions lose each other for: a process that was dead to us
# must still be tried when they meet again.
_FORGET_DEAD_S = 7200.0
_encode = msgspec.msgpack.encode


def bucket_of(process_id: str) -> int:
    """Return the part of the table that holds a process id."""
    return xxhash.xxh3_64_intdigest(process_id.encode()) % BUCKETS


def _record_hash(record: MemberRecord) -> int:
    # Suspicion is left out: it comes and goes at its own time at each
    # process, and the tables would seem to differ all the while.
    if record.liveness is Liveness.DEAD:
        return 0
    held = (
        record.process_id,
        record.incarnation,
        record.revision,
        record.leaving,
        record.address,
    )
    return xxhash.xxh3_64_intdigest(_encode(held))


class MemberTable:
    """Merge records so that all processes come to hold the same ones."""

    def __init__(
        self, me: MemberRecord, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._me = me
        self._clock = clock
        self._records = {me.process_id: me}
        self._changed_at_s: dict[str, float] = {}
        self._bucket_hashes = [0] * BUCKETS
        self._hash = 0
        self._suspects: set[str] = set()
        self._dead: set[str] = set()
        self._leaving: set[str] = set()
        self._callbacks: list[Callable[[MemberRecord], None]] = []
        self._count(me)

    @property
    def own_record(self) -> MemberRecord:
        """Return the record of this process."""
        return self._me

    @property
    def hash(self) -> int:
        """Return a hash over all members not dead."""
        return self._hash

    @property
    def bucket_hashes(self) -> tuple[int, ...]:
        """Return the hash of each part of the table."""
        return tuple(self._bucket_hashes)

    @property
    def size(self) -> int:
        """Return the number of records, the dead included."""
        return len(self._records)

    @property
    def counts(self) -> MemberStatus:
        """Count the members by state."""
        return MemberStatus(
            len(self._records) - len(self._suspects) - len(self._dead),
            len(self._suspects),
            len(self._dead),
            len(self._leaving),
        )

    @property
    def live_count(self) -> int:
        """Return the number of members that are not dead."""
        return len(self._records) - len(self._dead)

    def get(self, process_id: str) -> MemberRecord | None:
        """Return the record of one process."""
        return self._records.get(process_id)

    def all(self) -> tuple[MemberRecord, ...]:
        """Return all records."""
        return tuple(self._records.values())

    def live_peers(self) -> list[MemberRecord]:
        """Return the members that are not dead, without this process."""
        found: list[MemberRecord] = []
        for record in self._records.values():
            if record.process_id == self._me.process_id:
                continue
            if record.liveness is not Liveness.DEAD:
                found.append(record)
        return found

    def dead_members(self) -> list[MemberRecord]:
        """Return the members thought dead and not yet forgotten."""
        return [self._records[each] for each in self._dead]

    def agents(self) -> list[MemberRecord]:
        """Return the agents that are not dead."""
        found: list[MemberRecord] = []
        for record in self._records.values():
            if record.role is not Role.AGENT:
                continue
            if record.liveness is not Liveness.DEAD:
                found.append(record)
        return found

    def suspected_before(self, time_s: float) -> list[MemberRecord]:
        """Return the members suspected since before a time on its clock."""
        found: list[MemberRecord] = []
        for process_id in self._suspects:
            if self._changed_at_s[process_id] < time_s:
                found.append(self._records[process_id])
        return found

    def records_in_differing_buckets(
        self, hashes: tuple[int, ...], limit: int, first: int
    ) -> tuple[MemberRecord, ...]:
        """Return records of the parts whose hashes differ.

        Whole parts, from part ``first`` on, until ``limit`` is reached: a
        caller that got pieces of all of them would show the same difference
        again and be sent the same records for ever.
        """
        parts: dict[int, list[MemberRecord]] = {}
        for record in self._records.values():
            index = bucket_of(record.process_id)
            parts.setdefault(index, []).append(record)
        found: list[MemberRecord] = []
        for step in range(len(hashes)):
            index = (first + step) % len(hashes)
            if self._bucket_hashes[index % BUCKETS] == hashes[index]:
                continue
            found.extend(parts.get(index, []))
            if len(found) >= limit:
                break
        return tuple(found)

    def on_change(self, callback: Callable[[MemberRecord], None]) -> None:
        """Call back after each change of a record."""
        self._callbacks.append(callback)

    def set_address(self, address: str) -> None:
        """Take the address that this process now listens on."""
        # A peer may have pulled the record while it had no address. Without
        # a new revision it would keep that one for good: nobody could call
        # this process through it, and the tables would differ for ever.
        self._replace_me(address=address, revision=self._me.revision + 1)

    def mark_leaving(self) -> None:
        """Say that this process takes no new work."""
        if not self._me.leaving:
            self._replace_me(leaving=True, revision=self._me.revision + 1)

    def merge_all(self, records: Iterable[MemberRecord]) -> None:
        """Merge records that a peer sent."""
        for record in records:
            self.merge(record)

    def merge(self, record: MemberRecord) -> bool:
        """Take a record if it is more recent than the one held."""
        if record.process_id == self._me.process_id:
            return self._refute(record)
        held = self._records.get(record.process_id)
        if held is not None and record.precedence <= held.precedence:
            return False
        if held is None and record.liveness is Liveness.DEAD:
            # Not worth telling on: nobody here would have called it.
            return False
        self._store(record)
        return True

    def set_liveness(self, record: MemberRecord, liveness: Liveness) -> bool:
        """Change what is thought of a member, unless it has moved on."""
        held = self._records.get(record.process_id)
        if held is None or held.precedence != record.precedence:
            return False
        return self.merge(msgspec.structs.replace(held, liveness=liveness))

    def restart_suspicions(self) -> None:
        """Give all suspects their whole time again."""
        now_s = self._clock()
        for process_id in self._changed_at_s:
            self._changed_at_s[process_id] = now_s

    def remove_dead(self) -> None:
        """Drop members that have long been dead."""
        before_s = self._clock() - _FORGET_DEAD_S
        for record in self.dead_members():
            if self._changed_at_s[record.process_id] < before_s:
                self._uncount(record)
                del self._records[record.process_id]
                del self._changed_at_s[record.process_id]

    def _refute(self, record: MemberRecord) -> bool:
        """Contradict what is said of this run of this process.

        Without a revision above the one suspected, a process that was only
        slow would be dead to the fleet until it restarts.
        """
        if record.incarnation != self._me.incarnation:
            return False
        if record.liveness is Liveness.ALIVE:
            return False
        if record.revision < self._me.revision:
            return False
        self._replace_me(revision=record.revision + 1)
        return True

    def _replace_me(self, **changes: object) -> None:
        self._uncount(self._me)
        self._me = msgspec.structs.replace(self._me, **changes)
        self._records[self._me.process_id] = self._me
        self._count(self._me)
        self._tell(self._me)

    def _store(self, record: MemberRecord) -> None:
        held = self._records.get(record.process_id)
        if held is not None:
            self._uncount(held)
        self._records[record.process_id] = record
        self._changed_at_s[record.process_id] = self._clock()
        self._count(record)
        self._tell(record)

    def _tell(self, record: MemberRecord) -> None:
        for callback in self._callbacks:
            callback(record)

    def _count(self, record: MemberRecord) -> None:
        """Enter a record into the sets by state and the hashes.

        Counting them anew at each change would make the start of a large
        fleet take time that grows with the square of its size.
        """
        self._toggle(record)
        if record.liveness is Liveness.DEAD:
            self._dead.add(record.process_id)
            return
        if record.liveness is Liveness.SUSPECT:
            self._suspects.add(record.process_id)
        if record.leaving:
            self._leaving.add(record.process_id)

    def _uncount(self, record: MemberRecord) -> None:
        self._toggle(record)
        self._dead.discard(record.process_id)
        self._suspects.discard(record.process_id)
        self._leaving.discard(record.process_id)

    def _toggle(self, record: MemberRecord) -> None:
        change = _record_hash(record)
        self._hash ^= change
        self._bucket_hashes[bucket_of(record.process_id)] ^= change
