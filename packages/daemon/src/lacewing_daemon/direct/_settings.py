"""Read the JSON settings of a router that calls upstreams directly."""

from pathlib import Path

import msgspec
from lacewing_common.settings import Address
from lacewing_common.settings import LogLevel
from lacewing_common.settings import parse_address
from lacewing_common.settings import SettingsError

from lacewing_daemon.direct._policy import LoadPolicy


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the deployment promises its callers; seconds.

    ``drain_s``: a process is killed this long after SIGTERM.
    ``revoke_s``: a key that was taken away is refused within this time.
    ``lease_s``: orders of two holders to one upstream are this far apart.
    ``weights_s``: requests begin on weights no older than this.
    ``repeat_ratio``, ``repeat_slack``, ``repeat_window_s``: the retry
    budget of all routers together for one service.
    """

    drain_s: float
    revoke_s: float
    lease_s: float
    weights_s: float
    repeat_ratio: float
    repeat_slack: float
    repeat_window_s: float


class DirectSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Hold all settings of one direct router.

    ``callers``, ``ready``, ``peers`` and ``metrics`` are ``ip:port`` to
    listen on, the last two '' for none; ``platform`` is the store's.
    ``peers`` is for the other routers.
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

    @property
    def callers_address(self) -> Address:
        """Return where callers connect."""
        return parse_address(self.callers)

    @property
    def ready_address(self) -> Address:
        """Return where the balancer asks whether to send connections."""
        return parse_address(self.ready)


_MAY_BE_EMPTY = ('peers', 'metrics')


def read_direct_settings(path: Path) -> DirectSettings:
    """Read settings from a file; raise SettingsError naming the field."""
    try:
        text = path.read_bytes()
    except OSError as error:
        raise SettingsError(f'settings file {path}: {error}') from error
    try:
        settings = msgspec.json.decode(text, type=DirectSettings)
    except msgspec.DecodeError as error:
        raise SettingsError(f'settings: {error}') from error
    _check(settings)
    return settings


def _check(settings: DirectSettings) -> None:
    for field in ('callers', 'ready', 'platform', 'peers', 'metrics'):
        text = getattr(settings, field)
        if field in _MAY_BE_EMPTY and not text:
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
