"""Keep a direct router's view of the deployment up to date."""

import asyncio
import time
from collections.abc import Callable
from functools import partial
from random import Random

from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.background import keep_all_running
from lacewing_daemon.direct._attempt import Contact
from lacewing_daemon.direct._cluster_state import ClusterState
from lacewing_daemon.direct._cluster_state import ReleaseSource
from lacewing_daemon.direct._collection_watcher import CollectionWatcher
from lacewing_daemon.direct._collection_watcher import CONFIRM_FRACTION
from lacewing_daemon.direct._connection import connect
from lacewing_daemon.direct._entry_order import is_older_release
from lacewing_daemon.direct._entry_order import is_older_routing_config
from lacewing_daemon.direct._entry_order import is_older_upstream
from lacewing_daemon.direct._metrics import STORE_AGE_SECONDS
from lacewing_daemon.direct._observed_revisions import WATCH_GAP_S
from lacewing_daemon.direct._pool import ConnectionPool
from lacewing_daemon.direct._restart_checks import RestartChecks
from lacewing_daemon.direct._router_count import RouterCount
from lacewing_daemon.direct._routing_config import RoutingConfig
from lacewing_daemon.direct._settings import DirectSettings
from lacewing_daemon.direct._settled_era import SettledEra
from lacewing_daemon.direct._silence_detector import SilenceDetector
from lacewing_daemon.direct._site import Site
from lacewing_daemon.direct._statements import Statements
from lacewing_daemon.direct._store_calls import InstrumentedObjects
from lacewing_daemon.direct._store_calls import StoreCallCounter
from lacewing_daemon.direct._store_eras import StoreEras
from lacewing_daemon.direct._target import Target
from lacewing_daemon.direct._upstream import ReleasedWeights
from lacewing_daemon.direct._upstream import Upstream
from lacewing_daemon.direct._upstream_state import UpstreamState
from lacewing_daemon.direct.crashes._crash_store import CRASHES
from lacewing_daemon.direct.crashes._guard import CrashGuard
from lacewing_daemon.direct.engines import SpeedReporter
from lacewing_daemon.direct.exchange import LoadExchange
from lacewing_daemon.direct.exchange._load_section import LoadSection
from lacewing_daemon.direct.exchange._shared_loads import SharedLoads
from lacewing_daemon.direct.limits import TeamLimiter
from lacewing_daemon.direct.limits import UpstreamLimiter
from lacewing_daemon.direct.limits._limiters import Limiters
from lacewing_daemon.direct.origins import CurrentVersions
from lacewing_daemon.direct.origins import StreamOrigins
from lacewing_daemon.direct.origins import VersionRecords
from lacewing_daemon.direct.queueing import RequestQueues

# The maximum time for which a call waits for changes. Each call that returns
# also confirms that the store is reachable.
ROUTING_CONFIG_WAIT_S = 1.2
UPSTREAMS_WAIT_S = 2.0
WEIGHTS_WAIT_S = 4.0
# Crashes are rare, and routers also broadcast them to each other.
CRASHES_WAIT_S = 15.0
# After a change the next call is delayed by this, so that one call returns a
# series of changes; well below the 2 s within which they must be active.
# Entries of upstreams change most, but until a router knows of a load it
# requests weights that the engine no longer has.
ROUTING_CONFIG_BATCH_DELAY_S = 0.15
UPSTREAMS_BATCH_DELAY_S = 0.5
CRASHES_BATCH_DELAY_S = 0.3
# Subtracted from the time within which keys must be refused, for requests that
# are in progress when it ends.
CONFIRM_SLACK_S = 0.15
# If keys are valid for so short a time that waiting calls, with a watch gap of
# up to a second, could never confirm them, the gap is limited to this fraction
# of the time.
WATCH_GAP_FRACTION = 0.5
POOL_SWEEP_S = 1.0
# When the store is restored from a snapshot, the entry of an upstream that was
# removed since lapses again within three heartbeats, unless the upstream is
# alive after all.
RESTORED_UPSTREAM_TIMEOUT_S = 10.0
# Delay from process start until peers are served. Importing the modules that
# this needs takes 60 ms of CPU time; before the first read of the store it
# would delay readiness.
PEERS_START_DELAY_S = 0.15
# A live upstream accepts a connection within some ms.
PROBE_TIMEOUT_S = 0.3

