"""Validate a bundle before it is used or offered to a peer."""

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
    """Implement ``DocumentValidator`` for bundles.

    Call ``record_trust`` from the ``on_change`` of the documents. Without it,
    a revoked operator key could still sign: its holder could offer a proof
    that ends before the revocation, under a higher number, and a process
    would report a number that nobody has rolled. With it, a process refuses
    each proof that lacks the operator changes it has seen.
    """

    def __init__(self, root_operators: tuple[Operator, ...]) -> None:
        self._root = root_trust(root_operators)
        self._last_link: TrustLink | None = None
        self._last_number = 0
        self._reader = BundleReader()

    def __call__(self, document: Document) -> Refusal | None:
        """Return the reason to refuse a bundle, or None."""
        refusal = self.check_signatures(document)
        if refusal is not None:
            return refusal
        bundle = self._reader.read(document)
        return bundle if isinstance(bundle, Refusal) else None

    def check_signatures(self, document: Document) -> Refusal | None:
        """Return a refusal if operators did not roll the bundle."""
        digests = tuple(part_digest(part) for part in document.parts)
        if digests != document.head.parts:
            return _invalid_bundle(
                'the parts do not match the digests of the head'
            )
        return self.check_head(document.head)

    def check_head(self, head: DocumentHead) -> Refusal | None:
        """Return a refusal if operators did not roll the head."""
        if head.document != BUNDLE:
            return _invalid_bundle(f'unexpected document {head.document}')
        if self._last_link is not None and head.version > self._last_number:
            return check_proof_after(head, self._last_link)
        return check_proof(head, self._root)

    def assemble(self, document: Document) -> RolledBundle | Refusal:
        """Return the bundle of a document that was validated before."""
        contents = contents_of(document.head.parts)
        if isinstance(contents, Refusal):
            return contents
        bundle = self._reader.read(document)
        if isinstance(bundle, Refusal):
            return bundle
        return RolledBundle(document.head.version, contents.digest, bundle)

    def record_trust(self, document: Document) -> None:
        """Remember the last operator change of the active bundle."""
        links = links_after(document.head, document.parts[0])
        if (
            isinstance(links, Refusal)
            or document.head.version < self._last_number
        ):
            return
        self._last_number = document.head.version
        self._last_link = links[-1]


def _invalid_bundle(message: str) -> Refusal:
    return not_run(Reason.BUNDLE_INVALID, message)
