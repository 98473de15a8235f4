"""Read the settings of a daemon and run it."""

import asyncio
import sys
from pathlib import Path

import fire
from lacewing_common.exits import Exit
from lacewing_common.log import set_up_logs
from lacewing_common.settings import read_settings
from lacewing_common.settings import Settings
from lacewing_common.settings import SettingsError

from lacewing_daemon._check import check_files
from lacewing_daemon._serve import serve
from lacewing_daemon.memory import return_large_blocks


def run(settings: str, check: bool = False) -> None:
    """Run a router or an agent of lacewingstack.

    Args:
        settings: the path of the JSON settings.
        check: only check the settings and name the first wrong field.
    """
    try:
        checked_settings = _read(Path(str(settings)))
    except SettingsError as error:
        print(f'lacewingd: {error}', file=sys.stderr)
        sys.exit(Exit.USAGE)
    if check:
        print(f'lacewingd: {settings}: settings are valid')
        sys.exit(Exit.OK)
    set_up_logs(checked_settings.log_level.value, checked_settings.process_id)
    return_large_blocks()
    sys.exit(asyncio.run(serve(checked_settings)))


def _read(path: Path) -> Settings:
    settings = read_settings(path)
    check_files(settings)
    return settings


def run_command() -> None:
    """Run the command line interface."""
    fire.Fire(run, name='lacewingd')
