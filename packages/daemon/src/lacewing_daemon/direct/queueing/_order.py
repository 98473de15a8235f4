"""Order the requests that wait at a router.

Pure functions on snapshots: no clock, no input or output.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from types import MappingProxyType
from typing import Protocol

from lacewing_daemon.direct.queueing._request import QueuedRequest

# Part of the service that is reserved for less urgent requests while more
# urgent ones wait. It is counted in service, not in places: a long prompt may
# need as much of an engine as ten short ones. A twentieth delays the urgent
# ones by no more than the margin of their expected first events.
RESERVED_SHARE = 0.05
_NO_TIMES: Mapping[int, float] = MappingProxyType({})


class Shares(Protocol):
    """Tell how much service each team has received."""

    def service(self, team: str, now_s: float) -> float:
        """Return the service of a team."""


def order(
    requests: Sequence[QueuedRequest],
    shares: Shares,
    now_s: float,
    reserved_tokens: float = 0.0,
    first_event_s: Mapping[int, float] = _NO_TIMES,
) -> list[QueuedRequest]:
    """Return requests in the order in which they should leave the queue.

    Load pattern: more requests than engines can serve in time, of several
    kinds and teams. The more urgent go first; of these, those that can still
    be on time; of these, those of the team that has received the least
    service, so that a team that sends more than usual delays only itself.
    ``reserved_tokens`` is the service reserved for less urgent requests; the
    one that has waited for longest goes first once that covers it.
    ``first_event_s``: time to the first event that engines offered last, by
    urgency. Without it, requests whose time is too short for the queues of
    the engines would precede those that can still be on time.
    """
    services: dict[str, float] = {}
    for request in requests:
        if request.team not in services:
            services[request.team] = shares.service(request.team, now_s)

    def rank(request: QueuedRequest) -> tuple[int, bool, float, float]:
        expected_s = now_s + first_event_s.get(request.urgency, 0.0)
        return (
            request.urgency,
            request.is_late(expected_s),
            services[request.team],
            request.target_s,
        )

    ordered = sorted(requests, key=rank)
    first = _reserved(ordered, reserved_tokens)
    if first is not None:
        ordered.remove(first)
        ordered.insert(0, first)
    return ordered


def _reserved(
    ordered: Sequence[QueuedRequest], reserved_tokens: float
) -> QueuedRequest | None:
    """Return the less urgent request whose reserved place is due."""
    longest: QueuedRequest | None = None
    for request in ordered:
        if request.urgency <= ordered[0].urgency:
            continue
        if longest is None or request.received_s < longest.received_s:
            longest = request
    if longest is None or longest.tokens > reserved_tokens:
        return None
    return longest
