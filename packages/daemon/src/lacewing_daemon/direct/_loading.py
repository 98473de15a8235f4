"""Schedule the loads of new weights by upstreams.

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
# Minimum number of orders that an engine gets, if they have no effect, between
# the time when its weights are nearly overdue and the time when no run may
# begin there.
MIN_FINAL_ORDERS = 2
_KEY_BYTES = 8
_MS = 1000.0


def load_schedule(
    model: str,
    version: int,
    engines: Mapping[str, int],
    policy: LoadPolicy,
) -> Mapping[str, float]:
    """Return when each engine is to load, in seconds after the release.

    ``engines`` maps engine ids to their versions. All routers compute the
    same schedule, so each knows without a message which engine loads next,
    and sends it only runs that end before.

    Load pattern: a release every few seconds, while runs last 1.2 s on
    average and some over 6 s. Tokens that a run generates after a load are
    lost. So a part of the engines loads at once, those with the oldest
    weights first, and gets all new runs; the other engines get none until
    their runs have ended. If a later version is released meanwhile, these
    have the oldest weights and are nearly idle, and load that version
    instead.
    """
    if not engines:
        return {}
    text = f'{model}\0{version}'.encode()
    key = blake2b(text, digest_size=_KEY_BYTES).digest()
    ids = tuple(sorted(engines))
    order = sorted(rank_workers(key, ids, len(ids)), key=engines.__getitem__)
    max_concurrent = ceil(len(order) / policy.load_turns)
    early_count = ceil(len(order) * policy.load_early_part)
    schedule = {}
    for position, engine_id in enumerate(order):
        begin_ms, index = 0.0, position
        if position >= early_count:
            begin_ms, index = policy.load_late_ms, position - early_count
        turn = index // max_concurrent
        schedule[engine_id] = (begin_ms + turn * policy.load_turn_ms) / _MS
    return schedule


def nearly_overdue_after_s(old_limit_s: float) -> float:
    """Return how long after a release older weights are nearly overdue."""
    return max(0.0, old_limit_s - MIN_FINAL_ORDERS * ORDER_RETRY_S)


@dataclass(frozen=True)
class EngineWeights:
    """Hold what the planner knows of one engine and one model.

    ``version`` is 0 when unknown; ``ordered_ago_s`` is the time since the
    last load order, infinite for none. ``open_requests`` are this router's
    requests there. ``due_in_s`` is the time until the scheduled load and
    ``nearly_overdue_in_s`` that until the weights are nearly overdue; both
    are negative once they have passed.
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
    """Return the engines to order now to load the released version.

    Load pattern: a release every few seconds. While an engine loads it
    serves nothing and its cache is lost, so only a part of the fleet loads
    at a time, the engines with the fewest requests first; a version that is
    superseded before an engine's turn is never loaded there. The limit also
    applies where all scheduled times have passed, as after a change of the
    lease holder. Engines whose weights are nearly overdue come first and
    don't wait for their turn: each release assigns new turns, and where
    orders get no answer, an engine could be passed over until no run may
    begin there.
    """
    loading = 0
    outdated = []
    for engine in engines:
        if engine.version >= released_version:
            continue
        if engine.ordered_ago_s < ORDER_RETRY_S:
            loading += 1
            continue
        if engine.due_in_s > 0 and engine.nearly_overdue_in_s > 0:
            continue
        outdated.append(engine)
    max_concurrent = ceil(len(engines) / policy.load_turns)
    outdated.sort(key=_order_key)
    chosen = []
    for engine in outdated[: max(0, max_concurrent - loading)]:
        chosen.append(engine.upstream_id)
    return tuple(chosen)


def _order_key(engine: EngineWeights) -> tuple[float, int]:
    return min(0.0, engine.nearly_overdue_in_s), engine.open_requests
