"""Read and write a range of claims as an object of the platform."""

from dataclasses import dataclass
from dataclasses import field

import msgspec
from lacewing_common.decode_errors import DECODE_ERRORS
from lacewing_common.store import StoredObject

from lacewing_daemon.claims._folded import Folded
from lacewing_daemon.claims._folded import folded_from
from lacewing_daemon.claims._folded import FoldedBytes
from lacewing_daemon.claims._record import Claim

KIND = 'claims'


class RangeDocument(msgspec.Struct, frozen=True, array_like=True):
    """Hold the claims of one range; ``nonce`` is new for each change."""

    nonce: int
    claims: tuple[Claim, ...]
    folded: FoldedBytes = FoldedBytes()


@dataclass(frozen=True)
class Book:
    """Hold a range's claims by key, as read or written at a version."""

    version: int
    claims: dict[bytes, Claim]
    folded: Folded = field(default_factory=Folded)


def encode_claims(
    claims: dict[bytes, Claim], folded: Folded, nonce: int
) -> bytes:
    """Encode the claims of a range."""
    return msgspec.msgpack.encode(
        RangeDocument(nonce, tuple(claims.values()), folded.to_bytes())
    )


def read_book(stored: StoredObject) -> Book | None:
    """Decode an object; None when it is no list of claims."""
    try:
        found = msgspec.msgpack.decode(stored.value, type=RangeDocument)
    except DECODE_ERRORS:
        return None
    folded = folded_from(found.folded)
    if folded is None:
        return None
    claims = {claim.key: claim for claim in found.claims}
    return Book(stored.version, claims, folded)