_log = get_log(Part.PLATFORM)


def keys_valid_s(revoke_s: float) -> float:
    """Return for how long keys stay valid without a confirmation.

    Requests with keys are refused after that, as a key may have been revoked
    right after the last confirmation. Refusing them earlier would reject
    callers without need.
    """
    return max(revoke_s / 2, revoke_s - CONFIRM_SLACK_S)


def watch_gap_s(revoke_s: float) -> float:
    """Return the watch gap that is assumed for a waiting call."""
    return min(WATCH_GAP_S, keys_valid_s(revoke_s) * WATCH_GAP_FRACTION)


def routing_config_wait_s(revoke_s: float) -> float:
    """Return how long a call waits for a change of the configuration.

    While a call waits, the last confirmation ages by that time. If its age
    passed the limit for valid keys, a router would repeatedly refuse all
    requests with keys although the store answers.
    """
    max_age_s = keys_valid_s(revoke_s) * CONFIRM_FRACTION
    return min(ROUTING_CONFIG_WAIT_S, max_age_s - watch_gap_s(revoke_s))


class Fleet:
    """Watch the store and track the upstreams."""

    def __init__(self, settings: DirectSettings, site: Site) -> None:
        self._cluster_state = ClusterState(
            settings.bounds, settings.policy, contention=settings.contention
        )
        random = Random()
        self._store_calls = StoreCallCounter()
        self._eras = StoreEras()
        self._store = InstrumentedObjects(
            site.store, self._store_calls, self._eras
        )
        self._settled_era = SettledEra(
            self._store, self._eras, random, settings.first_start
        )
        self._config_watcher: CollectionWatcher[RoutingConfig] = (
            CollectionWatcher(
                'configuration',
                site.routing_configs,
                routing_config_wait_s(settings.bounds.revoke_s),
                random,
                batch_delay_s=ROUTING_CONFIG_BATCH_DELAY_S,
                watch_gap_s=watch_gap_s(settings.bounds.revoke_s),
                strict=True,
                max_unconfirmed_s=keys_valid_s(settings.bounds.revoke_s),
                calls=self._store_calls,
                eras=self._eras,
                is_older=is_older_routing_config,
                settled_era=self._settled_era,
            )
        )
        self._upstream_watcher: CollectionWatcher[Upstream] = (
            CollectionWatcher(
                'upstreams',
                site.upstreams,
                UPSTREAMS_WAIT_S,
                random,
                True,
                UPSTREAMS_BATCH_DELAY_S,
                drop_unreadable=True,
                calls=self._store_calls,
                reconnect_leader=self._config_watcher,
                eras=self._eras,
                is_older=is_older_upstream,
                restored_timeout_s=RESTORED_UPSTREAM_TIMEOUT_S,
            )
        )
        self._weights_watcher: CollectionWatcher[ReleasedWeights] = (
            CollectionWatcher(
                'weights',
                site.weights,
                WEIGHTS_WAIT_S,
                random,
                calls=self._store_calls,
                reconnect_leader=self._config_watcher,
                eras=self._eras,
                is_older=is_older_release,
            )
        )
        self._crash_watcher: CollectionWatcher[str] = CollectionWatcher(
            CRASHES,
            site.system_texts(CRASHES),
            CRASHES_WAIT_S,
            random,
            batch_delay_s=CRASHES_BATCH_DELAY_S,
            calls=self._store_calls,
            reconnect_leader=self._config_watcher,
            eras=self._eras,
        )
        self._on_config: Callable[[RoutingConfig], None] | None = None
        self._pool = ConnectionPool()
        self._router_count = RouterCount(
            self._store,
            settings.process_id,
            random,
            self._cluster_state.set_router_count,
            address=settings.peers,
            eras=self._eras,
        )
        self._crash_guard = CrashGuard(
            settings.process_id,
            self._store,
            self._crash_watcher,
            lambda: self._router_count.addresses,
            _probe_connection,
            random,
            self._eras,
        )
        self._peers_address = settings.peers
        self._limiters = Limiters(
            settings.peers, self._cluster_state, self._router_count, random
        )
        self._current_versions = CurrentVersions(
            site.upstreams,
            site.control,
            self._is_engine_service,
            self._store_calls,
            self._eras,
        )
        self._stream_origins = StreamOrigins(
            lambda: self._router_count.addresses,
            self._upstreams_of,
            self._current_versions.versions,
            first_start=settings.first_start,
        )
        self._version_records = VersionRecords(
            self._store,
            self._stream_origins.history,
            self._stream_origins.confirm_upstreams,
            self._engine_services,
            settings.peers,
            lambda: self._router_count.addresses,
            self._eras,
            lambda: self._upstream_watcher.age_s,
        )
        self._restart_checks = RestartChecks(
            self._cluster_state,
            site.control,
            self._is_engine_service,
            lambda: self._upstream_watcher.age_s,
        )
        self._load_section = LoadSection(
            settings.peers,
            self._cluster_state,
            lambda: self._router_count.addresses,
        )
        self._shared_loads = SharedLoads(
            self._cluster_state, self._load_section.loads, random
        )
        self._load_exchange = LoadExchange(
            settings.peers,
            self._has_contended_services,
            lambda: self._router_count.addresses,
            random,
        )
        self._load_exchange.add_section(self._load_section)
        self._load_exchange.add_section(self._cluster_state.engine_speeds)
        self._speed_reporter = SpeedReporter(time.monotonic())
        self._queues: RequestQueues[Target] = RequestQueues(random)
        self._load_exchange.add_section(self._queues.shares)
        self._load_exchange.on_message(self._queues.all_changed)
        self._statements = Statements(self._limiters.upstreams)
        self._silence_detector = SilenceDetector(
            settings.policy.mute_ms / 1000
        )
        self._running: asyncio.Task[None] | None = None
        self._config_watcher.on_change(self._apply_routing_config)
        self._upstream_watcher.on_change(self._apply_upstream)
        self._cluster_state.on_restart(self._stream_origins.upstream_changed)
        self._weights_watcher.on_change(self._apply_release)

    @property
    def pool(self) -> ConnectionPool:
        """Return the connections to upstreams."""
        return self._pool

    @property
    def store(self) -> InstrumentedObjects:
        """Return the store of the system's own objects, with counted calls."""
        return self._store

    @property
    def silence_detector(self) -> SilenceDetector:
        """Return the detector of silent upstreams with open streams."""
        return self._silence_detector

    @property
    def crash_guard(self) -> CrashGuard:
        """Return the guard that blocks requests that crash upstreams."""
        return self._crash_guard

    @property
    def speed_reporter(self) -> SpeedReporter:
        """Return the reporter of the speed of engines."""
        return self._speed_reporter

    @property
    def team_limiter(self) -> TeamLimiter:
        """Return the limiter that charges requests of teams."""
        return self._limiters.teams

    @property
    def upstream_limiter(self) -> UpstreamLimiter:
        """Return the limiter that keeps to what upstreams say they take."""
        return self._limiters.upstreams

    @property
    def stream_origins(self) -> StreamOrigins:
        """Return the record of the software versions that began streams."""
        return self._stream_origins

    @property
    def restart_checks(self) -> RestartChecks:
        """Return the checks whether upstreams have started again unseen."""
        return self._restart_checks

    @property
    def load_exchange(self) -> LoadExchange:
        """Return the exchange of loads with the other routers."""
        return self._load_exchange

    @property
    def shared_loads(self) -> SharedLoads:
        """Return the load of the other routers, for placement."""
        return self._shared_loads

    @property
    def queues(self) -> RequestQueues[Target]:
        """Return the queues of requests that wait for an upstream."""
        return self._queues

    @property
    def statements(self) -> Statements:
        """Return the record of what upstreams say about themselves."""
        return self._statements

    @property
    def peer_addresses(self) -> tuple[str, ...]:
        """Return the addresses at which the other routers listen for peers."""
        return self._router_count.addresses

    @property
    def cluster_state(self) -> ClusterState:
        """Return the cluster state as observed so far."""
        return self._cluster_state

    @property
    def ready(self) -> bool:
        """Return whether requests can be served."""
        return (
            self._cluster_state.routing_config is not None
            and self._upstream_watcher.has_loaded
            and self._crash_watcher.has_loaded
            and self._version_records.has_tried
            and self.keys_confirmed
        )

    @property
    def keys_confirmed(self) -> bool:
        """Return whether the keys were confirmed recently enough to use."""
        limit_s = keys_valid_s(self._cluster_state.bounds.revoke_s)
        return self._config_watcher.age_s < limit_s

    @property
    def routing_config_age_s(self) -> float:
        """Return the age of the last confirmation of the configuration."""
        return self._config_watcher.age_s

    def on_routing_config(
        self, callback: Callable[[RoutingConfig], None]
    ) -> None:
        """Call back with each configuration that becomes active."""
        self._on_config = callback

    def update_weights(
        self, state: UpstreamState, model: str, version: int
    ) -> None:
        """Apply the version of weights that an upstream reported.

        If the store has not reported it, it was released after the last
        confirmation.
        """
        self._cluster_state.update_weights(
            state, model, version, self._weights_watcher.age_s
        )

    def update_age_metrics(self) -> None:
        """Update the metrics of the ages of watched collections."""
        for name, age_s in (
            ('configuration', self._config_watcher.age_s),
            ('upstreams', self._upstream_watcher.age_s),
            ('weights', self._weights_watcher.age_s),
        ):
            STORE_AGE_SECONDS.labels(name).set(age_s)
        self._limiters.teams.update_metrics()

    def start(self) -> None:
        """Start watching the store."""
        self._running = asyncio.create_task(
            keep_all_running(
                {
                    'settled era': self._settled_era.run,
                    'configuration': self._config_watcher.run,
                    'upstreams': self._upstream_watcher.run,
                    'weights': self._weights_watcher.run,
                    'crashes': self._crash_watcher.run,
                    'crash guard': self._crash_guard.run,
                    'sweep': self._sweep,
                    'silence': self._silence_detector.run,
                    'routers': self._router_count.run,
                    'store calls': self._store_calls.run,
                    'team limits': self._limiters.teams.run,
                    'upstream limits': self._limiters.upstreams.run,
                    'stream origins': self._stream_origins.run,
                    'software records': self._version_records.run,
                    'peers': self._run_peers,
                }
            )
        )

    async def deregister(self) -> None:
        """Mark the own entry, so that other routers stop counting it."""
        await self._router_count.deregister()

    def close(self) -> None:
        """Stop watching the store and close idle connections."""
        if self._running is not None:
            self._running.cancel()
        self._queues.close()
        self._crash_guard.close()
        self._stream_origins.close()
        self._current_versions.close()
        self._restart_checks.close()
        self._store_calls.log_counts()
        self._pool.close()

    def _apply_routing_config(
        self, _name: str, value: RoutingConfig | None
    ) -> None:
        if value is None:
            return
        before = self._cluster_state.routing_config
        if self._cluster_state.update_routing_config(value):
            response = self._config_watcher.last_response
            _log.info(
                'Took a configuration.',
                version=value.version,
                before=None if before is None else before.version,
                routes=len(value.routes),
                read_bytes=response.size,
                read_ms=round(response.took_s * 1000),
            )
        if self._cluster_state.routing_config is not value:
            return
        for state in self._cluster_state.upstreams.values():
            self._apply_entry_weights(state)
        if self._on_config is not None:
            self._on_config(value)

    def _apply_release(
        self, _name: str, value: ReleasedWeights | None
    ) -> None:
        if value is not None:
            self._cluster_state.record_release(
                value,
                self._weights_watcher.max_change_age_s,
                ReleaseSource.STORE,
            )

    def _apply_upstream(self, name: str, value: Upstream | None) -> None:
        before = self._cluster_state.upstream(name)
        known = None if before is None else before.upstream
        try:
            self._cluster_state.update_upstream(name, value)
        except Exception:
            # Its earlier entry no longer holds.
            self._cluster_state.update_upstream(name, None)
            self._stream_origins.upstream_changed(known, None)
            raise
        self._stream_origins.upstream_changed(known, value)
        if value is None:
            return
        if known is None or known.software != value.software:
            self._version_records.check_soon()
        state = self._cluster_state.upstream(name)
        if state is not None:
            self._apply_entry_weights(state)

    def _apply_entry_weights(self, state: UpstreamState) -> None:
        """Apply the versions in an entry as released.

        Another writer may have written the entry, so a service or model that
        is not configured is ignored: a version that was never released would
        end the use of all engines some seconds later.
        """
        models = self._cluster_state.models(state.upstream)
        for model, version in state.upstream.weights.items():
            if model in models:
                self.update_weights(state, model, version)

    def _upstreams_of(self, service: str) -> list[Upstream]:
        states = self._cluster_state.upstreams_of(service)
        return [state.upstream for state in states]

    def _engine_services(self) -> list[str] | None:
        config = self._cluster_state.routing_config
        if config is None:
            return None
        return [
            service.name
            for service in config.services.values()
            if service.engine is not None
        ]

    def _is_engine_service(self, service: str) -> bool:
        config = self._cluster_state.routing_config
        found = None if config is None else config.services.get(service)
        return found is not None and found.engine is not None

    def _has_contended_services(self) -> bool:
        state = self._cluster_state
        return any(map(state.is_contended, state.services))

    async def _run_peers(self) -> None:
        """Serve peers and call them until cancelled."""
        if not self._peers_address:
            return
        await asyncio.sleep(PEERS_START_DELAY_S)
        from lacewing_daemon.direct._peer_link import PeerLink
        from lacewing_daemon.direct.exchange._service import connect_exchange
        from lacewing_daemon.direct.origins._service import connect_origins

        link = PeerLink(self._peers_address)
        self._limiters.connect(link)
        connect_origins(self._stream_origins, link)
        carrier = connect_exchange(link, self._load_exchange)
        gossip = self._crash_guard.connect(link)
        try:
            await keep_all_running(
                {
                    'crash gossip': gossip.run,
                    'load exchange': partial(self._load_exchange.run, carrier),
                    'peer link': link.run,
                }
            )
        finally:
            self._crash_guard.disconnect()
            gossip.close()
            link.close()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(POOL_SWEEP_S)
            states = self._cluster_state.upstreams
            lost = self._pool.close_expired(
                state.upstream for state in states.values()
            )
            for upstream_id in lost & states.keys():
                self._restart_checks.connection_lost(states[upstream_id])
            self._limiters.upstreams.forget_old()


async def _probe_connection(upstream: Upstream) -> Contact:
    """Probe whether an upstream accepts a connection."""
    try:
        connection = await connect(upstream.address, PROBE_TIMEOUT_S)
    except ConnectionRefusedError:
        return Contact.REFUSED
    except OSError:
        return Contact.UNREACHABLE
    connection.close()
    return Contact.CONNECTED
