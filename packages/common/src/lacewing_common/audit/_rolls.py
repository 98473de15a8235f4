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
from lacewing_common.audit._reads import AuditReader
from lacewing_common.rolls import BundleHistory
from lacewing_common.rolls import HistoryEntry
from lacewing_common.rolls import RollError
from lacewing_common.rolls import RollFault
from lacewing_common.store import StoreError

BUNDLE_TRAIL = 'bundle'
_ROLL_ID = 'roll-'


def record_of(roll: HistoryEntry) -> AuditRecord:
    """Derive the record of a roll."""
    action = Action.ROLL_BACK if roll.again else Action.ROLL
    signed_by = ', '.join(roll.signed_by)
    return AuditRecord(
        record_id=f'{_ROLL_ID}{roll.number}-{roll.nonce}',
        who=roll.operator,
        action=action,
        subject=f'bundle, roll {roll.number}, signed by {signed_by}',
        at=roll.at,
        before=roll.previous_bundle,
        after=roll.digest,
    )


async def append_rolls(
    log: AuditLog, trails: AuditReader, bundles: BundleHistory
) -> int | RollError:
    """Enter the last rolls that are not entered; return how many.

    Goes back to the newest roll that is entered. All before it are entered
    as well, since each write brings along what was missing.
    """
    known = await _known_rolls(trails)
    if isinstance(known, RollError):
        return known
    missing = await _missing(bundles, known)
    if isinstance(missing, RollError):
        return missing
    if not missing:
        return 0
    error = await log.append(missing)
    if error is not None:
        return RollError(RollFault.UNAVAILABLE, error.message)
    return len(missing)


async def _known_rolls(trails: AuditReader) -> set[str] | RollError:
    """Return the ids of the newest rolls entered, at least of one."""
    limit = 1
    while True:
        trail = await trails.trail(BUNDLE_TRAIL, limit)
        if isinstance(trail, StoreError):
            return RollError(RollFault.UNAVAILABLE, trail.message)
        if trail.faults:
            return RollError(RollFault.REFUSED, trail.faults[0])
        known: set[str] = set()
        for entry in trail.entries:
            if _is_roll(entry.record):
                known.add(entry.record.record_id)
        if known or trail.is_complete:
            return known
        limit = len(trail.entries) + 1


async def _missing(
    bundles: BundleHistory, known: set[str]
) -> tuple[AuditRecord, ...] | RollError:
    missing: list[AuditRecord] = []
    async for roll in bundles.rolls():
        if isinstance(roll, RollError):
            return roll
        record = record_of(roll)
        if record.record_id in known:
            break
        missing.append(record)
    return tuple(reversed(missing))


def _is_roll(record: AuditRecord) -> bool:
    """Tell rolls in force from those that lost or were refused."""
    return record.record_id.startswith(_ROLL_ID)


def compare_rolls(
    history: tuple[HistoryEntry, ...], entries: tuple[AuditEntry, ...]
) -> tuple[str, ...]:
    """Say how whole trail and whole history of rolls differ."""
    wanted = {record_of(roll).record_id: record_of(roll) for roll in history}
    faults: list[str] = []
    for entry in entries:
        record = entry.record
        if not _is_roll(record):
            continue
        if wanted.pop(record.record_id, None) != record:
            faults.append(
                f'entry {entry.number} tells of {record.subject!r} by'
                f' {record.who!r}, which the signed history does not'
            )
    for record in wanted.values():
        faults.append(f'{record.subject!r} by {record.who!r} is not entered')
    return tuple(faults)
