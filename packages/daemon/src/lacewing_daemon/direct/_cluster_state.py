"""Hold what one router knows of the deployment; decisions read it."""

from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
from enum import Enum

from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.direct._budget import RetryBudget
from lacewing_daemon.direct._clock import boot_s
from lacewing_daemon.direct._estimates import apply_estimates
from lacewing_daemon.direct._estimates import ESTIMATE_INTERVAL_S
from lacewing_daemon.direct._estimates import Estimates
from lacewing_daemon.direct._line_budget import LineBudget
from lacewing_daemon.direct._loading import load_schedule
from lacewing_daemon.direct._loading import nearly_overdue_after_s
from lacewing_daemon.direct._metrics import ENGINE_ESTIMATE
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._router_count import DEFAULT_ROUTER_COUNT
from lacewing_daemon.direct._routing_config import RoutingConfig
from lacewing_daemon.direct._routing_config import Service
from lacewing_daemon.direct._settings import Bounds
from lacewing_daemon.direct._silence_history import SilenceHistory
from lacewing_daemon.direct._site import UpstreamReport
from lacewing_daemon.direct._upstream import ReleasedWeights
from lacewing_daemon.direct._upstream import Upstream
from lacewing_daemon.direct._upstream_state import UpstreamState
from lacewing_daemon.direct._weights_releases import add_release
from lacewing_daemon.direct._weights_releases import ReleaseAge
from lacewing_daemon.direct._weights_releases import superseded_for_s
from lacewing_daemon.direct._weights_releases import WeightsRelease

# What the store of kept KV cache evicts is not told; parts saved longer ago
# are saved again.
SAVED_S = 20.0
SAVED_PARTS = 4096
# The part of the time for new weights after which none begins on older ones.
OLD_WEIGHTS_FRACTION = 0.75
# A router that hears of the store again still sends to engines with older
# weights for so long; they may be the only ones.
GAP_GRACE_S = 2.5
# So does one that has just started. The platform counts it as one that runs
# 3 s after its process was started; 0.7 s of these are for requests that wait
# at their engine. Most have read what is named 0.8 s after the start.
START_GRACE_S = 1.5
START_USES_S = 2.3
# Upstreams whose entries are gone that are remembered; what an earlier start
# says late comes within seconds, and at most some tens go in that time.
GONE_KEPT = 256

_MS = 1000.0
_ESTIMATED = ('prefill_tokens_per_ms', 'step_ms', 'load_ms', 'usual_read_ms')

_log = get_log(Part.PLACEMENT)
_platform_log = get_log(Part.PLATFORM)


class ReleaseSource(Enum):
    """Tell how a router learnt that weights are named."""

    STORE = 'store'
    UPSTREAM = 'upstream'


@dataclass(frozen=True)
class _LoadTimes:
    """Hold the load times computed last, and what for."""

    version: int
    times: Mapping[str, float]


@dataclass(frozen=True)
class _PolicySeen:
    """Hold a policy with estimates and when it was worked out."""

    policy: LoadPolicy
    at_s: float


