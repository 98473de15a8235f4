"""Describe claims as they stand in the platform."""

from dataclasses import dataclass
from enum import Enum

import msgspec
from lacewing_common.store import StoredObject

KIND = 'claims'


class ClaimState(Enum):
    """Tell how far a claimed call is, as far as the platform knows.

    CLAIMED: its owner alone knows. RAN: it ran. UNCERTAIN: its owner said
    that nobody can know.
    """

    CLAIMED = 1
    RAN = 2
    UNCERTAIN = 3


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """Hold the answer to a call that ran; ``body`` None: not kept."""

    status: int
    content_type: str
    digest: bytes
    body: bytes | None


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """Hold one claim.

    ``key`` names team, service and idempotency key; ``call`` is the digest
    of method, path and body; ``owner`` the nonce of the agent's run;
    ``attempt`` the attempt, '' once it ran; ``at`` seconds since 1970.
    """

    key: bytes
    call: bytes
    owner: int
    attempt: str
    at: int
    state: ClaimState
    outcome: Outcome | None = None


class RangeDocument(msgspec.Struct, frozen=True, array_like=True):
    """Hold the claims of one range; ``nonce`` is new for each change."""

    nonce: int
    claims: tuple[Claim, ...]


@dataclass(frozen=True)
class Book:
    """Hold a range's claims by key, as read or written at a version."""

    version: int
    claims: dict[bytes, Claim]


def encode_claims(claims: dict[bytes, Claim], nonce: int) -> bytes:
    """Encode the claims of a range."""
    return msgspec.msgpack.encode(RangeDocument(nonce, tuple(claims.values())))


def read_book(stored: StoredObject) -> Book | None:
    """Decode an object; None when it is none of this version's."""
    try:
        found = msgspec.msgpack.decode(stored.value, type=RangeDocument)
    except msgspec.DecodeError:
        return None
    return Book(stored.version, {claim.key: claim for claim in found.claims})
