"""Decide when and in which order upstreams load new weights.

Pure functions on snapshots: no clock, no input or output.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b
from math import ceil

from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.rendezvous import rank_workers

# An order without effect is repeated after this time; a load takes 0.4 s.
ORDER_RETRY_S = 1.2
# Orders that an engine gets at least, if they have no effect, between when
# its weights are nearly overdue and when nothing may begin there.
LAST_ORDERS = 2
_KEY_BYTES = 8
_MS = 1000.0


def load_schedule(
    model: str,
    version: int,
    engines: Mapping[str, int],
    policy: LoadPolicy,
) -> Mapping[str, float]:
    """Return when each engine is to load, in seconds after the naming.

    ``engines`` maps their ids to the versions they have. All routers
    compute the same times, so without a message each of them knows which
    engine loads next, and leaves that one to runs that end before.

    Load pattern: versions named every few seconds, while runs last 1.2 s on
    average and some over 6 s. What a run makes after a load is lost. So a
    part of the engines loads at once, those with the oldest weights first,
    and takes all new runs; the others are left alone until their runs have
    ended. If a newer version comes meanwhile, these are the oldest and
    nearly empty, and load that one instead.
    """
    if not engines:
        return {}
    text = f'{model}\0{version}'.encode()
    key = blake2b(text, digest_size=_KEY_BYTES).digest()
    ids = tuple(sorted(engines))
    order = sorted(rank_workers(key, ids, len(ids)), key=engines.__getitem__)
    at_once = ceil(len(order) / policy.load_turns)
    early = ceil(len(order) * policy.load_early_part)
    times = {}
    for position, engine_id in enumerate(order):
        begin_ms, place = 0.0, position
        if position >= early:
            begin_ms, place = policy.load_late_ms, position - early
        turn = place // at_once
        times[engine_id] = (begin_ms + turn * policy.load_turn_ms) / _MS
    return times


def nearly_overdue_after_s(old_limit_s: float) -> float:
    """Return after which part of their time weights are nearly overdue."""
    return max(0.0, old_limit_s - LAST_ORDERS * ORDER_RETRY_S)


@dataclass(frozen=True)
class EngineWeights:
    """Hold what the planner knows of one engine and one model.

    ``version`` is 0 when unknown; ``ordered_ago_s`` how long ago it was last
    ordered to load, infinite for never. ``open_requests`` are this router's
    requests there; ``due_in_s`` the time until it is to load, negative once
    that has passed. ``nearly_overdue_in_s`` is the time until its weights are
    nearly overdue, negative once they are.
    """

    upstream_id: str
    version: int
    ordered_ago_s: float
    open_requests: int
    due_in_s: float = 0.0
    nearly_overdue_in_s: float = float('inf')


def next_loads(
    engines: Sequence[EngineWeights], released_version: int, policy: LoadPolicy
) -> tuple[str, ...]:
    """Return the engines to order now to load the version named.

    Load pattern: versions named every few seconds. While an engine loads it
    serves nothing and its cache is lost, so only a part of the fleet loads
    at a time, the idlest first; a version that was superseded before an
    engine's turn is never loaded there. The bound also holds where all
    times have passed, as after a change of the lease's holder. Engines whose
    weights are nearly overdue go first and don't wait for their turn: each
    naming deals the turns anew, and where orders stay unanswered, an engine
    could be passed over until nothing may begin there.
    """
    loading = 0
    behind = []
    for engine in engines:
        if engine.version >= released_version:
            continue
        if engine.ordered_ago_s < ORDER_RETRY_S:
            loading += 1
            continue
        if engine.due_in_s > 0 and engine.nearly_overdue_in_s > 0:
            continue
        behind.append(engine)
    at_once = ceil(len(engines) / policy.load_turns)
    behind.sort(key=_rank)
    chosen = []
    for engine in behind[: max(0, at_once - loading)]:
        chosen.append(engine.upstream_id)
    return tuple(chosen)


def _rank(engine: EngineWeights) -> tuple[float, int]:
    return min(0.0, engine.nearly_overdue_in_s), engine.open_requests
