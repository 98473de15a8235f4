"""Build the snapshots that placing decides on, and the dispatch from it."""

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import replace
from hashlib import blake2b

from lacewing_daemon.direct._admission import Admitted
from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._call import Prompt
from lacewing_daemon.direct._choice import EngineView
from lacewing_daemon.direct._choice import NoRoom
from lacewing_daemon.direct._choice import place
from lacewing_daemon.direct._choice import place_plain
from lacewing_daemon.direct._choice import PlainView
from lacewing_daemon.direct._directory import Engine
from lacewing_daemon.direct._directory import KvStore
from lacewing_daemon.direct._knowledge import Knowledge
from lacewing_daemon.direct._knowledge import OLD_WEIGHTS_PART
from lacewing_daemon.direct._upstream_state import UpstreamState
from lacewing_daemon.direct._wall import cache_wall
from lacewing_daemon.rendezvous import best
from lacewing_daemon.rendezvous import ranked

_MS = 1000.0
_KEY_BYTES = 8
# Requests of other routers that an engine says wait are taken to need as
# much reading as a usual one of this router.
USUAL_READ_MS = 30.0


# Engines order waiting requests by urgency and take 5 if none is told.
USUAL_URGENCY = 5
LEAST_URGENT = 9
# Ranks of routes within one rank of teams; there are three in use.
RANKS_A_TEAM = 3


@dataclass(frozen=True)
class Target:
    """Hold where one attempt goes and what is told to the upstream."""

    state: UpstreamState
    read_ms: float
    wall: str | None = None
    weights: int | None = None
    fetch_from: str | None = None
    save_to: str | None = None
    urgency: int = USUAL_URGENCY
    first_ms: float = 0.0
    waits_ms: float = 0.0
    excess_ms: float = 0.0
    copy_to: UpstreamState | None = None
    goes_on: bool = False


def urgency_of(admitted: Admitted) -> int:
    """Return how urgent an engine is told that a request is, 0 the most.

    The team's rank goes before the route's.
    """
    team = 0 if admitted.team is None else admitted.team.rank
    return min(LEAST_URGENT, team * RANKS_A_TEAM + admitted.route.rank)


