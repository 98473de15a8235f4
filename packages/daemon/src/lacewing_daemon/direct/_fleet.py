"""Hold what a direct router knows of the deployment."""

import asyncio
from collections.abc import Callable
from random import Random

from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.direct._attempt import Contact
from lacewing_daemon.direct._connection import connect
from lacewing_daemon.direct._directory import Directory
from lacewing_daemon.direct._eras import StoreEras
from lacewing_daemon.direct._followed import CONFIRM_PART
from lacewing_daemon.direct._followed import Followed
from lacewing_daemon.direct._knowledge import Knowledge
from lacewing_daemon.direct._knowledge import Learnt
from lacewing_daemon.direct._metrics import STORE_AGE_SECONDS
from lacewing_daemon.direct._older import older_directory
from lacewing_daemon.direct._older import older_upstream
from lacewing_daemon.direct._older import older_weights
from lacewing_daemon.direct._pool import ConnectionPool
from lacewing_daemon.direct._router_count import RouterCount
from lacewing_daemon.direct._settings import DirectSettings
from lacewing_daemon.direct._silence import SilenceWatch
from lacewing_daemon.direct._site import Site
from lacewing_daemon.direct._store_calls import CountedObjects
from lacewing_daemon.direct._store_calls import StoreCalls
from lacewing_daemon.direct._told_revisions import DEAF_S
from lacewing_daemon.direct._upstream import NamedWeights
from lacewing_daemon.direct._upstream import Upstream
from lacewing_daemon.direct._upstream_state import UpstreamState
from lacewing_daemon.direct.crashes._guard import CrashGuard
from lacewing_daemon.direct.crashes._stored import CRASHES

# How long a call waits for changes, at most. Each call that returns also
# proves that the store is reached.
DIRECTORY_WAIT_S = 1.2
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
DIRECTORY_GATHER_S = 0.15
UPSTREAMS_GATHER_S = 0.5
CRASHES_GATHER_S = 0.3
# Left of the time to refuse keys for what is under way when it has come.
CONFIRM_SLACK_S = 0.15
# Where the time is so short that waiting calls, which may be deaf for a
# second, could never confirm anything, only so much of it is allowed for.
DEAF_PART = 0.5
SWEEP_S = 1.0
# An entry of an upstream that had gone before the store returned from a copy
# lapses again within three heartbeats, unless the upstream lives after all.
COPIED_UPSTREAM_S = 10.0
# An upstream that lives takes a connection within some ms.
REACHED_S = 0.3

_log = get_log(Part.PLATFORM)


def keys_believed_s(revoke_s: float) -> float:
    """Return for how long a configuration is believed unconfirmed.

    Requests with keys are refused after that, as a key may have been taken
    away right after the last confirmation. Refusing sooner would turn away
    callers for nothing.
    """
    return max(revoke_s / 2, revoke_s - CONFIRM_SLACK_S)


def deaf_s(revoke_s: float) -> float:
    """Return for how long a waiting call is taken to have been deaf."""
    return min(DEAF_S, keys_believed_s(revoke_s) * DEAF_PART)


def directory_wait_s(revoke_s: float) -> float:
    """Return how long a call waits for a change of the configuration.

    While one call waits, what the one before confirmed grows older by that
    time. If it passed the time to refuse keys, a router would refuse all
    requests with keys again and again, though the store answers.
    """
    confirmed_s = keys_believed_s(revoke_s) * CONFIRM_PART
    return min(DIRECTORY_WAIT_S, confirmed_s - deaf_s(revoke_s))


