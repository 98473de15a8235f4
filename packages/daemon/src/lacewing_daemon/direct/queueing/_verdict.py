"""Decide whether a waiting request is placed, waits on or is refused.

Pure functions on snapshots: no clock, no input or output.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Generic
from typing import TypeVar

from lacewing_daemon.direct.queueing._request import Offer
from lacewing_daemon.direct.queueing._request import QueuedRequest
from lacewing_daemon.direct.queueing._request import Unavailable

T = TypeVar('T')

# Part of a latency target that a request may wait at an engine. The rest is
# for the wait at the router, where requests can still be reordered, and for
# its own prefill. With a quarter, engines ran out of work between two updates
# of what routers know (make queueing).
ENGINE_WAIT_SHARE = 0.5
# The same for a team that has received far more service than the others, so
# that it leaves them the rest of the engines' queues.
EXCESS_WAIT_SHARE = 0.25
# A late request is sent only to an engine with fewer of its slots in use. One
# that takes the last slot keeps it for its whole answer, and the next request
# that is on time waits for that (make queueing, "starving").
MAX_LOAD_FOR_LATE = 0.75
# Callers that are refused come back no sooner.
MIN_RETRY_S = 0.05


class Cause(Enum):
    """Name why a waiting request was refused."""

    NO_ENGINE = 'no_engine'
    DEADLINE = 'deadline'
    BACKLOG = 'backlog'
    FULL = 'full'
    DRAINING = 'draining'


@dataclass(frozen=True)
class Place(Generic[T]):
    """Send the request as offered."""

    offer: Offer[T]


@dataclass(frozen=True)
class Wait:
    """Keep the request in the queue."""


@dataclass(frozen=True)
class Refuse:
    """Refuse the request; it is expected to fit after ``retry_s``."""

    cause: Cause
    retry_s: float


def wait_limit_s(target_s: float, exceeds_share: bool) -> float:
    """Return how long a request that is on time may wait at an engine.

    ``target_s``: its latency target. ``exceeds_share``: its team has received
    far more service than the others.
    """
    share = EXCESS_WAIT_SHARE if exceeds_share else ENGINE_WAIT_SHARE
    return target_s * share


def verdict(
    request: QueuedRequest,
    offer: Offer[T] | Unavailable | None,
    wait_s: float,
    now_s: float,
    is_reserved: bool = False,
) -> Place[T] | Wait | Refuse:
    """Decide on a request by the best engine and the queue ahead of it.

    ``offer`` is None if no engine was looked for, as others go first.
    ``wait_s``: expected wait until its turn, 0 if unknown. ``is_reserved``:
    the request has a reserved place, which does not depend on the queues of
    the engines: these are rarely short while more urgent requests wait.

    Load pattern: an overload of some seconds. A request that is refused
    although it would have been served within its deadline is lost, and one
    that waits for its deadline in vain keeps its caller from returning when
    there is capacity.
    """
    if now_s >= request.deadline_s:
        return Refuse(Cause.DEADLINE, max(MIN_RETRY_S, wait_s))
    soonest_s = now_s
    if isinstance(offer, Unavailable):
        soonest_s += offer.retry_s
    if isinstance(offer, Offer):
        soonest_s += offer.first_event_s
    missing_s = soonest_s - request.deadline_s
    if missing_s > 0:
        return Refuse(Cause.NO_ENGINE, max(MIN_RETRY_S, missing_s))
    if isinstance(offer, Offer) and (
        is_reserved or _is_acceptable(request, offer, now_s)
    ):
        return Place(offer)
    missing_s = now_s + wait_s - request.deadline_s
    if missing_s > 0:
        return Refuse(Cause.BACKLOG, max(MIN_RETRY_S, missing_s))
    return Wait()


def _is_acceptable(
    request: QueuedRequest, offer: Offer[T], now_s: float
) -> bool:
    """Return whether sending the request delays no others needlessly.

    A late request must not delay one that is on time, so it is only sent
    where no more than a prefill chunk waits.
    """
    if not request.is_late(now_s + offer.first_event_s):
        return offer.wait_s <= max(offer.chunk_s, request.wait_limit_s)
    if offer.load > MAX_LOAD_FOR_LATE:
        return False
    return offer.queued_s <= offer.chunk_s
