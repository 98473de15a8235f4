"""Store the validated documents of this process by increasing version."""

from collections.abc import Callable
from collections.abc import Mapping

import msgspec
import xxhash
from lacewing_common.document import Document
from lacewing_common.document import DocumentHead
from lacewing_common.document import DocumentKind
from lacewing_common.document import DocumentName
from lacewing_common.document import DocumentValidator
from lacewing_common.document import part_digest
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_common.wire_peers import HeadNote

_log = get_log(Part.BUNDLE)


class DocumentReplicas:
    """Implement ``DocumentStore``.

    A document that its validator refuses is neither used nor offered to
    peers: otherwise one process with an invalid document would spread it
    through the fleet.
    """

    def __init__(
        self, validators: Mapping[DocumentKind, DocumentValidator]
    ) -> None:
        self._validators = validators
        self._documents: dict[DocumentName, Document] = {}
        self._parts: dict[str, bytes] = {}
        self._callbacks: list[
            tuple[DocumentKind, Callable[[Document], None]]
        ] = []
        self._accept_callbacks: list[Callable[[DocumentHead], None]] = []

    @property
    def hash(self) -> int:
        """Return a hash over the versions of all stored documents."""
        return xxhash.xxh3_64_intdigest(
            msgspec.msgpack.encode(self.head_notes())
        )

    def head_notes(self) -> tuple[HeadNote, ...]:
        """Return the version of each stored document, in a fixed order."""
        found: list[HeadNote] = []
        for head in self.heads():
            found.append(HeadNote(head.document, head.version))
        found.sort(key=_head_note_key)
        return tuple(found)

    def version(self, name: DocumentName) -> int:
        """Return the stored version of a document, 0 for none."""
        stored = self._documents.get(name)
        return 0 if stored is None else stored.head.version

    def heads(self) -> tuple[DocumentHead, ...]:
        """Return the head of each stored document."""
        return tuple(stored.head for stored in self._documents.values())

    def get(self, name: DocumentName) -> Document | None:
        """Return a stored document with all its parts."""
        return self._documents.get(name)

    def part(self, digest: str) -> bytes | None:
        """Return a stored part."""
        return self._parts.get(digest)

    def missing(self, head: DocumentHead) -> tuple[str, ...]:
        """Return the digests of a head's parts that are not stored."""
        return tuple(
            digest
            for digest in dict.fromkeys(head.parts)
            if digest not in self._parts
        )

    def accept(
        self, head: DocumentHead, parts: Mapping[str, bytes]
    ) -> bool | Refusal:
        """Store a newer version; return false if it is not newer."""
        if head.version <= self.version(head.document):
            return False
        document = self._assemble(head, parts)
        if isinstance(document, Refusal):
            return document
        refusal = self._validate(document)
        if refusal is not None:
            _log.warning(
                'Document refused.',
                document=head.document.name,
                version=head.version,
                error=refusal.message,
            )
            return refusal
        self._store(document)
        return True

    def on_change(
        self, kind: DocumentKind, callback: Callable[[Document], None]
    ) -> None:
        """Register a callback for accepted versions of a kind."""
        self._callbacks.append((kind, callback))

    def on_accept(self, callback: Callable[[DocumentHead], None]) -> None:
        """Register a callback for accepted versions of any kind."""
        self._accept_callbacks.append(callback)

    def _assemble(
        self, head: DocumentHead, parts: Mapping[str, bytes]
    ) -> Document | Refusal:
        found: list[bytes] = []
        for digest in head.parts:
            part = self._parts.get(digest)
            if part is None:
                part = parts.get(digest)
            if part is None:
                return _make_refusal(head, f'expected part {digest}, got none')
            if digest not in self._parts and part_digest(part) != digest:
                return _make_refusal(
                    head,
                    f'expected a part of digest {digest},'
                    f' got {part_digest(part)}',
                )
            found.append(part)
        return Document(head, tuple(found))

    def _validate(self, document: Document) -> Refusal | None:
        validate = self._validators.get(document.head.document.kind)
        if validate is None:
            return _make_refusal(
                document.head, 'no guard is set for this kind'
            )
        return validate(document)

    def _store(self, document: Document) -> None:
        head = document.head
        self._documents[head.document] = document
        self._discard_unused_parts()
        _log.info(
            'Document accepted.',
            document=head.document.name,
            version=head.version,
        )
        for kind, callback in self._callbacks:
            if kind is head.document.kind:
                callback(document)
        for accept_callback in self._accept_callbacks:
            accept_callback(head)

    def _discard_unused_parts(self) -> None:
        """Discard the parts that no stored document refers to."""
        parts: dict[str, bytes] = {}
        for stored in self._documents.values():
            parts.update(zip(stored.head.parts, stored.parts, strict=True))
        self._parts = parts


def _head_note_key(note: HeadNote) -> tuple[str, str]:
    return (note.document.kind.value, note.document.name)


def _make_refusal(head: DocumentHead, problem: str) -> Refusal:
    return not_run(
        Reason.BAD_REQUEST,
        f'{head.document.name} version {head.version}: {problem}',
    )
