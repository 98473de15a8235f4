"""Describe where one attempt goes and what is told to the upstream."""

from dataclasses import dataclass

from lacewing_daemon.direct._admission import Admitted
from lacewing_daemon.direct._upstream_state import UpstreamState

# Engines order waiting requests by urgency and take 5 if none is told.
USUAL_URGENCY = 5
LEAST_URGENT = 9
# Ranks of routes within one rank of teams; there are three in use.
RANKS_A_TEAM = 3


@dataclass(frozen=True)
class Target:
    """Hold the upstream of one attempt and what it is told.

    ``first_event_ms``: when a first event is expected, of which ``wait_ms``
    for what waits there, ``lateness_ms`` of these by how late others came.
    ``released_version``: the version of the weights that was named last, 0 for
    none; ``superseded_ms``: for how long a newer version than ``weights`` was
    named. ``copy_to`` keeps a copy of the run's memory; ``is_continuation``:
    the run is continued from such a copy. ``is_first``: the prompt's own part
    was not sent there lately; ``tokens_per_ms``: how fast prompts are read.
    """

    state: UpstreamState
    prefill_ms: float
    cache_salt: str | None = None
    weights: int | None = None
    fetch_from: str | None = None
    save_to: str | None = None
    urgency: int = USUAL_URGENCY
    first_event_ms: float = 0.0
    wait_ms: float = 0.0
    lateness_ms: float = 0.0
    released_version: int = 0
    superseded_ms: float = 0.0
    copy_to: UpstreamState | None = None
    is_continuation: bool = False
    is_first: bool = False
    tokens_per_ms: float = 0.0


def urgency_of(admitted: Admitted) -> int:
    """Return how urgent an engine is told that a request is, 0 the most.

    The team's rank goes before the route's.
    """
    team = 0 if admitted.team is None else admitted.team.priority
    return min(LEAST_URGENT, team * RANKS_A_TEAM + admitted.route.priority)
