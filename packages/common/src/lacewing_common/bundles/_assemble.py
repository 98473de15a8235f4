"""Assemble a bundle from the parts of its document."""

from lacewing_common.bundle import RolledBundle
from lacewing_common.bundles._parts import contents_of
from lacewing_common.bundles._parts import join
from lacewing_common.document import Document
from lacewing_common.verdict import Refusal


def assemble(document: Document) -> RolledBundle | Refusal:
    """Assemble the bundle of a document that was validated before."""
    contents = contents_of(document.head.parts)
    if isinstance(contents, Refusal):
        return contents
    bundle = join(document.parts)
    if isinstance(bundle, Refusal):
        return bundle
    return RolledBundle(document.head.version, contents.digest, bundle)
