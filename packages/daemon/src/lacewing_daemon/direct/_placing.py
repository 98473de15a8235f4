"""Build the snapshots that placing decides on, and the dispatch from it."""

from dataclasses import dataclass
from dataclasses import replace

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
from lacewing_daemon.direct._cluster_state import ClusterState
from lacewing_daemon.direct._copies import choose_copy_upstream
from lacewing_daemon.direct._copies import copy_token_limit
from lacewing_daemon.direct._loading import nearly_overdue_after_s
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._routing_config import Engine
from lacewing_daemon.direct._routing_config import KvStore
from lacewing_daemon.direct._target import Target
from lacewing_daemon.direct._target import urgency_of
from lacewing_daemon.direct._upstream_state import UpstreamState
from lacewing_daemon.direct._weights_releases import min_allowed_version
from lacewing_daemon.direct._weights_releases import ReleaseAge
from lacewing_daemon.direct._weights_releases import superseded_for_s

_MS = 1000.0
# How much sooner than elsewhere a first event would have to come at an engine
# whose weights are overdue as far as is known: it will refuse, which costs a
# repeat and a pause. More than any target, so that it is asked last, and
# still asked, as what is known of it may be old.
OVERDUE_MS = 10_000.0


@dataclass(frozen=True)
class _Asked:
    """Hold what is the same for all engines that a prompt may go to."""

    prompt: Prompt
    admitted: Admitted
    engine: Engine
    kv_store: KvStore | None
    named: ReleaseAge
    namings: tuple[ReleaseAge, ...]
    floor: int
    urgency: int
    now_s: float
    policy: LoadPolicy


