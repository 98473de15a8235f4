"""Choose an upstream from snapshots of the cluster state."""

from dataclasses import dataclass
from dataclasses import replace
from math import inf
from math import isinf

from lacewing_daemon.direct._admission import Admitted
from lacewing_daemon.direct._cache_salt import compute_cache_salt
from lacewing_daemon.direct._cached_parts import CachedParts
from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._call import Prompt
from lacewing_daemon.direct._candidates import by_preference
from lacewing_daemon.direct._candidates import responsive_upstreams
from lacewing_daemon.direct._choice import EngineView
from lacewing_daemon.direct._choice import NoCapacity
from lacewing_daemon.direct._choice import place_plain
from lacewing_daemon.direct._choice import place_prompt
from lacewing_daemon.direct._choice import Placement
from lacewing_daemon.direct._choice import PlainView
from lacewing_daemon.direct._choice import send_bounds
from lacewing_daemon.direct._cluster_state import ClusterState
from lacewing_daemon.direct._copies import choose_copy_upstream
from lacewing_daemon.direct._copies import copy_token_limit
from lacewing_daemon.direct._load_share import LoadShare
from lacewing_daemon.direct._loading import nearly_overdue_after_s
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._routing_config import Engine
from lacewing_daemon.direct._routing_config import KvStore
from lacewing_daemon.direct._target import Target
from lacewing_daemon.direct._target import urgency_of
from lacewing_daemon.direct._upstream import Software
from lacewing_daemon.direct._upstream_state import UpstreamState
from lacewing_daemon.direct._weights_releases import min_allowed_version
from lacewing_daemon.direct._weights_releases import ReleaseAge
from lacewing_daemon.direct._weights_releases import superseded_for_s
from lacewing_daemon.direct.engines import EngineEstimate
from lacewing_daemon.direct.exchange._shared_choice import place_shared
from lacewing_daemon.direct.exchange._shared_loads import SharedLoads

_MS = 1000.0
# Callers that are refused come back no sooner.
MIN_RETRY_MS = 50.0
# The handicap of an engine whose weights are overdue as far as is known: it
# refuses, which costs a retry and a pause. Larger than any latency target, so
# that such an engine is chosen last, and still chosen, as the known version
# may be stale.
OVERDUE_HANDICAP_MS = 10_000.0


@dataclass(frozen=True)
class _PromptContext:
    """Hold what is common to all candidate engines of a prompt.

    ``shared``: the load of other routers, None while it is not to be used.
    """

    prompt: Prompt
    admitted: Admitted
    engine: Engine
    kv_store: KvStore | None
    current_release: ReleaseAge
    releases: tuple[ReleaseAge, ...]
    min_version: int
    urgency: int
    now_s: float
    policy: LoadPolicy
    shared: SharedLoads | None


