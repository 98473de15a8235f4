"""Roll a bundle and confirm that it is active at the fleet."""

import asyncio
import secrets
import sys
from pathlib import Path
from typing import NoReturn

import msgspec
from lacewing_common.audit import Action
from lacewing_common.audit import append_rolls
from lacewing_common.audit import AuditRecord
from lacewing_common.bundles import OperatorKey
from lacewing_common.bundles import RollOrder
from lacewing_common.exits import Exit
from lacewing_common.rolls import make_rollback
from lacewing_common.rolls import RollError
from lacewing_common.rolls import RollFault
from lacewing_common.rolls import RollResult
from lacewing_common.settings import SettingsError

from lacewing_ctl._commands.draft import find_key
from lacewing_ctl._commands.draft import now
from lacewing_ctl._confirm import confirm
from lacewing_ctl._confirm import Unconfirmed
from lacewing_ctl._distribution import distribute
from lacewing_ctl._draft import digest_of
from lacewing_ctl._draft import Draft
from lacewing_ctl._draft import make_roll_order
from lacewing_ctl._draft import Signing
from lacewing_ctl._exit import exit_with
from lacewing_ctl._exit import print_status
from lacewing_ctl._fleet_file import FleetFile
from lacewing_ctl._fleet_file import read_fleet_file
from lacewing_ctl._profile import find_profile
from lacewing_ctl._profile import Profile
from lacewing_ctl._session import in_session
from lacewing_ctl._session import Session

_NONCE_BYTES = 16


class RollReport(msgspec.Struct, frozen=True):
    """Hold the result of a roll for ``--json``."""

    number: int
    digest: str
    processes: int
    unconfirmed: tuple[Unconfirmed, ...]


def roll(
    file: str,
    key: str = '',
    fleet: str = '',
    wait_s: float = 30.0,
    platform_s: float = 30.0,
    above: int = 0,
    trust_since: int = 0,
    json: bool = False,
    profile: str = '',
) -> None:
    """Roll a signed draft; wait until each process has it in force.

    After exit code 8 (not known) or a crash, run the same command again: it
    finds out what became of the roll and never rolls twice.

    Args:
        file: the draft.
        key: the operator's key file; the profile's, if not given.
        fleet: a JSON file with the operators' addresses of the processes.
        wait_s: seconds to wait for the processes.
        platform_s: seconds to go on trying while the platform is down.
        above: the number that processes have though the platform lost it.
        trust_since: drop changes of operators before this roll from the
            proof, once all settings name operators who signed later.
        json: print JSON in place of a line.
        profile: the operator's profile.
    """
    found = find_profile(profile)
    operator = find_key(key, profile)
    processes = _find_processes(fleet, found)
    draft = Draft(file)
    bundle = draft.bundle()
    signing = _start_attempt(draft, digest_of(bundle))
    if signing.done:
        print_status(f'this draft took effect as roll {signing.done} before')
        done = RollResult(signing.done, signing.tried, 0)
        _finish(done, processes, wait_s, json)
    order = make_roll_order(bundle, signing, above, trust_since)

    async def work(session: Session) -> RollResult | RollError:
        return await _roll(session, order, signing.base, operator)

    rolled = in_session(found, platform_s, work)
    draft.write_signing(
        msgspec.structs.replace(
            signing, base=rolled.number, done=rolled.number
        )
    )
    _finish(rolled, processes, wait_s, json)


def rollback(
    number: int,
    key: str = '',
    fleet: str = '',
    wait_s: float = 30.0,
    platform_s: float = 30.0,
    json: bool = False,
    profile: str = '',
) -> None:
    """Roll the bundle of an earlier roll again, under a new number.

    Args:
        number: the roll to go back to, as "bundle history" shows it.
        key: the operator's key file; the profile's, if not given.
        fleet: a JSON file with the operators' addresses of the processes.
        wait_s: seconds to wait for the processes.
        platform_s: seconds to go on trying while the platform is down.
        json: print JSON in place of a line.
        profile: the operator's profile.
    """
    found = find_profile(profile)
    operator = find_key(key, profile)
    processes = _find_processes(fleet, found)

    async def work(session: Session) -> RollResult | RollError:
        stored = await session.bundle_history.head()
        if isinstance(stored, RollError):
            return stored
        order = await make_rollback(
            session.bundle_history, stored, number, now(), _nonce()
        )
        if isinstance(order, RollError):
            return order
        return await _roll(session, order, stored.head.version, operator)

    _finish(in_session(found, platform_s, work), processes, wait_s, json)


