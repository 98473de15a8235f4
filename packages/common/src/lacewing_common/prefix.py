"""Compute the chained block hashes of a prompt and its nested levels.

The chain uses the hashing rule that the engines publish with their cache
events: the hash of block ``n`` covers the hash of block ``n - 1`` and the
block's own bytes. It starts from a salt that is derived from team, model,
adapter and weights version.
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
    """Hold the block hashes of a prompt, outermost level first.

    ``blocks``: an 8-byte hash for each full block of 256 prompt bytes.
    ``levels``: block counts at which the nested levels end, ascending.
    ``prompt_bytes``: length of the complete prompt.
    """

    blocks: tuple[bytes, ...]
    levels: tuple[int, ...]
    prompt_bytes: int


def cache_salt(
    secret: bytes, team: str, model: str, adapter: str, weights: str
) -> bytes:
    """Derive the 16-byte root of a chain, one for each namespace.

    Entries of another team or of superseded weights have another root and
    thus other hashes, so that they can't be matched by mistake.
    """
    parts = [team, model, adapter, weights]
    namespace = '\x1f'.join(parts).encode()
    return hmac.new(secret, namespace, sha256).digest()[:SALT_BYTES]


def chain(salt: bytes, segments: tuple[bytes, ...]) -> PrefixChain:
    """Hash prompt segments, one for each nested level, block by block."""
    prompt = b''.join(segments)
    full_blocks = len(prompt) // BLOCK_BYTES
    blocks: list[bytes] = []
    parent = salt
    for index in range(full_blocks):
        start = index * BLOCK_BYTES
        block = prompt[start : start + BLOCK_BYTES]
        parent = blake2b(block, digest_size=HASH_BYTES, key=parent).digest()
        blocks.append(parent)
    levels = _level_ends(segments, full_blocks)
    return PrefixChain(tuple(blocks), levels, len(prompt))


def split_hashes(joined: bytes) -> tuple[bytes, ...]:
    """Split concatenated block hashes of 8 bytes each."""
    hashes: list[bytes] = []
    for start in range(0, len(joined), HASH_BYTES):
        hashes.append(joined[start : start + HASH_BYTES])
    return tuple(hashes)


def _level_ends(
    segments: tuple[bytes, ...], full_blocks: int
) -> tuple[int, ...]:
    ends: list[int] = []
    length = 0
    for segment in segments:
        length += len(segment)
        end = min(length // BLOCK_BYTES, full_blocks)
        if end == 0:
            continue
        if ends and ends[-1] == end:
            continue
        ends.append(end)
    return tuple(ends)
