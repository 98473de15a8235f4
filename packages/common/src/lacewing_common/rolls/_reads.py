"""Read the active bundle and the roll history from the platform."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
from random import Random

import msgspec

from lacewing_common.bundles import BUNDLE
from lacewing_common.bundles import BundleValidator
from lacewing_common.bundles import Proof
from lacewing_common.bundles import read_proof
from lacewing_common.document import Document
from lacewing_common.document import DocumentHead
from lacewing_common.document import part_digest
from lacewing_common.document_objects import decode_head
from lacewing_common.document_objects import head_object
from lacewing_common.document_objects import HEADS
from lacewing_common.document_objects import PARTS
from lacewing_common.retries import call_with_retries
from lacewing_common.retries import RetryPolicy
from lacewing_common.rolls._errors import roll_error_from
from lacewing_common.rolls._errors import RollError
from lacewing_common.rolls._errors import RollFault
from lacewing_common.store import ObjectStore
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault
from lacewing_common.verdict import Refusal

HEAD_NAME = head_object(BUNDLE)
_MAX_CONCURRENT_READS = 16
_NO_HEAD_MESSAGE = 'no bundle has been rolled yet'


@dataclass(frozen=True)
class StoredHead:
    """Hold a head with its proof, encoded bytes and object version.

    ``version`` is 0 for a head that was read from the history.
    """

    head: DocumentHead
    proof: Proof
    value: bytes
    version: int = 0

    @property
    def digest(self) -> str:
        """Return the digest that identifies this head in the history."""
        return part_digest(self.value)


class HistoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one roll: the bundle, its operator and its signers.

    ``again`` is the number of the roll that a rollback repeats, else 0.
    """

    number: int
    digest: str
    operator: str
    at: str
    signed_by: tuple[str, ...]
    again: int
    previous_bundle: str
    nonce: str


