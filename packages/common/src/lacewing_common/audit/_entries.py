"""Define the entries of the audit trail and their hash chain."""

from enum import Enum
from hashlib import sha256

import msgspec

from lacewing_common.decode_errors import DECODE_ERRORS


class Action(Enum):
    """Name the kind of a recorded change."""

    ROLL = 'roll'
    ROLL_BACK = 'roll-back'
    ORDER = 'order'
    LEASE = 'lease'
    DRAIN = 'drain'
    PLAN = 'plan'
    LOSS = 'loss'


class AuditRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a change: actor, action, subject, time and result.

    ``record_id`` is the same for each report of one change, so that a change
    reported twice is recorded once. ``before`` and ``after`` are digests or
    versions; ``at`` is the time in ISO 8601.
    """

    record_id: str
    who: str
    action: Action
    subject: str
    at: str
    before: str = ''
    after: str = ''
    result: str = 'done'


class AuditEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a record, its number from 1 and the previous entry's hash."""

    number: int
    previous: str
    record: AuditRecord

    @property
    def hash(self) -> str:
        """Return the SHA-256 of this entry in hex."""
        return sha256(msgspec.json.encode(self)).hexdigest()


class Chunk(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the newest entries of a trail, as stored in its object.

    ``archived`` is the digest of the part with the previous chunk, '' for
    none. ``count`` and ``tail`` are the number and the hash of the last
    entry.
    """

    archived: str = ''
    count: int = 0
    tail: str = ''
    entries: tuple[AuditEntry, ...] = ()


EMPTY_CHUNK = Chunk()


def encode_chunk(chunk: Chunk) -> bytes:
    """Encode a chunk as an object value."""
    return msgspec.json.encode(chunk)


def decode_chunk(value: bytes) -> Chunk | None:
    """Decode a chunk; return None if it is malformed."""
    try:
        return msgspec.json.decode(value, type=Chunk)
    except DECODE_ERRORS:
        return None


def append_entries(chunk: Chunk, records: tuple[AuditRecord, ...]) -> Chunk:
    """Return the chunk with records appended."""
    entries = list(chunk.entries)
    count = chunk.count
    tail = chunk.tail
    for record in records:
        count += 1
        entry = AuditEntry(number=count, previous=tail, record=record)
        tail = entry.hash
        entries.append(entry)
    return Chunk(
        archived=chunk.archived,
        count=count,
        tail=tail,
        entries=tuple(entries),
    )
