"""Read the operator's profile: platform, key, root operators, fleet."""

import os
from pathlib import Path

import msgspec
from lacewing_common.bundle import Operator
from lacewing_common.exits import Exit
from lacewing_common.settings import SettingsError

from lacewing_ctl._exit import exit_with

_PROFILE_VARIABLE = 'LACEWINGCTL_PROFILE'


class Profile(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Hold the settings of an operator's machine.

    ``platform`` is the base URL of the platform's API, ``authority`` a PEM
    file with the authority of its certificate. ``key`` and ``fleet`` are the
    paths of the default key and fleet files.
    """

    platform: str
    root_operators: tuple[Operator, ...]
    key: str = ''
    fleet: str = ''
    authority: str = ''


def find_profile(profile: str) -> Profile:
    """Read the profile named by the flag or the environment, or exit."""
    path = str(profile or os.environ.get(_PROFILE_VARIABLE, ''))
    if not path:
        exit_with(
            Exit.USAGE, f'expected --profile FILE or ${_PROFILE_VARIABLE}'
        )
    try:
        return read_profile(Path(path))
    except SettingsError as error:
        exit_with(Exit.USAGE, str(error))


def read_profile(path: Path) -> Profile:
    """Read a profile; raise SettingsError with the path of the field."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Profile)
    except (OSError, msgspec.DecodeError) as error:
        raise SettingsError(f'profile {path}: {error}') from error
