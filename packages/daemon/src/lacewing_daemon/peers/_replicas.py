"""Hold the documents of this process: verified, whole, only ever newer."""

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
    """Implement ``Documents``.

    A document that its guard refuses is neither used nor offered: else one
    process with a wrong document would spread it over the fleet.
    """

    def __init__(
        self, guards: Mapping[DocumentKind, DocumentValidator]
    ) -> None:
        self._guards = guards
        self._documents: dict[DocumentName, Document] = {}
        self._parts: dict[str, bytes] = {}
        self._callbacks: list[
            tuple[DocumentKind, Callable[[Document], None]]
        ] = []
        self._listeners: list[Callable[[DocumentHead], None]] = []

    @property
    def hash(self) -> int:
        """Return a hash over the versions of all documents held."""
        return xxhash.xxh3_64_intdigest(
            msgspec.msgpack.encode(self.head_notes())
        )

    def head_notes(self) -> tuple[HeadNote, ...]:
        """Return the version of each document held, in a fixed order."""
        found: list[HeadNote] = []
        for head in self.heads():
            found.append(HeadNote(head.document, head.version))
        found.sort(key=_note_order)
        return tuple(found)

    def version(self, name: DocumentName) -> int:
        """Return the version held, 0 for none."""
        held = self._documents.get(name)
        return 0 if held is None else held.head.version

    def heads(self) -> tuple[DocumentHead, ...]:
        """Return the head of each document held."""
        return tuple(held.head for held in self._documents.values())

    def get(self, name: DocumentName) -> Document | None:
        """Return a document held, whole."""
        return self._documents.get(name)

    def part(self, digest: str) -> bytes | None:
        """Return a part held."""
        return self._parts.get(digest)

    def missing(self, head: DocumentHead) -> tuple[str, ...]:
        """Return the digests of a head's parts that are not held."""
        return tuple(
            digest
            for digest in dict.fromkeys(head.parts)
            if digest not in self._parts
        )

    def accept(
        self, head: DocumentHead, parts: Mapping[str, bytes]
    ) -> bool | Refusal:
        """Take a newer version; false when it is not newer."""
        if head.version <= self.version(head.document):
            return False
        document = self._assemble(head, parts)
        if isinstance(document, Refusal):
            return document
        refusal = self._check(document)
        if refusal is not None:
            _log.warning(
                'Document refused.',
                document=head.document.name,
                version=head.version,
                error=refusal.message,
            )
            return refusal
        self._install(document)
        return True

    def on_change(
        self, kind: DocumentKind, callback: Callable[[Document], None]
    ) -> None:
        """Call back after each accepted version of a kind."""
        self._callbacks.append((kind, callback))

    def on_accept(self, listener: Callable[[DocumentHead], None]) -> None:
        """Call back after each accepted version of any kind."""
        self._listeners.append(listener)

    def _assemble(
        self, head: DocumentHead, parts: Mapping[str, bytes]
    ) -> Document | Refusal:
        found: list[bytes] = []
        for digest in head.parts:
            part = self._parts.get(digest)
            if part is None:
                part = parts.get(digest)
            if part is None:
                return _refuse(head, f'expected part {digest}, got none')
            if digest not in self._parts and part_digest(part) != digest:
                return _refuse(
                    head,
                    f'expected a part of digest {digest},'
                    f' got {part_digest(part)}',
                )
            found.append(part)
        return Document(head, tuple(found))

    def _check(self, document: Document) -> Refusal | None:
        guard = self._guards.get(document.head.document.kind)
        if guard is None:
            return _refuse(document.head, 'no guard is set for this kind')
        return guard(document)

    def _install(self, document: Document) -> None:
        head = document.head
        self._documents[head.document] = document
        self._collect_parts()
        _log.info(
            'Document accepted.',
            document=head.document.name,
            version=head.version,
        )
        for kind, callback in self._callbacks:
            if kind is head.document.kind:
                callback(document)
        for listener in self._listeners:
            listener(head)

    def _collect_parts(self) -> None:
        """Keep the parts of the documents held, and no others."""
        parts: dict[str, bytes] = {}
        for held in self._documents.values():
            parts.update(zip(held.head.parts, held.parts, strict=True))
        self._parts = parts


def _note_order(note: HeadNote) -> tuple[str, str]:
    return (note.document.kind.value, note.document.name)


def _refuse(head: DocumentHead, problem: str) -> Refusal:
    return not_run(
        Reason.BAD_REQUEST,
        f'{head.document.name} version {head.version}: {problem}',
    )
