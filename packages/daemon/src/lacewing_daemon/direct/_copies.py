"""Choose where copies of runs are kept."""

from collections.abc import Sequence

from lacewing_daemon.direct._choice import EngineView
from lacewing_daemon.direct._target import Target
from lacewing_daemon.direct._upstream_state import UpstreamState


def copy_token_limit(
    kv_tokens: float, routers: int, prompt_tokens: int
) -> float:
    """Return how much an engine may hold of a router's copies already.

    ``kv_tokens`` is the memory for copies of all routers. Copies take memory
    from cached parts, which then have to be read again: without a bound 2.7
    times as many tokens were, on a deployment of 22 engines whose memory is
    scarce (1.7 against 0.6 million in 34 s).
    """
    return kv_tokens / routers - prompt_tokens


def choose_copy_upstream(
    target: Target,
    candidates: Sequence[Target],
    views: Sequence[EngineView],
    ends_ms: float,
    max_copy_tokens: float,
) -> UpstreamState | None:
    """Choose the engine that keeps a copy of a run.

    Load pattern: engines crash with runs that must not begin again. The copy
    must outlast the run, which is expected to end in ``ends_ms``, so an engine
    that loads before is no choice, nor one where this router has copies of
    over ``max_copy_tokens``; of the others the nearest, then the least busy
    one.
    """
    best: UpstreamState | None = None
    best_rank = (0, 0)
    zone = target.state.upstream.availability_zone
    for other, view in zip(candidates, views, strict=True):
        if other.state is target.state or other.weights != target.weights:
            continue
        if view.load_in_ms < ends_ms:
            continue
        if other.state.copy_tokens > max_copy_tokens:
            continue
        upstream = other.state.upstream
        rank = (int(upstream.availability_zone != zone), view.in_flight)
        if best is None or rank < best_rank:
            best = other.state
            best_rank = rank
    return best
