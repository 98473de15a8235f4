"""Choose the upstreams that keep copies of runs."""

from collections.abc import Sequence

from lacewing_daemon.direct._choice import EngineView
from lacewing_daemon.direct._target import Target
from lacewing_daemon.direct._upstream_state import UpstreamState


def copy_token_limit(
    kv_tokens: float, routers: int, prompt_tokens: int
) -> float:
    """Return how many tokens of a router's copies an engine may have already.

    ``kv_tokens`` is the memory for the copies of all routers. Copies take
    memory from cached parts, whose prefill is then repeated: without a limit
    2.7 times as many tokens were prefilled again, on a deployment of 22
    engines with scarce memory (1.7 against 0.6 million in 34 s).
    """
    return kv_tokens / routers - prompt_tokens


def choose_copy_upstream(
    target: Target,
    candidates: Sequence[Target],
    views: Sequence[EngineView],
    ends_ms: float,
    max_copy_tokens: float,
) -> UpstreamState | None:
    """Choose the engine that keeps the copy of a run.

    Load pattern: engines crash with runs that can't be retried. The copy
    must outlast the run, which is expected to end in ``ends_ms``, so engines
    that load weights before are excluded, as are those where this router
    has copies of over ``max_copy_tokens`` and those of other software. Of
    the remaining candidates those in the target's zone are preferred, then
    the least busy one.
    """
    best: UpstreamState | None = None
    best_rank = (0, 0)
    software = target.state.upstream.software
    zone = target.state.upstream.availability_zone
    for candidate, view in zip(candidates, views, strict=True):
        if (
            candidate.state is target.state
            or candidate.weights != target.weights
        ):
            continue
        if not candidate.state.has_same_software(software):
            continue
        if view.load_in_ms < ends_ms:
            continue
        if candidate.state.copy_tokens > max_copy_tokens:
            continue
        upstream = candidate.state.upstream
        rank = (int(upstream.availability_zone != zone), view.in_flight)
        if best is None or rank < best_rank:
            best = candidate.state
            best_rank = rank
    return best