class BundleHistory:
    """Query the bundles of the platform; validate each one returned."""

    def __init__(
        self,
        store: ObjectStore,
        validator: BundleValidator,
        retry_policy: RetryPolicy | None = None,
        random: Random | None = None,
    ) -> None:
        self._store = store
        self._validator = validator
        self._retry_policy = retry_policy or RetryPolicy()
        self._random = random or Random()
        self._slots = asyncio.Semaphore(_MAX_CONCURRENT_READS)

    async def head(self) -> StoredHead | RollError:
        """Read the active head without its parts; verify its signatures.

        The signed roll of each head contains the digest of the previous head,
        so that the signatures cover the whole history.
        """
        stored = await self._get(HEADS, HEAD_NAME)
        if isinstance(stored, StoreError):
            if stored.fault is StoreFault.NOT_FOUND:
                return RollError(RollFault.NOT_FOUND, _NO_HEAD_MESSAGE)
            return roll_error_from(stored, 'the head of the bundle')
        read = _read_head(stored.value, stored.version)
        if isinstance(read, RollError):
            return read
        refusal = self._validator.check_head(read.head)
        if refusal is not None:
            return RollError(RollFault.REFUSED, refusal.message)
        return read

    async def document(self, stored: StoredHead) -> Document | RollError:
        """Read the parts of a head and validate the document."""
        document = await self.signed_document(stored)
        if isinstance(document, RollError):
            return document
        refusal = self._validator(document)
        if refusal is not None:
            return RollError(RollFault.REFUSED, refusal.message)
        return document

    async def signed_document(
        self, stored: StoredHead
    ) -> Document | RollError:
        """Read the parts of a head and verify only the signatures.

        This lets operators replace an invalid bundle, for example one that
        passed the checks of an earlier release.
        """
        calls = [self._read_part(digest) for digest in stored.head.parts]
        parts: list[bytes] = []
        for part in await asyncio.gather(*calls):
            if isinstance(part, RollError):
                return part
            parts.append(part)
        document = Document(stored.head, tuple(parts))
        refusal = self._validator.check_signatures(document)
        if refusal is not None:
            return RollError(RollFault.REFUSED, refusal.message)
        return document

    async def trust(
        self, stored: StoredHead, known: bytes = b''
    ) -> bytes | RollError:
        """Read the trust part of a head.

        ``known`` is a part that the caller has; it is returned without a
        read if its digest matches.
        """
        if part_digest(known) == stored.head.parts[0]:
            return known
        return await self._read_part(stored.head.parts[0])

    async def head_at(self, number: int) -> StoredHead | RollError:
        """Read the head of one roll by following the chain backwards."""
        stored = await self.head()
        while isinstance(stored, StoredHead):
            if stored.head.version == number:
                return stored
            if stored.head.version < number or not stored.proof.roll.previous:
                return RollError(
                    RollFault.NOT_FOUND, f'there is no roll {number}'
                )
            stored = await self.previous_head(stored)
        return stored

    async def head_after(self, number: int) -> StoredHead | RollError:
        """Read the head that replaced the head of roll ``number``.

        Numbers may have gaps, see ``RollOrder.above``.
        """
        stored = await self.head()
        next_head: StoredHead | None = None
        while isinstance(stored, StoredHead) and stored.head.version > number:
            next_head = stored
            if not stored.proof.roll.previous:
                break
            stored = await self.previous_head(stored)
        if isinstance(stored, RollError):
            return stored
        if next_head is None:
            return RollError(
                RollFault.NOT_FOUND, f'there is no roll after {number}'
            )
        return next_head

    async def previous_head(
        self, stored: StoredHead
    ) -> StoredHead | RollError:
        """Read the head that the given head replaced."""
        value = await self._read_part(stored.proof.roll.previous)
        if isinstance(value, RollError):
            return value
        return _read_head(value, 0)

    async def rolls(self) -> AsyncIterator[HistoryEntry | RollError]:
        """Yield all rolls, newest first; a read error ends the sequence."""
        stored = await self.head()
        if isinstance(stored, RollError):
            if stored.fault is not RollFault.NOT_FOUND:
                yield stored
            return
        while isinstance(stored, StoredHead):
            yield _history_entry(stored)
            if not stored.proof.roll.previous:
                return
            stored = await self.previous_head(stored)
        yield stored

    async def history(
        self, limit: int
    ) -> tuple[HistoryEntry, ...] | RollError:
        """Read the last rolls, newest first."""
        entries: list[HistoryEntry] = []
        async for entry in self.rolls():
            if isinstance(entry, RollError):
                return entry
            entries.append(entry)
            if len(entries) >= limit:
                break
        return tuple(entries)

    async def _read_part(self, digest: str) -> bytes | RollError:
        stored = await self._get(PARTS, digest)
        if isinstance(stored, StoreError):
            return roll_error_from(stored, f'part {digest}')
        if part_digest(stored.value) != digest:
            return RollError(
                RollFault.REFUSED, f'the part {digest} was tampered with'
            )
        return stored.value

    async def _get(self, kind: str, name: str) -> StoredObject | StoreError:
        async with self._slots:
            return await call_with_retries(
                lambda: self._store.get(kind, name),
                self._retry_policy,
                self._random,
            )


def _read_head(value: bytes, version: int) -> StoredHead | RollError:
    head = decode_head(value)
    if head is None:
        return RollError(RollFault.REFUSED, 'the head is malformed')
    proof = read_proof(head)
    if isinstance(proof, Refusal):
        return RollError(RollFault.REFUSED, proof.message)
    return StoredHead(head, proof, value, version)


def _history_entry(stored: StoredHead) -> HistoryEntry:
    roll = stored.proof.roll
    return HistoryEntry(
        number=roll.number,
        digest=roll.digest,
        operator=roll.operator,
        at=roll.at,
        signed_by=tuple(each.operator for each in stored.proof.sign_offs),
        again=roll.again,
        previous_bundle=roll.previous_bundle,
        nonce=roll.nonce,
    )
