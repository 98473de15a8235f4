"""Let requests of one service wait at the router until they are placed."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Generic
from typing import TypeVar

from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.direct._metrics import QUEUE_REFUSED
from lacewing_daemon.direct._metrics import QUEUE_SECONDS
from lacewing_daemon.direct._metrics import QUEUE_WAITING
from lacewing_daemon.direct.queueing._request import Offer
from lacewing_daemon.direct.queueing._request import OfferSource
from lacewing_daemon.direct.queueing._request import QueuedRequest
from lacewing_daemon.direct.queueing._request import Unavailable
from lacewing_daemon.direct.queueing._shares import TeamShares
from lacewing_daemon.direct.queueing._verdict import Cause
from lacewing_daemon.direct.queueing._verdict import MIN_RETRY_S
from lacewing_daemon.direct.queueing._verdict import Place
from lacewing_daemon.direct.queueing._verdict import Refuse
from lacewing_daemon.direct.queueing._verdict import verdict
from lacewing_daemon.direct.queueing._waiting import WaitingRequests

T = TypeVar('T')

# Interval of evaluations without a known cause. Shorter than a prefill chunk,
# so that an engine gets its next request before it runs out of work.
TICK_S = 0.02
# Part of the time that evaluations without a result may take. On a slow
# router they would otherwise delay the streams that it relays.
EVALUATION_SHARE = 0.1
# Engines are compared for no further request after this time: at 890 engines
# one comparison takes 40 ms, and open streams wait for it.
MAX_COMPARING_S = 0.02
# Callers that were refused at the same moment return at different ones.
RETRY_JITTER = 0.2
# A router that stops refuses; its callers reach another one at once.
DRAIN_RETRY_S = 0.05
LOG_INTERVAL_S = 5.0

_log = get_log(Part.PLACEMENT)


@dataclass
class QueueStay:
    """Hold how a request waited; ``ahead`` is -1 if it never did.

    ``ahead``: requests of the same or a higher urgency when it joined.
    """

    ahead: int = -1
    queued_s: float = 0.0


@dataclass(frozen=True)
class _Waiter(Generic[T]):
    """Hold the caller's side of a waiting request."""

    offers: OfferSource[T]
    result: 'asyncio.Future[Offer[T] | Refuse]'


