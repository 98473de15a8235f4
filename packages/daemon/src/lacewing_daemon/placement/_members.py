"""Choose, without a message, the few agents that may plan a service."""

import xxhash
from lacewing_common.identity import Role
from lacewing_common.wire_peers import Liveness
from lacewing_common.wire_peers import MemberRecord

from lacewing_daemon.peers import PeerNode

# One plans, the other is ready to. Were all agents of a service to contend,
# each would read the lease at every turn: 148 readers in place of 2.
CONTENDERS = 2


class ServiceMembers:
    """Name the live agents of one service."""

    def __init__(self, node: PeerNode, service: str) -> None:
        self._node = node
        self._service = service

    @property
    def me(self) -> MemberRecord:
        """Return the record of this process."""
        return self._node.table.own_record

    def alive(self) -> tuple[MemberRecord, ...]:
        """Return the members, this one among them; the leaving left out."""
        found: dict[str, MemberRecord] = {}
        for record in (self.me, *self._node.table.live_peers()):
            if record.role is not Role.AGENT or record.leaving:
                continue
            if record.service != self._service:
                continue
            if record.liveness is not Liveness.DEAD:
                found[record.process_id] = record
        return tuple(found.values())

    def contenders(self) -> tuple[MemberRecord, ...]:
        """Return the members that contend for the planner's lease."""
        ordered = sorted(self.alive(), key=self._weight)
        return tuple(ordered[:CONTENDERS])

    def _weight(self, record: MemberRecord) -> int:
        text = f'{self._service}\n{record.process_id}'
        return xxhash.xxh3_64_intdigest(text.encode())
