"""Read and check the JSON settings of a daemon."""

from pathlib import Path

import msgspec

from lacewing_common.identity import Place
from lacewing_common.identity import Role


class SettingsError(ValueError):
    """Name the wrong field, what was expected and what came."""


class Setting(msgspec.Struct, frozen=True, kw_only=True):
    """Mark a group of settings."""


class Address(msgspec.Struct, frozen=True):
    """Hold an IP number and a TCP port (0: chosen by the system)."""

    host: str
    port: int

    def __str__(self) -> str:
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'


class Listen(Setting, forbid_unknown_fields=True, frozen=True):
    """Give the listen addresses, each ``ip:port``.

    ``callers`` is for a router only; ``operators`` serves health, metrics
    and queries; ``peers`` serves the system's own processes.
    """

    peers: str = '127.0.0.1:0'
    operators: str = '127.0.0.1:0'
    callers: str = '127.0.0.1:0'


class TlsFiles(Setting, forbid_unknown_fields=True, frozen=True):
    """Give the paths of certificate, key and authority, PEM."""

    certificate: str
    key: str
    authority: str


class WorkerSettings(Setting, forbid_unknown_fields=True, frozen=True):
    """Tell an agent of its worker: base URL and service."""

    url: str
    service: str


class Settings(Setting, forbid_unknown_fields=True, frozen=True):
    """Hold all settings of one daemon."""

    role: Role
    process_id: str
    place: Place
    listen: Listen = Listen()
    platform: str = ''
    seeds: tuple[str, ...] = ()
    worker: WorkerSettings | None = None
    bundle_file: str = ''
    log_level: str = 'info'
    tls: TlsFiles | None = None
    allow_plain: bool = False
    drain_s: float = 30.0


def parse_address(text: str) -> Address:
    """Read ``ip:port`` or ``[ip]:port``; raise SettingsError otherwise."""
    host, colon, port = text.rpartition(':')
    if not colon or not port.isdigit():
        raise SettingsError(
            f'expected an address such as 127.0.0.1:7400, got {text!r}'
        )
    return Address(host.strip('[]'), int(port))


def parse_settings(text: bytes) -> Settings:
    """Read settings from JSON; raise SettingsError naming the field."""
    try:
        settings = msgspec.json.decode(text, type=Settings)
    except msgspec.DecodeError as error:
        raise SettingsError(f'settings: {error}') from error
    _check(settings)
    return settings


def read_settings(path: Path) -> Settings:
    """Read settings from a file; raise SettingsError naming the field."""
    try:
        text = path.read_bytes()
    except OSError as error:
        raise SettingsError(f'settings file {path}: {error}') from error
    return parse_settings(text)


def _check(settings: Settings) -> None:
    addresses = [
        ('$.listen.peers', settings.listen.peers),
        ('$.listen.operators', settings.listen.operators),
        ('$.listen.callers', settings.listen.callers),
    ]
    for index, seed in enumerate(settings.seeds):
        addresses.append((f'$.seeds[{index}]', seed))
    for field, text in addresses:
        try:
            parse_address(text)
        except SettingsError as error:
            raise SettingsError(f'{error} - at `{field}`') from error
    if settings.role is Role.AGENT and settings.worker is None:
        raise SettingsError(
            'expected the worker of this agent: give its url and service'
            ' - at `$.worker`'
        )
