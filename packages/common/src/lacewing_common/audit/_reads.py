"""Read audit trails and verify their hash chains."""

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from lacewing_common.audit._entries import AuditEntry
from lacewing_common.audit._entries import Chunk
from lacewing_common.audit._entries import decode_chunk
from lacewing_common.audit._log import AUDIT
from lacewing_common.document import part_digest
from lacewing_common.document_objects import PARTS
from lacewing_common.retries import call_with_retries
from lacewing_common.retries import RetryPolicy
from lacewing_common.store import ObjectStore
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault


@dataclass(frozen=True)
class AuditTrail:
    """Hold entries of a trail, oldest first, and the faults found.

    ``is_complete`` is true if they start with the first entry of the trail.
    """

    name: str
    entries: tuple[AuditEntry, ...]
    faults: tuple[str, ...]
    is_complete: bool


class AuditReader:
    """Query the audit trails of the platform."""

    def __init__(
        self,
        store: ObjectStore,
        retry_policy: RetryPolicy | None = None,
        random: Random | None = None,
    ) -> None:
        self._store = store
        self._retry_policy = retry_policy or RetryPolicy()
        self._random = random or Random()

    async def names(self) -> tuple[str, ...] | StoreError:
        """Return the names of all trails."""
        rows = await call_with_retries(
            lambda: self._store.list_names(AUDIT),
            self._retry_policy,
            self._random,
        )
        if isinstance(rows, StoreError):
            return rows
        return tuple(row.name for row in rows)

    async def trail(self, name: str, limit: int) -> AuditTrail | StoreError:
        """Read and verify at least the last ``limit`` entries, 0: all."""
        stored = await self._get(AUDIT, name)
        if isinstance(stored, StoreError):
            if stored.fault is StoreFault.NOT_FOUND:
                return AuditTrail(name, (), (), True)
            return stored
        chunks: list[Chunk] = []
        faults: list[str] = []
        value: bytes | None = stored.value
        count = 0
        while value is not None:
            chunk = decode_chunk(value)
            if chunk is None:
                faults.append('a chunk is malformed')
                break
            chunks.insert(0, chunk)
            count += len(chunk.entries)
            if not chunk.archived or 0 < limit <= count:
                break
            value = await self._get_archived(chunk.archived, faults)
        faults.extend(_check_chain(chunks))
        entries = tuple(_entries(chunks))
        reaches_start = bool(chunks) and not chunks[0].archived
        return AuditTrail(name, entries, tuple(faults), reaches_start)

    async def _get_archived(
        self, digest: str, faults: list[str]
    ) -> bytes | None:
        stored = await self._get(PARTS, digest)
        if isinstance(stored, StoreError):
            faults.append(f'the archived part {digest}: {stored.message}')
            return None
        if part_digest(stored.value) != digest:
            faults.append(f'the archived part {digest} was changed')
            return None
        return stored.value

    async def _get(self, kind: str, name: str) -> StoredObject | StoreError:
        return await call_with_retries(
            lambda: self._store.get(kind, name),
            self._retry_policy,
            self._random,
        )


def _entries(chunks: list[Chunk]) -> Iterator[AuditEntry]:
    for chunk in chunks:
        yield from chunk.entries


def _check_chain(chunks: list[Chunk]) -> Iterator[str]:
    """Verify numbers and hashes, starting with the first entry read."""
    number: int | None = None
    tail = ''
    if chunks and not chunks[0].archived:
        number = 0
    for chunk in chunks:
        for entry in chunk.entries:
            if number is not None and entry.number != number + 1:
                yield f'entry {number + 1} is missing before {entry.number}'
            elif number is not None and entry.previous != tail:
                yield f'entry {number} was changed after entry {entry.number}'
            number = entry.number
            tail = entry.hash
        if chunk.tail != tail or chunk.count != number:
            yield f'the last entries up to {chunk.count} were changed'
