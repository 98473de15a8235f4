"""Read documents from the platform."""

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

_PARTS_AT_ONCE = 8
_RETRY_BASE_S = 0.5
_RETRY_CAP_S = 4.0

_log = get_log(Part.PLATFORM)


class DocumentWatcher:
    """Take each new head of a document, and the parts it lacks."""

    def __init__(
        self, platform: ObjectReads, replicas: DocumentReplicas, rng: Random
    ) -> None:
        self._platform = platform
        self._replicas = replicas
        self._rng = rng
        self._slots = asyncio.Semaphore(_PARTS_AT_ONCE)

    async def read(self, name: DocumentName) -> None:
        """Read a document once."""
        answer = await self._platform.get(HEADS, head_object(name))
        if isinstance(answer, StoredObject):
            await self._take(name, answer)

    async def watch(self, name: DocumentName) -> None:
        """Watch a document until cancelled."""
        failing = False
        watch = self._platform.watch(HEADS, head_object(name), 0)
        async for change in watch:
            if isinstance(change, StoredObject):
                failing = False
                await self._take_surely(name, change)
                continue
            if change.fault is StoreFault.NOT_FOUND or failing:
                continue
            failing = True
            _log.warning('Head not read.', error=change.message)

    async def _take_surely(
        self, name: DocumentName, change: StoredObject
    ) -> None:
        """Try again while parts cannot be read.

        The watch tells each head once: given up, the document would have to
        wait for the next roll if the other readers failed too.
        """
        backoff = Backoff(_RETRY_BASE_S, _RETRY_CAP_S, self._rng)
        while not await self._take(name, change):
            await asyncio.sleep(backoff.next_s())

    async def _take(self, name: DocumentName, change: StoredObject) -> bool:
        """Take a head; false if it is worth another try."""
        head = decode_head(change.value)
        if head is None or head.document != name:
            _log.warning('Expected a head.', document=name.name)
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
        async with self._slots:
            return await self._platform.get(PARTS, digest)