def enter_audit(platform_s: float = 30.0, profile: str = '') -> None:
    """Enter rolls that a crash kept out of the audit trail.

    Args:
        platform_s: seconds to go on trying while the platform is down.
        profile: the operator's profile.
    """

    async def work(session: Session) -> int | RollError:
        return await append_rolls(
            session.bundle_trail, session.audit_reader, session.bundle_history
        )

    entered = in_session(find_profile(profile), platform_s, work)
    print(f'{entered} rolls entered')


async def _roll(
    session: Session, order: RollOrder, base: int, key: OperatorKey
) -> RollResult | RollError:
    rolled = await session.bundle_roller.roll(order, base, key)
    if isinstance(rolled, RollError):
        await _record_failure(session, order, key, rolled)
        return rolled
    entered = await append_rolls(
        session.bundle_trail, session.audit_reader, session.bundle_history
    )
    if isinstance(entered, RollError):
        print_status(
            f'the audit trail was not written: {entered.message}; the next'
            ' roll enters what is missing, or "bundle enter-audit"'
        )
    return rolled


async def _record_failure(
    session: Session, order: RollOrder, key: OperatorKey, error: RollError
) -> None:
    """Record a conflict or refusal in the audit trail if possible."""
    if error.fault not in (RollFault.CONFLICT, RollFault.REFUSED):
        return
    record = AuditRecord(
        record_id=f'try-{order.nonce}-{error.fault.value}',
        who=key.operator,
        action=Action.ROLL_BACK if order.again else Action.ROLL,
        subject='bundle',
        at=order.at,
        after=order.digest,
        result=error.fault.value,
    )
    failed = await session.bundle_trail.append((record,))
    if failed is not None:
        print_status(f'the audit trail was not written: {failed.message}')


def _start_attempt(draft: Draft, digest: str) -> Signing:
    """Save the nonce and time of an attempt before it can take effect."""
    signing = draft.signing()
    if signing.tried == digest:
        return signing
    started = msgspec.structs.replace(
        signing, tried=digest, nonce=_nonce(), at=now(), done=0
    )
    draft.write_signing(started)
    return started


def _finish(
    rolled: RollResult, fleet: FleetFile, wait_s: float, json: bool
) -> NoReturn:
    unconfirmed: tuple[Unconfirmed, ...] = ()
    if fleet.operators:
        unconfirmed = asyncio.run(
            _distribute_and_confirm(rolled, fleet, wait_s, json)
        )
    total = len(fleet.operators)
    if json:
        report = RollReport(rolled.number, rolled.digest, total, unconfirmed)
        print(msgspec.json.encode(report).decode())
    else:
        print(f'roll {rolled.number} of {rolled.digest[:12]} took effect')
        _print_confirmations(total, unconfirmed)
    sys.exit(Exit.UNCONFIRMED if unconfirmed else Exit.OK)


async def _distribute_and_confirm(
    rolled: RollResult, fleet: FleetFile, wait_s: float, quiet: bool
) -> tuple[Unconfirmed, ...]:
    if rolled.document is not None:
        await distribute(fleet, rolled.document)
    return await confirm(fleet, rolled.number, rolled.digest, wait_s, quiet)


def _print_confirmations(
    total: int, unconfirmed: tuple[Unconfirmed, ...]
) -> None:
    if not total:
        print('no fleet file: no process was asked')
        return
    print(f'{total - len(unconfirmed)} of {total} processes confirm')
    for each in unconfirmed:
        print_status(f'{each.address} does not confirm: {each.why}')


def _find_processes(fleet: str, profile: Profile) -> FleetFile:
    path = str(fleet) or profile.fleet
    if not path:
        return FleetFile(operators=())
    try:
        return read_fleet_file(Path(path))
    except SettingsError as error:
        exit_with(Exit.USAGE, str(error))


def _nonce() -> str:
    return secrets.token_hex(_NONCE_BYTES)
