"""Hold what a direct router knows of the deployment."""

import asyncio
from collections.abc import Callable
from random import Random

from lacewing_common.log import get_log
from lacewing_common.log import Part

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
from lacewing_daemon.direct._router_count import RouterCount
from lacewing_daemon.direct._routing_config import RoutingConfig
from lacewing_daemon.direct._settings import DirectSettings
from lacewing_daemon.direct._silence_detector import SilenceDetector
from lacewing_daemon.direct._site import Site
from lacewing_daemon.direct._store_calls import InstrumentedObjects
from lacewing_daemon.direct._store_calls import StoreCallCounter
from lacewing_daemon.direct._store_eras import StoreEras
from lacewing_daemon.direct._upstream import ReleasedWeights
from lacewing_daemon.direct._upstream import Upstream
from lacewing_daemon.direct._upstream_state import UpstreamState
from lacewing_daemon.direct.crashes._crash_store import CRASHES
from lacewing_daemon.direct.crashes._guard import CrashGuard

# How long a call waits for changes, at most. Each call that returns also
# proves that the store is reached.
ROUTING_CONFIG_WAIT_S = 1.2
UPSTREAMS_WAIT_S = 2.0
WEIGHTS_WAIT_S = 4.0
# Crashes are rare, and routers tell them to each other as well.
CRASHES_WAIT_S = 15.0
# After a change the next call waits this long, so that a series of changes
# takes one call; well below the 2 s in which they must be in force. Entries
# of upstreams change most: three a second while engines load weights and
# some are replaced, which takes 2.5 calls a second at 0.2 s and 1.7 at 0.5
# (counted over 30 s). At 0.8 s 1.1% fewer prompts came in time, as routers
# ask longer for weights that an engine no longer has.
ROUTING_CONFIG_BATCH_DELAY_S = 0.15
UPSTREAMS_BATCH_DELAY_S = 0.5
CRASHES_BATCH_DELAY_S = 0.3
# Left of the time to refuse keys for what is under way when it has come.
CONFIRM_SLACK_S = 0.15
# Where the time is so short that waiting calls, which may be deaf for a
# second, could never confirm anything, only so much of it is allowed for.
WATCH_GAP_FRACTION = 0.5
SWEEP_S = 1.0
# An entry of an upstream that had gone before the store returned from a copy
# lapses again within three heartbeats, unless the upstream lives after all.
COPIED_UPSTREAM_S = 10.0
# An upstream that lives takes a connection within some ms.
REACHED_S = 0.3

_log = get_log(Part.PLATFORM)


def keys_valid_s(revoke_s: float) -> float:
    """Return for how long a configuration is believed unconfirmed.

    Requests with keys are refused after that, as a key may have been taken
    away right after the last confirmation. Refusing sooner would turn away
    callers for nothing.
    """
    return max(revoke_s / 2, revoke_s - CONFIRM_SLACK_S)


def watch_gap_s(revoke_s: float) -> float:
    """Return for how long a waiting call is taken to have been deaf."""
    return min(WATCH_GAP_S, keys_valid_s(revoke_s) * WATCH_GAP_FRACTION)


def routing_config_wait_s(revoke_s: float) -> float:
    """Return how long a call waits for a change of the configuration.

    While one call waits, what the one before confirmed grows older by that
    time. If it passed the time to refuse keys, a router would refuse all
    requests with keys again and again, though the store answers.
    """
    confirmed_s = keys_valid_s(revoke_s) * CONFIRM_FRACTION
    return min(ROUTING_CONFIG_WAIT_S, confirmed_s - watch_gap_s(revoke_s))


