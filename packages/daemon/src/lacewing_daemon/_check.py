"""Check the files that the settings refer to."""

from pathlib import Path

from lacewing_common.settings import Settings
from lacewing_common.settings import SettingsError
from lacewing_common.tls import check_tls_files

from lacewing_daemon.bundles import read_bundle


def check_files(settings: Settings) -> None:
    """Read each file; raise SettingsError with the path of the field."""
    if settings.tls is not None:
        check_tls_files(settings.tls)
    if not settings.bundle_file:
        return
    try:
        read_bundle(Path(settings.bundle_file))
    except SettingsError as error:
        raise SettingsError(f'{error} - at `$.bundle_file`') from error
