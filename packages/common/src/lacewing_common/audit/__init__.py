"""Keep an append-only, hash-chained audit trail in the platform."""

from lacewing_common.audit._buffer import AuditBuffer
from lacewing_common.audit._entries import Action
from lacewing_common.audit._entries import AuditEntry
from lacewing_common.audit._entries import AuditRecord
from lacewing_common.audit._log import AUDIT
from lacewing_common.audit._log import AuditLog
from lacewing_common.audit._log import CHUNK_ENTRIES
from lacewing_common.audit._reads import AuditReader
from lacewing_common.audit._reads import AuditTrail
from lacewing_common.audit._rolls import append_rolls
from lacewing_common.audit._rolls import BUNDLE_TRAIL
from lacewing_common.audit._rolls import compare_rolls
from lacewing_common.audit._rolls import record_of

__all__ = [
    'AUDIT',
    'Action',
    'AuditBuffer',
    'AuditEntry',
    'AuditLog',
    'AuditReader',
    'AuditRecord',
    'BUNDLE_TRAIL',
    'CHUNK_ENTRIES',
    'AuditTrail',
    'compare_rolls',
    'append_rolls',
    'record_of',
]