class Fleet:
    """Follow the store and track the upstreams."""

    def __init__(self, settings: DirectSettings, site: Site) -> None:
        self._knowledge = Knowledge(settings.bounds, settings.policy)
        random = Random()
        self._calls = StoreCalls()
        self._eras = StoreEras()
        self._store = CountedObjects(site.store, self._calls, self._eras)
        self._directories: Followed[Directory] = Followed(
            'configuration',
            site.directories,
            directory_wait_s(settings.bounds.revoke_s),
            random,
            gather_s=DIRECTORY_GATHER_S,
            deaf_s=deaf_s(settings.bounds.revoke_s),
            strict=True,
            doubted_s=keys_believed_s(settings.bounds.revoke_s),
            calls=self._calls,
            eras=self._eras,
            is_older=older_directory,
        )
        self._upstreams: Followed[Upstream] = Followed(
            'upstreams',
            site.upstreams,
            UPSTREAMS_WAIT_S,
            random,
            True,
            UPSTREAMS_GATHER_S,
            drop_unreadable=True,
            calls=self._calls,
            guide=self._directories,
            eras=self._eras,
            is_older=older_upstream,
            doubt_s=COPIED_UPSTREAM_S,
        )
        self._weights: Followed[NamedWeights] = Followed(
            'weights',
            site.weights,
            WEIGHTS_WAIT_S,
            random,
            calls=self._calls,
            guide=self._directories,
            eras=self._eras,
            is_older=older_weights,
        )
        self._crashes: Followed[str] = Followed(
            CRASHES,
            site.own_texts(CRASHES),
            CRASHES_WAIT_S,
            random,
            gather_s=CRASHES_GATHER_S,
            calls=self._calls,
            guide=self._directories,
            eras=self._eras,
        )
        self._on_directory: Callable[[Directory], None] | None = None
        self._pool = ConnectionPool()
        self._routers = RouterCount(
            self._store,
            settings.process_id,
            random,
            self._knowledge.take_routers,
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
        self._silence = SilenceWatch(settings.policy.mute_ms / 1000)
        self._tasks: list[asyncio.Task[None]] = []
        self._directories.on_change(self._take_directory)
        self._upstreams.on_change(self._take_upstream)
        self._weights.on_change(self._take_weights)

    @property
    def pool(self) -> ConnectionPool:
        """Return the connections to upstreams."""
        return self._pool

    @property
    def store(self) -> CountedObjects:
        """Return the store of the system's own objects, calls counted."""
        return self._store

    @property
    def silence(self) -> SilenceWatch:
        """Return the watch over upstreams with streams under way."""
        return self._silence

    @property
    def guard(self) -> CrashGuard:
        """Return what blocks requests that crash upstreams."""
        return self._guard

    @property
    def peer_addresses(self) -> tuple[str, ...]:
        """Return where the other routers listen for this one."""
        return self._routers.addresses

    @property
    def knowledge(self) -> Knowledge:
        """Return what is known, as far as it was followed."""
        return self._knowledge

    @property
    def ready(self) -> bool:
        """Tell whether requests can be served."""
        return (
            self._knowledge.directory is not None
            and self._upstreams.read_once
            and self._crashes.read_once
            and self.keys_confirmed
        )

    @property
    def keys_confirmed(self) -> bool:
        """Tell whether a key that was taken away would be known."""
        limit_s = keys_believed_s(self._knowledge.bounds.revoke_s)
        return self._directories.age_s < limit_s

    @property
    def directory_age_s(self) -> float:
        """Return for how long the configuration has not been confirmed."""
        return self._directories.age_s

    def on_directory(self, callback: Callable[[Directory], None]) -> None:
        """Call back with each configuration that comes into force."""
        self._on_directory = callback

    def learn_weights(
        self, state: UpstreamState, model: str, version: int
    ) -> None:
        """Take the version of weights that an upstream told.

        If the store told nothing of it, it was named after the last
        confirmation.
        """
        self._knowledge.learn_weights(
            state, model, version, self._weights.age_s
        )

    def measure_ages(self) -> None:
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

    async def leave(self) -> None:
        """Tell the other routers that this one ends."""
        await self._routers.leave()

    def close(self) -> None:
        """Stop following; close idle connections."""
        for task in self._tasks:
            task.cancel()
        self._guard.close()
        self._calls.tell()
        self._pool.close()

    def _take_directory(self, _name: str, value: Directory | None) -> None:
        known = self._knowledge.directory
        if value is None or not self._knowledge.take_directory(value):
            return
        read = self._directories.last_read
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

    def _take_weights(self, _name: str, value: NamedWeights | None) -> None:
        if value is not None:
            self._knowledge.take_weights(
                value, self._weights.unsure_s, Learnt.STORE
            )

    def _take_upstream(self, name: str, value: Upstream | None) -> None:
        self._knowledge.take_upstream(name, value)
        if value is None:
            return
        state = self._knowledge.state(name)
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
                self.learn_weights(state, model, version)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            states = self._knowledge.upstreams.values()
            self._pool.sweep(state.upstream for state in states)


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
        return Contact.NONE
    connection.close()
    return Contact.MADE
