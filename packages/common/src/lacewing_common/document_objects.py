"""Map documents to objects of the platform.

Parts are immutable objects named by their digest; the head of a document is
a single object that is replaced only by conditional updates.
"""

import msgspec

from lacewing_common.decode_errors import DECODE_ERRORS
from lacewing_common.document import DocumentHead
from lacewing_common.document import DocumentKind
from lacewing_common.document import DocumentName

HEADS = 'heads'
PARTS = 'parts'


def head_object(document: DocumentName) -> str:
    """Return the object name of a document's head."""
    if document.kind is DocumentKind.BUNDLE:
        return document.name
    return f'{document.kind.value}-{document.name}'


def encode_head(head: DocumentHead) -> bytes:
    """Encode a head as the value of its object."""
    return msgspec.json.encode(head)


def decode_head(value: bytes) -> DocumentHead | None:
    """Decode the value of a head's object; None if it is malformed."""
    try:
        return msgspec.json.decode(value, type=DocumentHead)
    except DECODE_ERRORS:
        return None
