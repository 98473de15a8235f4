"""Read the JSON settings of a router that calls upstreams directly."""

from enum import Enum
from pathlib import Path

import msgspec
from lacewing_common.caller_limits import CallerLimits
from lacewing_common.caller_limits import VmSize
from lacewing_common.decode_errors import DECODE_ERRORS
from lacewing_common.settings import Address
from lacewing_common.settings import LogLevel
from lacewing_common.settings import parse_address
from lacewing_common.settings import SettingsError

from lacewing_daemon.direct._contention import Contention
from lacewing_daemon.direct._policy import LoadPolicy


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the guarantees of the deployment to callers; times in seconds.

    ``drain_s``: a process is killed this long after SIGTERM.
    ``revoke_s``: a revoked key is refused within this time.
    ``lease_s``: minimum time between orders of two lease holders to one
    upstream.
    ``weights_s``: requests start on weights superseded for no longer than
    this.
    ``repeat_ratio``, ``repeat_slack``, ``repeat_window_s``: the retry
    budget of all routers together for one service.
    ``limit_window_s``, ``limit_overage``, ``limit_slack``: in any window, a
    team may run its limit for the window and its burst, times 1 +
    ``limit_overage``, and ``limit_slack`` in the unit of the limit.
    """

    drain_s: float
    revoke_s: float
    lease_s: float
    weights_s: float
    repeat_ratio: float
    repeat_slack: float
    repeat_window_s: float
    limit_window_s: float = 0.0
    limit_overage: float = 0.0
    limit_slack: float = 0.0


class DirectSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Hold all settings of one direct router.

    ``callers``, ``ready``, ``peers`` and ``metrics`` are the ``ip:port`` to
    listen on, the last two '' for none; ``platform`` is the address of the
    store. Other routers call at ``peers``. ``contention``: when services are
    contended. ``first_start``: the whole system is starting for the first
    time, so no stream has begun before this process was started. ``vm`` and
    ``caller_limits`` bound what all callers together may hold.
    """

    process_id: str
    availability_zone: str
    callers: str
    ready: str
    platform: str
    bounds: Bounds
    peers: str = ''
    metrics: str = ''
    log_level: LogLevel = LogLevel.INFO
    policy: LoadPolicy = LoadPolicy()
    contention: Contention = Contention.OFF
    first_start: bool = False
    vm: VmSize = VmSize()
    caller_limits: CallerLimits = CallerLimits()

    @property
    def callers_address(self) -> Address:
        """Return the address that callers connect to."""
        return parse_address(self.callers)

    @property
    def ready_address(self) -> Address:
        """Return the address of the readiness page for the balancer."""
        return parse_address(self.ready)


_OPTIONAL_ADDRESSES = ('peers', 'metrics')
_ENUMS: dict[str, type[Enum]] = {
    '`$.contention`': Contention,
    '`$.log_level`': LogLevel,
}


def read_direct_settings(path: Path) -> DirectSettings:
    """Read settings from a file; SettingsError names an invalid field."""
    return decode_direct_settings(read_settings_file(path))


def read_settings_file(path: Path) -> bytes:
    """Return the content of a settings file; SettingsError if unreadable."""
    try:
        return path.read_bytes()
    except OSError as error:
        raise SettingsError(f'settings file {path}: {error}') from error


def decode_direct_settings(text: bytes) -> DirectSettings:
    """Decode settings; SettingsError names an invalid field."""
    try:
        settings = msgspec.json.decode(text, type=DirectSettings)
    except DECODE_ERRORS as error:
        raise SettingsError(
            f'settings: {error}{_expected_values(str(error))}'
        ) from error
    _validate(settings)
    return settings


def _expected_values(message: str) -> str:
    """Return what a field with an invalid value may be, '' if unknown."""
    for field, values in _ENUMS.items():
        if message.endswith(field):
            names = ', '.join(f'"{each.value}"' for each in values)
            return f', expected one of {names}'
    return ''


def _validate(settings: DirectSettings) -> None:
    for field in ('callers', 'ready', 'platform', 'peers', 'metrics'):
        text = getattr(settings, field)
        if field in _OPTIONAL_ADDRESSES and not text:
            continue
        try:
            parse_address(text)
        except SettingsError as error:
            raise SettingsError(f'{error} - at `$.{field}`') from error
    for field in settings.bounds.__struct_fields__:
        value = getattr(settings.bounds, field)
        if value < 0:
            raise SettingsError(
                f'expected a number of at least 0, got {value}'
                f' - at `$.bounds.{field}`'
            )
