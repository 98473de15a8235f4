"""Hold what a direct router knows of the deployment."""

import asyncio
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from lacewing_daemon.direct._budget import RetryBudget
from lacewing_daemon.direct._clock import boot_s
from lacewing_daemon.direct._directory import Directory
from lacewing_daemon.direct._directory import Service
from lacewing_daemon.direct._followed import Followed
from lacewing_daemon.direct._metrics import STORE_AGE_SECONDS
from lacewing_daemon.direct._pool import ConnectionPool
from lacewing_daemon.direct._settings import Bounds
from lacewing_daemon.direct._settings import DirectSettings
from lacewing_daemon.direct._site import Site
from lacewing_daemon.direct._upstream import NamedWeights
from lacewing_daemon.direct._upstream import Upstream
from lacewing_daemon.direct._upstream_state import UpstreamState

# How long a call waits for changes. Each call that returns also proves that
# the store is reached, so this is well below the time to refuse a key that
# was taken away (5 s) and to leave an upstream that drains (2 s).
DIRECTORY_WAIT_S = 1.2
UPSTREAMS_WAIT_S = 2.0
WEIGHTS_WAIT_S = 4.0
# After a change the next call waits this long, so that a series of changes
# takes one call; well below the 2 s in which they must be in force.
DIRECTORY_GATHER_S = 0.15
UPSTREAMS_GATHER_S = 0.2
# The part of the time to refuse revoked keys after which an unconfirmed
# configuration is no longer believed; the rest covers the way of a request
# and a store whose watches are a second behind.
REVOKE_PART = 0.7
# Shares of the retry budget; more routers than this would overdraw it.
ROUTERS_ASSUMED = 8
# What the store of kept KV cache evicts is not told; parts saved longer ago
# are saved again.
SAVED_S = 20.0
SAVED_PARTS = 4096
SWEEP_S = 1.0
# The part of the time for new weights after which none begins on older ones.
OLD_WEIGHTS_PART = 0.75
# A router that has just started still sends to engines with older weights
# for so long; they may be the only ones.
START_GRACE_S = 2.5


@dataclass(frozen=True)
class NamedVersion:
    """Hold a version of weights (0: none) and how long ago it was named."""

    version: int
    age_s: float


class Fleet:
    """Follow the store and track the upstreams."""

    def __init__(self, settings: DirectSettings, site: Site) -> None:
        self._bounds = settings.bounds
        random = Random()
        self._directories: Followed[Directory] = Followed(
            'configuration',
            site.directories,
            DIRECTORY_WAIT_S,
            random,
            gather_s=DIRECTORY_GATHER_S,
        )
        self._upstreams: Followed[Upstream] = Followed(
            'upstreams',
            site.upstreams,
            UPSTREAMS_WAIT_S,
            random,
            True,
            UPSTREAMS_GATHER_S,
        )
        self._weights: Followed[NamedWeights] = Followed(
            'weights', site.weights, WEIGHTS_WAIT_S, random
        )
        self._directory: Directory | None = None
        self._states: dict[str, UpstreamState] = {}
        self._by_service: dict[str, list[UpstreamState]] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._named_since: dict[str, tuple[int, float]] = {}
        self._saved: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._pool = ConnectionPool()
        self._tasks: list[asyncio.Task[None]] = []
        self._directories.on_change(self._take_directory)
        self._upstreams.on_change(self._take_upstream)
        self._weights.on_change(self._take_weights)

    @property
    def pool(self) -> ConnectionPool:
        """Return the connections to upstreams."""
        return self._pool

    @property
    def directory(self) -> Directory | None:
        """Return the configuration in force, None before the first."""
        return self._directory

    @property
    def weights(self) -> Followed[NamedWeights]:
        """Return the versions of weights that operators named."""
        return self._weights

    @property
    def bounds(self) -> Bounds:
        """Return what the deployment promises."""
        return self._bounds

    @property
    def upstreams(self) -> Mapping[str, UpstreamState]:
        """Return all known upstreams by id."""
        return self._states

    @property
    def ready(self) -> bool:
        """Tell whether requests can be served."""
        return (
            self._directory is not None
            and self._upstreams.read_once
            and self.keys_confirmed
        )

    @property
    def keys_confirmed(self) -> bool:
        """Tell whether a key that was taken away would be known."""
        limit_s = self._bounds.revoke_s * REVOKE_PART
        return self._directories.age_s < limit_s

    @property
    def directory_age_s(self) -> float:
        """Return for how long the configuration has not been confirmed."""
        return self._directories.age_s

    def states(self, service: str) -> list[UpstreamState]:
        """Return the upstreams of a service."""
        return self._by_service.get(service, [])

    def state(self, upstream_id: str) -> UpstreamState | None:
        """Return what is known of one upstream."""
        return self._states.get(upstream_id)

    def named_weights(self, model: str) -> NamedVersion:
        """Return the version named last for a model and for how long."""
        version, since_s = self._named_since.get(model, (0, boot_s()))
        return NamedVersion(version, boot_s() - since_s)

    def budget(self, service: Service) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service.name)
        if budget is None:
            budget = RetryBudget(
                self._bounds.repeat_ratio,
                self._bounds.repeat_slack,
                self._bounds.repeat_window_s,
            )
            self._budgets[service.name] = budget
        return budget

    def saved(self, wall: str, part_id: str, now_s: float) -> bool:
        """Tell whether the store of KV cache was sent a part lately."""
        saved_s = self._saved.get((wall, part_id))
        return saved_s is not None and now_s - saved_s < SAVED_S

    def note_saved(self, wall: str, part_id: str, now_s: float) -> None:
        """Note that a part was sent to the store of KV cache."""
        key = (wall, part_id)
        self._saved[key] = now_s
        self._saved.move_to_end(key)
        if len(self._saved) > SAVED_PARTS:
            self._saved.popitem(last=False)

    def take_bounds(self, bounds: Bounds) -> None:
        """Use other bounds from now on."""
        self._bounds = bounds
        self._budgets.clear()

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
            self._sweep(),
        ):
            self._tasks.append(asyncio.create_task(run))

    def close(self) -> None:
        """Stop following; close idle connections."""
        for task in self._tasks:
            task.cancel()
        self._pool.close()

    def _take_directory(self, _name: str, value: Directory | None) -> None:
        if value is None:
            return
        current = self._directory
        if current is not None and value.version <= current.version:
            return
        self._directory = value

    def _take_upstream(self, name: str, value: Upstream | None) -> None:
        state = self._states.get(name)
        if value is None:
            if state is not None:
                del self._states[name]
                self._by_service[state.upstream.service].remove(state)
            return
        if state is not None:
            state.update(value)
            return
        state = UpstreamState(value)
        self._states[name] = state
        self._by_service.setdefault(value.service, []).append(state)

    def _take_weights(self, _name: str, value: NamedWeights | None) -> None:
        if value is None:
            return
        known, _ = self._named_since.get(value.model, (0, 0.0))
        if value.version <= known:
            return
        since_s = boot_s()
        if not self._weights.read_once:
            # Named before this process started, nobody says when. Other
            # routers may have refused older weights for long; this one joins
            # them soon after its start.
            since_s -= self._bounds.weights_s * OLD_WEIGHTS_PART
            since_s += START_GRACE_S
        self._named_since[value.model] = (value.version, since_s)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self._pool.sweep(self._states)
