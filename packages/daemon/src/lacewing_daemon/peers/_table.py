"""Hold the records of all known processes of the fleet."""

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
# Must exceed the duration of a partition between regions: dead members are
# called until then, which is how the regions reconnect.
_DEAD_RETENTION_S = 7200.0
_encode = msgspec.msgpack.encode


def bucket_of(process_id: str) -> int:
    """Return the index of the table bucket of a process id."""
    return xxhash.xxh3_64_intdigest(process_id.encode()) % BUCKETS


def _record_hash(record: MemberRecord) -> int:
    # Excludes suspicion: it starts and ends at different times at each
    # process, so the tables would differ permanently.
    if record.liveness is Liveness.DEAD:
        return 0
    fields = (
        record.process_id,
        record.incarnation,
        record.revision,
        record.leaving,
        record.address,
    )
    return xxhash.xxh3_64_intdigest(_encode(fields))


class MemberTable:
    """Merge records so that the tables of all processes converge."""

    def __init__(
        self,
        own_record: MemberRecord,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._own_record = own_record
        self._clock = clock
        self._records = {own_record.process_id: own_record}
        self._changed_at_s: dict[str, float] = {}
        self._bucket_hashes = [0] * BUCKETS
        self._hash = 0
        self._suspects: set[str] = set()
        self._dead: set[str] = set()
        self._leaving: set[str] = set()
        self._callbacks: list[Callable[[MemberRecord], None]] = []
        self._add_to_counts(own_record)

    @property
    def own_record(self) -> MemberRecord:
        """Return the record of this process."""
        return self._own_record

    @property
    def hash(self) -> int:
        """Return a hash over all members that are not dead."""
        return self._hash

    @property
    def bucket_hashes(self) -> tuple[int, ...]:
        """Return the hash of each bucket of the table."""
        return tuple(self._bucket_hashes)

    @property
    def size(self) -> int:
        """Return the number of records, including dead members."""
        return len(self._records)

    @property
    def counts(self) -> MemberStatus:
        """Return the number of members by state."""
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
        """Return the members that are not dead, except this process."""
        found: list[MemberRecord] = []
        for record in self._records.values():
            if record.process_id == self._own_record.process_id:
                continue
            if record.liveness is not Liveness.DEAD:
                found.append(record)
        return found

    def dead_members(self) -> list[MemberRecord]:
        """Return the dead members not removed from the table yet."""
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
        """Return the members suspected before a time on the table's clock."""
        found: list[MemberRecord] = []
        for process_id in self._suspects:
            if self._changed_at_s[process_id] < time_s:
                found.append(self._records[process_id])
        return found

    def records_in_differing_buckets(
        self, hashes: tuple[int, ...], limit: int, first: int
    ) -> tuple[MemberRecord, ...]:
        """Return the records of buckets whose hashes differ.

        Returns whole buckets, starting with bucket ``first``, until ``limit``
        records are reached. With incomplete buckets the caller would report
        the same differences again and be sent the same records each time.
        """
        buckets: dict[int, list[MemberRecord]] = {}
        for record in self._records.values():
            index = bucket_of(record.process_id)
            buckets.setdefault(index, []).append(record)
        found: list[MemberRecord] = []
        for step in range(len(hashes)):
            index = (first + step) % len(hashes)
            if self._bucket_hashes[index % BUCKETS] == hashes[index]:
                continue
            found.extend(buckets.get(index, []))
            if len(found) >= limit:
                break
        return tuple(found)

    def on_change(self, callback: Callable[[MemberRecord], None]) -> None:
        """Register a callback for changed records."""
        self._callbacks.append(callback)

    def set_address(self, address: str) -> None:
        """Set the address on which this process listens."""
        # A peer may have pulled the record while it had no address. Without
        # a new revision the peer would never replace that record: no process
        # could call this one by it, and the tables would differ permanently.
        self._update_own_record(
            address=address, revision=self._own_record.revision + 1
        )

    def mark_leaving(self) -> None:
        """Mark this process as accepting no new work."""
        if not self._own_record.leaving:
            self._update_own_record(
                leaving=True, revision=self._own_record.revision + 1
            )

    def merge_all(self, records: Iterable[MemberRecord]) -> None:
        """Merge records that a peer sent."""
        for record in records:
            self.merge(record)

    def merge(self, record: MemberRecord) -> bool:
        """Store a record if it is more recent; return whether it was."""
        if record.process_id == self._own_record.process_id:
            return self._refute(record)
        current = self._records.get(record.process_id)
        if current is not None and record.precedence <= current.precedence:
            return False
        if current is None and record.liveness is Liveness.DEAD:
            # No need to disseminate it: this process never called it.
            return False
        self._store(record)
        return True

    def set_liveness(self, record: MemberRecord, liveness: Liveness) -> bool:
        """Set a member's liveness unless its record has changed since."""
        current = self._records.get(record.process_id)
        if current is None or current.precedence != record.precedence:
            return False
        return self.merge(msgspec.structs.replace(current, liveness=liveness))

    def restart_suspicions(self) -> None:
        """Restart the suspicion timeout of all suspects."""
        now_s = self._clock()
        for process_id in self._changed_at_s:
            self._changed_at_s[process_id] = now_s

    def remove_dead(self) -> None:
        """Remove members that have been dead for ``_DEAD_RETENTION_S``."""
        before_s = self._clock() - _DEAD_RETENTION_S
        for record in self.dead_members():
            if self._changed_at_s[record.process_id] < before_s:
                self._remove_from_counts(record)
                del self._records[record.process_id]
                del self._changed_at_s[record.process_id]

    def _refute(self, record: MemberRecord) -> bool:
        """Refute a suspicion or death of this incarnation of this process.

        Without a revision above the suspected one, a process that was only
        slow would remain dead to the fleet until it restarts.
        """
        if record.incarnation != self._own_record.incarnation:
            return False
        if record.liveness is Liveness.ALIVE:
            return False
        if record.revision < self._own_record.revision:
            return False
        self._update_own_record(revision=record.revision + 1)
        return True

    def _update_own_record(self, **changes: object) -> None:
        self._remove_from_counts(self._own_record)
        self._own_record = msgspec.structs.replace(self._own_record, **changes)
        self._records[self._own_record.process_id] = self._own_record
        self._add_to_counts(self._own_record)
        self._notify(self._own_record)

    def _store(self, record: MemberRecord) -> None:
        current = self._records.get(record.process_id)
        if current is not None:
            self._remove_from_counts(current)
        self._records[record.process_id] = record
        self._changed_at_s[record.process_id] = self._clock()
        self._add_to_counts(record)
        self._notify(record)

    def _notify(self, record: MemberRecord) -> None:
        for callback in self._callbacks:
            callback(record)

    def _add_to_counts(self, record: MemberRecord) -> None:
        """Add a record to the sets by state and to the hashes.

        Recomputing them at each change would make the start of a fleet take
        time quadratic in its size.
        """
        self._toggle_hashes(record)
        if record.liveness is Liveness.DEAD:
            self._dead.add(record.process_id)
            return
        if record.liveness is Liveness.SUSPECT:
            self._suspects.add(record.process_id)
        if record.leaving:
            self._leaving.add(record.process_id)

    def _remove_from_counts(self, record: MemberRecord) -> None:
        self._toggle_hashes(record)
        self._dead.discard(record.process_id)
        self._suspects.discard(record.process_id)
        self._leaving.discard(record.process_id)

    def _toggle_hashes(self, record: MemberRecord) -> None:
        change = _record_hash(record)
        self._hash ^= change
        self._bucket_hashes[bucket_of(record.process_id)] ^= change
