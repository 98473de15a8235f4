"""Give the addresses of agents from all that is known of members."""

from collections.abc import Callable
from dataclasses import dataclass

from lacewing_common.identity import Role
from lacewing_common.wire_peers import Liveness
from lacewing_common.wire_peers import MemberRecord

from lacewing_daemon.peers._table import MemberTable
from lacewing_daemon.peers._vm_notes import VmNotes

# An incarnation holds the milliseconds of its start above 12 random bits.
_INCARNATION_BITS = 12


@dataclass(frozen=True)
class _Index:
    """Hold the newest record, and the newest living agent, by address."""

    newest: dict[str, MemberRecord]
    agents: dict[str, MemberRecord]

    @staticmethod
    def of(records: tuple[MemberRecord, ...]) -> '_Index':
        index = _Index({}, {})
        for record in records:
            _keep_newer(index.newest, record)
            if record.role is not Role.AGENT:
                continue
            if record.liveness is not Liveness.DEAD:
                _keep_newer(index.agents, record)
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
        self._indexed = 0
        self._stale = True
        table.on_change(self._record_changed)

    def agent_addresses(self) -> tuple[str, ...]:
        """Return ``ip:port`` of each agent not known to have left."""
        index = self._fresh_index()
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
        """Tell whether an agent or its VM is leaving."""
        newest = self._fresh_index().agents.get(address)
        if newest is not None and newest.leaving:
            return True
        note = self._notes.get(address)
        if note is None or not note.leaving:
            return False
        if newest is None:
            return True
        # Another process may have got the address since.
        return note.seen_ms >= newest.incarnation >> _INCARNATION_BITS

    def _fresh_index(self) -> _Index:
        # A router asks for each of its links twice a second. Searching the
        # table each time took half a second of CPU at 1,220 members. Members
        # forgotten without a change show in their number.
        if self._stale or self._indexed != self._table.size:
            self._index = _Index.of(self._table.all())
            self._indexed = self._table.size
            self._stale = False
        return self._index

    def _record_changed(self, _record: MemberRecord) -> None:
        self._stale = True


def _keep_newer(
    records: dict[str, MemberRecord], record: MemberRecord
) -> None:
    held = records.get(record.address)
    if held is None or held.incarnation < record.incarnation:
        records[record.address] = record