class Placer:
    """Place requests on the upstreams of a fleet."""

    def __init__(self, knowledge: Knowledge, availability_zone: str) -> None:
        self._knowledge = knowledge
        self._zone = availability_zone
        self._policy = knowledge.policy

    def place(
        self,
        request: CallerRequest,
        admitted: Admitted,
        excluded: frozenset[str],
        left_ms: float,
        now_s: float,
    ) -> Target | NoRoom:
        """Choose an upstream for one attempt."""
        usable = []
        for state in self._knowledge.states(admitted.service.name):
            if state.upstream.upstream_id in excluded:
                continue
            if state.usable(now_s):
                usable.append(state)
        usable = _heard(usable, now_s)
        engine = admitted.service.engine
        if engine is None or request.prompt is None:
            return self._plain(usable, now_s)
        return self._engine(
            request.prompt, admitted, engine, usable, left_ms, now_s
        )

    def go_on(self, target: Target) -> Target | None:
        """Return where a run goes on whose upstream is lost, None: nowhere."""
        copy = target.copy_to
        if copy is None or copy.upstream.leaving:
            return None
        return replace(target, state=copy, copy_to=None, goes_on=True)

    def note_sent(
        self, target: Target, prompt: Prompt, engine: Engine, now_s: float
    ) -> None:
        """Remember which parts an upstream holds from now on."""
        if target.wall is not None:
            target.state.remember(target.wall, prompt, engine, now_s)

    def note_read(self, target: Target, prompt: Prompt, now_s: float) -> None:
        """Remember that the KV store gets the parts that were read.

        Not when they are sent: until they are read there is nothing to
        fetch, and prompts elsewhere would count on it.
        """
        if target.wall is None or target.save_to is None:
            return
        for part in prompt.shared:
            self._knowledge.note_saved(target.wall, part.part_id, now_s)

    def _plain(
        self, usable: list[UpstreamState], now_s: float
    ) -> Target | NoRoom:
        views = []
        for state in usable:
            upstream = state.upstream
            views.append(
                PlainView(
                    upstream.upstream_id,
                    upstream.availability_zone == self._zone,
                    state.in_flight + state.others(now_s),
                    max(1, upstream.slots),
                    state.in_flight,
                    state.unused_s(now_s),
                )
            )
        placed = place_plain(views)
        if isinstance(placed, NoRoom):
            return placed
        state = self._state_of(usable, placed.upstream_id)
        return Target(state, 0.0)

    def _engine(
        self,
        prompt: Prompt,
        admitted: Admitted,
        engine: Engine,
        usable: list[UpstreamState],
        left_ms: float,
        now_s: float,
    ) -> Target | NoRoom:
        kv_store = self._kv_store(prompt)
        named = self._knowledge.named_weights(prompt.model)
        urgency = urgency_of(admitted)
        views = []
        targets = {}
        for state in _in_order(prompt, usable):
            weights = state.weights(prompt.model) or named.version
            old = weights < named.version
            if old and named.age_s > self._old_limit_s:
                # Nothing may begin on older weights by now. What is known
                # of the engine may be old itself, and nobody would tell: it
                # is asked for the version named, and refuses if it lacks it.
                weights = named.version
            wall = cache_wall(admitted.team, prompt.model, weights)
            read_ms = self._read_ms(
                state, wall, prompt, engine, kv_store, now_s
            )
            waiting_ms = state.waiting_ms(urgency)
            waiting_ms += state.others_waiting(now_s) * USUAL_READ_MS
            excess_ms = state.excess_ms(now_s)
            waiting_ms += excess_ms
            handicap_ms = 0.0
            if old and named.age_s > self._policy.old_weights_s:
                handicap_ms += self._policy.old_weights_ms
            target = Target(
                state,
                read_ms,
                wall,
                weights if weights else None,
                None if kv_store is None else kv_store.address,
                self._save_to(kv_store, wall, prompt, now_s),
                urgency,
                waits_ms=waiting_ms,
                excess_ms=excess_ms,
            )
            upstream = state.upstream
            targets[upstream.upstream_id] = target
            views.append(
                EngineView(
                    upstream.upstream_id,
                    upstream.availability_zone == self._zone,
                    waiting_ms,
                    read_ms,
                    state.waiting(urgency),
                    state.in_flight,
                    self._load_in_ms(state, prompt.model, old, named.age_s),
                    handicap_ms,
                )
            )
        placed = place(views, left_ms, self._policy, prompt.expected_tokens)
        if isinstance(placed, NoRoom):
            return placed
        target = targets[placed.upstream_id]
        copy_to = None
        if engine.copies and not admitted.route.may_repeat:
            run_ms = prompt.expected_tokens * self._policy.step_ms
            copy_to = copy_holder(
                target,
                tuple(targets.values()),
                views,
                placed.first_ms + run_ms,
                self._room_for_copy(engine, prompt),
            )
        return replace(target, first_ms=placed.first_ms, copy_to=copy_to)

    def _load_in_ms(
        self, state: UpstreamState, model: str, old: bool, age_s: float
    ) -> float:
        """Return the time until an engine is to load, infinite for never."""
        if not old:
            return float('inf')
        times = self._knowledge.load_times(model)
        at_s = times.get(state.upstream.upstream_id)
        return float('inf') if at_s is None else (at_s - age_s) * _MS

    def _room_for_copy(self, engine: Engine, prompt: Prompt) -> float:
        """Return how much an engine may hold of this router's copies already.

        Copies take memory from cached parts, which then have to be read
        again: without a bound, 2.7 times as many tokens were on the largest
        deployment, where memory is scarce.
        """
        most = engine.kv_tokens * self._policy.copies_part
        return most / self._knowledge.routers - prompt.tokens

    def _kv_store(self, prompt: Prompt) -> KvStore | None:
        """Return the store for a prompt, the same at all routers.

        Several stores share the prompts out by their longest shared part;
        with all in one, its link and its memory would bound them all.
        """
        directory = self._knowledge.directory
        stores = () if directory is None else directory.kv_stores
        if not stores or not prompt.shared:
            return None
        if len(stores) == 1:
            return stores[0]
        addresses = tuple(sorted(store.address for store in stores))
        chosen = best(_key(prompt), addresses)
        for store in stores:
            if store.address == chosen:
                return store
        return None

    @property
    def _old_limit_s(self) -> float:
        return self._knowledge.bounds.weights_s * OLD_WEIGHTS_PART

    def _read_ms(
        self,
        state: UpstreamState,
        wall: str,
        prompt: Prompt,
        engine: Engine,
        kv_store: KvStore | None,
        now_s: float,
    ) -> float:
        missing = state.missing_tokens(wall, prompt, now_s)
        fetched = 0
        if kv_store is not None:
            fetched = self._fetchable(wall, prompt, missing, now_s)
        read_ms = (missing - fetched) / self._policy.prefill_tokens_per_ms
        if fetched and kv_store is not None:
            speed = min(engine.link_bytes_per_s, kv_store.link_bytes_per_s)
            read_ms += fetched * engine.kv_token_bytes / speed * _MS
        return read_ms

    def _fetchable(
        self, wall: str, prompt: Prompt, missing: int, now_s: float
    ) -> int:
        """Return how many of the missing tokens the KV store holds."""
        held = prompt.tokens - missing
        stored = 0
        for part in prompt.shared:
            if not self._knowledge.saved(wall, part.part_id, now_s):
                break
            stored += part.tokens
        return max(0, stored - held)

    def _save_to(
        self,
        kv_store: KvStore | None,
        wall: str,
        prompt: Prompt,
        now_s: float,
    ) -> str | None:
        if kv_store is None:
            return None
        for part in prompt.shared:
            if not self._knowledge.saved(wall, part.part_id, now_s):
                return kv_store.address
        return None

    def _state_of(
        self, states: list[UpstreamState], upstream_id: str
    ) -> UpstreamState:
        for state in states:
            if state.upstream.upstream_id == upstream_id:
                return state
        raise LookupError(f'expected {upstream_id} among the candidates')


