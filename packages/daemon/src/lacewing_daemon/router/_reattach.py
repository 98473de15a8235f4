"""Bound how long an attempt waits for a broken link."""

from dataclasses import dataclass

from lacewing_daemon.router._call import Call
from lacewing_daemon.router._continuation import may_be_continued

# A request that can run elsewhere waits only for a quick reconnect; one
# that can't has nowhere else to get its answer from.
MOVABLE_S = 0.5
BOUND_S = 15.0


@dataclass(frozen=True)
class ReattachBounds:
    """Bound the wait for a broken link, in seconds.

    ``empty_s`` holds before the first answer byte, ``begun_s`` after it.
    """

    empty_s: float
    begun_s: float


def reattach_bounds(call: Call) -> ReattachBounds:
    """Return the bounds for the attempts of a call."""
    if not call.idempotent:
        return ReattachBounds(BOUND_S, BOUND_S)
    if call.stream and not may_be_continued(call):
        return ReattachBounds(MOVABLE_S, BOUND_S)
    return ReattachBounds(MOVABLE_S, MOVABLE_S)
