"""Account for what all callers together make the process hold.

Deterministic but for the clock, which tests replace.
"""

import time
from collections.abc import Callable
from enum import Enum

from lacewing_daemon.callers._bounds import CallerBounds
from lacewing_daemon.callers._bounds import CONNECTION_BYTES
from lacewing_daemon.callers._limit import CallerLimit
from lacewing_daemon.callers._limit import LimitRecorder


class Held(Enum):
    """Name what is held for a connection.

    HEAD: received and not parsed yet. BODY: of the request, until it ends.
    ANSWER: collected until it is complete. WRITE: given to the socket, which
    has not taken all of it.
    """

    HEAD = 'head'
    BODY = 'body'
    ANSWER = 'answer'
    WRITE = 'write'


class Wait(Enum):
    """Say what the process waits for at a connection.

    REQUEST: the next request. CALLER: the rest of a request, or until the
    caller has read an answer. OWN: the end of the process's own work.
    """

    REQUEST = 'request'
    CALLER = 'caller'
    OWN = 'own'


OnEnd = Callable[[], None]


class Holding:
    """Hold what one connection counts in an account.

    ``on_end`` is called when it is ended to make room: its request is to be
    refused, or its connection closed.
    """

    def __init__(self, account: 'CallerAccount', on_end: OnEnd) -> None:
        self._account = account
        self._on_end = on_end
        self._wait = Wait.REQUEST
        self._since_s = account.now_s()
        self._sizes: dict[Held, int] = {}
        self._bytes = 0
        self._is_closed = False

    @property
    def account(self) -> 'CallerAccount':
        """Return the account."""
        return self._account

    @property
    def wait(self) -> Wait:
        """Return what is waited for."""
        return self._wait

    @property
    def since_s(self) -> float:
        """Return since when, by the clock of the account."""
        return self._since_s

    @property
    def bytes(self) -> int:
        """Return how many bytes are held."""
        return self._bytes

    @property
    def is_closed(self) -> bool:
        """Return whether it was released."""
        return self._is_closed

    def size(self, held: Held) -> int:
        """Return how many bytes of a kind are held."""
        return self._sizes.get(held, 0)

    def cost(self, now_s: float) -> float:
        """Return the bytes held, times the seconds that they are."""
        return (CONNECTION_BYTES + self._bytes) * (now_s - self._since_s)

    def wait_for(self, wait: Wait) -> None:
        """Record what is waited for from now on."""
        self._wait = wait
        self._since_s = self._account.now_s()

    def add(self, held: Held, size: int) -> bool:
        """Hold more; return whether there is room for it."""
        return self.set(held, self.size(held) + size)

    def set(self, held: Held, size: int) -> bool:
        """Hold a number of bytes; return whether there is room for them.

        Others may be closed for it. Without room nothing is held.
        """
        if self._is_closed:
            return False
        grows_by = size - self.size(held)
        self._sizes[held] = size
        self._bytes += grows_by
        self._account.change(grows_by)
        if grows_by <= 0 or self._account.make_room(self):
            return True
        if not self._is_closed:
            self.set(held, 0)
        return False

    def clear(self) -> None:
        """Hold nothing any more."""
        self._account.change(-self._bytes)
        self._sizes.clear()
        self._bytes = 0

    def end(self) -> None:
        """Remove it from the account to make room for others."""
        self.close()
        self._on_end()

    def close(self) -> None:
        """Remove it from the account."""
        if self._is_closed:
            return
        self.clear()
        self._is_closed = True
        self._account.remove(self)


class CallerAccount:
    """Bound the connections and bytes of all callers together.

    Each caller has limits, but their number has none. Past a bound, room is
    made by ending what has cost most, in bytes times seconds, of the
    connections whose callers are waited for: ordinary callers hold little,
    and not for long. What the process itself still works on is not ended.
    """

    def __init__(
        self,
        bounds: CallerBounds,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._bounds = bounds
        self._clock = clock
        self.limits = LimitRecorder()
        self._held_bytes = 0
        self._holdings: dict[Holding, None] = {}

    @property
    def bounds(self) -> CallerBounds:
        """Return the bounds."""
        return self._bounds

    @property
    def held_bytes(self) -> int:
        """Return the bytes that all connections hold."""
        return self._held_bytes

    @property
    def holdings(self) -> tuple[Holding, ...]:
        """Return those of all open connections, oldest first."""
        return tuple(self._holdings)

    def now_s(self) -> float:
        """Return the time by the clock of the account."""
        return self._clock()

    def open(self, on_end: OnEnd) -> Holding | None:
        """Count a new connection; return None if there is no room for it."""
        if len(self._holdings) >= self._bounds.max_connections:
            victim = self._longest_idle() or self._costliest(0)
            self.limits.record(
                CallerLimit.CONNECTIONS, 0 if victim is None else victim.bytes
            )
            if victim is None:
                return None
            victim.end()
        holding = Holding(self, on_end)
        self._holdings[holding] = None
        return holding

    def remove(self, holding: Holding) -> None:
        """Count a connection no more."""
        self._holdings.pop(holding, None)

    def change(self, by: int) -> None:
        """Count more or fewer bytes."""
        self._held_bytes += by

    def make_room(self, newest: Holding) -> bool:
        """End what costs most until all is within the bound.

        Returns whether ``newest`` may keep what it holds.
        """
        while self._held_bytes > self._bounds.max_bytes:
            victim = self._costliest(1)
            if victim is None:
                self.limits.record(CallerLimit.HELD_BYTES, newest.bytes)
                return False
            self.limits.record(CallerLimit.HELD_BYTES, victim.bytes)
            victim.end()
            if victim is newest:
                return False
        return True

    def _longest_idle(self) -> Holding | None:
        idle = None
        for holding in self._holdings:
            if holding.wait is not Wait.REQUEST or holding.bytes:
                continue
            if idle is None or holding.since_s < idle.since_s:
                idle = holding
        return idle

    def _costliest(self, min_bytes: int) -> Holding | None:
        """Return what costs most of those that hold a number of bytes."""
        now_s = self.now_s()
        found = None
        for holding in self._holdings:
            if holding.wait is Wait.OWN or holding.bytes < min_bytes:
                continue
            if found is None or holding.cost(now_s) > found.cost(now_s):
                found = holding
        return found
