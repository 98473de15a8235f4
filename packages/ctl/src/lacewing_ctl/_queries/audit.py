"""Show the audit trail and verify its integrity."""

import sys

import msgspec
from lacewing_common.audit import AuditEntry
from lacewing_common.audit import AuditTrail
from lacewing_common.audit import BUNDLE_TRAIL
from lacewing_common.audit import compare_rolls
from lacewing_common.exits import Exit
from lacewing_common.rolls import RollError
from lacewing_common.store import StoreError
from tabulate import tabulate

from lacewing_ctl._exit import print_status
from lacewing_ctl._profile import find_profile
from lacewing_ctl._session import in_session
from lacewing_ctl._session import Session

_RETRY_LIMIT_S = 10.0
_NO_LIMIT = 0
_MAX_ROLLS = 1_000_000
_HEADERS = ('trail', 'entry', 'at', 'who', 'what', 'on', 'result')


class AuditReport(msgspec.Struct, frozen=True):
    """Hold the trails and their faults for ``--json``."""

    trails: dict[str, tuple[AuditEntry, ...]]
    faults: tuple[str, ...]


def audit(
    trail: str = '', limit: int = 50, json: bool = False, profile: str = ''
) -> None:
    """Show the last changes; verify them; exit code 10 if they were changed.

    Args:
        trail: the name of one trail; all, if not given.
        limit: how many entries of each trail; 0: all, and the trail of the
            bundle is compared with the signed history of rolls.
        json: print JSON in place of a table.
        profile: the operator's profile.
    """

    async def work(session: Session) -> AuditReport | RollError | StoreError:
        return await _read(session, str(trail), limit)

    report = in_session(find_profile(profile), _RETRY_LIMIT_S, work)
    if json:
        print(msgspec.json.encode(report).decode())
    else:
        print(_table(report))
        for fault in report.faults:
            print_status(fault)
    sys.exit(Exit.TAMPERED if report.faults else Exit.OK)


async def _read(
    session: Session, name: str, limit: int
) -> AuditReport | RollError | StoreError:
    names: tuple[str, ...] | StoreError = (name,)
    if not name:
        names = await session.audit_reader.names()
    if isinstance(names, StoreError):
        return names
    trails: dict[str, tuple[AuditEntry, ...]] = {}
    faults: list[str] = []
    for each in names:
        read = await session.audit_reader.trail(each, limit)
        if isinstance(read, StoreError):
            return read
        trails[each] = read.entries
        if limit:
            trails[each] = read.entries[-limit:]
        faults.extend(f'trail {each!r}: {fault}' for fault in read.faults)
        if limit == _NO_LIMIT and each == BUNDLE_TRAIL:
            compared = await _compare(session, read)
            if isinstance(compared, RollError):
                return compared
            faults.extend(compared)
    return AuditReport(trails, tuple(faults))


async def _compare(
    session: Session, trail: AuditTrail
) -> tuple[str, ...] | RollError:
    history = await session.bundle_history.history(_MAX_ROLLS)
    if isinstance(history, RollError):
        return history
    return compare_rolls(history, trail.entries)


def _table(report: AuditReport) -> str:
    rows: list[list[object]] = []
    for name, entries in report.trails.items():
        for entry in entries:
            rows.append(_row(name, entry))
    return tabulate(rows, headers=_HEADERS)


def _row(name: str, entry: AuditEntry) -> list[object]:
    record = entry.record
    return [
        name,
        entry.number,
        record.at,
        record.who,
        record.action.value,
        record.subject,
        record.result,
    ]