class Placer:
    """Place requests on the upstreams of a fleet."""

    def __init__(
        self, cluster_state: ClusterState, availability_zone: str
    ) -> None:
        self._knowledge = cluster_state
        self._zone = availability_zone
        self._kept = CachedParts(cluster_state)

    @property
    def cached_parts(self) -> CachedParts:
        """Return what is known of kept parts."""
        return self._kept

    def place(
        self,
        request: CallerRequest,
        admitted: Admitted,
        excluded: frozenset[str],
        left_ms: float,
        now_s: float,
    ) -> Target | NoCapacity:
        """Choose an upstream for one attempt."""
        engine = admitted.service.engine
        prompt = request.prompt
        usable = []
        for state in self._knowledge.upstreams_of(admitted.service.name):
            if state.upstream.upstream_id in excluded:
                continue
            if engine is not None and prompt is not None:
                if state.weights(prompt.model) is None:
                    # Its entry, which another may have written, does not
                    # name the model.
                    continue
            if state.is_usable(now_s):
                usable.append(state)
        usable = responsive_upstreams(usable, now_s)
        if engine is None or prompt is None:
            return self._plain(usable, now_s)
        namings = self._knowledge.releases(prompt.model)
        asked = _Asked(
            prompt,
            admitted,
            engine,
            self._kept.kv_store_for(prompt),
            self._knowledge.current_release(prompt.model),
            namings,
            min_allowed_version(namings, self._knowledge.old_weights_limit_s),
            urgency_of(admitted),
            now_s,
            self._knowledge.policy_for(admitted.service.name),
        )
        return self._engine(asked, by_preference(prompt, usable), left_ms)

    def continuation(self, target: Target) -> Target | None:
        """Return where a run goes on whose upstream is lost, None: nowhere."""
        copy = target.copy_to
        if copy is None or copy.replaced or copy.upstream.leaving:
            # A start that followed keeps no copy of before.
            return None
        return replace(target, state=copy, copy_to=None, is_continuation=True)

    def copy_is_usable(
        self, request: CallerRequest, target: Target, now_s: float
    ) -> bool:
        """Tell whether a run's copy is where it could go on by all known."""
        there = self.continuation(target)
        if there is None or request.prompt is None:
            return False
        state = there.state
        weights = state.weights(request.prompt.model)
        if target.weights is not None and weights != target.weights:
            return False
        return state.is_usable(now_s) and not state.is_silent(now_s)

    def _plain(
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

    def _engine(
        self, asked: _Asked, states: list[UpstreamState], left_ms: float
    ) -> Target | NoCapacity:
        views = []
        targets = {}
        away_ms = _away_ms(asked)
        for position, state in enumerate(states):
            target = self._target(asked, state)
            targets[state.upstream.upstream_id] = target
            is_first = position == 0
            view = self._view(asked, target, 0.0 if is_first else away_ms)
            views.append(view)
        tokens = asked.prompt.expected_tokens
        placed = place_prompt(views, left_ms, asked.policy, tokens)
        if isinstance(placed, NoCapacity):
            return placed
        target = targets[placed.upstream_id]
        others = tuple(targets.values())
        copy_to = self._copy_to(asked, target, others, views, placed)
        return replace(
            target, first_event_ms=placed.first_event_ms, copy_to=copy_to
        )

    def _target(self, asked: _Asked, state: UpstreamState) -> Target:
        """Return how the request would be sent to one engine."""
        prompt, now_s = asked.prompt, asked.now_s
        weights = state.weights(prompt.model) or asked.named.version
        # Nothing may begin on weights older than the floor by now; versions
        # named since don't change that. What is known of the engine may be
        # old itself, and nobody would tell: it is asked for the floor, and
        # refuses if it has other weights.
        weights = max(weights, asked.floor)
        old_ms = superseded_for_s(asked.namings, weights) * _MS
        wall = compute_cache_salt(asked.admitted.team, prompt.model, weights)
        kv_store = asked.kv_store
        excess_ms = state.lateness_ms(now_s)
        policy = asked.policy
        speed = policy.prefill_tokens_per_ms
        own_ms = state.queued_prefill_ms(asked.urgency, speed)
        # Other routers' requests are taken to need as much reading as a
        # usual one of this router.
        others_ms = state.other_waiting(now_s) * policy.usual_read_ms
        waits_ms = own_ms + others_ms + excess_ms
        return Target(
            state,
            self._kept.prefill_ms(
                state, wall, prompt, asked.engine, kv_store, now_s, speed
            ),
            wall,
            weights or None,
            None if kv_store is None else kv_store.address,
            self._kept.save_address(kv_store, wall, prompt, now_s),
            asked.urgency,
            wait_ms=waits_ms,
            lateness_ms=excess_ms,
            released_version=asked.named.version,
            superseded_ms=old_ms,
            is_first=_is_first(state, wall, prompt, now_s),
            tokens_per_ms=speed,
        )

    def _view(
        self, asked: _Asked, target: Target, away_ms: float
    ) -> EngineView:
        """Return what deciding needs to know of one engine.

        ``away_ms``: what being away from the first one counts for.
        """
        state = target.state
        upstream = state.upstream
        model = asked.prompt.model
        has = state.weights(model) or asked.named.version
        handicap_ms = away_ms
        # Answers count less from the first naming that the engine lacks.
        old_s = superseded_for_s(asked.namings, has)
        if old_s > asked.policy.old_weights_s:
            handicap_ms += asked.policy.old_weights_ms
        if has < asked.floor:
            handicap_ms = OVERDUE_MS
        return EngineView(
            upstream.upstream_id,
            upstream.availability_zone == self._zone,
            target.wait_ms,
            target.prefill_ms,
            state.waiting_count(asked.urgency),
            state.in_flight,
            self._load_in_ms(state, model, old_s, asked.named.age_s),
            handicap_ms,
        )

    def _load_in_ms(
        self, state: UpstreamState, model: str, old_s: float, age_s: float
    ) -> float:
        """Return the time until an engine is to load, infinite for never."""
        if old_s <= 0:
            return float('inf')
        times = self._knowledge.load_schedule(model)
        at_s = times.get(state.upstream.upstream_id, float('inf'))
        near_s = nearly_overdue_after_s(self._knowledge.old_weights_limit_s)
        return min(at_s - age_s, near_s - old_s) * _MS

    def _copy_to(
        self,
        asked: _Asked,
        target: Target,
        others: tuple[Target, ...],
        views: list[EngineView],
        placed: Placement,
    ) -> UpstreamState | None:
        """Return where a copy of a run that must not begin again is kept."""
        if not asked.engine.supports_copies or asked.admitted.route.can_retry:
            return None
        run_ms = asked.prompt.expected_tokens * asked.policy.step_ms
        room = copy_token_limit(
            asked.engine.kv_tokens * asked.policy.copies_part,
            self._knowledge.router_count,
            asked.prompt.tokens,
        )
        ends_ms = placed.first_event_ms + run_ms
        return choose_copy_upstream(target, others, views, ends_ms, room)


def _is_first(
    state: UpstreamState, wall: str, prompt: Prompt, now_s: float
) -> bool:
    """Tell whether a prompt's own part was not sent to an engine lately."""
    if not prompt.parts:
        return True
    return not state.has_part(wall, prompt.parts[-1].part_id, now_s)


def _away_ms(asked: _Asked) -> float:
    """Return the reading that the first engine in order likely saves.

    Load pattern: many routers, each of which sees a subject rarely. By what
    each has sent itself, all engines cost the same but for their queues, so a
    subject is spread over them and read again at each.
    """
    shared = sum(part.tokens for part in asked.prompt.shared)
    likely = asked.policy.kept_at_first * shared
    return likely / asked.policy.prefill_tokens_per_ms
