"""Read a service's plan from the platform."""

from lacewing_common.document import Document
from lacewing_common.document_objects import decode_head
from lacewing_common.document_objects import head_object
from lacewing_common.document_objects import HEADS
from lacewing_common.document_objects import PARTS
from lacewing_common.plan import plan_name
from lacewing_common.store import ObjectReads
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault


async def read_plan_document(
    store: ObjectReads, service: str
) -> Document | None | StoreError:
    """Read the active plan; None if there is none."""
    stored = await store.get(HEADS, head_object(plan_name(service)))
    if isinstance(stored, StoreError):
        if stored.fault is StoreFault.NOT_FOUND:
            return None
        return stored
    head = decode_head(stored.value)
    if head is None:
        return None
    parts: list[bytes] = []
    for digest in head.parts:
        part = await store.get(PARTS, digest)
        if isinstance(part, StoreError):
            return part
        parts.append(part.value)
    return Document(head, tuple(parts))
