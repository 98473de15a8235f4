"""Create, edit and sign drafts of the bundle."""

import secrets
from datetime import datetime
from datetime import UTC
from pathlib import Path

import msgspec
from lacewing_common.bundle import Bundle
from lacewing_common.bundles import OperatorKey
from lacewing_common.bundles import read_key
from lacewing_common.bundles import sign_off
from lacewing_common.bundles import SignOff
from lacewing_common.bundles import SignOffRole
from lacewing_common.exits import Exit
from lacewing_common.settings import SettingsError

from lacewing_ctl._draft import digest_of
from lacewing_ctl._draft import Draft
from lacewing_ctl._draft import Signing
from lacewing_ctl._edit import EditError
from lacewing_ctl._edit import set_value
from lacewing_ctl._exit import exit_with
from lacewing_ctl._exit import print_status
from lacewing_ctl._fetch import fetch_bundle
from lacewing_ctl._profile import find_profile
from lacewing_ctl._session import in_session

_PREFIX_SECRET_BYTES = 32
_RETRY_LIMIT_S = 10.0


def new(file: str, profile: str = '') -> None:
    """Write the draft of a first bundle, with the root operators.

    Args:
        file: the draft to write; it must not exist.
        profile: the operator's profile.
    """
    found = find_profile(profile)
    draft = Draft(file)
    if draft.path.exists():
        exit_with(Exit.USAGE, f'{file} exists')
    bundle = Bundle(
        operators=found.root_operators,
        prefix_secret=secrets.token_hex(_PREFIX_SECRET_BYTES),
    )
    draft.write(bundle)
    draft.write_signing(Signing())


def edit(
    file: str,
    set: str = '',  # noqa: A002  (the flag's name)
    fetch_again: bool = False,
    profile: str = '',
) -> None:
    """Take the bundle in force into a draft, or set a value in one.

    Edit the file with any editor. A draft belongs to the roll it was taken
    from; it can be rolled only while that one is in force.

    Args:
        file: the draft; fetched from the platform when it does not exist.
        set: PATH=JSON, such as teams.brno.share=2.
        fetch_again: replace a draft that exists by the bundle in force.
        profile: the operator's profile.
    """
    draft = Draft(file)
    if fetch_again or not draft.path.exists():
        fetched = in_session(
            find_profile(profile),
            _RETRY_LIMIT_S,
            lambda session: fetch_bundle(session, 0),
        )
        draft.write(fetched.bundle)
        draft.write_signing(Signing(base=fetched.number))
        print_status(f'{file} is the bundle of roll {fetched.number}')
    if set:
        _apply_assignment(draft, set)


def sign(file: str, key: str = '', role: str = '', profile: str = '') -> None:
    """Sign a draft off; any later edit voids the sign-off.

    Args:
        file: the draft.
        key: the operator's key file; the profile's, if not given.
        role: author or approver; approver when an author has signed.
        profile: the operator's profile.
    """
    draft = Draft(file)
    bundle = draft.bundle()
    signing = draft.signing()
    operator = find_key(key, profile)
    digest = digest_of(bundle)
    valid = _valid_sign_offs(signing.sign_offs, digest, operator.operator)
    signed = sign_off(digest, _role(role, valid), now(), operator)
    draft.write_signing(
        msgspec.structs.replace(signing, sign_offs=(*valid, signed))
    )
    print(f'{digest} signed off by {signed.operator} as {signed.role.value}')


def find_key(key: str, profile: str) -> OperatorKey:
    """Read the key file named by the flag or the profile, or exit."""
    path = str(key) or find_profile(profile).key
    if not path:
        exit_with(Exit.USAGE, 'expected --key FILE or a key in the profile')
    try:
        return read_key(Path(path))
    except SettingsError as error:
        exit_with(Exit.USAGE, str(error))


def now() -> str:
    """Return the current UTC time in ISO 8601 format."""
    return datetime.now(UTC).isoformat(timespec='seconds')


def _apply_assignment(draft: Draft, assignment: str) -> None:
    try:
        raw = msgspec.json.decode(draft.text())
        set_value(raw, str(assignment))
    except (EditError, msgspec.DecodeError) as error:
        exit_with(Exit.USAGE, f'{draft.path}: {error}')
    draft.write_raw(raw)


def _valid_sign_offs(
    sign_offs: tuple[SignOff, ...], digest: str, signer: str
) -> tuple[SignOff, ...]:
    """Return the sign-offs of other operators for the current digest."""
    valid: list[SignOff] = []
    for signed in sign_offs:
        if signed.operator == signer:
            continue
        if signed.digest != digest:
            print_status(
                f'the sign-off by {signed.operator} is void after an edit'
            )
            continue
        valid.append(signed)
    return tuple(valid)


def _role(role: str, others: tuple[SignOff, ...]) -> SignOffRole:
    if not role:
        return SignOffRole.APPROVER if others else SignOffRole.AUTHOR
    try:
        return SignOffRole(role)
    except ValueError:
        exit_with(
            Exit.USAGE, f'expected --role author or approver, got {role!r}'
        )
