"""Choose the upstream of a request, or refuse what can't be served in time.

Pure functions on snapshots: no clock, no input or output.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from math import floor
from math import inf

from lacewing_daemon.direct._policy import LoadPolicy


@dataclass(frozen=True)
class EngineView:
    """Hold what a router knows of one engine for one prompt.

    ``wait_ms``: queueing time behind the prefill of earlier requests.
    ``prefill_ms``: prefill of this prompt there, including KV fetches.
    ``waiting``, ``in_flight``: this router's requests there, those without
    a first event and all. ``load_in_ms``: time until the engine loads new
    weights, negative once it has begun, infinite if it loads none.
    ``handicap_ms``: cost added to the expected first event when engines are
    compared. ``slots``: runs that the engine has at the same time, 0 if that
    is unknown. ``has_room``: it has a slot and memory for the prompt, by the
    load of all routers. ``unseen_ms``: prefill that other routers are
    expected to have sent there without having told; it counts for whether a
    first event is in time, but not in the comparison of engines. There it
    would make all routers avoid the engines with recent prompts at once.
    ``fixed_ms``: part of the first event that depends on neither
    prompt nor queue; ``step_ms``: time per generated token; None for the step
    time of the policy.
    """

    upstream_id: str
    in_zone: bool
    wait_ms: float
    prefill_ms: float
    waiting: int
    in_flight: int
    load_in_ms: float = float('inf')
    handicap_ms: float = 0.0
    slots: int = 0
    has_room: bool = True
    unseen_ms: float = 0.0
    fixed_ms: float | None = None
    step_ms: float | None = None


# Without any candidate there is no estimate of when capacity is available.
# Unreachable upstreams are tried again after half a second.
NO_ENGINE_RETRY_MS = 500.0


@dataclass(frozen=True)
class Placement:
    """Name the chosen upstream; a first event is due in ``first_event_ms``."""

    upstream_id: str
    first_event_ms: float


@dataclass(frozen=True)
class NoCapacity:
    """Refuse a request; capacity is expected in ``retry_after_ms``."""

    retry_after_ms: float


@dataclass(frozen=True)
class SendBounds:
    """Bound the requests that one router has at an engine.

    ``waiting``: those without a first event. ``in_flight``: all; an engine's
    slots limit it further.
    """

    waiting: float
    in_flight: float


def send_bounds(
    routers: int, own_share: float | None, policy: LoadPolicy
) -> SendBounds:
    """Return the bounds for a router with a share of the engines' load.

    Load pattern: a burst at the only router, or most connections at one of
    several. The bounds are for the requests of others, which make the
    estimate too low. They are set for routers with equal shares; the fewer
    requests are of others, the closer is the estimate, and the higher are
    the bounds. A router that is alone sees all requests.
    """
    others = 1.0 - (own_share or 0.0)
    if routers <= 1 or others <= 0:
        return SendBounds(inf, inf)
    factor = max(1.0, (1.0 - 1.0 / routers) / others)
    return SendBounds(
        floor(policy.max_waiting * factor),
        floor(policy.max_in_flight * factor),
    )


def place_prompt(
    engines: Sequence[EngineView],
    left_ms: float,
    policy: LoadPolicy,
    answer_tokens: int = 0,
    bounds: SendBounds | None = None,
) -> Placement | NoCapacity:
    """Place a prompt whose first event is wanted within ``left_ms``.

    Load pattern: more prompts than the engines can prefill in time. An
    engine that accepts all of them answers all late, as each waits for the
    prefill of those before it; refusing the prompts that would be late
    keeps the rest on time. The limits on requests in flight apply where
    requests of other routers, which this one does not see, make the
    estimate too low. Of engines with equal costs the first wins, so the
    caller determines the preference by the order. ``answer_tokens`` is the
    expected length of the answer; tokens that a run generates after its
    engine has loaded new weights are lost. ``bounds`` replace those of the
    policy.
    """
    if not engines:
        return NoCapacity(NO_ENGINE_RETRY_MS)
    if bounds is None:
        bounds = SendBounds(policy.max_waiting, policy.max_in_flight)
    best: Placement | None = None
    best_cost_ms = 0.0
    earliest_ms = float('inf')
    for engine in engines:
        first_event_ms = _first_event_ms(engine, policy)
        earliest_ms = min(earliest_ms, first_event_ms)
        if not engine.has_room or engine.waiting >= bounds.waiting:
            continue
        slots = max(engine.slots, policy.max_in_flight)
        if engine.in_flight >= min(bounds.in_flight, slots):
            continue
        if first_event_ms + engine.unseen_ms > left_ms:
            continue
        cost_ms = first_event_ms + engine.handicap_ms
        if not engine.in_zone:
            cost_ms += policy.other_zone_ms
        cost_ms += _lost_run_cost_ms(
            engine, first_event_ms, answer_tokens, policy
        )
        if best is None or cost_ms < best_cost_ms:
            best = Placement(engine.upstream_id, first_event_ms)
            best_cost_ms = cost_ms
    if best is not None:
        return best
    return NoCapacity(max(policy.step_ms, earliest_ms - left_ms))


def _first_event_ms(engine: EngineView, policy: LoadPolicy) -> float:
    """Return when a first event is expected.

    When a load begins, an engine refuses the requests that it has not
    started, and it accepts none until the load ends: a request sent there
    costs a retry.
    """
    fixed_ms = policy.step_ms if engine.fixed_ms is None else engine.fixed_ms
    first_event_ms = engine.wait_ms + engine.prefill_ms + fixed_ms
    loaded_ms = engine.load_in_ms + policy.load_ms
    if loaded_ms <= 0 or first_event_ms <= engine.load_in_ms:
        return first_event_ms
    return loaded_ms + engine.prefill_ms + fixed_ms


def _lost_run_cost_ms(
    engine: EngineView,
    first_event_ms: float,
    answer_tokens: int,
    policy: LoadPolicy,
) -> float:
    """Return the cost of losing the part of a run after a load."""
    step_ms = policy.step_ms if engine.step_ms is None else engine.step_ms
    run_ms = answer_tokens * step_ms
    lost_ms = first_event_ms + run_ms - engine.load_in_ms
    if run_ms <= 0 or first_event_ms > engine.load_in_ms or lost_ms <= 0:
        return 0.0
    return policy.lost_run_ms * min(1.0, lost_ms / run_ms)


@dataclass(frozen=True)
class PlainView:
    """Hold what a router knows of one upstream of a plain service.

    ``open_requests`` counts this router's requests at the upstream and
    those of other routers by the load that it last reported. ``idle_s`` is
    the time since this router last sent a request there.
    """

    upstream_id: str
    in_zone: bool
    open_requests: int
    slots: int
    in_flight: int
    idle_s: float


# An upstream of a plain service sheds load when its queue is full, and a
# request that waits for more than one round of its slots is late.
_MAX_SLOT_ROUNDS = 2


def place_plain(
    upstreams: Sequence[PlainView],
) -> Placement | NoCapacity:
    """Place a request of a plain service on the least busy upstream.

    Load pattern: short requests on few slots. The upstream with the fewest
    open requests wins, by the load it reported and this router's own
    requests. The router's own zone is preferred only while a slot is free
    there, as queueing costs more than the network delay. Ties go to the
    upstream that has been idle for longest: with the first of the list,
    all routers would choose the same upstream.
    """
    best: PlainView | None = None
    best_rank = (0.0, 0, 0, 0.0)
    for upstream in upstreams:
        if upstream.open_requests >= upstream.slots * _MAX_SLOT_ROUNDS:
            continue
        queued = max(0, upstream.open_requests - upstream.slots + 1)
        rank = (
            float(queued),
            int(not upstream.in_zone),
            upstream.open_requests,
            -upstream.idle_s,
        )
        if best is None or rank < best_rank:
            best = upstream
            best_rank = rank
    if best is None:
        return NoCapacity(_PLAIN_ROUND_MS)
    return Placement(best.upstream_id, 0.0)


# The time of one round of a plain service's slots: its requests run for some
# tens of ms.
_PLAIN_ROUND_MS = 60.0
