"""Hold one router's view of the deployment, on which decisions are based."""

from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from lacewing_common.log import get_log
from lacewing_common.log import Part
from msgspec.structs import replace

from lacewing_daemon.direct._budget import RetryBudget
from lacewing_daemon.direct._clock import boot_s
from lacewing_daemon.direct._contention import ContendedServices
from lacewing_daemon.direct._contention import Contention
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
from lacewing_daemon.direct._service_budgets import ServiceBudgets
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
from lacewing_daemon.direct.engines import EngineEstimate
from lacewing_daemon.direct.engines import EngineModels
from lacewing_daemon.direct.engines import EngineSpeeds

# The KV store does not report evictions, so parts saved longer ago than this
# are saved again.
SAVED_PART_TTL_S = 20.0
MAX_SAVED_PARTS = 4096
# The fraction of the time limit for new weights after which no request is
# started on superseded ones.
OLD_WEIGHTS_FRACTION = 0.75
# After reconnecting to the store, a router still uses engines with superseded
# weights for this long; there may be no others.
RECONNECT_GRACE_S = 2.5
# The same after a start. The platform counts a router as running 3 s after its
# process was started; 0.7 s of these are reserved for requests queued at their
# engine. Most routers have read the released versions 0.8 s after the start.
START_GRACE_S = 1.5
START_OLD_WEIGHTS_S = 2.3
# How many upstreams are remembered after their entries were removed. Late
# messages of an earlier incarnation arrive within seconds, and at most some
# tens of upstreams are removed in that time.
MAX_REMOVED_UPSTREAMS = 256

_MS_PER_S = 1000.0
_ESTIMATED_FIGURES = (
    'prefill_tokens_per_ms',
    'step_ms',
    'load_ms',
    'usual_read_ms',
)

_log = get_log(Part.PLACEMENT)
_platform_log = get_log(Part.PLATFORM)


class ReleaseSource(Enum):
    """Name the source from which a router learned of a release."""

    STORE = 'store'
    UPSTREAM = 'upstream'


@dataclass(frozen=True)
class _LoadSchedule:
    """Hold the load times computed last, and for which version."""

    version: int
    times: Mapping[str, float]


@dataclass(frozen=True)
class _CachedPolicy:
    """Hold a policy with estimates and when it was computed."""

    policy: LoadPolicy
    computed_s: float


# Called with an upstream and its later start.
OnRestart = Callable[[Upstream, Upstream], None]


