"""Give the addresses of agents from all that is known of members."""

from collections.abc import Callable

from lacewing_common.identity import Role
from lacewing_common.wire_peers import Liveness
from lacewing_common.wire_peers import MemberRecord

from lacewing_daemon.peers._notes import VmNotes
from lacewing_daemon.peers._table import MemberTable

# An incarnation holds the milliseconds of its start above 12 random bits.
_INCARNATION_BITS = 12


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

    def agent_addresses(self) -> tuple[str, ...]:
        """Return ``ip:port`` of each agent not known to have left."""
        known: dict[str, MemberRecord] = {}
        for record in self._table.all():
            held = known.get(record.address)
            if held is None or held.incarnation < record.incarnation:
                known[record.address] = record
        found: list[str] = []
        for address, record in known.items():
            if address and record.role is Role.AGENT:
                if record.liveness is not Liveness.DEAD:
                    found.append(address)
        for address in self._contacts():
            if address not in known:
                found.append(address)
        return tuple(found)

    def leaving(self, address: str) -> bool:
        """Tell whether an agent or its VM is leaving."""
        newest: MemberRecord | None = None
        for record in self._table.agents():
            if record.address != address:
                continue
            if newest is None or newest.incarnation < record.incarnation:
                newest = record
        if newest is not None and newest.leaving:
            return True
        note = self._notes.get(address)
        if note is None or not note.leaving:
            return False
        if newest is None:
            return True
        # Another process may have got the address since.
        return note.seen_ms >= newest.incarnation >> _INCARNATION_BITS
