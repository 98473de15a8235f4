"""Queue updates, each to be sent a bounded number of times."""

from collections.abc import Hashable
from math import ceil
from math import log2
from typing import Generic
from typing import TypeVar

K = TypeVar('K', bound=Hashable)

# Each process sends an update 3 log2(n) times, with calls that it makes
# anyway. The probability that a process misses it is negligible, and the hash
# of the table reveals the remaining cases.
_SENDS_PER_LOG2 = 3


class DisseminationQueue(Generic[K]):
    """Hold the keys of updates that are still to be sent."""

    def __init__(self) -> None:
        self._sends_left: dict[K, int] = {}

    def __len__(self) -> int:
        return len(self._sends_left)

    def add(self, key: K, fleet_size: int) -> None:
        """Add a key, or restart its count, for a fleet of this size."""
        self._sends_left[key] = _SENDS_PER_LOG2 * max(
            1, ceil(log2(fleet_size + 1))
        )

    def next_batch(self, limit: int) -> list[K]:
        """Return the keys with the most sends left and count one send each."""
        chosen = sorted(self._sends_left, key=self._by_sends_left)[:limit]
        for key in chosen:
            self._sends_left[key] -= 1
            if self._sends_left[key] == 0:
                del self._sends_left[key]
        return chosen

    def _by_sends_left(self, key: K) -> int:
        return -self._sends_left[key]
