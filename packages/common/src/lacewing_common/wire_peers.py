"""Define the gossip messages between all processes.

Each process calls another one about once a second; both sides send recent
changes and compare their state by hashes. The size of a message does not
depend on the size of the fleet; state whose hashes differ is fetched with
separate calls.
"""

from enum import IntEnum

import msgspec

from lacewing_common.document import DocumentHead
from lacewing_common.document import DocumentName
from lacewing_common.identity import Role

EXCHANGE_METHOD = '/lacewing.Peer/Exchange'
PROBE_METHOD = '/lacewing.Peer/Probe'
TABLE_METHOD = '/lacewing.Peer/Table'
FETCH_METHOD = '/lacewing.Peer/Fetch'


class Liveness(IntEnum):
    """List the states of a process; a higher value overrides a lower one.

    This applies only to the same incarnation and revision: a process refutes
    a suspicion with a higher revision.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class PeerMessage(msgspec.Struct, frozen=True, array_like=True):
    """Serve as the base class of all messages between peers."""


class MemberRecord(PeerMessage, frozen=True):
    """Describe one process of the fleet.

    ``incarnation`` identifies the run; only the process itself increases
    ``revision`` within it, to refute a suspicion or to announce that it is
    leaving. ``address`` is the ``ip:port`` of its listener for peers.
    """

    process_id: str
    incarnation: int
    revision: int
    liveness: Liveness
    leaving: bool
    role: Role
    region: str
    availability_zone: str
    service: str
    address: str

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Return a sort key; later records have higher keys."""
        return (self.incarnation, self.revision, self.liveness.value)


class VmNote(PeerMessage, frozen=True):
    """Hold the state of one address in the platform's VM list.

    ``seen_ms`` is the time at which the reader first saw that state, by its
    clock, in milliseconds since 1970; the latest note wins.
    """

    address: str
    leaving: bool
    seen_ms: int


class HeadNote(PeerMessage, frozen=True):
    """Report the version of a document that a process stores."""

    document: DocumentName
    version: int


class Exchange(PeerMessage, frozen=True):
    """Send recent changes to a peer; the reply has the same form.

    ``sender`` is None while the process is not listening yet. ``heads`` of a
    call are those that changed recently; those of a reply are all heads if
    the hashes of the heads differ, otherwise none.
    """

    sender: MemberRecord | None
    records: tuple[MemberRecord, ...]
    vm_notes: tuple[VmNote, ...]
    heads: tuple[HeadNote, ...]
    table_hash: int
    heads_hash: int


class Probe(PeerMessage, frozen=True):
    """Ask a peer to probe an address that did not respond to the caller."""

    address: str


class ProbeReply(PeerMessage, frozen=True):
    """Report whether the address responded."""

    answered: bool


class TableQuery(PeerMessage, frozen=True):
    """Request the records of differing parts of the member table.

    The table is partitioned by process id; ``hashes`` contains the caller's
    hash of each part, in order.
    """

    hashes: tuple[int, ...]


class TableReply(PeerMessage, frozen=True):
    """Return records of differing parts, up to the size limit of a reply."""

    records: tuple[MemberRecord, ...]
    vm_notes: tuple[VmNote, ...]


class Fetch(PeerMessage, frozen=True):
    """Request the head of a document and some of its parts."""

    document: DocumentName
    digests: tuple[str, ...] = ()


class Fetched(PeerMessage, frozen=True):
    """Return a head and the first of the requested parts.

    ``head`` is None if the document is not stored. The reply contains at
    least one part if a requested one is stored; the caller requests the
    remaining parts again.
    """

    head: DocumentHead | None
    parts: tuple[bytes, ...]
