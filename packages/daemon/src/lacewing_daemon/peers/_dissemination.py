"""Repeat each piece of news a bounded number of times."""

from collections.abc import Hashable
from math import ceil
from math import log2
from typing import Generic
from typing import TypeVar

K = TypeVar('K', bound=Hashable)

# Each process repeats a piece of news 3 log2(n) times, in calls that it
# makes anyway: enough for all to hear it but with a vanishing probability,
# and the hash of the table shows the rest.
_REPEATS = 3


class DisseminationQueue(Generic[K]):
    """Hold the keys of what is still to be told."""

    def __init__(self) -> None:
        self._left: dict[K, int] = {}

    def __len__(self) -> int:
        return len(self._left)

    def add(self, key: K, fleet_size: int) -> None:
        """Tell a key anew, as often as the fleet's size needs."""
        self._left[key] = _REPEATS * max(1, ceil(log2(fleet_size + 1)))

    def next_batch(self, limit: int) -> list[K]:
        """Return the keys told least so far and count them as told."""
        chosen = sorted(self._left, key=self._told_least)[:limit]
        for key in chosen:
            self._left[key] -= 1
            if self._left[key] == 0:
                del self._left[key]
        return chosen

    def _told_least(self, key: K) -> int:
        return -self._left[key]
