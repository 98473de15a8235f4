"""Hash a prompt into a chain over its nested levels.

The chain follows the hashing rule that the engines publish with their
cache events: block ``n`` is hashed over block ``n - 1``'s hash and its own
bytes, from a salt that names team, model, adapter and weights version.
"""

import hmac
from dataclasses import dataclass
from hashlib import blake2b
from hashlib import sha256

BLOCK_BYTES = 256
HASH_BYTES = 8
SALT_BYTES = 16


@dataclass(frozen=True)
class PrefixChain:
    """Hold the block hashes of a prompt, outermost first.

    ``blocks``: 8 bytes for each full block of 256 prompt bytes.
    ``levels``: ascending block counts at which a nested level ends.
    ``prompt_bytes``: the length of the whole prompt.
    """

    blocks: tuple[bytes, ...]
    levels: tuple[int, ...]
    prompt_bytes: int


def cache_salt(
    secret: bytes, team: str, model: str, adapter: str, weights: str
) -> bytes:
    """Derive the 16-byte root of a chain, one for each name space.

    An entry of another team, or of older weights, has another root and so
    another hash: it cannot be named by mistake.
    """
    parts = [team, model, adapter, weights]
    named = '\x1f'.join(parts).encode()
    return hmac.new(secret, named, sha256).digest()[:SALT_BYTES]


def chain(salt: bytes, segments: tuple[bytes, ...]) -> PrefixChain:
    """Hash prompt segments (one a nested level) block by block."""
    prompt = b''.join(segments)
    full_blocks = len(prompt) // BLOCK_BYTES
    blocks: list[bytes] = []
    parent = salt
    for index in range(full_blocks):
        start = index * BLOCK_BYTES
        piece = prompt[start : start + BLOCK_BYTES]
        parent = blake2b(piece, digest_size=HASH_BYTES, key=parent).digest()
        blocks.append(parent)
    levels = _level_ends(segments, full_blocks)
    return PrefixChain(tuple(blocks), levels, len(prompt))


def split_hashes(joined: bytes) -> tuple[bytes, ...]:
    """Split joined block hashes of 8 bytes each."""
    hashes: list[bytes] = []
    for start in range(0, len(joined), HASH_BYTES):
        hashes.append(joined[start : start + HASH_BYTES])
    return tuple(hashes)


def _level_ends(segments: tuple[bytes, ...], full: int) -> tuple[int, ...]:
    ends: list[int] = []
    length = 0
    for segment in segments:
        length += len(segment)
        end = min(length // BLOCK_BYTES, full)
        if end == 0:
            continue
        if ends and ends[-1] == end:
            continue
        ends.append(end)
    return tuple(ends)
