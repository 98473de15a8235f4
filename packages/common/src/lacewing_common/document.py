"""Define documents that are replicated to every process.

A bundle and each service's placement plan are documents: a head with a
strictly increasing version refers to immutable parts by their SHA-256. The
platform stores the authoritative copy; peers distribute heads and missing
parts.
"""

from collections.abc import Callable
from collections.abc import Mapping
from enum import Enum
from hashlib import sha256
from typing import Protocol

import msgspec

from lacewing_common.verdict import Refusal


class DocumentKind(Enum):
    """List the kinds of documents."""

    BUNDLE = 'bundle'
    PLAN = 'plan'


class DocumentName(msgspec.Struct, frozen=True, array_like=True):
    """Identify a document by its kind and, for plans, the service."""

    kind: DocumentKind
    name: str


class DocumentHead(msgspec.Struct, frozen=True, array_like=True):
    """Identify one version of a document and its parts.

    ``version`` is the number of the roll or the fencing number of the plan;
    ``proof`` is checked by the document's validator, such as a sign-off.
    """

    document: DocumentName
    version: int
    parts: tuple[str, ...]
    proof: bytes = b''


class Document(msgspec.Struct, frozen=True):
    """Hold a head and the bytes of its parts, in the order of the head."""

    head: DocumentHead
    parts: tuple[bytes, ...]


def part_digest(part: bytes) -> str:
    """Return the SHA-256 of a part as 64 hex digits."""
    return sha256(part).hexdigest()


class DocumentValidator(Protocol):
    """Check a document before a process uses it or offers it to a peer."""

    def __call__(self, document: Document) -> Refusal | None:
        """Return why the document is rejected, or None if it is valid."""


class DocumentReader(Protocol):
    """Query the documents stored in this process."""

    def heads(self) -> tuple[DocumentHead, ...]:
        """Return the head of each stored document."""

    def get(self, name: DocumentName) -> Document | None:
        """Return a stored document with all its parts, or None."""

    def part(self, digest: str) -> bytes | None:
        """Return a stored part, or None."""

    def missing(self, head: DocumentHead) -> tuple[str, ...]:
        """Return the digests of a head's parts that are not stored."""


class DocumentWriter(Protocol):
    """Change the documents stored in this process."""

    def accept(
        self, head: DocumentHead, parts: Mapping[str, bytes]
    ) -> bool | Refusal:
        """Store a later version; return false if it is not later."""

    def on_change(
        self, kind: DocumentKind, callback: Callable[[Document], None]
    ) -> None:
        """Register a callback for each accepted version of a kind."""


class DocumentStore(DocumentReader, DocumentWriter, Protocol):
    """Store the document replicas of one process."""
