"""Hold the active configuration: routes, services, teams and limits."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import Enum


@dataclass(frozen=True)
class TrafficShare:
    """Send a part of a route's requests to one service.

    ``weight`` is relative to the other shares of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Describe the requests of one host and path prefix.

    ``repeatable``: a request may run more than once. ``is_streaming``: the
    answer is a stream of events; a ``resumable`` one can be continued after
    its last event by another upstream. ``timeout_s``: a caller gets a final
    answer within this time. ``latency_target_s``: an answer, or a stream's
    first event, is on time within this time. ``priority``: 0 is the most
    urgent. ``max_runs``: upstreams on which one request may run.
    ``max_event_gap_s``: a stream is on time if no pause between its events is
    longer, 0 if not specified.
    """

    name: str
    host: str
    path_prefix: str
    repeatable: bool
    is_streaming: bool
    resumable: bool
    timeout_s: float
    latency_target_s: float
    priority: int
    max_runs: int
    is_public: bool
    shares: tuple[TrafficShare, ...]
    max_event_gap_s: float = 0.0

    @property
    def can_retry(self) -> bool:
        """Return whether a request that may have run can be sent again."""
        return self.repeatable or (self.is_streaming and self.resumable)

    @property
    def abandon_after_s(self) -> float:
        """Return after how long without an event callers abandon a stream."""
        return max(
            MIN_ABANDON_S,
            self.latency_target_s * ABANDON_TARGET_FACTOR,
            self.max_event_gap_s * ABANDON_GAP_FACTOR,
        )


# Callers abandon a stream after a gap of this many seconds, of this many
# latency targets or of this many maximum event gaps, whichever is longest; the
# platform's clients behave so.
MIN_ABANDON_S = 2.0
ABANDON_TARGET_FACTOR = 4.0
ABANDON_GAP_FACTOR = 8.0


@dataclass(frozen=True)
class Engine:
    """Hold the limits of the model engines of a service.

    ``slots``: requests that run at once; ``kv_tokens``: tokens that fit into
    an engine's KV cache; ``kv_token_bytes``: bytes of one of them;
    ``link_bytes_per_s``: speed of KV transfers. ``supports_copies``: an engine
    can copy the KV cache of a run to another engine as it grows.
    """

    slots: int
    kv_tokens: int
    kv_token_bytes: float
    link_bytes_per_s: float
    models: tuple[str, ...]
    supports_copies: bool = False


@dataclass(frozen=True)
class KvStore:
    """Hold the address, capacity and speed of a KV store."""

    address: str
    availability_zone: str
    kv_tokens: int
    link_bytes_per_s: float


@dataclass(frozen=True)
class Service:
    """Describe the upstreams of one service.

    ``max_connections``: how many one upstream accepts from all callers.
    """

    name: str
    max_connections: int
    engine: Engine | None = None
    kv_store: KvStore | None = None

    def max_idle_connections(self, routers: int) -> int:
        """Return how many idle connections a router keeps to an upstream.

        Half of an upstream's connections are left for open requests.
        """
        if not self.max_connections:
            return MIN_IDLE_CONNECTIONS
        return max(MIN_IDLE_CONNECTIONS, self.max_connections // (2 * routers))


# Used if an upstream's limit is unknown or small.
MIN_IDLE_CONNECTIONS = 4


class LimitUnit(Enum):
    """Name what a team's limit counts."""

    REQUESTS = 'requests'
    TOKENS = 'tokens'


@dataclass(frozen=True)
class Quota:
    """Limit what may run at all routers together.

    ``rate_per_s`` and ``burst`` are in ``unit``. Where that is tokens, a
    request counts those that it states, or ``unstated_tokens``.
    """

    rate_per_s: float
    burst: float
    unit: LimitUnit = LimitUnit.REQUESTS
    unstated_tokens: float = 0.0

    def cost(self, stated_tokens: int | None) -> float:
        """Return what a request counts."""
        if self.unit is LimitUnit.REQUESTS:
            return 1.0
        if stated_tokens is None:
            return self.unstated_tokens
        return float(stated_tokens)


@dataclass(frozen=True)
class Team:
    """Hold the team that a caller's key belongs to; None: without a limit."""

    name: str
    priority: int
    isolated: bool
    quota: Quota | None = None


# Used by configurations that do not limit the heads of requests.
DEFAULT_HEADER_BYTES = 65536
DEFAULT_HEAD_S = 15.0


@dataclass(frozen=True)
class Limits:
    """Limit what a caller may send; bytes and seconds.

    ``idle_s``: how long a caller may leave its connection unused; ``head_s``:
    how long the head of a request may take.
    """

    max_body_bytes: int
    idle_s: float
    max_header_bytes: int = DEFAULT_HEADER_BYTES
    head_s: float = DEFAULT_HEAD_S


@dataclass(frozen=True)
class RoutingConfig:
    """Hold one version of the whole configuration.

    ``teams`` maps each key to its team; None means that no keys are used.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    teams: Mapping[str, Team] | None
    limits: Limits
    _by_host: dict[str, '_Prefixes'] = field(
        default_factory=dict, init=False, compare=False
    )
    _kv_stores: tuple[KvStore, ...] = field(
        default=(), init=False, compare=False
    )
    _quotas: dict[str, Quota] = field(
        default_factory=dict, init=False, compare=False
    )

    def __post_init__(self) -> None:
        """Index the routes by host and prefix."""
        for route in self.routes:
            prefixes = self._by_host.setdefault(route.host, _Prefixes())
            prefixes.add(route)
        stores = []
        for service in self.services.values():
            if service.kv_store is not None:
                stores.append(service.kv_store)
        object.__setattr__(self, '_kv_stores', tuple(stores))
        for team in (self.teams or {}).values():
            if team.quota is not None:
                self._quotas[team.name] = team.quota

    @property
    def quotas(self) -> Mapping[str, Quota]:
        """Return the limits of the teams that have one, by team name."""
        return self._quotas

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of the longest prefix that begins the path."""
        path_only, _, _ = path.partition('?')
        prefixes = self._by_host.get(_without_port(host))
        return None if prefixes is None else prefixes.find(path_only)

    @property
    def kv_stores(self) -> tuple[KvStore, ...]:
        """Return the KV stores of all services."""
        return self._kv_stores


class _Prefixes:
    """Find the route of the longest prefix among those of one host.

    Thousands of routes may share a host. Comparing them one by one would cost
    each request a fraction of a millisecond, and three times that on the
    processor share of a VM.
    """

    def __init__(self) -> None:
        self._routes: dict[str, Route] = {}
        self._lengths: list[int] = []

    def add(self, route: Route) -> None:
        """Add a route; of several with the same prefix the first is used."""
        self._routes.setdefault(route.path_prefix, route)
        length = len(route.path_prefix)
        if length not in self._lengths:
            self._lengths.append(length)
            self._lengths.sort(reverse=True)

    def find(self, path: str) -> Route | None:
        """Return the route of the longest prefix that begins the path."""
        for length in self._lengths:
            if length > len(path):
                continue
            route = self._routes.get(path[:length])
            if route is not None:
                return route
        return None


def _without_port(host: str) -> str:
    name, _, _ = host.partition(':')
    return name.lower()