class Fleet:
    """Follow the store and track the upstreams."""

    def __init__(self, settings: DirectSettings, site: Site) -> None:
        self._knowledge = ClusterState(settings.bounds, settings.policy)
        random = Random()
        self._calls = StoreCallCounter()
        self._eras = StoreEras()
        self._store = InstrumentedObjects(site.store, self._calls, self._eras)
        self._directories: CollectionWatcher[RoutingConfig] = (
            CollectionWatcher(
                'configuration',
                site.routing_configs,
                routing_config_wait_s(settings.bounds.revoke_s),
                random,
                batch_delay_s=ROUTING_CONFIG_BATCH_DELAY_S,
                watch_gap_s=watch_gap_s(settings.bounds.revoke_s),
                strict=True,
                max_unconfirmed_s=keys_valid_s(settings.bounds.revoke_s),
                calls=self._calls,
                eras=self._eras,
                is_older=is_older_routing_config,
            )
        )
        self._upstreams: CollectionWatcher[Upstream] = CollectionWatcher(
            'upstreams',
            site.upstreams,
            UPSTREAMS_WAIT_S,
            random,
            True,
            UPSTREAMS_BATCH_DELAY_S,
            drop_unreadable=True,
            calls=self._calls,
            reconnect_leader=self._directories,
            eras=self._eras,
            is_older=is_older_upstream,
            restored_timeout_s=COPIED_UPSTREAM_S,
        )
        self._weights: CollectionWatcher[ReleasedWeights] = CollectionWatcher(
            'weights',
            site.weights,
            WEIGHTS_WAIT_S,
            random,
            calls=self._calls,
            reconnect_leader=self._directories,
            eras=self._eras,
            is_older=is_older_release,
        )
        self._crashes: CollectionWatcher[str] = CollectionWatcher(
            CRASHES,
            site.system_texts(CRASHES),
            CRASHES_WAIT_S,
            random,
            batch_delay_s=CRASHES_BATCH_DELAY_S,
            calls=self._calls,
            reconnect_leader=self._directories,
            eras=self._eras,
        )
        self._on_directory: Callable[[RoutingConfig], None] | None = None
        self._pool = ConnectionPool()
        self._routers = RouterCount(
            self._store,
            settings.process_id,
            random,
            self._knowledge.set_router_count,
            address=settings.peers,
            eras=self._eras,
        )
        self._guard = CrashGuard(
            settings.process_id,
            settings.peers,
            self._store,
            self._crashes,
            lambda: self._routers.addresses,
            _reached,
            random,
            self._eras,
        )
        self._silence = SilenceDetector(settings.policy.mute_ms / 1000)
        self._tasks: list[asyncio.Task[None]] = []
        self._directories.on_change(self._take_directory)
        self._upstreams.on_change(self._take_upstream)
        self._weights.on_change(self._take_weights)

    @property
    def pool(self) -> ConnectionPool:
        """Return the connections to upstreams."""
        return self._pool

    @property
    def store(self) -> InstrumentedObjects:
        """Return the store of the system's own objects, calls counted."""
        return self._store

    @property
    def silence_detector(self) -> SilenceDetector:
        """Return the watch over upstreams with streams under way."""
        return self._silence

    @property
    def crash_guard(self) -> CrashGuard:
        """Return what blocks requests that crash upstreams."""
        return self._guard

    @property
    def peer_addresses(self) -> tuple[str, ...]:
        """Return where the other routers listen for this one."""
        return self._routers.addresses

    @property
    def cluster_state(self) -> ClusterState:
        """Return what is known, as far as it was followed."""
        return self._knowledge

    @property
    def ready(self) -> bool:
        """Tell whether requests can be served."""
        return (
            self._knowledge.routing_config is not None
            and self._upstreams.has_loaded
            and self._crashes.has_loaded
            and self.keys_confirmed
        )

    @property
    def keys_confirmed(self) -> bool:
        """Tell whether a key that was taken away would be known."""
        limit_s = keys_valid_s(self._knowledge.bounds.revoke_s)
        return self._directories.age_s < limit_s

    @property
    def routing_config_age_s(self) -> float:
        """Return for how long the configuration has not been confirmed."""
        return self._directories.age_s

    def on_routing_config(
        self, callback: Callable[[RoutingConfig], None]
    ) -> None:
        """Call back with each configuration that comes into force."""
        self._on_directory = callback

    def update_weights(
        self, state: UpstreamState, model: str, version: int
    ) -> None:
        """Take the version of weights that an upstream told.

        If the store told nothing of it, it was named after the last
        confirmation.
        """
        self._knowledge.update_weights(
            state, model, version, self._weights.age_s
        )

    def update_age_metrics(self) -> None:
        """Write the ages of what is known into the metrics."""
        for name, age_s in (
            ('configuration', self._directories.age_s),
            ('upstreams', self._upstreams.age_s),
            ('weights', self._weights.age_s),
        ):
            STORE_AGE_SECONDS.labels(name).set(age_s)

    def start(self) -> None:
        """Begin to follow the store."""
        for run in (
            self._directories.run(),
            self._upstreams.run(),
            self._weights.run(),
            self._crashes.run(),
            self._guard.run(),
            self._sweep(),
            self._silence.run(),
            self._routers.run(),
            self._calls.run(),
        ):
            task = asyncio.create_task(run)
            task.add_done_callback(_report_fault)
            self._tasks.append(task)

    async def deregister(self) -> None:
        """Tell the other routers that this one ends."""
        await self._routers.deregister()

    def close(self) -> None:
        """Stop following; close idle connections."""
        for task in self._tasks:
            task.cancel()
        self._guard.close()
        self._calls.log_counts()
        self._pool.close()

    def _take_directory(self, _name: str, value: RoutingConfig | None) -> None:
        known = self._knowledge.routing_config
        if value is None or not self._knowledge.update_routing_config(value):
            return
        read = self._directories.last_response
        _log.info(
            'Took a configuration.',
            version=value.version,
            before=None if known is None else known.version,
            routes=len(value.routes),
            read_bytes=read.size,
            read_ms=round(read.took_s * 1000),
        )
        for state in self._knowledge.upstreams.values():
            self._take_entry_weights(state)
        if self._on_directory is not None:
            self._on_directory(value)

    def _take_weights(self, _name: str, value: ReleasedWeights | None) -> None:
        if value is not None:
            self._knowledge.record_release(
                value, self._weights.max_change_age_s, ReleaseSource.STORE
            )

    def _take_upstream(self, name: str, value: Upstream | None) -> None:
        self._knowledge.update_upstream(name, value)
        if value is None:
            return
        state = self._knowledge.upstream(name)
        if state is not None:
            self._take_entry_weights(state)

    def _take_entry_weights(self, state: UpstreamState) -> None:
        """Take the versions in an entry for named.

        Somebody else may have written it. Of a service or a model that the
        configuration does not hold nothing counts: a version that was never
        named would end the use of all engines some seconds later.
        """
        models = self._knowledge.models(state.upstream)
        for model, version in state.upstream.weights.items():
            if model in models:
                self.update_weights(state, model, version)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            states = self._knowledge.upstreams.values()
            self._pool.close_expired(state.upstream for state in states)


def _report_fault(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log.error('A task ended.', error=repr(task.exception()))


async def _reached(upstream: Upstream) -> Contact:
    """Try whether an upstream takes a connection."""
    try:
        connection = await connect(upstream.address, REACHED_S)
    except ConnectionRefusedError:
        return Contact.REFUSED
    except OSError:
        return Contact.UNREACHABLE
    connection.close()
    return Contact.CONNECTED
