"""Read documents from the platform's store."""

import asyncio
from random import Random

from lacewing_common.backoff import Backoff
from lacewing_common.document import DocumentHead
from lacewing_common.document import DocumentName
from lacewing_common.document_objects import decode_head
from lacewing_common.document_objects import head_object
from lacewing_common.document_objects import HEADS
from lacewing_common.document_objects import PARTS
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.store import ObjectReads
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault

from lacewing_daemon.peers._replicas import DocumentReplicas

_MAX_CONCURRENT_READS = 8
_RETRY_BASE_S = 0.5
_RETRY_CAP_S = 4.0

_log = get_log(Part.PLATFORM)


class DocumentWatcher:
    """Read new heads of documents and their missing parts."""

    def __init__(
        self, platform: ObjectReads, replicas: DocumentReplicas, rng: Random
    ) -> None:
        self._platform = platform
        self._replicas = replicas
        self._rng = rng
        self._read_slots = asyncio.Semaphore(_MAX_CONCURRENT_READS)

    async def read(self, name: DocumentName) -> None:
        """Read a document once."""
        answer = await self._platform.get(HEADS, head_object(name))
        if isinstance(answer, StoredObject):
            await self._apply(name, answer)

    async def watch(self, name: DocumentName) -> None:
        """Watch a document until cancelled."""
        failing = False
        watch = self._platform.watch(HEADS, head_object(name), 0)
        async for change in watch:
            if isinstance(change, StoredObject):
                failing = False
                await self._apply_with_retries(name, change)
                continue
            if change.fault is StoreFault.NOT_FOUND or failing:
                continue
            failing = True
            _log.warning(
                'Cannot read the document head.', error=change.message
            )

    async def _apply_with_retries(
        self, name: DocumentName, change: StoredObject
    ) -> None:
        """Apply a head; retry with backoff while its parts cannot be read.

        The watch returns each head once. Without retries the document would
        wait for the next roll if the other readers failed too.
        """
        backoff = Backoff(_RETRY_BASE_S, _RETRY_CAP_S, self._rng)
        while not await self._apply(name, change):
            await asyncio.sleep(backoff.next_s())

    async def _apply(self, name: DocumentName, change: StoredObject) -> bool:
        """Apply a head; return false if it should be retried."""
        head = decode_head(change.value)
        if head is None or head.document != name:
            _log.warning('The document head is invalid.', document=name.name)
            return True
        if head.version <= self._replicas.version(name):
            return True
        parts = await self._read_parts(head)
        if parts is None:
            return False
        self._replicas.accept(head, parts)
        return True

    async def _read_parts(self, head: DocumentHead) -> dict[str, bytes] | None:
        missing = self._replicas.missing(head)
        answers = await asyncio.gather(
            *[self._read_part(digest) for digest in missing]
        )
        parts: dict[str, bytes] = {}
        for digest, answer in zip(missing, answers, strict=True):
            if isinstance(answer, StoreError):
                return None
            parts[digest] = answer.value
        return parts

    async def _read_part(self, digest: str) -> StoredObject | StoreError:
        async with self._read_slots:
            return await self._platform.get(PARTS, digest)
