"""Check a bundle before a process uses it or offers it to a peer."""

from lacewing_common.bundle import Operator
from lacewing_common.bundle import RolledBundle
from lacewing_common.bundles._parts import contents_of
from lacewing_common.bundles._proof import check_proof
from lacewing_common.bundles._proof import check_proof_after
from lacewing_common.bundles._proof import links_after
from lacewing_common.bundles._proof import TrustLink
from lacewing_common.bundles._reader import BundleReader
from lacewing_common.bundles._sign_off import root_trust
from lacewing_common.document import Document
from lacewing_common.document import DocumentHead
from lacewing_common.document import DocumentKind
from lacewing_common.document import DocumentName
from lacewing_common.document import part_digest
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal

BUNDLE = DocumentName(DocumentKind.BUNDLE, 'bundle')


class BundleValidator:
    """Be the ``DocumentValidator`` of bundles.

    ``remember`` belongs in the ``on_change`` of the documents. Without it a
    key that operators have withdrawn could still sign: its holder would
    offer a proof that ends before the withdrawal, under a higher number, and
    a process would show that number with nobody having rolled it. A process
    that remembers refuses each proof without the changes it has seen.
    """

    def __init__(self, root_operators: tuple[Operator, ...]) -> None:
        self._root = root_trust(root_operators)
        self._link: TrustLink | None = None
        self._number = 0
        self._reader = BundleReader()

    def __call__(self, document: Document) -> Refusal | None:
        """Return why a bundle is not acceptable, or None."""
        refusal = self.check_signatures(document)
        if refusal is not None:
            return refusal
        bundle = self._reader.read(document)
        return bundle if isinstance(bundle, Refusal) else None

    def check_signatures(self, document: Document) -> Refusal | None:
        """Return why a bundle is not what operators rolled, or None."""
        digests = tuple(part_digest(part) for part in document.parts)
        if digests != document.head.parts:
            return _refuse('the parts do not match the digests of the head')
        return self.check_head(document.head)

    def check_head(self, head: DocumentHead) -> Refusal | None:
        """Return why a head is not what operators rolled, or None."""
        if head.document != BUNDLE:
            return _refuse(f'unexpected document {head.document}')
        if self._link is not None and head.version > self._number:
            return check_proof_after(head, self._link)
        return check_proof(head, self._root)

    def assemble(self, document: Document) -> RolledBundle | Refusal:
        """Return the bundle of a document that was let pass."""
        contents = contents_of(document.head.parts)
        if isinstance(contents, Refusal):
            return contents
        bundle = self._reader.read(document)
        if isinstance(bundle, Refusal):
            return bundle
        return RolledBundle(document.head.version, contents.digest, bundle)

    def record_trust(self, document: Document) -> None:
        """Keep the last change of operators of a bundle now in force."""
        links = links_after(document.head, document.parts[0])
        if isinstance(links, Refusal) or document.head.version < self._number:
            return
        self._number = document.head.version
        self._link = links[-1]


def _refuse(message: str) -> Refusal:
    return not_run(Reason.BUNDLE_INVALID, message)
