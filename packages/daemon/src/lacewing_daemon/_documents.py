"""Check the documents that this process may use, and read them."""

from lacewing_common.bundle import RolledBundle
from lacewing_common.bundles import contents_of_parts
from lacewing_common.bundles import join
from lacewing_common.document import Document
from lacewing_common.verdict import Refusal


def assemble_bundle(document: Document) -> RolledBundle | Refusal:
    """Put a bundle together from its parts."""
    bundle = join(document.parts)
    if isinstance(bundle, Refusal):
        return bundle
    digest = contents_of_parts(document.parts).digest
    return RolledBundle(document.head.version, digest, bundle)
