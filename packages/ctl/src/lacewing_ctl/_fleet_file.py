"""Find the operators' listeners that a call is about."""

import sys
from collections.abc import Iterable
from pathlib import Path

import msgspec
from lacewing_common.exits import Exit
from lacewing_common.settings import parse_address
from lacewing_common.settings import SettingsError
from lacewing_common.settings import TlsFiles


class FleetFile(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """List the operators' ``ip:port`` of the processes; TLS if they use it.

    ``tls`` holds the operator's own certificate, key and authority.
    """

    operators: tuple[str, ...]
    tls: TlsFiles | None = None


def find_fleet(fleet: str, address: object) -> FleetFile:
    """Read the file, the addresses or both; end with usage if neither.

    ``address`` is what fire made of the flag: a text or a list of texts.
    """
    try:
        return _find(fleet, address)
    except SettingsError as error:
        print(f'lacewingctl: {error}', file=sys.stderr)
        sys.exit(Exit.USAGE)


def _find(fleet: str, address: object) -> FleetFile:
    given = _addresses(address)
    if not fleet and not given:
        raise SettingsError('expected --fleet FILE or --address IP:PORT')
    read = FleetFile(operators=())
    if fleet:
        read = read_fleet_file(Path(str(fleet)))
    for text in (*read.operators, *given):
        parse_address(text)
    return FleetFile(operators=(*read.operators, *given), tls=read.tls)


def read_fleet_file(path: Path) -> FleetFile:
    """Read the file; raise SettingsError naming the field."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=FleetFile)
    except OSError as error:
        raise SettingsError(f'fleet file {path}: {error}') from error
    except msgspec.DecodeError as error:
        raise SettingsError(f'fleet file {path}: {error}') from error


def _addresses(address: object) -> tuple[str, ...]:
    if not address:
        return ()
    if isinstance(address, str):
        return tuple(address.split(','))
    if isinstance(address, Iterable):
        return tuple(str(each) for each in address)
    raise SettingsError(f'expected --address IP:PORT, got {address!r}')
