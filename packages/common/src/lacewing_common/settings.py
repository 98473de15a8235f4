"""Read and check the JSON settings of a daemon."""

from enum import Enum
from ipaddress import ip_address
from pathlib import Path
from urllib.parse import urlsplit

import msgspec

from lacewing_common.bundle import Operator
from lacewing_common.identity import Place
from lacewing_common.identity import Role


class SettingsError(ValueError):
    """Name the wrong field, what was expected and what came."""


_PORTS = 65536
_PUBLIC_KEY_HEX = 64
_HEX = frozenset('0123456789abcdef')


class LogLevel(Enum):
    """Name the least level of the log lines written."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


class Setting(msgspec.Struct, frozen=True, kw_only=True):
    """Mark a group of settings."""


class Address(msgspec.Struct, frozen=True):
    """Hold an IP number and a TCP port (0: chosen by the system)."""

    host: str
    port: int

    @property
    def is_loopback(self) -> bool:
        """Tell whether only this machine can reach the address."""
        return ip_address(self.host).is_loopback

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
    """Tell an agent of its worker: base URL and service.

    ``concurrency`` is the number of requests that the worker runs at once;
    more wait at the agent, where teams get their shares. ``kv_store`` is
    the base URL of a store of kept KV cache, '' for none.
    """

    url: str
    service: str
    concurrency: int = 32
    kv_store: str = ''


class PeerSettings(Setting, forbid_unknown_fields=True, frozen=True):
    """Set the pace at which processes exchange news; all in seconds.

    ``exchange_s``: mean time between two exchanges that a process begins.
    ``probe_s``: a peer that takes longer to answer is tried through others.
    ``suspect_s``: a suspect that does not contradict for so long is dead.
    ``vm_list_s``: mean time between two reads of the platform's VM list.
    ``readers``: processes in each region that read from the platform.
    """

    exchange_s: float = 1.0
    probe_s: float = 1.0
    suspect_s: float = 5.0
    vm_list_s: float = 1.0
    readers: int = 3


class PlacementSettings(Setting, forbid_unknown_fields=True, frozen=True):
    """Set whether and how the agents of a service place its models.

    ``enabled``: this agent takes part; all of a service should alike.
    ``lease_s``: duration of the leases of planners and of order-givers;
    ``margin_s``: how much longer another process waits.
    ``report_s``: mean time between an agent's reports of its demand.
    ``shrink_after_s``: a copy that could be spared for so long is removed,
    and after it one more each ``shrink_step_s``.
    """

    enabled: bool = False
    lease_s: float = 15.0
    margin_s: float = 3.0
    report_s: float = 10.0
    shrink_after_s: float = 120.0
    shrink_step_s: float = 30.0


class Settings(Setting, forbid_unknown_fields=True, frozen=True):
    """Hold all settings of one daemon.

    ``platform`` is the base URL of the platform's API, '' for none;
    ``seeds`` are the ``ip:port`` of agents known from the start;
    ``allow_plain`` permits listening off loopback without TLS;
    ``drain_s`` bounds the seconds that open requests get after SIGTERM;
    every bundle is traced back to ``root_operators``, see docs/reference.
    """

    role: Role
    process_id: str
    place: Place
    listen: Listen = Listen()
    platform: str = ''
    seeds: tuple[str, ...] = ()
    worker: WorkerSettings | None = None
    bundle_file: str = ''
    root_operators: tuple[Operator, ...] = ()
    log_level: LogLevel = LogLevel.INFO
    tls: TlsFiles | None = None
    allow_plain: bool = False
    drain_s: float = 30.0
    peers: PeerSettings = PeerSettings()
    placement: PlacementSettings = PlacementSettings()


def parse_address(text: str) -> Address:
    """Read ``ip:port`` or ``[ip]:port``; raise SettingsError otherwise."""
    host, colon, port = text.rpartition(':')
    host = host.strip('[]')
    if not colon or not port.isdecimal() or int(port) >= _PORTS:
        raise _not_an_address(text)
    try:
        ip_address(host)
    except ValueError as error:
        raise _not_an_address(text) from error
    return Address(host, int(port))


def _not_an_address(text: str) -> SettingsError:
    return SettingsError(
        'expected an IP number and a port such as 127.0.0.1:7400,'
        f' got {text!r}'
    )


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
    _check_names(settings)
    _check_listen(settings)
    for index, seed in enumerate(settings.seeds):
        _check_address(f'$.seeds[{index}]', seed)
    if settings.platform:
        _check_url('$.platform', settings.platform)
    if settings.drain_s <= 0:
        raise SettingsError(
            f'expected seconds above 0, got {settings.drain_s}'
            ' - at `$.drain_s`'
        )
    _check_root_operators(settings)
    _check_peers(settings.peers)
    _check_placement(settings.placement)
    _check_bundle_file(settings)
    _check_worker(settings)


def _check_names(settings: Settings) -> None:
    named = [
        ('$.process_id', settings.process_id),
        ('$.place.region', settings.place.region),
        ('$.place.availability_zone', settings.place.availability_zone),
    ]
    for field, text in named:
        if not text:
            raise SettingsError(f"expected a name, got '' - at `{field}`")


def _check_listen(settings: Settings) -> None:
    listen = [
        ('$.listen.peers', settings.listen.peers),
        ('$.listen.operators', settings.listen.operators),
        ('$.listen.callers', settings.listen.callers),
    ]
    for field, text in listen:
        address = _check_address(field, text)
        if address.is_loopback:
            continue
        if settings.tls is not None or settings.allow_plain:
            continue
        raise SettingsError(
            f'expected TLS for {address}, which other machines can reach:'
            ' set `$.tls`, listen on loopback, or set `$.allow_plain` to'
            f' true - at `{field}`'
        )


def _check_root_operators(settings: Settings) -> None:
    names: set[str] = set()
    for index, operator in enumerate(settings.root_operators):
        field = f'$.root_operators[{index}]'
        if not operator.name or operator.name in names:
            raise SettingsError(
                f'expected a name of its own, got {operator.name!r}'
                f' - at `{field}.name`'
            )
        names.add(operator.name)
        if not _is_public_key(operator.public_key):
            raise SettingsError(
                'expected an Ed25519 public key as 64 hex digits, as'
                f' "lacewingctl keys new" prints it, got'
                f' {operator.public_key!r} - at `{field}.public_key`'
            )


def _is_public_key(text: str) -> bool:
    return len(text) == _PUBLIC_KEY_HEX and _HEX.issuperset(text)


def _check_peers(peers: PeerSettings) -> None:
    for field in peers.__struct_fields__:
        value = getattr(peers, field)
        if value <= 0:
            raise SettingsError(
                f'expected a number above 0, got {value}'
                f' - at `$.peers.{field}`'
            )


def _check_placement(placement: PlacementSettings) -> None:
    for field in placement.__struct_fields__:
        if field == 'enabled':
            continue
        value = getattr(placement, field)
        if value <= 0:
            raise SettingsError(
                f'expected seconds above 0, got {value}'
                f' - at `$.placement.{field}`'
            )


def _check_bundle_file(settings: Settings) -> None:
    # A bundle from a file has no sign-off. In a fleet it would pass round
    # the operators' two pairs of eyes at one process.
    if not settings.bundle_file or settings.allow_plain:
        return
    for text in (settings.listen.peers, settings.listen.callers):
        address = parse_address(text)
        if address.is_loopback:
            continue
        raise SettingsError(
            'expected a signed bundle from the platform or peers where other'
            f' machines reach {address}; a file is for development: leave'
            ' it out, or set `$.allow_plain` to true - at `$.bundle_file`'
        )


def _check_worker(settings: Settings) -> None:
    if settings.role is Role.ROUTER:
        return
    if settings.worker is None:
        raise SettingsError(
            'expected the worker of this agent: give its url and service'
            ' - at `$.worker`'
        )
    _check_url('$.worker.url', settings.worker.url)
    if settings.worker.concurrency < 1:
        raise SettingsError(
            f'expected at least 1, got {settings.worker.concurrency}'
            ' - at `$.worker.concurrency`'
        )


def _check_address(field: str, text: str) -> Address:
    try:
        return parse_address(text)
    except SettingsError as error:
        raise SettingsError(f'{error} - at `{field}`') from error


def _check_url(field: str, text: str) -> None:
    parts = urlsplit(text)
    if parts.scheme in ('http', 'https') and parts.netloc:
        return
    raise SettingsError(
        f'expected a URL such as http://127.0.0.1:8000, got {text!r}'
        f' - at `{field}`'
    )
