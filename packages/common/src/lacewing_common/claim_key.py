"""Compute the keys of idempotency claims and their ranges."""

from hashlib import blake2b

# All claims of a range are stored in one object of the platform. More ranges
# mean smaller objects and more writes; docs/explanation/at-most-once.md has
# the calculation. Changing the number orphans all existing claims.
RANGE_COUNT = 64

_DIGEST_BYTES = 16
_RANGE_HASH_BYTES = 4
_POINT_BYTES = 8


def claim_key(team: str, service: str, idempotency_key: str) -> bytes:
    """Return the 16-byte claim key of a team's idempotency key."""
    return _digest(team.encode(), service.encode(), idempotency_key.encode())


def call_digest(method: str, path: str, body: bytes) -> bytes:
    """Return the 16-byte digest that tells retries from other calls."""
    return _digest(method.encode(), path.encode(), body)


def range_of(key: bytes) -> int:
    """Return the range of a claim key, starting from 0."""
    return int.from_bytes(key[:_RANGE_HASH_BYTES], 'big') % RANGE_COUNT


def range_point(service: str, number: int) -> bytes:
    """Return the 8 bytes by which agents are ranked for a range."""
    return _digest(service.encode(), str(number).encode())[:_POINT_BYTES]


def _digest(*parts: bytes) -> bytes:
    # Each part is hashed with its length: 'ab' + 'c' and 'a' + 'bc' must not
    # have the same digest, or one team would get another team's response.
    hasher = blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        hasher.update(len(part).to_bytes(8, 'big'))
        hasher.update(part)
    return hasher.digest()
