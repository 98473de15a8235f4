"""Name idempotency keys and the ranges that their claims are kept in."""

from hashlib import blake2b

# Claims of one range share one object of the platform. More ranges make
# the objects smaller and the writes more; docs/explanation/at-most-once.md
# has the arithmetic. A change orphans every claim that stands.
RANGE_COUNT = 64

_DIGEST_BYTES = 16
_RANGE_BYTES = 4
_POINT_BYTES = 8


def claim_key(team: str, service: str, idempotency_key: str) -> bytes:
    """Return the 16-byte name of a team's key at a service."""
    return _digest(team.encode(), service.encode(), idempotency_key.encode())


def call_digest(method: str, path: str, body: bytes) -> bytes:
    """Return the 16-byte digest that tells a repeat from another call."""
    return _digest(method.encode(), path.encode(), body)


def range_of(key: bytes) -> int:
    """Return the range of a claim's key, from 0 on."""
    return int.from_bytes(key[:_RANGE_BYTES], 'big') % RANGE_COUNT


def range_point(service: str, number: int) -> bytes:
    """Return the 8 bytes by which agents are ranked for a range."""
    return _digest(service.encode(), str(number).encode())[:_POINT_BYTES]


def _digest(*parts: bytes) -> bytes:
    # Each part goes in with its length: 'ab' + 'c' must not name the same
    # claim as 'a' + 'bc', or one team would get another team's answer.
    hashed = blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        hashed.update(len(part).to_bytes(8, 'big'))
        hashed.update(part)
    return hashed.digest()