def copy_holder(
    target: Target,
    others: Sequence[Target],
    views: Sequence[EngineView],
    ends_ms: float,
    most_tokens: float,
) -> UpstreamState | None:
    """Choose the engine that keeps a copy of a run.

    Load pattern: engines crash with runs that must not begin again. The
    copy must outlast the run, which is expected to end in ``ends_ms``, so
    an engine that loads before is no choice, nor one where this router has
    copies of over ``most_tokens``; of the others the nearest, then the least
    busy one.
    """
    best: UpstreamState | None = None
    best_rank = (0, 0)
    zone = target.state.upstream.availability_zone
    for other, view in zip(others, views, strict=True):
        if other.state is target.state or other.weights != target.weights:
            continue
        if view.load_in_ms < ends_ms:
            continue
        if other.state.copy_tokens > most_tokens:
            continue
        upstream = other.state.upstream
        rank = (int(upstream.availability_zone != zone), view.in_flight)
        if best is None or rank < best_rank:
            best = other.state
            best_rank = rank
    return best


def _key(prompt: Prompt) -> bytes:
    """Return the key of a prompt's longest shared part."""
    part = prompt.parts[-1:] if not prompt.shared else prompt.shared[-1:]
    text = ''.join(one.part_id for one in part)
    return blake2b(text.encode(), digest_size=_KEY_BYTES).digest()


def _in_order(
    prompt: Prompt, states: list[UpstreamState]
) -> list[UpstreamState]:
    """Order engines for a prompt alike at all routers.

    Where several cost the same, routers then send one subject to one engine
    and different subjects to different ones. In the order of the list all
    of them would meet at the first idle engine.
    """
    ids = tuple(state.upstream.upstream_id for state in states)
    if len(ids) < 2:
        return states
    rank = {}
    for position, name in enumerate(ranked(_key(prompt), ids, len(ids))):
        rank[name] = position
    return sorted(states, key=lambda one: rank[one.upstream.upstream_id])


def _heard(states: list[UpstreamState], now_s: float) -> list[UpstreamState]:
    """Leave out upstreams that have fallen silent, unless all have."""
    heard = [state for state in states if not state.silent(now_s)]
    return heard or states
