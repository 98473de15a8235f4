"""Decide where a request is placed, or that it can't be served in time.

Pure functions on snapshots: no clock, no input or output.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from lacewing_daemon.direct._policy import LoadPolicy


@dataclass(frozen=True)
class EngineView:
    """Hold what a router knows of one engine for one prompt.

    ``waiting_ms``: reading still to be done for requests sent before.
    ``read_ms``: reading this prompt there, fetching included.
    ``waiting``, ``in_flight``: this router's requests there, without a
    first event and in all. ``load_in_ms``: time until it loads new weights,
    negative once it has begun, infinite if it does not. ``handicap_ms``:
    how much sooner than there a first event must be expected elsewhere.
    """

    upstream_id: str
    in_zone: bool
    waiting_ms: float
    read_ms: float
    waiting: int
    in_flight: int
    load_in_ms: float = float('inf')
    handicap_ms: float = 0.0


# Without any engine there is no time by which one has room. Those that can't
# be reached are tried again after half a second.
NOBODY_MS = 500.0


@dataclass(frozen=True)
class Placement:
    """Place a request; its first event is expected in ``first_event_ms``."""

    upstream_id: str
    first_event_ms: float


@dataclass(frozen=True)
class NoCapacity:
    """Refuse a request; room is expected after ``retry_after_ms``."""

    retry_after_ms: float


def place_prompt(
    engines: Sequence[EngineView],
    left_ms: float,
    policy: LoadPolicy,
    answer_tokens: int = 0,
) -> Placement | NoCapacity:
    """Place a prompt whose first event is wanted within ``left_ms``.

    Load pattern: more prompts than the engines can read in time. An engine
    that takes all of them answers all late, as each waits behind the
    reading of those before; refusing what surely comes late keeps the rest
    on time. The bounds in flight hold where other routers' requests, which
    this one does not see, make the estimate too low. Of engines that cost
    the same the first wins, so the order is the caller's to choose.
    ``answer_tokens`` are those expected; what a run makes after its engine
    has loaded new weights is lost.
    """
    if not engines:
        return NoCapacity(NOBODY_MS)
    best: Placement | None = None
    best_cost_ms = 0.0
    soonest_ms = float('inf')
    for engine in engines:
        first_ms = _first_ms(engine, policy)
        soonest_ms = min(soonest_ms, first_ms)
        if engine.waiting >= policy.max_waiting:
            continue
        if engine.in_flight >= policy.max_in_flight:
            continue
        if first_ms > left_ms:
            continue
        cost_ms = first_ms + engine.handicap_ms
        if not engine.in_zone:
            cost_ms += policy.other_zone_ms
        cost_ms += _lost_ms(engine, first_ms, answer_tokens, policy)
        if best is None or cost_ms < best_cost_ms:
            best = Placement(engine.upstream_id, first_ms)
            best_cost_ms = cost_ms
    if best is not None:
        return best
    return NoCapacity(max(policy.step_ms, soonest_ms - left_ms))


def _first_ms(engine: EngineView, policy: LoadPolicy) -> float:
    """Return when a first event is expected.

    An engine refuses what it has not begun when its load starts, and takes
    nothing until it ends: sent there, a request costs a repeat.
    """
    first_ms = engine.waiting_ms + engine.read_ms + policy.step_ms
    loaded_ms = engine.load_in_ms + policy.load_ms
    if loaded_ms <= 0 or first_ms <= engine.load_in_ms:
        return first_ms
    return loaded_ms + engine.read_ms + policy.step_ms


def _lost_ms(
    engine: EngineView,
    first_ms: float,
    answer_tokens: int,
    policy: LoadPolicy,
) -> float:
    """Return what a load in the middle of the run counts for."""
    run_ms = answer_tokens * policy.step_ms
    over_ms = first_ms + run_ms - engine.load_in_ms
    if run_ms <= 0 or first_ms > engine.load_in_ms or over_ms <= 0:
        return 0.0
    return policy.lost_run_ms * min(1.0, over_ms / run_ms)


@dataclass(frozen=True)
class PlainView:
    """Hold what a router knows of one upstream of a plain service.

    ``busy`` counts requests at the upstream, this router's and what it
    last told of the others'. ``unused_s`` is the time since this router
    sent there.
    """

    upstream_id: str
    in_zone: bool
    busy: int
    slots: int
    in_flight: int
    unused_s: float


# An upstream of a plain service sheds when its queue is full, and what waits
# there for longer than one turn of its slots comes late.
_TURNS = 2


def place_plain(
    upstreams: Sequence[PlainView],
) -> Placement | NoCapacity:
    """Place a request of a plain service on the least busy upstream.

    Load pattern: short requests on few slots. The least busy by its own
    word and by this router's open requests wins; the own zone counts only
    while a slot is free there, as a wait costs more than the way. Of equal
    ones the longest unused wins: with the first of the list all routers
    would meet at the same upstream.
    """
    best: PlainView | None = None
    best_rank = (0.0, 0, 0, 0.0)
    for upstream in upstreams:
        if upstream.busy >= upstream.slots * _TURNS:
            continue
        waits = max(0, upstream.busy - upstream.slots + 1)
        rank = (
            float(waits),
            int(not upstream.in_zone),
            upstream.busy,
            -upstream.unused_s,
        )
        if best is None or rank < best_rank:
            best = upstream
            best_rank = rank
    if best is None:
        return NoCapacity(_PLAIN_TURN_MS)
    return Placement(best.upstream_id, 0.0)


# A turn of a plain service's slots: its requests work some tens of ms.
_PLAIN_TURN_MS = 60.0
