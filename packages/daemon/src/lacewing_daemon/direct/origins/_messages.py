"""Define the messages about the origins of streams between routers."""

import msgspec

RECORD_METHOD = '/lacewing.Origins/Record'
FIND_METHOD = '/lacewing.Origins/Find'


class OriginRecord(msgspec.Struct, frozen=True, array_like=True):
    """Report at which software version a stream began.

    ``life_s``: seconds until the stream is over. ``software`` is None if it
    is known to be unknown; ``unknown`` says why.
    """

    key: bytes
    service: str
    software: str | None
    life_s: float
    unknown: str = ''


class RecordRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask a router to keep records."""

    records: tuple[OriginRecord, ...]


class RecordReply(msgspec.Struct, frozen=True, array_like=True):
    """Confirm that the records are kept."""


class FindRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask for the origin of a stream that began in the last ``since_s``.

    ``key`` is None for a stream that its caller does not name.
    """

    key: bytes | None
    service: str
    since_s: float


class FindReply(msgspec.Struct, frozen=True, array_like=True):
    """Return the record of a stream, None if there is none.

    ``only``: the only software version that can have begun it.
    """

    record: OriginRecord | None = None
    only: str | None = None