class RequestQueue(Generic[T]):
    """Hold waiting requests and wake them one at a time.

    The waiting coroutines own their places: one that is cancelled, as its
    caller left or its time is over, removes its request itself.
    """

    def __init__(
        self,
        service: str,
        shares: TeamShares,
        random: Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._service = service
        self._shares = shares
        self._random = random
        self._clock = clock
        self._waiting: WaitingRequests[T] = WaitingRequests(shares)
        self._waiters: dict[QueuedRequest, _Waiter[T]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._pause_until_s = 0.0
        self._is_closed = False
        self._logged_s = float('-inf')

    @property
    def length(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    async def wait(
        self, request: QueuedRequest, offers: OfferSource[T], stay: QueueStay
    ) -> T | Refuse:
        """Return where to send a request, or why it is refused.

        ``stay`` is updated also if the wait is cancelled.
        """
        now_s = self._clock()
        self._shares.mark_active(request.team, now_s)
        ahead = self._waiting.count_ahead(request.urgency)
        if not ahead:
            decision = verdict(request, offers.offer(now_s), 0.0, now_s)
            if isinstance(decision, Place):
                self._waiting.record_placed(request, decision.offer.tokens)
                return decision.offer.target
            if isinstance(decision, Refuse):
                return self._refused(decision)
        if self._is_closed:
            return self._refused(Refuse(Cause.DRAINING, DRAIN_RETRY_S))
        stay.ahead = max(stay.ahead, ahead)
        result = await self._join(request, offers, stay)
        if isinstance(result, Refuse):
            return self._refused(result)
        return result.target

    def capacity_changed(self) -> None:
        """Evaluate the queue soon, as an engine may have capacity."""
        if len(self._waiting):
            self._schedule(self._pause_until_s - self._clock())

    def close(self) -> None:
        """Refuse all that wait; later requests are placed or refused."""
        self._is_closed = True
        self._cancel_timer()
        for request, waiter in tuple(self._waiters.items()):
            self._waiting.remove(request)
            self._resolve(waiter, Refuse(Cause.DRAINING, DRAIN_RETRY_S))

    async def _join(
        self, request: QueuedRequest, offers: OfferSource[T], stay: QueueStay
    ) -> Offer[T] | Refuse:
        result = asyncio.get_running_loop().create_future()
        self._waiters[request] = _Waiter(offers, result)
        joined_s = self._clock()
        gauge = QUEUE_WAITING.labels(self._service)
        gauge.inc()
        self._log_start(request, joined_s)
        try:
            yielded = self._waiting.add(request, joined_s)
            if yielded is not None:
                self._resolve(self._waiters[yielded[0]], yielded[1])
            self.capacity_changed()
            joined: Offer[T] | Refuse = await result
            return joined
        finally:
            self._waiting.remove(request)
            del self._waiters[request]
            if not self._waiters:
                self._cancel_timer()
            waited_s = self._clock() - joined_s
            stay.queued_s += waited_s
            gauge.dec()
            QUEUE_SECONDS.labels(self._service).observe(waited_s)

    def _evaluate(self) -> None:
        """Place the first request that can be placed, and schedule the next.

        The next one is placed after the first has been sent, so that engines
        are compared with its load.
        """
        self._timer = None
        for request, waiter in tuple(self._waiters.items()):
            if waiter.result.done():
                self._waiting.remove(request)
        if not len(self._waiting):
            return
        now_s = self._clock()
        result = self._waiting.evaluate(
            now_s, lambda request: self._offer(request, now_s)
        )
        for request, refusal in result.refused:
            self._resolve(self._waiters[request], refusal)
        if result.placed is not None and result.offer is not None:
            self._resolve(self._waiters[result.placed], result.offer)
            self._schedule(0.0)
            return
        took_s = self._clock() - now_s
        pause_s = took_s / EVALUATION_SHARE
        self._pause_until_s = now_s + pause_s
        self._schedule(max(TICK_S, pause_s))

    def _offer(
        self, request: QueuedRequest, now_s: float
    ) -> Offer[T] | Unavailable | None:
        if self._clock() - now_s >= MAX_COMPARING_S:
            return None
        waiter = self._waiters[request]
        try:
            return waiter.offers.offer(now_s)
        except Exception as error:
            # Raised in the request's own coroutine; the others wait on.
            if not waiter.result.done():
                waiter.result.set_exception(error)
            return Unavailable(0.0)

    def _resolve(self, waiter: _Waiter[T], result: Offer[T] | Refuse) -> None:
        if not waiter.result.done():
            waiter.result.set_result(result)

    def _refused(self, refusal: Refuse) -> Refuse:
        QUEUE_REFUSED.labels(self._service, refusal.cause.value).inc()
        factor = self._random.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)
        retry_s = max(MIN_RETRY_S, refusal.retry_s * factor)
        return Refuse(refusal.cause, retry_s)

    def _schedule(self, delay_s: float) -> None:
        """Evaluate after a delay, or earlier if that is scheduled already."""
        loop = asyncio.get_running_loop()
        at_s = loop.time() + max(0.0, delay_s)
        if self._timer is not None:
            if self._timer.when() <= at_s:
                return
            self._timer.cancel()
        self._timer = loop.call_at(at_s, self._evaluate)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _log_start(self, request: QueuedRequest, now_s: float) -> None:
        if now_s - self._logged_s < LOG_INTERVAL_S:
            return
        self._logged_s = now_s
        _log.info(
            'Requests wait for capacity.',
            service=self._service,
            waiting=len(self._waiting) + 1,
            urgency=request.urgency,
        )


class RequestQueues(Generic[T]):
    """Hold the queues of all contended services of a router."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._queues: dict[str, RequestQueue[T]] = {}
        self._shares = TeamShares()
        self._is_closed = False

    @property
    def shares(self) -> TeamShares:
        """Return the service that each team has received."""
        return self._shares

    def queue(self, service: str) -> RequestQueue[T]:
        """Return the queue of a service."""
        queue = self._queues.get(service)
        if queue is None:
            queue = RequestQueue(service, self._shares, self._random)
            self._queues[service] = queue
            if self._is_closed:
                queue.close()
        return queue

    def capacity_changed(self, service: str) -> None:
        """Evaluate a service's queue, as an engine may have capacity."""
        queue = self._queues.get(service)
        if queue is not None:
            queue.capacity_changed()

    def all_changed(self) -> None:
        """Evaluate all queues, as other routers told of their load."""
        for queue in self._queues.values():
            queue.capacity_changed()

    def close(self) -> None:
        """Refuse all waiting requests and let none wait any more."""
        self._is_closed = True
        for queue in self._queues.values():
            queue.close()
