"""Order waiting requests by priority, then fairly between teams."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Generic
from typing import TypeVar

T = TypeVar('T')

_SMALLEST_SHARE = 0.001


@dataclass(frozen=True)
class _Lane:
    priority: int
    team: str


@dataclass(order=True)
class _Entry(Generic[T]):
    rank: int
    start: float
    order: int
    item: T = field(compare=False)
    removed: bool = field(default=False, compare=False)


class FairQueue(Generic[T]):
    """Serve teams in proportion to their shares.

    Start-time fair queueing: a request's tag is the greater of the queue's
    virtual time and the finish tag of its team's last request, which lies
    cost / share further. The lowest tag goes first, so a team that sends
    ten times as much waits behind itself and not before the others. Each
    priority has a virtual time of its own.
    """

    def __init__(self, share_of: Callable[[str], float]) -> None:
        self._share_of = share_of
        self._heap: list[_Entry[T]] = []
        self._entries: dict[int, _Entry[T]] = {}
        self._finish: dict[_Lane, float] = {}
        self._virtual: dict[int, float] = {}
        self._order = 0

    def __len__(self) -> int:
        return len(self._entries)

    def ahead_of(self, priority: int) -> int:
        """Count the requests that go before a new one, at the most."""
        count = 0
        for entry in self._entries.values():
            if -entry.rank < priority:
                continue
            count += 1
        return count

    def push(self, team: str, priority: int, cost: float, item: T) -> None:
        """Add a request of a team."""
        lane = _Lane(priority, team)
        now = self._virtual.get(priority, 0.0)
        start = max(now, self._finish.get(lane, 0.0))
        share = max(self._share_of(team), _SMALLEST_SHARE)
        self._finish[lane] = start + cost / share
        self._order += 1
        entry = _Entry(-priority, start, self._order, item)
        self._entries[id(item)] = entry
        heapq.heappush(self._heap, entry)

    def pop(self) -> T | None:
        """Take the request whose turn it is; None when empty."""
        while self._heap:
            entry = heapq.heappop(self._heap)
            if entry.removed:
                continue
            del self._entries[id(entry.item)]
            now = self._virtual.get(-entry.rank, 0.0)
            self._virtual[-entry.rank] = max(now, entry.start)
            self._forget_past()
            return entry.item
        return None

    def remove(self, item: T) -> None:
        """Take out a request that no longer waits."""
        entry = self._entries.pop(id(item), None)
        if entry is not None:
            entry.removed = True

    def _forget_past(self) -> None:
        # A finish tag below the virtual time has no effect any more; kept,
        # the tags of teams long gone would pile up.
        if self._entries:
            return
        self._finish = {
            lane: finish
            for lane, finish in self._finish.items()
            if finish > self._virtual.get(lane.priority, 0.0)
        }