class ClusterState:
    """Hold configuration, upstreams, named weights and kept parts.

    ``clock`` counts seconds, those of a suspended VM included.
    """

    def __init__(
        self,
        bounds: Bounds,
        policy: LoadPolicy,
        clock: Callable[[], float] = boot_s,
    ) -> None:
        self._bounds = bounds
        self._policy = policy
        self._clock = clock
        self._routers = DEFAULT_ROUTER_COUNT
        self._directory: RoutingConfig | None = None
        self._states: dict[str, UpstreamState] = {}
        self._gone: OrderedDict[str, UpstreamState] = OrderedDict()
        self._by_service: dict[str, list[UpstreamState]] = {}
        self._paces: dict[str, SilenceHistory] = {}
        self._estimates: dict[str, Estimates] = {}
        self._policies: dict[str, _PolicySeen] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._namings: dict[str, tuple[WeightsRelease, ...]] = {}
        self._told_s: dict[str, float] = {}
        self._load_times: dict[str, _LoadTimes] = {}
        self._saved: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._lines = LineBudget(clock())
        self._started_s: float | None = None

    @property
    def routing_config(self) -> RoutingConfig | None:
        """Return the configuration in force, None before the first."""
        return self._directory

    @property
    def bounds(self) -> Bounds:
        """Return what the deployment promises."""
        return self._bounds

    @property
    def old_weights_limit_s(self) -> float:
        """Return for how long after a naming older weights are used."""
        return self._bounds.weights_s * OLD_WEIGHTS_FRACTION

    @property
    def router_count(self) -> int:
        """Return the number of routers that live, this one included."""
        return self._routers

    @property
    def policy(self) -> LoadPolicy:
        """Return the figures that are configured."""
        return self._policy

    def policy_for(self, service: str) -> LoadPolicy:
        """Return the figures that decisions on a service are made by.

        What its engines have shown of late stands in place of what is
        configured.
        """
        now_s = self._clock()
        known = self._policies.get(service)
        if known is not None and now_s - known.at_s < ESTIMATE_INTERVAL_S:
            return known.policy
        policy = apply_estimates(self._policy, self.estimates(service), now_s)
        self._policies[service] = _PolicySeen(policy, now_s)
        for figure in _ESTIMATED:
            gauge = ENGINE_ESTIMATE.labels(service, figure)
            gauge.set(getattr(policy, figure))
        return policy

    def estimates(self, service: str) -> Estimates:
        """Return what the engines of a service have shown."""
        return self._estimates.setdefault(service, Estimates())

    @property
    def upstreams(self) -> Mapping[str, UpstreamState]:
        """Return all known upstreams by id."""
        return self._states

    @property
    def released_weights(self) -> tuple[ReleasedWeights, ...]:
        """Return the version named last of each model."""
        found = []
        for model, namings in self._namings.items():
            found.append(ReleasedWeights(model, namings[-1].version))
        return tuple(found)

    def upstreams_of(self, service: str) -> list[UpstreamState]:
        """Return the upstreams of a service."""
        return self._by_service.get(service, [])

    def upstream(self, upstream_id: str) -> UpstreamState | None:
        """Return what is known of one upstream."""
        return self._states.get(upstream_id)

    def is_routed(self, upstream: Upstream) -> bool:
        """Tell whether an upstream is of a service and stays in it.

        An entry may name a service that no configuration holds. Nothing is
        known of what is at its address.
        """
        if upstream.leaving:
            return False
        directory = self._directory
        return directory is None or upstream.service in directory.services

    def models(self, upstream: Upstream) -> tuple[str, ...]:
        """Return the models that the configuration has an upstream serve."""
        if self._directory is None:
            return ()
        service = self._directory.services.get(upstream.service)
        if service is None or service.engine is None:
            return ()
        return service.engine.models

    def current_release(self, model: str) -> ReleaseAge:
        """Return the version named last for a model and how long ago.

        Counted from when this router was told, as all of them are at nearly
        the same time; when it was named at the earliest is in ``namings``.
        """
        namings = self._namings.get(model)
        if not namings:
            return ReleaseAge(0, 0.0)
        return ReleaseAge(
            namings[-1].version, self._clock() - self._told_s[model]
        )

    def releases(self, model: str) -> tuple[ReleaseAge, ...]:
        """Return the namings of a model that matter, the newest last."""
        now_s = self._clock()
        found = []
        for naming in self._namings.get(model, ()):
            age_s = now_s - naming.released_s
            found.append(ReleaseAge(naming.version, age_s))
        return tuple(found)

    def load_schedule(self, model: str) -> Mapping[str, float]:
        """Return when each engine of a model loads, after the naming."""
        version = self.current_release(model).version
        known = self._load_times.get(model)
        if known is not None and known.version == version:
            return known.times
        engines = {}
        for upstream_id, state in self._states.items():
            loaded = state.weights(model)
            if loaded is not None and self.is_routed(state.upstream):
                engines[upstream_id] = loaded
        # Computed once for a version: what loads meanwhile must not change
        # the order of the rest.
        times = load_schedule(model, version, engines, self._policy)
        self._load_times[model] = _LoadTimes(version, times)
        return times

    def nearly_overdue_in_s(self, model: str, version: int) -> float:
        """Return the time until weights are nearly overdue.

        Negative once they are, infinite for the newest.
        """
        lacks_s = superseded_for_s(self.releases(model), version)
        if lacks_s <= 0:
            return float('inf')
        return nearly_overdue_after_s(self.old_weights_limit_s) - lacks_s

    def retry_budget(self, service: Service) -> RetryBudget:
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

    def is_saved(self, cache_salt: str, part_id: str, now_s: float) -> bool:
        """Tell whether the store of KV cache was sent a part lately."""
        saved_s = self._saved.get((cache_salt, part_id))
        return saved_s is not None and now_s - saved_s < SAVED_S

    def mark_saved(self, cache_salt: str, part_id: str, now_s: float) -> None:
        """Note that a part was sent to the store of KV cache."""
        key = (cache_salt, part_id)
        self._saved[key] = now_s
        self._saved.move_to_end(key)
        if len(self._saved) > SAVED_PARTS:
            self._saved.popitem(last=False)

    def set_bounds(self, bounds: Bounds) -> None:
        """Use other bounds from now on."""
        self._bounds = bounds
        self._budgets.clear()

    def set_process_start(self, at_s: float) -> None:
        """Take when the process was started, on the clock given."""
        self._started_s = at_s

    def set_router_count(self, count: int) -> None:
        """Take how many routers live."""
        self._routers = count

    def update_routing_config(self, value: RoutingConfig) -> bool:
        """Take a configuration; false if it is not newer."""
        current = self._directory
        if current is not None and value.version <= current.version:
            return False
        self._directory = value
        return True

    def update_upstream(self, name: str, value: Upstream | None) -> None:
        """Take an upstream's entry; None once it is gone.

        A later start under the same id is another upstream of which nothing
        is known; what an earlier one says changes nothing. An entry that
        tells no start although one is known of the id was written by
        somebody else, and names no upstream.
        """
        state = self._states.get(name)
        before = self._gone.get(name) if state is None else state
        if value is not None and before is not None:
            known_ms = before.upstream.started_ms
            if 0 < value.started_ms < known_ms:
                return
            if value.started_ms < known_ms:
                value = None
            elif value.started_ms > known_ms:
                before.mark_replaced()
                self._started_again(value)
        if state is not None and value is not None and not state.replaced:
            self._update(state, value)
            return
        if state is not None:
            self._remove(state)
        if value is None:
            return
        self._gone.pop(name, None)
        if before is None or before.replaced:
            pace = self._paces.setdefault(value.service, SilenceHistory())
            self._add(UpstreamState(value, pace))
            return
        before.update(value)
        self._add(before)

    def apply_report(
        self, state: UpstreamState, report: UpstreamReport
    ) -> bool:
        """Take an upstream's report; false if it is of another start."""
        upstream = state.upstream
        if state.replaced:
            return False
        if report.started_ms and upstream.started_ms:
            if report.started_ms < upstream.started_ms:
                return False
            if report.started_ms > upstream.started_ms:
                if self._states.get(upstream.upstream_id) is state:
                    self.update_upstream(
                        upstream.upstream_id,
                        replace(
                            upstream,
                            leaving=False,
                            weights=report.weights,
                            started_ms=report.started_ms,
                        ),
                    )
                return False
        for model, version in report.weights.items():
            state.update_weights(model, version)
        return True

    def update_weights(
        self,
        state: UpstreamState,
        model: str,
        version: int,
        max_age_s: float = 0.0,
    ) -> None:
        """Take the version of weights that an upstream told.

        A version that one of them has was named, also if this router is cut
        from the store and could not read it.
        """
        self._learn_load(state, model, version)
        state.update_weights(model, version)
        named = ReleasedWeights(model, version)
        self.record_release(named, max_age_s, ReleaseSource.UPSTREAM)

    def _learn_load(
        self, state: UpstreamState, model: str, version: int
    ) -> None:
        """Learn from an engine's new weights how long after its turn."""
        had = state.weights(model)
        if had is None or had >= version:
            return
        plan = self._load_times.get(model)
        named = self.current_release(model)
        if plan is None or not plan.version == version == named.version:
            return
        turn_s = plan.times.get(state.upstream.upstream_id)
        if turn_s is None:
            return
        self.estimates(state.upstream.service).record_load(
            (named.age_s - turn_s) * _MS, self._clock()
        )

    def record_release(
        self,
        value: ReleasedWeights,
        max_age_s: float = 0.0,
        source: ReleaseSource = ReleaseSource.STORE,
    ) -> None:
        """Take a version that was named at some time since ``max_age_s`` ago.

        Infinite for one that was there when this process started.
        """
        namings = self._namings.get(value.model, ())
        known = namings[-1].version if namings else 0
        if value.version <= known:
            return
        now_s = self._clock()
        # Counted from now, versions of which this router did not hear at
        # once would get more time than they have. Other routers may have
        # refused older weights for long; this one joins them soon.
        first = max_age_s == float('inf')
        grace_s = self._start_grace_s(now_s) if first else GAP_GRACE_S
        most_s = max(0.0, self.old_weights_limit_s - grace_s)
        since_s = now_s - min(max_age_s, most_s)
        if namings:
            since_s = max(since_s, namings[-1].released_s)
        self._namings[value.model] = add_release(
            namings,
            WeightsRelease(value.version, since_s),
            self.old_weights_limit_s,
        )
        # Loads are not brought forward for a doubt; at a start others may
        # have had theirs.
        self._told_s[value.model] = since_s if first else now_s
        # A line that is left out shows in the next one, by `before`.
        if self._lines.allow(True, now_s):
            _log.info(
                'Weights are named.',
                model=value.model,
                version=value.version,
                before=known,
                before_start=first,
                learnt=source.value,
                age_ms=int((now_s - since_s) * _MS),
            )

    def _start_grace_s(self, now_s: float) -> float:
        """Return for how long older weights are used after a start.

        Counted from reading alone, a process that takes long to start would
        use them when the platform counts it as one that runs.
        """
        if self._started_s is None:
            return START_GRACE_S
        left_s = self._started_s + START_USES_S - now_s
        return min(START_GRACE_S, max(0.0, left_s))

    def _add(self, state: UpstreamState) -> None:
        upstream = state.upstream
        self._states[upstream.upstream_id] = state
        self._by_service.setdefault(upstream.service, []).append(state)

    def _update(self, state: UpstreamState, value: Upstream) -> None:
        service = state.upstream.service
        state.update(value)
        if state.upstream.service == service:
            return
        self._by_service[service].remove(state)
        listed = self._by_service.setdefault(state.upstream.service, [])
        listed.append(state)

    def _remove(self, state: UpstreamState) -> None:
        upstream = state.upstream
        del self._states[upstream.upstream_id]
        self._by_service[upstream.service].remove(state)
        self._gone[upstream.upstream_id] = state
        if len(self._gone) > GONE_KEPT:
            self._gone.popitem(last=False)

    def _started_again(self, upstream: Upstream) -> None:
        """Forget what is kept by the id; an engine without runs loads now."""
        name = upstream.upstream_id
        _platform_log.info(
            'An upstream has started again.',
            upstream=name,
            started_ms=upstream.started_ms,
        )
        for model, known in self._load_times.items():
            named = self.current_release(model)
            if name not in known.times or known.version != named.version:
                continue
            times = dict(known.times)
            times[name] = min(times[name], named.age_s)
            self._load_times[model] = _LoadTimes(known.version, times)
