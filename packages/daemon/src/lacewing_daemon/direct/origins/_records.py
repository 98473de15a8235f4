"""Record at which software version streams began."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from hashlib import blake2b

_KEY_BYTES = 16
# Bounds the memory to about 8 MB; the oldest records are dropped.
MAX_RECORDS = 16_384


@dataclass(frozen=True)
class StreamOrigin:
    """Name the service and the software version that began a stream.

    ``is_inferred``: no record names the version, but no other one can have
    begun the stream.
    """

    service: str
    software: str
    is_inferred: bool = field(default=False, compare=False)


class UnknownOrigin(Enum):
    """Say why the origin of a stream is unknown.

    UNNAMED: the caller does not name the stream. NO_RECORD: no router has a
    record of it. NO_ANSWER: routers that may have one did not answer.
    UNCONFIRMED: one version only may have begun it, but the store does not
    confirm that no other has come. REUSED: two streams have the same name.
    OTHER_START: an upstream that had started again unseen may have begun it.
    """

    UNNAMED = 'unnamed'
    NO_RECORD = 'no-record'
    NO_ANSWER = 'no-answer'
    UNCONFIRMED = 'unconfirmed'
    REUSED = 'reused'
    OTHER_START = 'other-start'


def stream_key(team: str, request_id: str) -> bytes:
    """Return the key of the stream that a team's request began.

    Teams choose the ids of their requests and must not learn of each other's.
    """
    text = f'{len(team)} {team}{request_id}'
    return blake2b(text.encode(), digest_size=_KEY_BYTES).digest()


# Records that a stream has in place of a version.
RECORDED = frozenset((UnknownOrigin.REUSED, UnknownOrigin.OTHER_START))
# Of several reasons the last one of these is given.
_REASONS = (
    UnknownOrigin.NO_RECORD,
    UnknownOrigin.NO_ANSWER,
    UnknownOrigin.UNNAMED,
    UnknownOrigin.OTHER_START,
)


def combine(
    found: Iterable[StreamOrigin | UnknownOrigin],
) -> StreamOrigin | UnknownOrigin:
    """Return the origin that several records of one stream agree on."""
    origin: StreamOrigin | None = None
    unknown = UnknownOrigin.NO_RECORD
    for each in found:
        if each is UnknownOrigin.REUSED:
            return each
        if isinstance(each, UnknownOrigin):
            unknown = max(unknown, each, key=_REASONS.index)
            continue
        if origin is not None and each != origin:
            return UnknownOrigin.REUSED
        origin = each
    return unknown if origin is None else origin


@dataclass(frozen=True)
class _Record:
    """Hold the origin of a stream and when the record expires."""

    origin: StreamOrigin | UnknownOrigin
    expires_s: float


class OriginRecords:
    """Hold the origins of streams until the streams are over."""

    def __init__(self) -> None:
        self._records: OrderedDict[bytes, _Record] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def add(
        self,
        key: bytes,
        origin: StreamOrigin | UnknownOrigin,
        life_s: float,
        now_s: float,
    ) -> StreamOrigin | UnknownOrigin:
        """Record an origin; return what is known of the stream then."""
        expires_s = now_s + life_s
        known = self._records.get(key)
        if known is not None and known.expires_s > now_s:
            origin = combine((known.origin, origin))
            expires_s = max(expires_s, known.expires_s)
        self._records[key] = _Record(origin, expires_s)
        self._records.move_to_end(key)
        if len(self._records) > MAX_RECORDS:
            self._records.popitem(last=False)
        return origin

    def find(self, key: bytes, now_s: float) -> StreamOrigin | UnknownOrigin:
        """Return the origin of a stream."""
        known = self._records.get(key)
        if known is None or known.expires_s <= now_s:
            return UnknownOrigin.NO_RECORD
        return known.origin

    def life_s(self, key: bytes, now_s: float) -> float:
        """Return for how long a record is still kept."""
        known = self._records.get(key)
        return 0.0 if known is None else max(0.0, known.expires_s - now_s)

    def remove_expired(self, now_s: float) -> None:
        """Remove the records of streams that are over."""
        for key, record in tuple(self._records.items()):
            if record.expires_s <= now_s:
                del self._records[key]
