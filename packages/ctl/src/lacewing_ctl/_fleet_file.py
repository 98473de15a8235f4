"""Read the addresses of the operators' listeners of a fleet."""

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
    """Hold the ``ip:port`` of each operators' listener.

    ``tls`` holds the operator's certificate, key and authority; it is None if
    the listeners don't use TLS.
    """

    operators: tuple[str, ...]
    tls: TlsFiles | None = None


def find_fleet(fleet: str, address: object) -> FleetFile:
    """Combine the fleet file and the addresses; exit if both are missing.

    ``address`` is the flag as parsed by fire: a string or a list of strings.
    """
    try:
        return _find(fleet, address)
    except SettingsError as error:
        print(f'lacewingctl: {error}', file=sys.stderr)
        sys.exit(Exit.USAGE)


def _find(fleet: str, address: object) -> FleetFile:
    extra = _addresses(address)
    if not fleet and not extra:
        raise SettingsError('expected --fleet FILE or --address IP:PORT')
    base = FleetFile(operators=())
    if fleet:
        base = read_fleet_file(Path(str(fleet)))
    for text in (*base.operators, *extra):
        parse_address(text)
    return FleetFile(operators=(*base.operators, *extra), tls=base.tls)


def read_fleet_file(path: Path) -> FleetFile:
    """Read a fleet file; raise SettingsError with the path of the field."""
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