class ClusterState:
    """Hold configuration, upstreams, released weights and cached parts.

    ``clock`` counts seconds, including those while the VM is suspended.
    """

    def __init__(
        self,
        bounds: Bounds,
        policy: LoadPolicy,
        clock: Callable[[], float] = boot_s,
        contention: Contention = Contention.AUTO,
    ) -> None:
        self._bounds = bounds
        self._contended = ContendedServices(contention)
        self._policy = policy
        self._clock = clock
        self._router_count = DEFAULT_ROUTER_COUNT
        self._routing_config: RoutingConfig | None = None
        self._upstreams: dict[str, UpstreamState] = {}
        self._removed_upstreams: OrderedDict[str, UpstreamState] = (
            OrderedDict()
        )
        self._by_service: dict[str, list[UpstreamState]] = {}
        self._silence_histories: dict[str, SilenceHistory] = {}
        self._estimates: dict[str, Estimates] = {}
        self._policies: dict[str, _CachedPolicy] = {}
        self._engine_speeds = EngineSpeeds(policy, self._is_engine)
        self._budgets = ServiceBudgets(bounds)
        self._releases: dict[str, tuple[WeightsRelease, ...]] = {}
        self._learned_s: dict[str, float] = {}
        self._load_schedules: dict[str, _LoadSchedule] = {}
        self._saved_parts: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._line_budget = LineBudget(clock())
        self._process_started_s: float | None = None
        self._restart_callbacks: list[OnRestart] = []

    @property
    def routing_config(self) -> RoutingConfig | None:
        """Return the active configuration, None before the first."""
        return self._routing_config

    @property
    def bounds(self) -> Bounds:
        """Return the guarantees of the deployment."""
        return self._bounds

    @property
    def old_weights_limit_s(self) -> float:
        """Return for how long after a release superseded weights are used."""
        return self._bounds.weights_s * OLD_WEIGHTS_FRACTION

    @property
    def process_age_s(self) -> float:
        """Return how long ago this process was started, 0 if unknown."""
        if self._process_started_s is None:
            return 0.0
        return self._clock() - self._process_started_s

    @property
    def router_count(self) -> int:
        """Return the number of live routers, including this one."""
        return self._router_count

    @property
    def policy(self) -> LoadPolicy:
        """Return the policy as configured."""
        return self._policy

    def policy_for(self, service: str) -> LoadPolicy:
        """Return the policy for decisions on a service.

        Recent estimates of its engines replace the configured figures. For
        a contended service they are those of an engine without samples;
        ``engine_estimate`` returns those of each engine.
        """
        now_s = self._clock()
        cached = self._policies.get(service)
        if (
            cached is not None
            and now_s - cached.computed_s < ESTIMATE_INTERVAL_S
        ):
            return cached.policy
        policy = apply_estimates(self._policy, self.estimates(service), now_s)
        if self.is_contended(service):
            usual = self.engine_models(service).latest_service_estimate
            policy = replace(
                policy,
                prefill_tokens_per_ms=usual.tokens_per_ms,
                step_ms=usual.step_ms,
            )
        self._policies[service] = _CachedPolicy(policy, now_s)
        for figure in _ESTIMATED_FIGURES:
            gauge = ENGINE_ESTIMATE.labels(service, figure)
            gauge.set(getattr(policy, figure))
        return policy

    def is_contended(self, service: str) -> bool:
        """Return whether a service shares machines or lacks capacity."""
        return self._contended.is_contended(service)

    def estimates(self, service: str) -> Estimates:
        """Return the estimates for the engines of a service."""
        return self._estimates.setdefault(service, Estimates())

    @property
    def engine_speeds(self) -> EngineSpeeds:
        """Return the models of engines, a section of the exchange."""
        return self._engine_speeds

    def engine_models(self, service: str) -> EngineModels:
        """Return the models of a service's engines."""
        return self._engine_speeds.models(service)

    def engine_estimate(
        self, state: UpstreamState, policy: LoadPolicy, now_s: float
    ) -> EngineEstimate:
        """Return an engine's figures, those of the policy if uncontended.

        ``now_s``: monotonic seconds.
        """
        service = state.upstream.service
        if not self.is_contended(service):
            return EngineEstimate(
                policy.prefill_tokens_per_ms,
                policy.step_ms,
                policy.step_ms,
                1.0,
            )
        models = self.engine_models(service)
        return models.estimate(state.upstream.upstream_id, now_s)

    @property
    def upstreams(self) -> Mapping[str, UpstreamState]:
        """Return all known upstreams by id."""
        return self._upstreams

    @property
    def released_weights(self) -> tuple[ReleasedWeights, ...]:
        """Return the version of each model that was released last."""
        weights = []
        for model, releases in self._releases.items():
            weights.append(ReleasedWeights(model, releases[-1].version))
        return tuple(weights)

    @property
    def services(self) -> Collection[str]:
        """Return the services that have or had upstreams."""
        return self._by_service.keys()

    def upstreams_of(self, service: str) -> list[UpstreamState]:
        """Return the upstreams of a service."""
        return self._by_service.get(service, [])

    def upstream(self, upstream_id: str) -> UpstreamState | None:
        """Return the state of one upstream, None if it is unknown."""
        return self._upstreams.get(upstream_id)

    def is_routed(self, upstream: Upstream) -> bool:
        """Return whether an upstream belongs to a service and is not leaving.

        An entry may name a service that is not configured; it is unknown what
        is at its address.
        """
        if upstream.leaving:
            return False
        config = self._routing_config
        return config is None or upstream.service in config.services

    def models(self, upstream: Upstream) -> tuple[str, ...]:
        """Return the models that the configuration assigns to an upstream."""
        if self._routing_config is None:
            return ()
        service = self._routing_config.services.get(upstream.service)
        if service is None or service.engine is None:
            return ()
        return service.engine.models

    def current_release(self, model: str) -> ReleaseAge:
        """Return the latest released version of a model and its age.

        The age counts from when this router learned of the release, which is
        nearly the same time at all routers; ``releases`` counts from the
        earliest time at which it may have been released.
        """
        releases = self._releases.get(model)
        if not releases:
            return ReleaseAge(0, 0.0)
        return ReleaseAge(
            releases[-1].version, self._clock() - self._learned_s[model]
        )

    def releases(self, model: str) -> tuple[ReleaseAge, ...]:
        """Return the relevant releases of a model, the latest last."""
        now_s = self._clock()
        ages = []
        for release in self._releases.get(model, ()):
            age_s = now_s - release.released_s
            ages.append(ReleaseAge(release.version, age_s))
        return tuple(ages)

    def load_schedule(self, model: str) -> Mapping[str, float]:
        """Return when each engine of a model loads, in s after the release."""
        version = self.current_release(model).version
        cached = self._load_schedules.get(model)
        if cached is not None and cached.version == version:
            return cached.times
        engines = {}
        for upstream_id, state in self._upstreams.items():
            loaded = state.weights(model)
            if loaded is not None and self.is_routed(state.upstream):
                engines[upstream_id] = loaded
        # Computed once per version: engines that load meanwhile must not
        # change the order of the others.
        times = load_schedule(model, version, engines, self._policy)
        self._load_schedules[model] = _LoadSchedule(version, times)
        return times

    def nearly_overdue_in_s(self, model: str, version: int) -> float:
        """Return the time until weights are close to the limit.

        Negative once they are, infinite for the latest version.
        """
        superseded_s = superseded_for_s(self.releases(model), version)
        if superseded_s <= 0:
            return float('inf')
        return nearly_overdue_after_s(self.old_weights_limit_s) - superseded_s

    def retry_budget(self, service: Service) -> RetryBudget:
        """Return the retry budget of a service."""
        return self._budgets.budget(service.name)

    def is_saved(self, cache_salt: str, part_id: str, now_s: float) -> bool:
        """Return whether a part was sent to the KV store recently."""
        saved_s = self._saved_parts.get((cache_salt, part_id))
        return saved_s is not None and now_s - saved_s < SAVED_PART_TTL_S

    def mark_saved(self, cache_salt: str, part_id: str, now_s: float) -> None:
        """Record that a part was sent to the KV store."""
        key = (cache_salt, part_id)
        self._saved_parts[key] = now_s
        self._saved_parts.move_to_end(key)
        if len(self._saved_parts) > MAX_SAVED_PARTS:
            self._saved_parts.popitem(last=False)

    def record_shared_machine(self, service: str) -> None:
        """Record that an upstream reports the slowdown of its machine."""
        self._contended.record_shared_machine(service)

    def set_bounds(self, bounds: Bounds) -> None:
        """Replace the bounds; the counts of retries stay."""
        self._bounds = bounds
        self._budgets.set_bounds(bounds)

    def set_process_start(self, at_s: float) -> None:
        """Set when the process was started, in time of ``clock``."""
        self._process_started_s = at_s

    def set_router_count(self, count: int) -> None:
        """Set the number of live routers."""
        self._router_count = count

    def update_routing_config(self, value: RoutingConfig) -> bool:
        """Apply a configuration; false if it is not a later version."""
        current = self._routing_config
        if current is not None and value.version <= current.version:
            return False
        self._routing_config = value
        self._contended.add_services(value.services)
        return True

    def update_upstream(self, name: str, value: Upstream | None) -> None:
        """Apply an upstream's entry; None once it is removed.

        A later incarnation under the same id is a new upstream with no known
        state; an entry of an earlier incarnation is ignored. An entry without
        an incarnation, where one is known of the id, was written by another
        writer and counts as removed.
        """
        state = self._upstreams.get(name)
        before = self._removed_upstreams.get(name) if state is None else state
        if value is not None and before is not None:
            known_ms = before.upstream.started_ms
            if 0 < value.started_ms < known_ms:
                return
            if value.started_ms < known_ms:
                value = None
            elif value.started_ms > known_ms:
                before.mark_replaced()
                self._engine_speeds.forget_engine(
                    before.upstream.service, name
                )
                self._apply_restart(value)
        if state is not None and value is not None and not state.replaced:
            self._update(state, value)
            return
        if state is not None:
            self._remove(state)
        if value is None:
            return
        self._removed_upstreams.pop(name, None)
        if before is None or before.replaced:
            history = self._silence_histories.setdefault(
                value.service, SilenceHistory()
            )
            self._add(UpstreamState(value, history))
            return
        before.update(value)
        self._add(before)

    def on_restart(self, callback: OnRestart) -> None:
        """Register a callback for a later start that only a report names."""
        self._restart_callbacks.append(callback)

    def apply_report(
        self, state: UpstreamState, report: UpstreamReport
    ) -> bool:
        """Apply an upstream's report; false if of another incarnation."""
        upstream = state.upstream
        if state.replaced:
            return False
        if report.started_ms and upstream.started_ms:
            if report.started_ms < upstream.started_ms:
                return False
            if report.started_ms > upstream.started_ms:
                if self._upstreams.get(upstream.upstream_id) is state:
                    later = upstream.restarted(
                        report.started_ms, report.weights
                    )
                    self.update_upstream(upstream.upstream_id, later)
                    for callback in self._restart_callbacks:
                        callback(upstream, later)
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
        """Apply the version of weights that an upstream reported.

        A version that an upstream has was released, even if this router is
        disconnected from the store and could not read the release.
        """
        self._record_load_time(state, model, version)
        state.update_weights(model, version)
        released = ReleasedWeights(model, version)
        self.record_release(released, max_age_s, ReleaseSource.UPSTREAM)

    def _record_load_time(
        self, state: UpstreamState, model: str, version: int
    ) -> None:
        """Record how long after its turn an engine has new weights."""
        loaded = state.weights(model)
        if loaded is None or loaded >= version:
            return
        schedule = self._load_schedules.get(model)
        current = self.current_release(model)
        if (
            schedule is None
            or not schedule.version == version == current.version
        ):
            return
        turn_s = schedule.times.get(state.upstream.upstream_id)
        if turn_s is None:
            return
        self.estimates(state.upstream.service).record_load(
            (current.age_s - turn_s) * _MS_PER_S, self._clock()
        )

    def record_release(
        self,
        value: ReleasedWeights,
        max_age_s: float = 0.0,
        source: ReleaseSource = ReleaseSource.STORE,
    ) -> None:
        """Record a version released at some time since ``max_age_s`` ago.

        ``max_age_s`` is infinite for a version that was there when this
        process started.
        """
        releases = self._releases.get(value.model, ())
        known_version = releases[-1].version if releases else 0
        if value.version <= known_version:
            return
        now_s = self._clock()
        # If the age counted from now, superseded weights would be used for
        # longer than allowed whenever this router learns of a release late.
        # Other routers may have refused those weights for long, so this one
        # follows them soon.
        at_start = max_age_s == float('inf')
        grace_s = self._start_grace_s(now_s) if at_start else RECONNECT_GRACE_S
        max_s = max(0.0, self.old_weights_limit_s - grace_s)
        released_s = now_s - min(max_age_s, max_s)
        if releases:
            released_s = max(released_s, releases[-1].released_s)
        self._releases[value.model] = add_release(
            releases,
            WeightsRelease(value.version, released_s),
            self.old_weights_limit_s,
        )
        # Loads are not brought forward for an uncertain release time; at a
        # start, other engines may already have had their turns.
        self._learned_s[value.model] = released_s if at_start else now_s
        # The next line shows by `before` that lines were dropped.
        if self._line_budget.allow(True, now_s):
            _log.info(
                'Weights are named.',
                model=value.model,
                version=value.version,
                before=known_version,
                before_start=at_start,
                learnt=source.value,
                age_ms=int((now_s - released_s) * _MS_PER_S),
            )

    def _start_grace_s(self, now_s: float) -> float:
        """Return for how long superseded weights are used after a start.

        If it counted from the first read alone, a process that starts slowly
        would use them when the platform already counts it as running.
        """
        if self._process_started_s is None:
            return START_GRACE_S
        left_s = self._process_started_s + START_OLD_WEIGHTS_S - now_s
        return min(START_GRACE_S, max(0.0, left_s))

    def _add(self, state: UpstreamState) -> None:
        upstream = state.upstream
        self._upstreams[upstream.upstream_id] = state
        self._by_service.setdefault(upstream.service, []).append(state)

    def _update(self, state: UpstreamState, value: Upstream) -> None:
        service = state.upstream.service
        state.update(value)
        if state.upstream.service == service:
            return
        self._by_service[service].remove(state)
        members = self._by_service.setdefault(state.upstream.service, [])
        members.append(state)

    def _is_engine(self, service: str, upstream_id: str) -> bool:
        state = self._upstreams.get(upstream_id)
        return state is not None and state.upstream.service == service

    def _remove(self, state: UpstreamState) -> None:
        upstream = state.upstream
        name = upstream.upstream_id
        state.mark_removed()
        self._engine_speeds.forget_engine(upstream.service, name)
        del self._upstreams[name]
        self._by_service[upstream.service].remove(state)
        self._removed_upstreams[name] = state
        if len(self._removed_upstreams) > MAX_REMOVED_UPSTREAMS:
            self._removed_upstreams.popitem(last=False)

    def _apply_restart(self, upstream: Upstream) -> None:
        """Let a restarted engine load at once, as it has no open runs."""
        name = upstream.upstream_id
        _platform_log.info(
            'An upstream has started again.',
            upstream=name,
            started_ms=upstream.started_ms,
        )
        for model, schedule in self._load_schedules.items():
            current = self.current_release(model)
            if (
                name not in schedule.times
                or schedule.version != current.version
            ):
                continue
            times = dict(schedule.times)
            times[name] = min(times[name], current.age_s)
            self._load_schedules[model] = _LoadSchedule(
                schedule.version, times
            )
