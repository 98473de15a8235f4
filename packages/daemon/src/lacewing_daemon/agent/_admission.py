"""Let requests to the worker, as many at once as it can batch."""

import asyncio
import math
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal

from lacewing_daemon.agent._fair_queue import FairQueue

_GAIN = 0.1
_FIRST_HOLD_S = 0.5
_SHORTEST_RETRY_S = 0.05


@dataclass(frozen=True)
class AdmissionRequest:
    """Describe a request that wants a slot.

    ``cost`` is in prompt blocks plus one; ``budget_s`` is the time left
    until its first token is due, 0 when there is no bound.
    """

    team: str
    priority: int
    cost: float
    budget_s: float


class Turn(Protocol):
    """Stand for one request's place, in the queue or at the worker."""

    async def wait(self) -> Refusal | None:
        """Wait for the slot; return a refusal if it won't come in time."""

    def abandon(self) -> None:
        """Leave the queue: nobody wants the answer."""

    def release(self) -> None:
        """Give the slot back."""


class Admission(Protocol):
    """Decide which request goes to the worker and when."""

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""

    @property
    def running(self) -> int:
        """Return the number of slots held."""

    @property
    def slots(self) -> int:
        """Return how many requests run at once."""

    @property
    def turn_s(self) -> float:
        """Return the seconds from one slot coming free to the next."""

    def expected_wait_s(self, priority: int = 0) -> float:
        """Return how long a new request would wait for a slot."""

    def enter(self, request: AdmissionRequest) -> Turn | Refusal:
        """Queue a request, or refuse it at once."""


class _FairTurn:
    def __init__(self, admission: 'FairAdmission', budget_s: float) -> None:
        self._admission = admission
        self._budget_s = budget_s
        self._granted: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        self._since = 0.0
        self._held = False

    async def wait(self) -> Refusal | None:
        timeout = self._budget_s if self._budget_s > 0 else None
        done, _ = await asyncio.wait([self._granted], timeout=timeout)
        if not done:
            self._admission.leave(self)
            return self._admission.too_late()
        if not self._granted.result():
            return not_run(Reason.CALLER_GONE, 'the caller went while queued')
        return None

    def abandon(self) -> None:
        if self._granted.done():
            return
        self._admission.leave(self)
        self._granted.set_result(False)

    def release(self) -> None:
        if not self._held:
            return
        self._held = False
        self._admission.give_back(time.monotonic() - self._since)

    def grant(self) -> None:
        self._held = True
        self._since = time.monotonic()
        self._granted.set_result(True)


class FairAdmission:
    """Admit by priority, then by weighted fair queueing between teams."""

    def __init__(
        self,
        slots: int,
        queue_limit: int,
        share_of: Callable[[str], float],
    ) -> None:
        self._slots = slots
        self._queue_limit = queue_limit
        self._queue: FairQueue[_FairTurn] = FairQueue(share_of)
        self._running = 0
        self._hold_s = _FIRST_HOLD_S

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Return the number of slots held."""
        return self._running

    @property
    def slots(self) -> int:
        """Return how many requests run at once."""
        return self._slots

    @property
    def turn_s(self) -> float:
        """Return the seconds from one slot coming free to the next."""
        return self._hold_s / self._slots

    def expected_wait_s(self, priority: int = 0) -> float:
        """Return the wait of a new request for a slot, in seconds."""
        if self._running < self._slots:
            return 0.0
        ahead = self._queue.ahead_of(priority)
        return (ahead + 1) * self._hold_s / self._slots

    def enter(self, request: AdmissionRequest) -> Turn | Refusal:
        """Queue a request, or refuse it at once."""
        wait_s = self.expected_wait_s(request.priority)
        if 0 < request.budget_s < wait_s:
            return not_run(
                Reason.DEADLINE,
                f'expected to wait {wait_s:.2f} s, but the first token is due'
                f' in {request.budget_s:.2f} s',
                _retry_after(wait_s - request.budget_s),
            )
        if len(self._queue) >= self._queue_limit:
            return not_run(
                Reason.QUEUE_FULL,
                f'{self._queue_limit} requests wait for this worker already',
                _retry_after(wait_s),
            )
        turn = _FairTurn(self, request.budget_s)
        self._queue.push(request.team, request.priority, request.cost, turn)
        self._fill()
        return turn

    def leave(self, turn: _FairTurn) -> None:
        """Take a turn out of the queue."""
        self._queue.remove(turn)

    def give_back(self, held_s: float) -> None:
        """Take a slot back after so many seconds and pass it on."""
        self._running -= 1
        self._hold_s += _GAIN * (held_s - self._hold_s)
        self._fill()

    def too_late(self) -> Refusal:
        """Refuse a request whose time ran out in the queue."""
        return not_run(
            Reason.DEADLINE,
            'the first token was due before the worker was free',
            _retry_after(self.expected_wait_s()),
        )

    def _fill(self) -> None:
        while self._running < self._slots:
            turn = self._queue.pop()
            if turn is None:
                return
            self._running += 1
            turn.grant()


def _retry_after(seconds: float) -> float:
    return max(_SHORTEST_RETRY_S, math.ceil(seconds * 100) / 100)
