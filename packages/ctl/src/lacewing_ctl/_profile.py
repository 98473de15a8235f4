"""Read the operator's profile: platform, key, root operators, fleet."""

import os
from pathlib import Path

import msgspec
from lacewing_common.bundle import Operator
from lacewing_common.exits import Exit
from lacewing_common.settings import SettingsError

from lacewing_ctl._exit import exit_with

_VARIABLE = 'LACEWINGCTL_PROFILE'


class Profile(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Hold what an operator's machine knows.

    ``platform`` is the base URL of the platform's API, ``authority`` a PEM
    file that signs its certificate; ``key`` and ``fleet`` are paths of files,
    used where no flag names another.
    """

    platform: str
    root_operators: tuple[Operator, ...]
    key: str = ''
    fleet: str = ''
    authority: str = ''


def find_profile(profile: str) -> Profile:
    """Read the profile of the flag or the environment; end without one."""
    path = str(profile or os.environ.get(_VARIABLE, ''))
    if not path:
        exit_with(Exit.USAGE, f'expected --profile FILE or ${_VARIABLE}')
    try:
        return read_profile(Path(path))
    except SettingsError as error:
        exit_with(Exit.USAGE, str(error))


def read_profile(path: Path) -> Profile:
    """Read a profile; raise SettingsError naming the field."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Profile)
    except (OSError, msgspec.DecodeError) as error:
        raise SettingsError(f'profile {path}: {error}') from error
