"""Describe the upstream of one attempt and what is sent to it."""

from dataclasses import dataclass

from lacewing_daemon.direct._admission import Admitted
from lacewing_daemon.direct._upstream_state import UpstreamState

# Engines order queued requests by urgency and assume 5 if none is sent.
DEFAULT_URGENCY = 5
LEAST_URGENCY = 9
# Route priorities per team priority; three are in use.
ROUTE_PRIORITIES_PER_TEAM = 3


@dataclass(frozen=True)
class Target:
    """Hold the upstream of one attempt and the values sent with it.

    ``first_event_ms``: time to the expected first event. ``wait_ms``: the
    queueing time in it, including ``lateness_ms`` for the recent delay of
    first events there. ``released_version``: the version of the weights
    released last, 0 for none; ``superseded_ms``: time since a later version
    than ``weights`` was released. ``copy_to``: the upstream that keeps a copy
    of the run's KV cache; ``is_continuation``: the run continues from such a
    copy. ``is_first``: the prompt's own part was not sent there lately;
    ``tokens_per_ms``: prefill speed; ``step_ms``: time per generated token;
    ``fixed_ms``: part of the first event that depends on neither prompt nor
    queue; ``speed_factor``: ratio of the engine's times to the usual ones of
    its service, contained in the others. ``kv_tokens``: what the
    request adds to the engine's KV memory.
    """

    state: UpstreamState
    prefill_ms: float
    cache_salt: str | None = None
    weights: int | None = None
    fetch_from: str | None = None
    save_to: str | None = None
    urgency: int = DEFAULT_URGENCY
    first_event_ms: float = 0.0
    wait_ms: float = 0.0
    lateness_ms: float = 0.0
    released_version: int = 0
    superseded_ms: float = 0.0
    copy_to: UpstreamState | None = None
    is_continuation: bool = False
    is_first: bool = False
    tokens_per_ms: float = 0.0
    kv_tokens: int = 0
    step_ms: float = 0.0
    fixed_ms: float = 0.0
    speed_factor: float = 1.0


def urgency_of(admitted: Admitted) -> int:
    """Return the urgency to send with a request, 0 for the most urgent.

    The team's priority takes precedence over the route's.
    """
    team = 0 if admitted.team is None else admitted.team.priority
    return min(
        LEAST_URGENCY,
        team * ROUTE_PRIORITIES_PER_TEAM + admitted.route.priority,
    )
