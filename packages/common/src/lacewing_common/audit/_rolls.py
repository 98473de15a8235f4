"""Derive the audit entries of rolls from the history of the bundle.

A roll takes effect with the write of the head, and its entry is a second
write. A crash in between leaves a change in force that the trail does not
tell of. The head names who rolled what, when and over what, signed; so the
entry can be made from it at any time, by anyone, with the same id.
"""

from lacewing_common.audit._entries import Action
from lacewing_common.audit._entries import AuditEntry
from lacewing_common.audit._entries import AuditRecord
from lacewing_common.audit._log import AuditLog
from lacewing_common.audit._reads import AuditReads
from lacewing_common.rolls import BundleReads
from lacewing_common.rolls import HistoryEntry
from lacewing_common.rolls import RollError
from lacewing_common.rolls import RollFault
from lacewing_common.store import StoreError

BUNDLE_TRAIL = 'bundle'
_LOOK_BACK = 64


def record_of(roll: HistoryEntry) -> AuditRecord:
    """Derive the record of a roll."""
    action = Action.ROLL_BACK if roll.again else Action.ROLL
    signed_by = ', '.join(roll.signed_by)
    return AuditRecord(
        record_id=f'roll-{roll.number}-{roll.nonce}',
        who=roll.operator,
        action=action,
        subject=f'bundle, roll {roll.number}, signed by {signed_by}',
        at=roll.at,
        before=roll.previous_bundle,
        after=roll.digest,
    )


async def enter_rolls(
    log: AuditLog,
    trails: AuditReads,
    bundles: BundleReads,
    look_back: int = _LOOK_BACK,
) -> int | RollError:
    """Enter the last rolls that are not entered; return how many."""
    history = await bundles.history(look_back)
    if isinstance(history, RollError):
        return history
    trail = await trails.trail(BUNDLE_TRAIL, look_back)
    if isinstance(trail, StoreError):
        return RollError(RollFault.UNAVAILABLE, trail.message)
    missing = _missing(history, trail.entries)
    if not missing:
        return 0
    error = await log.append(missing)
    if error is not None:
        return RollError(RollFault.UNAVAILABLE, error.message)
    return len(missing)


def compare_rolls(
    history: tuple[HistoryEntry, ...], entries: tuple[AuditEntry, ...]
) -> tuple[str, ...]:
    """Say how whole trail and whole history of rolls differ."""
    wanted = {record_of(roll).record_id: record_of(roll) for roll in history}
    faults: list[str] = []
    for entry in entries:
        record = entry.record
        if record.action not in (Action.ROLL, Action.ROLL_BACK):
            continue
        if not record.record_id.startswith('roll-'):
            continue
        if wanted.pop(record.record_id, None) != record:
            faults.append(
                f'entry {entry.number} tells of {record.subject!r} by'
                f' {record.who!r}, which the signed history does not'
            )
    for record in wanted.values():
        faults.append(f'{record.subject!r} by {record.who!r} is not entered')
    return tuple(faults)


def _missing(
    history: tuple[HistoryEntry, ...], entries: tuple[AuditEntry, ...]
) -> tuple[AuditRecord, ...]:
    known = {entry.record.record_id for entry in entries}
    missing: list[AuditRecord] = []
    for roll in reversed(history):
        record = record_of(roll)
        if record.record_id not in known:
            missing.append(record)
    return tuple(missing)
