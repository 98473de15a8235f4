"""Read the list of tests that may fail for a fault already on record."""

from dataclasses import dataclass
from pathlib import Path

MOST_KNOWN = 3
# Tests of these issues may be listed beside the others, one a line.
UNCOUNTED_ISSUES = frozenset(('issue 84',))
_SEPARATOR = ' | '
_FIELDS = 3


class KnownRedError(ValueError):
    """Name the wrong line of the list and what was expected."""


@dataclass(frozen=True)
class KnownRed:
    """Hold one test that may fail, its cause and the issue that tracks it.

    ``test`` is ``<file>: <scenario>``.
    """

    test: str
    cause: str
    issue: str


def read_known_red(path: Path) -> tuple[KnownRed, ...]:
    """Read the list; an absent file is an empty one."""
    if not path.exists():
        return ()
    known: list[KnownRed] = []
    for line in path.read_text().splitlines():
        if not line.strip() or line.startswith('#'):
            continue
        fields = [field.strip() for field in line.split(_SEPARATOR)]
        if len(fields) != _FIELDS or not all(fields):
            raise KnownRedError(
                f'{path.name}: expected "file: scenario | cause | issue",'
                f' got {line!r}'
            )
        known.append(KnownRed(*fields))
    counted = [one for one in known if one.issue not in UNCOUNTED_ISSUES]
    if len(counted) > MOST_KNOWN:
        raise KnownRedError(
            f'{path.name}: expected at most {MOST_KNOWN} tests,'
            f' got {len(counted)}'
        )
    return tuple(known)
