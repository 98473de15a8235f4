"""Derive the audit entries of rolls from the roll history.

A roll takes effect when its head is written; its audit entry is a second
write. After a crash in between, the active roll is missing in the trail. The
signed head contains the operator, the time, the bundle and the replaced one,
so that any process can create the entry later, with the same id.
"""

from lacewing_common.audit._entries import Action
from lacewing_common.audit._entries import AuditEntry
from lacewing_common.audit._entries import AuditRecord
from lacewing_common.audit._log import AuditLog
from lacewing_common.audit._reads import AuditReader
from lacewing_common.rolls import BundleHistory
from lacewing_common.rolls import HistoryEntry
from lacewing_common.rolls import RollError
from lacewing_common.rolls import RollFault
from lacewing_common.store import StoreError

BUNDLE_TRAIL = 'bundle'
_ROLL_ID_PREFIX = 'roll-'


def record_of(roll: HistoryEntry) -> AuditRecord:
    """Derive the audit record of a roll."""
    action = Action.ROLL_BACK if roll.again else Action.ROLL
    signed_by = ', '.join(roll.signed_by)
    return AuditRecord(
        record_id=f'{_ROLL_ID_PREFIX}{roll.number}-{roll.nonce}',
        who=roll.operator,
        action=action,
        subject=f'bundle, roll {roll.number}, signed by {signed_by}',
        at=roll.at,
        before=roll.previous_bundle,
        after=roll.digest,
    )


async def append_rolls(
    log: AuditLog, reader: AuditReader, bundle_history: BundleHistory
) -> int | RollError:
    """Append the records of the latest missing rolls; return how many.

    The search stops at the newest roll in the trail. All rolls before it are
    in the trail too, since each write includes the missing ones.
    """
    known_ids = await _recorded_roll_ids(reader)
    if isinstance(known_ids, RollError):
        return known_ids
    missing = await _missing_records(bundle_history, known_ids)
    if isinstance(missing, RollError):
        return missing
    if not missing:
        return 0
    error = await log.append(missing)
    if error is not None:
        return RollError(RollFault.UNAVAILABLE, error.message)
    return len(missing)


async def _recorded_roll_ids(reader: AuditReader) -> set[str] | RollError:
    """Return the ids of the newest recorded rolls, at least one."""
    limit = 1
    while True:
        trail = await reader.trail(BUNDLE_TRAIL, limit)
        if isinstance(trail, StoreError):
            return RollError(RollFault.UNAVAILABLE, trail.message)
        if trail.faults:
            return RollError(RollFault.REFUSED, trail.faults[0])
        known_ids: set[str] = set()
        for entry in trail.entries:
            if _is_roll(entry.record):
                known_ids.add(entry.record.record_id)
        if known_ids or trail.is_complete:
            return known_ids
        limit = len(trail.entries) + 1


async def _missing_records(
    bundle_history: BundleHistory, known_ids: set[str]
) -> tuple[AuditRecord, ...] | RollError:
    missing: list[AuditRecord] = []
    async for roll in bundle_history.rolls():
        if isinstance(roll, RollError):
            return roll
        record = record_of(roll)
        if record.record_id in known_ids:
            break
        missing.append(record)
    return tuple(reversed(missing))


def _is_roll(record: AuditRecord) -> bool:
    """Return whether a record is of a roll that took effect."""
    return record.record_id.startswith(_ROLL_ID_PREFIX)


def compare_rolls(
    history: tuple[HistoryEntry, ...], entries: tuple[AuditEntry, ...]
) -> tuple[str, ...]:
    """Describe the differences between a complete trail and history."""
    expected = {record_of(roll).record_id: record_of(roll) for roll in history}
    faults: list[str] = []
    for entry in entries:
        record = entry.record
        if not _is_roll(record):
            continue
        if expected.pop(record.record_id, None) != record:
            faults.append(
                f'entry {entry.number} tells of {record.subject!r} by'
                f' {record.who!r}, which the signed history does not'
            )
    for record in expected.values():
        faults.append(f'{record.subject!r} by {record.who!r} is not entered')
    return tuple(faults)
