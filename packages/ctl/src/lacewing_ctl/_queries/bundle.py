"""Validate, compare and show bundles and their history."""

import sys

import msgspec
from lacewing_common.bundle import Bundle
from lacewing_common.bundle import RolledBundle
from lacewing_common.exits import Exit
from lacewing_common.rolls import diff_bundles
from lacewing_common.rolls import HistoryEntry
from lacewing_common.rolls import RollError
from tabulate import tabulate

from lacewing_ctl._draft import digest_of
from lacewing_ctl._draft import Draft
from lacewing_ctl._exit import print_status
from lacewing_ctl._fetch import fetch_bundle
from lacewing_ctl._profile import find_profile
from lacewing_ctl._session import in_session
from lacewing_ctl._session import Session

_RETRY_LIMIT_S = 10.0
_HIDDEN_SECRET = '(hidden)'
_DIGEST_LENGTH = 12
_HEADERS = ('roll', 'bundle', 'by', 'at', 'signed by', 'again')


class Validation(msgspec.Struct, frozen=True):
    """Hold the result of a validation for ``--json``."""

    digest: str
    problems: tuple[dict[str, str], ...]


def validate(file: str, json: bool = False) -> None:
    """Name all problems of a draft; exit code 5 if there are any.

    Args:
        file: the draft.
        json: print JSON in place of lines.
    """
    checked = Draft(file).check()
    problems = () if isinstance(checked, Bundle) else checked
    digest = digest_of(checked) if isinstance(checked, Bundle) else ''
    if json:
        rows = tuple(msgspec.to_builtins(problem) for problem in problems)
        print(msgspec.json.encode(Validation(digest, rows)).decode())
    else:
        for problem in problems:
            print_status(f'{file}: {problem}')
        if not problems:
            print(f'{file}: valid, {digest}')
    sys.exit(Exit.INVALID if problems else Exit.OK)


def diff(
    file: str, number: int = 0, json: bool = False, profile: str = ''
) -> None:
    """Show what a draft changes.

    Args:
        file: the draft.
        number: the roll to compare with; the one in force, if not given.
        json: print JSON in place of lines.
        profile: the operator's profile.
    """
    bundle = Draft(file).bundle()
    rolled = _fetch(number, profile)
    differences = diff_bundles(rolled.bundle, bundle)
    if json:
        print(msgspec.json.encode(differences).decode())
        return
    for difference in differences:
        print(difference)
    if not differences:
        print(f'no difference from roll {rolled.number}')


def show(number: int = 0, secret: bool = False, profile: str = '') -> None:
    """Print the bundle of a roll as JSON.

    Args:
        number: the roll; the one in force, if not given.
        secret: print the prefix secret too.
        profile: the operator's profile.
    """
    rolled = _fetch(number, profile)
    if not secret:
        hidden = msgspec.structs.replace(
            rolled.bundle, prefix_secret=_HIDDEN_SECRET
        )
        rolled = msgspec.structs.replace(rolled, bundle=hidden)
    print(msgspec.json.format(msgspec.json.encode(rolled)).decode())


def history(limit: int = 20, json: bool = False, profile: str = '') -> None:
    """Show the last rolls, newest first.

    Args:
        limit: how many rolls.
        json: print JSON in place of a table.
        profile: the operator's profile.
    """

    async def work(session: Session) -> tuple[HistoryEntry, ...] | RollError:
        return await session.bundle_history.history(limit)

    entries = in_session(find_profile(profile), _RETRY_LIMIT_S, work)
    if json:
        print(msgspec.json.encode(entries).decode())
        return
    rows = [_row(entry) for entry in entries]
    print(tabulate(rows, headers=_HEADERS))


def _fetch(number: int, profile: str) -> RolledBundle:
    return in_session(
        find_profile(profile),
        _RETRY_LIMIT_S,
        lambda session: fetch_bundle(session, number),
    )


def _row(entry: HistoryEntry) -> list[object]:
    return [
        entry.number,
        entry.digest[:_DIGEST_LENGTH],
        entry.operator,
        entry.at,
        ', '.join(entry.signed_by),
        f'roll {entry.again}' if entry.again else '',
    ]
