"""Derive the addresses of agents from members, seeds and VM list."""

from collections.abc import Callable
from dataclasses import dataclass

from lacewing_common.identity import Role
from lacewing_common.wire_peers import Liveness
from lacewing_common.wire_peers import MemberRecord

from lacewing_daemon.peers._table import MemberTable
from lacewing_daemon.peers._vm_notes import VmNotes

# An incarnation is the start time in milliseconds followed by random bits.
_INCARNATION_RANDOM_BITS = 12


@dataclass(frozen=True)
class _Index:
    """Hold the newest record and the newest live agent by address."""

    newest: dict[str, MemberRecord]
    agents: dict[str, MemberRecord]

    @staticmethod
    def of(records: tuple[MemberRecord, ...]) -> '_Index':
        index = _Index({}, {})
        for record in records:
            _set_if_newer(index.newest, record)
            if record.role is not Role.AGENT:
                continue
            if record.liveness is not Liveness.DEAD:
                _set_if_newer(index.agents, record)
        return index


class GossipMembers:
    """Implement ``MemberSource`` from members, seeds and the VM list."""

    def __init__(
        self,
        table: MemberTable,
        notes: VmNotes,
        contacts: Callable[[], tuple[str, ...]],
    ) -> None:
        self._table = table
        self._notes = notes
        self._contacts = contacts
        self._index = _Index.of(())
        self._indexed_size = 0
        self._stale = True
        table.on_change(self._on_record_change)

    def agent_addresses(self) -> tuple[str, ...]:
        """Return ``ip:port`` of each agent not known to have left."""
        index = self._current_index()
        found: list[str] = []
        for address, record in index.newest.items():
            if address and record.role is Role.AGENT:
                if record.liveness is not Liveness.DEAD:
                    found.append(address)
        for address in self._contacts():
            if address not in index.newest:
                found.append(address)
        return tuple(found)

    def is_leaving(self, address: str) -> bool:
        """Return whether an agent or its VM is leaving."""
        newest = self._current_index().agents.get(address)
        if newest is not None and newest.leaving:
            return True
        note = self._notes.get(address)
        if note is None or not note.leaving:
            return False
        if newest is None:
            return True
        # Another process may have reused the address since.
        return note.seen_ms >= newest.incarnation >> _INCARNATION_RANDOM_BITS

    def _current_index(self) -> _Index:
        # A router queries this for each link twice a second. Searching the
        # table each time took 0.5 s of CPU time at 1,220 members. Members
        # are removed without a change callback; the table size shows that.
        if self._stale or self._indexed_size != self._table.size:
            self._index = _Index.of(self._table.all())
            self._indexed_size = self._table.size
            self._stale = False
        return self._index

    def _on_record_change(self, _record: MemberRecord) -> None:
        self._stale = True


def _set_if_newer(
    records: dict[str, MemberRecord], record: MemberRecord
) -> None:
    current = records.get(record.address)
    if current is None or current.incarnation < record.incarnation:
        records[record.address] = record
