"""Hold the requests that wait at a router, and take them out in order.

Deterministic: callers pass in the time.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic
from typing import TypeVar

from lacewing_daemon.direct.queueing._order import order
from lacewing_daemon.direct.queueing._order import RESERVED_SHARE
from lacewing_daemon.direct.queueing._rates import LeaveRates
from lacewing_daemon.direct.queueing._request import Offer
from lacewing_daemon.direct.queueing._request import QueuedRequest
from lacewing_daemon.direct.queueing._request import Unavailable
from lacewing_daemon.direct.queueing._shares import TeamShares
from lacewing_daemon.direct.queueing._verdict import Cause
from lacewing_daemon.direct.queueing._verdict import MIN_RETRY_S
from lacewing_daemon.direct.queueing._verdict import Place
from lacewing_daemon.direct.queueing._verdict import Refuse
from lacewing_daemon.direct.queueing._verdict import verdict

T = TypeVar('T')

# Bodies of waiting requests are kept: an estimated 50 KB each for prompts of
# 9,000 tokens, together less than half of a router's 32 MB.
MAX_WAITING = 256
# Requests for which engines are compared in one evaluation. Each costs time
# in proportion to the engines, and after the first of each kind the rest
# would seldom find what these did not.
MAX_OFFERS = 4
# A full queue has room again once half of it has left.
FULL_RETRY_SHARE = 0.5

Offers = Callable[[QueuedRequest], Offer[T] | Unavailable | None]


@dataclass(frozen=True)
class Evaluation(Generic[T]):
    """Hold the result of an evaluation: at most one request is placed."""

    placed: QueuedRequest | None
    offer: Offer[T] | None
    refused: tuple[tuple[QueuedRequest, Refuse], ...]


class WaitingRequests(Generic[T]):
    """Hold the waiting requests of one service."""

    def __init__(self, shares: TeamShares, limit: int = MAX_WAITING) -> None:
        self._shares = shares
        self._limit = limit
        self._requests: list[QueuedRequest] = []
        self._rates = LeaveRates()
        self._reserved_tokens = 0.0
        self._first_event_s: dict[int, float] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._requests)

    @property
    def requests(self) -> tuple[QueuedRequest, ...]:
        """Return the waiting requests as they arrived."""
        return tuple(self._requests)

    def count_ahead(self, urgency: int) -> int:
        """Count the requests of the same or a higher urgency."""
        count = 0
        for request in self._requests:
            if request.urgency <= urgency:
                count += 1
        return count

    def add(
        self, request: QueuedRequest, now_s: float
    ) -> tuple[QueuedRequest, Refuse] | None:
        """Add a request; return the one that is refused for it, if any.

        When the queue is full, the last in the order yields, which may be
        the new one.
        """
        self._requests.append(request)
        if len(self._requests) <= self._limit:
            return None
        last = self._ordered(now_s)[-1]
        self.remove(last)
        tokens = 0.0
        for waiting in self._requests:
            if waiting.urgency == last.urgency:
                tokens += waiting.tokens
        drain_s = self._rates.wait_s(last, tokens)
        retry_s = max(MIN_RETRY_S, FULL_RETRY_SHARE * drain_s)
        return last, Refuse(Cause.FULL, retry_s)

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request, if it still waits."""
        if request in self._requests:
            self._requests.remove(request)

    def record_placed(self, request: QueuedRequest, tokens: float) -> None:
        """Count a request that was sent, also one that did not wait.

        Service is reserved only while less urgent requests wait, and no more
        than the largest of them needs.
        """
        largest = 0.0
        for waiting in self._requests:
            if waiting.urgency > request.urgency:
                largest = max(largest, waiting.tokens)
        self._reserved_tokens = min(
            largest, self._reserved_tokens + RESERVED_SHARE * tokens
        )

    def evaluate(self, now_s: float, offers: Offers[T]) -> Evaluation[T]:
        """Take out what is refused, and the first request that is placed.

        ``offers`` may return None to compare no more engines this time.
        Only one is placed at a time, as its load must be known before the
        engines are compared for the next one.
        """
        self._rates.observe(
            {request.urgency for request in self._requests}, now_s
        )
        ordered = self._ordered(now_s)
        refused: list[tuple[QueuedRequest, Refuse]] = []
        tokens_ahead: dict[int, float] = {}
        unplaced: dict[int, float] = {}
        offered = 0
        for position, request in enumerate(ordered):
            is_reserved = position == 0 and _has_more_urgent(ordered)
            offer: Offer[T] | Unavailable | None = None
            if offered < MAX_OFFERS and request.tokens < unplaced.get(
                request.urgency, float('inf')
            ):
                offered += 1
                offer = offers(request)
                if isinstance(offer, Offer):
                    self._first_event_s[request.urgency] = offer.first_event_s
            ahead = tokens_ahead.get(request.urgency, 0.0)
            decision = verdict(
                request,
                offer,
                self._rates.wait_s(request, ahead),
                now_s,
                is_reserved,
            )
            if isinstance(decision, Refuse):
                self._requests.remove(request)
                refused.append((request, decision))
                continue
            if isinstance(decision, Place):
                self._requests.remove(request)
                self._rates.record(request)
                self.record_placed(request, decision.offer.tokens)
                if is_reserved:
                    self._reserved_tokens = 0.0
                return Evaluation(request, decision.offer, tuple(refused))
            tokens_ahead[request.urgency] = ahead + request.tokens
            if offer is not None:
                unplaced[request.urgency] = request.tokens
        return Evaluation(None, None, tuple(refused))

    def _ordered(self, now_s: float) -> list[QueuedRequest]:
        return order(
            self._requests,
            self._shares,
            now_s,
            self._reserved_tokens,
            self._first_event_s,
        )


def _has_more_urgent(ordered: list[QueuedRequest]) -> bool:
    """Return whether the first request precedes a more urgent one."""
    first = ordered[0]
    return any(request.urgency < first.urgency for request in ordered)
