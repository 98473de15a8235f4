"""Define the messages by which all processes tell each other the news.

Each process calls one other about once a second; both sides say what
changed of late and prove by hashes what they hold. A message's size does
not depend on the size of the fleet; what the hashes show to differ is
pulled with calls of its own.
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
    """Tell what is thought of a process; a higher one overrides a lower.

    It does so for the same incarnation and revision only: the process
    itself refutes a suspicion with a higher revision.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class PeerMessage(msgspec.Struct, frozen=True, array_like=True):
    """Mark a struct as a message between peers."""


class MemberRecord(PeerMessage, frozen=True):
    """Describe one process as far as the fleet knows it.

    ``incarnation`` names the run; within it only the process itself raises
    ``revision``, to refute a suspicion or to say that it is leaving.
    ``address`` is the ``ip:port`` of its listener for peers.
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
        """Return a key that grows with how recent the record is."""
        return (self.incarnation, self.revision, self.liveness.value)


class VmNote(PeerMessage, frozen=True):
    """Pass on what the platform's VM list says of one address.

    ``seen_ms`` is the reader's time, in milliseconds since 1970, when the
    list first said so; the latest note wins.
    """

    address: str
    leaving: bool
    seen_ms: int


class HeadNote(PeerMessage, frozen=True):
    """Tell the version that a process holds of one document."""

    document: DocumentName
    version: int


class Exchange(PeerMessage, frozen=True):
    """Tell a peer the news; its reply is of the same form.

    ``sender`` is None while the process does not listen yet. ``heads`` in a
    call are those that changed of late; in a reply all, if the hashes of
    the heads differ, else none.
    """

    sender: MemberRecord | None
    records: tuple[MemberRecord, ...]
    vm_notes: tuple[VmNote, ...]
    heads: tuple[HeadNote, ...]
    table_hash: int
    heads_hash: int


class Probe(PeerMessage, frozen=True):
    """Ask a peer to try an address that did not answer the caller."""

    address: str


class ProbeReply(PeerMessage, frozen=True):
    """Tell whether the address answered."""

    answered: bool


class TableQuery(PeerMessage, frozen=True):
    """Ask for records of the parts of the member table that differ.

    The table is cut into parts by process id; ``hashes`` holds one for
    each part, in order, as the caller has it.
    """

    hashes: tuple[int, ...]


class TableReply(PeerMessage, frozen=True):
    """Give records of differing parts, so many as one reply may hold."""

    records: tuple[MemberRecord, ...]
    vm_notes: tuple[VmNote, ...]


class Fetch(PeerMessage, frozen=True):
    """Ask for the head of a document and some of its parts."""

    document: DocumentName
    digests: tuple[str, ...] = ()


class Fetched(PeerMessage, frozen=True):
    """Give a head and the first of the parts asked for.

    ``head`` is None when the document is not held. At least one part comes
    if one asked for is held; the caller asks again for the rest.
    """

    head: DocumentHead | None
    parts: tuple[bytes, ...]
