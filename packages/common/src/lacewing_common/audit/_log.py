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
class _Read:
    chunk: Chunk
    version: int


class AuditLog:
    """Append to one trail; any number of writers may share it.

    The newest entries are one object, replaced by conditional updates. A
    full chunk becomes an immutable part that the next one names, so that the
    object stays small while nothing is forgotten.
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
        self._patience = retry_policy or RetryPolicy()
        self._random = random or Random()

    async def append(
        self, records: tuple[AuditRecord, ...]
    ) -> None | StoreError:
        """Enter records that are not entered yet, in order.

        A write takes as many as a chunk holds. After an error, append the
        same records again.
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
            self._patience.backoff_base_s,
            self._patience.backoff_cap_s,
            self._random,
        )
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + self._patience.give_up_after_s
        since: int | None = None
        while True:
            read = await self._read()
            if isinstance(read, StoreError):
                return read
            if since is None:
                since = read.chunk.count
            answer = await self._append_once(read, records, since)
            if answer is None:
                return None
            if answer.fault not in (StoreFault.CONFLICT, StoreFault.UNKNOWN):
                return answer
            if loop.time() > give_up_at:
                return answer
            # Another writer was faster, or the answer was lost: the chunk is
            # read again, and shows which of the records are in.
            await asyncio.sleep(backoff.next_s())

    async def _read(self) -> _Read | StoreError:
        stored = await call_with_retries(
            lambda: self._store.get(AUDIT, self._name),
            self._patience,
            self._random,
        )
        if isinstance(stored, StoreError):
            if stored.fault is StoreFault.NOT_FOUND:
                return _Read(EMPTY_CHUNK, MUST_NOT_EXIST)
            return stored
        chunk = decode_chunk(stored.value)
        if chunk is None:
            return self._malformed()
        return _Read(chunk, stored.version)

    async def _append_once(
        self, read: _Read, records: tuple[AuditRecord, ...], since: int
    ) -> None | StoreError:
        known = await self._known_ids(read.chunk, since)
        if isinstance(known, StoreError):
            return known
        missing = _missing(records, known)
        if not missing:
            return None
        room = await self._make_room(read.chunk)
        if isinstance(room, StoreError):
            return room
        return await self._put(append_entries(room, missing), read.version)

    async def _put(self, chunk: Chunk, expect: int) -> None | StoreError:
        value = encode_chunk(chunk)
        answer = await call_with_retries(
            lambda: self._store.put(AUDIT, self._name, value, expect),
            self._patience,
            self._random,
        )
        return answer if isinstance(answer, StoreError) else None

    async def _known_ids(
        self, chunk: Chunk, since: int
    ) -> set[str] | StoreError:
        """Collect the ids of all entries since the first try, at least.

        A writer whose answer was lost may find its records archived by the
        next writers; looking only at the newest chunk, it would enter them
        twice. The chunk archived last is read in any case, for records that
        two processes report.
        """
        known = _ids(chunk)
        first = True
        while chunk.archived and (first or _start(chunk) > since):
            first = False
            digest = chunk.archived
            stored = await self._archived(digest)
            if isinstance(stored, StoreError):
                return stored
            before = decode_chunk(stored.value)
            if before is None:
                return self._malformed()
            known |= _ids(before)
            chunk = before
        return known

    async def _archived(self, digest: str) -> StoredObject | StoreError:
        return await call_with_retries(
            lambda: self._store.get(PARTS, digest),
            self._patience,
            self._random,
        )

    async def _make_room(self, chunk: Chunk) -> Chunk | StoreError:
        if len(chunk.entries) < CHUNK_ENTRIES:
            return chunk
        value = encode_chunk(chunk)
        digest = part_digest(value)
        error = await put_part(
            self._store, PARTS, digest, value, self._patience, self._random
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


def _ids(chunk: Chunk) -> set[str]:
    return {entry.record.record_id for entry in chunk.entries}


def _start(chunk: Chunk) -> int:
    return chunk.count - len(chunk.entries)


def _missing(
    records: tuple[AuditRecord, ...], known: set[str]
) -> tuple[AuditRecord, ...]:
    return tuple(each for each in records if each.record_id not in known)
