"""Describe documents that every process keeps a replica of.

A bundle and each service's placement plan are documents: a head with a
strictly growing version names immutable parts by their SHA-256. The platform
holds the authoritative copy; peers pass heads and missing parts on.
"""

from collections.abc import Callable
from collections.abc import Mapping
from enum import Enum
from hashlib import sha256
from typing import Protocol

import msgspec

from lacewing_common.verdict import Refusal


class DocumentKind(Enum):
    """Tell what a document holds."""

    BUNDLE = 'bundle'
    PLAN = 'plan'


class DocumentName(msgspec.Struct, frozen=True, array_like=True):
    """Name a document: its kind and, for plans, the service."""

    kind: DocumentKind
    name: str


class DocumentHead(msgspec.Struct, frozen=True, array_like=True):
    """Name one version of a document and the parts it consists of.

    ``version`` is the number of the roll or the fencing number of the plan;
    ``proof`` is what the document's guard checks, such as a sign-off.
    """

    document: DocumentName
    version: int
    parts: tuple[str, ...]
    proof: bytes = b''


class Document(msgspec.Struct, frozen=True):
    """Hold a head with the bytes of its parts, in the head's order."""

    head: DocumentHead
    parts: tuple[bytes, ...]


def part_digest(part: bytes) -> str:
    """Return the SHA-256 of a part as 64 hex digits."""
    return sha256(part).hexdigest()


class DocumentValidator(Protocol):
    """Check a document before a process uses it or offers it to a peer."""

    def __call__(self, document: Document) -> Refusal | None:
        """Return why the document is not acceptable, or None."""


class DocumentReader(Protocol):
    """Query the documents that this process holds."""

    def heads(self) -> tuple[DocumentHead, ...]:
        """Return the head of each document held."""

    def get(self, name: DocumentName) -> Document | None:
        """Return a document held, whole."""

    def part(self, digest: str) -> bytes | None:
        """Return a part held."""

    def missing(self, head: DocumentHead) -> tuple[str, ...]:
        """Return the digests of a head's parts that are not held."""


class DocumentWriter(Protocol):
    """Change the documents that this process holds."""

    def accept(
        self, head: DocumentHead, parts: Mapping[str, bytes]
    ) -> bool | Refusal:
        """Take a newer version; false when it is not newer."""

    def on_change(
        self, kind: DocumentKind, callback: Callable[[Document], None]
    ) -> None:
        """Call back after each accepted version of a kind."""


class DocumentStore(DocumentReader, DocumentWriter, Protocol):
    """Hold the replicas of one process."""
