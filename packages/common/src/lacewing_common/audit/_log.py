"""Append to an audit trail in the platform."""

import asyncio
from dataclasses import dataclass
from random import Random

from lacewing_common.audit._entries import append_entries
from lacewing_common.audit._entries import AuditRecord
from lacewing_common.audit._entries import Chunk
from lacewing_common.audit._entries import decode_chunk
from lacewing_common.audit._entries import EMPTY_CHUNK
from lacewing_common.audit._entries import encode_chunk
from lacewing_common.backoff import Backoff
from lacewing_common.document import part_digest
from lacewing_common.document_objects import PARTS
from lacewing_common.retries import call_with_retries
from lacewing_common.retries import put_part
from lacewing_common.retries import RetryPolicy
from lacewing_common.store import MUST_NOT_EXIST
from lacewing_common.store import ObjectStore
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault

AUDIT = 'audit'
CHUNK_ENTRIES = 64


@dataclass(frozen=True)
class _StoredChunk:
    chunk: Chunk
    version: int


class AuditLog:
    """Append to one trail; any number of writers may share it.

    The newest entries are in one object, replaced by conditional updates. A
    full chunk is archived as an immutable part that the next chunk refers to,
    so that the object stays small and no entry is lost.
    """

    def __init__(
        self,
        store: ObjectStore,
        name: str,
        retry_policy: RetryPolicy | None = None,
        random: Random | None = None,
    ) -> None:
        self._store = store
        self._name = name
        self._retry_policy = retry_policy or RetryPolicy()
        self._random = random or Random()

    async def append(
        self, records: tuple[AuditRecord, ...]
    ) -> None | StoreError:
        """Append the records that the trail lacks, in order.

        One write adds at most ``CHUNK_ENTRIES`` records. After an error, the
        caller should append the same records again.
        """
        for first in range(0, len(records), CHUNK_ENTRIES):
            batch = records[first : first + CHUNK_ENTRIES]
            error = await self._append_batch(batch)
            if error is not None:
                return error
        return None

    async def _append_batch(
        self, records: tuple[AuditRecord, ...]
    ) -> None | StoreError:
        backoff = Backoff(
            self._retry_policy.backoff_base_s,
            self._retry_policy.backoff_cap_s,
            self._random,
        )
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + self._retry_policy.give_up_after_s
        initial_count: int | None = None
        while True:
            stored_chunk = await self._read_chunk()
            if isinstance(stored_chunk, StoreError):
                return stored_chunk
            if initial_count is None:
                initial_count = stored_chunk.chunk.count
            answer = await self._append_once(
                stored_chunk, records, initial_count
            )
            if answer is None:
                return None
            if answer.fault not in (StoreFault.CONFLICT, StoreFault.UNKNOWN):
                return answer
            if loop.time() > give_up_at:
                return answer
            # Another writer updated the chunk first, or the answer was lost.
            # The next read shows which of the records were appended.
            await asyncio.sleep(backoff.next_s())

    async def _read_chunk(self) -> _StoredChunk | StoreError:
        stored = await call_with_retries(
            lambda: self._store.get(AUDIT, self._name),
            self._retry_policy,
            self._random,
        )
        if isinstance(stored, StoreError):
            if stored.fault is StoreFault.NOT_FOUND:
                return _StoredChunk(EMPTY_CHUNK, MUST_NOT_EXIST)
            return stored
        chunk = decode_chunk(stored.value)
        if chunk is None:
            return self._malformed()
        return _StoredChunk(chunk, stored.version)

    async def _append_once(
        self,
        stored_chunk: _StoredChunk,
        records: tuple[AuditRecord, ...],
        initial_count: int,
    ) -> None | StoreError:
        known = await self._known_ids(stored_chunk.chunk, initial_count)
        if isinstance(known, StoreError):
            return known
        missing = _missing(records, known)
        if not missing:
            return None
        open_chunk = await self._archive_if_full(stored_chunk.chunk)
        if isinstance(open_chunk, StoreError):
            return open_chunk
        return await self._put(
            append_entries(open_chunk, missing), stored_chunk.version
        )

    async def _put(self, chunk: Chunk, expect: int) -> None | StoreError:
        value = encode_chunk(chunk)
        answer = await call_with_retries(
            lambda: self._store.put(AUDIT, self._name, value, expect),
            self._retry_policy,
            self._random,
        )
        return answer if isinstance(answer, StoreError) else None

    async def _known_ids(
        self, chunk: Chunk, initial_count: int
    ) -> set[str] | StoreError:
        """Collect at least the ids of all entries since the first attempt.

        If an answer was lost, later writers may have archived the records;
        a search of the newest chunk only would append them twice. The chunk
        archived last is always read, for records that two processes report.
        """
        known = _record_ids(chunk)
        first = True
        while chunk.archived and (
            first or _count_before(chunk) > initial_count
        ):
            first = False
            digest = chunk.archived
            stored = await self._get_archived(digest)
            if isinstance(stored, StoreError):
                return stored
            archived_chunk = decode_chunk(stored.value)
            if archived_chunk is None:
                return self._malformed()
            known |= _record_ids(archived_chunk)
            chunk = archived_chunk
        return known

    async def _get_archived(self, digest: str) -> StoredObject | StoreError:
        return await call_with_retries(
            lambda: self._store.get(PARTS, digest),
            self._retry_policy,
            self._random,
        )

    async def _archive_if_full(self, chunk: Chunk) -> Chunk | StoreError:
        if len(chunk.entries) < CHUNK_ENTRIES:
            return chunk
        value = encode_chunk(chunk)
        digest = part_digest(value)
        error = await put_part(
            self._store, PARTS, digest, value, self._retry_policy, self._random
        )
        if error is not None:
            return error
        return Chunk(archived=digest, count=chunk.count, tail=chunk.tail)

    def _malformed(self) -> StoreError:
        return StoreError(
            StoreFault.REJECTED,
            f'the audit trail {self._name!r} is malformed; nothing is added'
            ' to it until an operator has looked at it',
        )


def _record_ids(chunk: Chunk) -> set[str]:
    return {entry.record.record_id for entry in chunk.entries}


def _count_before(chunk: Chunk) -> int:
    return chunk.count - len(chunk.entries)


def _missing(
    records: tuple[AuditRecord, ...], known: set[str]
) -> tuple[AuditRecord, ...]:
    return tuple(each for each in records if each.record_id not in known)
