"""Decide which upstreams load new weights next.

Pure functions on snapshots: no clock, no input or output.
"""

from collections.abc import Sequence
from dataclasses import dataclass

# Engines load side by side without slowing each other down while they are
# no more than about this part of the fleet.
LOADING_PART = 0.36
LOADING_LEAST = 2
# An order without effect is repeated after this time; a load takes 0.4 s.
REPEAT_S = 1.2


@dataclass(frozen=True)
class EngineWeights:
    """Hold what the planner knows of one engine and one model.

    ``version`` is 0 when unknown; ``ordered`` the version it was last
    ordered to load and ``ordered_ago_s`` how long ago, infinite for never.
    ``open_requests`` are this router's requests there.
    """

    upstream_id: str
    version: int
    ordered: int
    ordered_ago_s: float
    open_requests: int


def next_loads(
    engines: Sequence[EngineWeights], named: int
) -> tuple[str, ...]:
    """Return the engines to order now to load the version named.

    Load pattern: versions named every few seconds. While an engine loads it
    serves nothing and its cache is lost, so only a part of the fleet loads
    at a time, the idlest first; a version that was superseded before an
    engine's turn is never loaded there.
    """
    loading = 0
    behind = []
    for engine in engines:
        if engine.version >= named:
            continue
        if engine.ordered_ago_s < REPEAT_S:
            loading += 1
            continue
        behind.append(engine)
    most = max(LOADING_LEAST, int(len(engines) * LOADING_PART))
    behind.sort(key=_open_requests)
    chosen = []
    for engine in behind[: max(0, most - loading)]:
        chosen.append(engine.upstream_id)
    return tuple(chosen)


def _open_requests(engine: EngineWeights) -> int:
    return engine.open_requests