class Placer:
    """Place requests on the upstreams of a fleet."""

    def __init__(
        self,
        cluster_state: ClusterState,
        availability_zone: str,
        shared: SharedLoads | None = None,
    ) -> None:
        self._cluster_state = cluster_state
        self._shared = shared
        self._zone = availability_zone
        self._cached_parts = CachedParts(cluster_state)
        self._load_shares: dict[str, LoadShare] = {}

    @property
    def cached_parts(self) -> CachedParts:
        """Return the record of cached parts."""
        return self._cached_parts

    def place(
        self,
        request: CallerRequest,
        admitted: Admitted,
        excluded: frozenset[str],
        left_ms: float,
        now_s: float,
        software: Software | None = None,
    ) -> Target | NoCapacity:
        """Choose an upstream for one attempt.

        ``software``: the only version of upstreams' software that may serve
        it. Without any upstream of it there will be no capacity.
        """
        if software is not None and not self._has_software(admitted, software):
            return NoCapacity(inf)
        engine = admitted.service.engine
        prompt = request.prompt
        usable = []
        paused = []
        for state in self._cluster_state.upstreams_of(admitted.service.name):
            if state.upstream.upstream_id in excluded:
                continue
            if software is not None:
                if not state.has_same_software(software):
                    continue
            if engine is not None and prompt is not None:
                if state.weights(prompt.model) is None:
                    # The entry, which another process may have written,
                    # does not list the model.
                    continue
            if state.is_usable(now_s):
                usable.append(state)
                continue
            paused.append(state)
        if not usable and paused:
            pause_s = min(state.usable_in_s(now_s) for state in paused)
            if not isinf(pause_s):
                return NoCapacity(max(MIN_RETRY_MS, pause_s * _MS))
        usable = responsive_upstreams(usable, now_s)
        if self._shared is not None:
            usable = self._shared.reachable(admitted, usable, now_s)
        if engine is None or prompt is None:
            return self._place_plain(usable, now_s)
        releases = self._cluster_state.releases(prompt.model)
        context = _PromptContext(
            prompt,
            admitted,
            engine,
            self._cached_parts.kv_store_for(prompt),
            self._cluster_state.current_release(prompt.model),
            releases,
            min_allowed_version(
                releases, self._cluster_state.old_weights_limit_s
            ),
            urgency_of(admitted),
            now_s,
            self._cluster_state.policy_for(admitted.service.name),
            self._known_loads(admitted.service.name, now_s),
        )
        return self._place_prompt(
            context,
            by_preference(prompt, usable, self._shares(usable, now_s)),
            left_ms,
        )

    def _known_loads(self, service: str, now_s: float) -> SharedLoads | None:
        shared = self._shared
        if shared is None or not shared.is_known(service, now_s):
            return None
        return shared

    def _shares(
        self, states: list[UpstreamState], now_s: float
    ) -> list[float] | None:
        """Return the engines' shares of subjects, None for equal ones."""
        shares = []
        for state in states:
            service = state.upstream.service
            if not self._cluster_state.is_contended(service):
                return None
            models = self._cluster_state.engine_models(service)
            shares.append(models.share(state.upstream.upstream_id, now_s))
        return shares

    def _has_software(self, admitted: Admitted, software: Software) -> bool:
        for state in self._cluster_state.upstreams_of(admitted.service.name):
            if state.upstream.leaving:
                continue
            if state.has_same_software(software):
                return True
        return False

    def record_probe(self, state: UpstreamState, now_s: float) -> None:
        """Record that a request is sent, maybe to an unreachable upstream."""
        if self._shared is not None:
            self._shared.record_placed(state, now_s)

    def continuation(
        self, target: Target, software: Software | None = None
    ) -> Target | None:
        """Return where an interrupted run can continue, None if nowhere.

        ``software``: the version that began it, None for that of its target.
        """
        copy = target.copy_to
        if copy is None or not copy.takes_requests:
            # Nor does a later incarnation have the copy.
            return None
        if software is None:
            software = target.state.upstream.software
        if not copy.has_same_software(software):
            return None
        return replace(target, state=copy, copy_to=None, is_continuation=True)

    def copy_is_usable(
        self, request: CallerRequest, target: Target, now_s: float
    ) -> bool:
        """Return whether a run could continue at its copy now."""
        continuation = self.continuation(target)
        if continuation is None or request.prompt is None:
            return False
        state = continuation.state
        weights = state.weights(request.prompt.model)
        if target.weights is not None and weights != target.weights:
            return False
        return state.is_usable(now_s) and not state.is_silent(now_s)

    def _place_plain(
        self, usable: list[UpstreamState], now_s: float
    ) -> Target | NoCapacity:
        views = []
        states = {}
        for state in usable:
            upstream = state.upstream
            states[upstream.upstream_id] = state
            views.append(
                PlainView(
                    upstream.upstream_id,
                    upstream.availability_zone == self._zone,
                    state.in_flight + state.other_requests(now_s),
                    max(1, upstream.slots),
                    state.in_flight,
                    state.idle_s(now_s),
                )
            )
        placed = place_plain(views)
        if isinstance(placed, NoCapacity):
            return placed
        return Target(states[placed.upstream_id], 0.0)

    def _place_prompt(
        self,
        context: _PromptContext,
        states: list[UpstreamState],
        left_ms: float,
    ) -> Target | NoCapacity:
        views = []
        targets = {}
        non_preferred_ms = _non_preferred_ms(context)
        for position, state in enumerate(states):
            target = self._target(context, state)
            targets[state.upstream.upstream_id] = target
            is_first = position == 0
            view = self._view(
                context, target, 0.0 if is_first else non_preferred_ms
            )
            views.append(view)
        placed = self._choose(context, views, states, left_ms)
        if isinstance(placed, NoCapacity):
            return placed
        target = targets[placed.upstream_id]
        candidates = tuple(targets.values())
        copy_to = self._copy_to(context, target, candidates, views, placed)
        return replace(
            target, first_event_ms=placed.first_event_ms, copy_to=copy_to
        )

    def _choose(
        self,
        context: _PromptContext,
        views: list[EngineView],
        states: list[UpstreamState],
        left_ms: float,
    ) -> Placement | NoCapacity:
        policy = context.policy
        answer_tokens = context.prompt.expected_tokens
        if context.shared is not None:
            return place_shared(
                context.shared.spread(views),
                left_ms,
                policy,
                answer_tokens,
                context.shared.margin_ms(context.now_s),
            )
        bounds = send_bounds(
            self._cluster_state.router_count,
            self._own_share(context, states),
            policy,
        )
        return place_prompt(views, left_ms, policy, answer_tokens, bounds)

    def _own_share(
        self, context: _PromptContext, states: list[UpstreamState]
    ) -> float | None:
        """Return this router's share of the load that engines report."""
        own = others = 0
        for state in states:
            if state.has_recent_load(context.now_s):
                own += state.in_flight
                others += state.other_requests(context.now_s)
        load_share = self._load_shares.setdefault(
            context.admitted.service.name, LoadShare()
        )
        load_share.observe(own, others, context.now_s)
        return load_share.share(context.now_s)

    def _target(self, context: _PromptContext, state: UpstreamState) -> Target:
        """Return the target of the request at one engine."""
        prompt, now_s = context.prompt, context.now_s
        weights = (
            state.weights(prompt.model) or context.current_release.version
        )
        # No run may begin on weights older than the minimum allowed version;
        # later releases don't lower it. The known version of the engine may
        # be stale without notice: the request asks for the minimum, and the
        # engine refuses if it has other weights.
        weights = max(weights, context.min_version)
        superseded_ms = superseded_for_s(context.releases, weights) * _MS
        cache_salt = compute_cache_salt(
            context.admitted.team, prompt.model, weights
        )
        kv_store = context.kv_store
        policy = context.policy
        speed = self._cluster_state.engine_estimate(state, policy, now_s)
        state.update_speed_factor(speed.factor)
        tokens_per_ms = speed.tokens_per_ms
        lateness_ms = 0.0
        if not self._cluster_state.is_contended(state.upstream.service):
            lateness_ms = state.lateness_ms(now_s)
        wait_ms = self._queued_ms(context, state, speed) + lateness_ms
        prefill_ms = self._cached_parts.prefill_ms(
            state,
            cache_salt,
            prompt,
            context.engine,
            kv_store,
            now_s,
            tokens_per_ms,
        )
        missing_tokens = int(prefill_ms * tokens_per_ms)
        return Target(
            state,
            prefill_ms,
            cache_salt,
            weights or None,
            None if kv_store is None else kv_store.address,
            self._cached_parts.save_address(
                kv_store, cache_salt, prompt, now_s
            ),
            context.urgency,
            wait_ms=wait_ms,
            lateness_ms=lateness_ms,
            released_version=context.current_release.version,
            superseded_ms=superseded_ms,
            is_first=_is_first(state, cache_salt, prompt, now_s),
            tokens_per_ms=tokens_per_ms,
            kv_tokens=missing_tokens + prompt.expected_tokens,
            step_ms=speed.step_ms,
            fixed_ms=speed.fixed_ms,
            speed_factor=speed.factor,
        )

    def _queued_ms(
        self,
        context: _PromptContext,
        state: UpstreamState,
        speed: EngineEstimate,
    ) -> float:
        """Return the prefill that precedes a request at one engine."""
        now_s = context.now_s
        urgency = context.urgency
        tokens_per_ms = speed.tokens_per_ms
        if context.shared is not None:
            return context.shared.wait_ms(state, urgency, tokens_per_ms, now_s)
        own_wait_ms = state.queued_prefill_ms(urgency, tokens_per_ms)
        # Requests of other routers are assumed to need the usual prefill of
        # this router's requests.
        usual_ms = context.policy.usual_read_ms * speed.factor
        return own_wait_ms + state.other_waiting(now_s) * usual_ms

    def _view(
        self, context: _PromptContext, target: Target, non_preferred_ms: float
    ) -> EngineView:
        """Return the snapshot of one engine.

        ``non_preferred_ms``: handicap of engines other than the first.
        """
        state = target.state
        upstream = state.upstream
        model = context.prompt.model
        version = state.weights(model) or context.current_release.version
        handicap_ms = non_preferred_ms
        # Answers lose value from the first release that the engine lacks.
        superseded_s = superseded_for_s(context.releases, version)
        if superseded_s > context.policy.old_weights_s:
            handicap_ms += context.policy.old_weights_ms
        if version < context.min_version:
            handicap_ms = OVERDUE_HANDICAP_MS
        return EngineView(
            upstream.upstream_id,
            upstream.availability_zone == self._zone,
            target.wait_ms,
            target.prefill_ms,
            state.waiting_count(context.urgency),
            state.in_flight,
            self._load_in_ms(
                state, model, superseded_s, context.current_release.age_s
            ),
            handicap_ms,
            upstream.slots,
            self._has_room(context, state),
            self._unseen_ms(context, target),
            target.fixed_ms,
            target.step_ms,
        )

    def _unseen_ms(self, context: _PromptContext, target: Target) -> float:
        if context.shared is None:
            return 0.0
        return context.shared.unseen_ms(
            target.state, target.tokens_per_ms, context.now_s
        )

    def _has_room(self, context: _PromptContext, state: UpstreamState) -> bool:
        if context.shared is None:
            return True
        tokens = context.prompt.tokens + context.prompt.expected_tokens
        return context.shared.has_room(
            state, tokens, context.engine.kv_tokens, context.now_s
        )

    def _load_in_ms(
        self,
        state: UpstreamState,
        model: str,
        superseded_s: float,
        age_s: float,
    ) -> float:
        """Return the time until an engine loads weights, infinite if never."""
        if superseded_s <= 0:
            return float('inf')
        schedule = self._cluster_state.load_schedule(model)
        load_at_s = schedule.get(state.upstream.upstream_id, float('inf'))
        nearly_overdue_s = nearly_overdue_after_s(
            self._cluster_state.old_weights_limit_s
        )
        return min(load_at_s - age_s, nearly_overdue_s - superseded_s) * _MS

    def _copy_to(
        self,
        context: _PromptContext,
        target: Target,
        candidates: tuple[Target, ...],
        views: list[EngineView],
        placed: Placement,
    ) -> UpstreamState | None:
        """Return the copy upstream of a run that can't be retried."""
        if (
            not context.engine.supports_copies
            or context.admitted.route.can_retry
        ):
            return None
        run_ms = context.prompt.expected_tokens * target.step_ms
        max_copy_tokens = copy_token_limit(
            context.engine.kv_tokens * context.policy.copies_part,
            self._cluster_state.router_count,
            context.prompt.tokens,
        )
        ends_ms = placed.first_event_ms + run_ms
        return choose_copy_upstream(
            target, candidates, views, ends_ms, max_copy_tokens
        )


def _is_first(
    state: UpstreamState, cache_salt: str, prompt: Prompt, now_s: float
) -> bool:
    """Return whether a prompt's own part was not sent to an engine lately."""
    if not prompt.parts:
        return True
    return not state.has_part(cache_salt, prompt.parts[-1].part_id, now_s)


def _non_preferred_ms(context: _PromptContext) -> float:
    """Return the prefill that the preferred engine is expected to save.

    Load pattern: many routers, each of which sees a subject rarely. Judged
    by its own requests alone, a router finds equal costs at all engines
    except for their queues, so a subject is spread over them and its prefill
    is repeated at each.
    """
    shared = sum(part.tokens for part in context.prompt.shared)
    likely_cached = context.policy.kept_at_first * shared
    return likely_cached / context.policy.prefill_tokens_per_ms
