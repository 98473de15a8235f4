"""Hash a prompt's blocks as engines publish them.

Written apart from the system's own hashing, so that a mistake there shows
as a disagreement and not as a cache that always hits.
"""

from hashlib import blake2b

BLOCK_BYTES = 256
BLOCK_TOKENS = 64
_DIGEST_BYTES = 8


def block_hashes(salt: bytes, prompt: bytes) -> tuple[bytes, ...]:
    """Return the 8-byte hash of each full block of canonical text."""
    parent = salt
    hashes: list[bytes] = []
    last_start = len(prompt) - BLOCK_BYTES
    for start in range(0, last_start + 1, BLOCK_BYTES):
        hasher = blake2b(key=parent, digest_size=_DIGEST_BYTES)
        hasher.update(prompt[start : start + BLOCK_BYTES])
        parent = hasher.digest()
        hashes.append(parent)
    return tuple(hashes)


def from_hex(names: tuple[str, ...]) -> tuple[bytes, ...]:
    """Read block hashes from hex; raise ValueError when malformed."""
    return tuple(bytes.fromhex(name) for name in names)


def to_hex(blocks: tuple[bytes, ...]) -> tuple[str, ...]:
    """Write block hashes as hex."""
    return tuple(block.hex() for block in blocks)
