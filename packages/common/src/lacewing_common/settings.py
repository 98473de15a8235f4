"""Read and validate the JSON settings of a daemon."""

import re
from enum import Enum
from ipaddress import ip_address
from pathlib import Path
from urllib.parse import urlsplit

import msgspec

from lacewing_common.bundle import Operator
from lacewing_common.caller_limits import CallerLimits
from lacewing_common.caller_limits import VmSize
from lacewing_common.decode_errors import DECODE_ERRORS
from lacewing_common.identity import Place
from lacewing_common.identity import Role


class SettingsError(ValueError):
    """Report the invalid field, the expected value and the actual one."""


_PORT = re.compile('[0-9]{1,5}')
_PORT_LIMIT = 65536
_PUBLIC_KEY_HEX_DIGITS = 64
_HEX_DIGITS = frozenset('0123456789abcdef')


class LogLevel(Enum):
    """List the minimum levels of log lines."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


class Setting(msgspec.Struct, frozen=True, kw_only=True):
    """Serve as the base class of all groups of settings."""


class Address(msgspec.Struct, frozen=True):
    """Hold an IP address and a TCP port (0: chosen by the kernel)."""

    host: str
    port: int

    @property
    def is_loopback(self) -> bool:
        """Return whether the address is reachable only from this host."""
        return ip_address(self.host).is_loopback

    def __str__(self) -> str:
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'


class Listen(Setting, forbid_unknown_fields=True, frozen=True):
    """Hold the listen addresses, each ``ip:port``.

    ``callers`` applies to routers only; ``operators`` serves health checks,
    metrics and queries; ``peers`` serves other processes of the system.
    """

    peers: str = '127.0.0.1:0'
    operators: str = '127.0.0.1:0'
    callers: str = '127.0.0.1:0'


class TlsFiles(Setting, forbid_unknown_fields=True, frozen=True):
    """Hold the paths of the PEM files: certificate, key and authority."""

    certificate: str
    key: str
    authority: str


class WorkerSettings(Setting, forbid_unknown_fields=True, frozen=True):
    """Describe the worker of an agent: base URL and service.

    ``concurrency`` is the number of requests that the worker runs
    concurrently; further requests are queued at the agent, which schedules
    them by the teams' shares. ``kv_store`` is the base URL of a KV cache
    store, '' for none.
    """

    url: str
    service: str
    concurrency: int = 32
    kv_store: str = ''


class PeerSettings(Setting, forbid_unknown_fields=True, frozen=True):
    """Configure the gossip between processes; times in seconds.

    ``exchange_s``: mean interval of the exchanges that a process initiates.
    ``probe_s``: a peer that takes longer to respond is probed through other
    peers.
    ``suspect_s``: a suspect that has not refuted within this time is dead.
    ``vm_list_s``: mean interval of reads of the platform's VM list.
    ``readers``: processes in each region that read from the platform.
    """

    exchange_s: float = 1.0
    probe_s: float = 1.0
    suspect_s: float = 5.0
    vm_list_s: float = 1.0
    readers: int = 3


class PlacementSettings(Setting, forbid_unknown_fields=True, frozen=True):
    """Configure how the agents of a service place its models.

    ``enabled``: whether this agent takes part in placement; use the same
    value for all agents of a service.
    ``lease_s``: duration of the leases of planners and of the processes that
    send orders; ``margin_s``: additional time that other processes wait.
    ``report_s``: mean interval of an agent's demand reports.
    ``shrink_after_s``: a copy that has not been needed for this time is
    removed, and then one more every ``shrink_step_s``.
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
    ``seeds`` are the ``ip:port`` of agents to contact at the start;
    ``allow_plain`` permits non-loopback listeners without TLS;
    ``drain_s`` is the maximum time in seconds for open requests to complete
    after SIGTERM;
    ``vm`` and ``caller_limits`` bound what callers of a router may hold;
    the sign-offs of every bundle must lead back to ``root_operators``, see
    docs/reference.
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
    vm: VmSize = VmSize()
    caller_limits: CallerLimits = CallerLimits()


def parse_address(text: str) -> Address:
    """Parse ``ip:port`` or ``[ip]:port``; raise SettingsError if invalid."""
    host, colon, port = text.rpartition(':')
    if host.startswith('[') and host.endswith(']'):
        host = host[1:-1]
    # int() raises ValueError for a text of thousands of digits.
    if not colon or _PORT.fullmatch(port) is None or int(port) >= _PORT_LIMIT:
        raise _invalid_address(text)
    try:
        ip_address(host)
    except ValueError as error:
        raise _invalid_address(text) from error
    return Address(host, int(port))


def _invalid_address(text: str) -> SettingsError:
    return SettingsError(
        'expected an IP number and a port such as 127.0.0.1:7400,'
        f' got {text!r}'
    )


def parse_settings(text: bytes) -> Settings:
    """Parse JSON settings; raise SettingsError naming an invalid field."""
    try:
        settings = msgspec.json.decode(text, type=Settings)
    except DECODE_ERRORS as error:
        raise SettingsError(f'settings: {error}') from error
    _check(settings)
    return settings


def read_settings(path: Path) -> Settings:
    """Read a settings file; raise SettingsError naming an invalid field."""
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
    required = [
        ('$.process_id', settings.process_id),
        ('$.place.region', settings.place.region),
        ('$.place.availability_zone', settings.place.availability_zone),
    ]
    for field, text in required:
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
            f'expected TLS for {address}, which other hosts can reach:'
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
    return len(text) == _PUBLIC_KEY_HEX_DIGITS and _HEX_DIGITS.issuperset(text)


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
    # A bundle from a file has no sign-off. In a fleet it would bypass the
    # review by two operators at one process.
    if not settings.bundle_file or settings.allow_plain:
        return
    for text in (settings.listen.peers, settings.listen.callers):
        address = parse_address(text)
        if address.is_loopback:
            continue
        raise SettingsError(
            'expected a signed bundle from the platform or peers because other'
            f' hosts can reach {address}; a file is for development only:'
            ' remove it, or set `$.allow_plain` to true - at `$.bundle_file`'
        )


def _check_worker(settings: Settings) -> None:
    if settings.role is Role.ROUTER:
        return
    if settings.worker is None:
        raise SettingsError(
            'expected the worker of this agent: set its url and service'
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
