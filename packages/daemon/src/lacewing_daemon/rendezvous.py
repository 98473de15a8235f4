"""Rank workers for a prefix so that all routers agree without a message."""

import heapq
from collections import OrderedDict

import xxhash

# A scan of 890 workers takes about 130 us; the outermost levels are few and
# come again and again.
KEPT_RANKINGS = 1024
MAX_WIDTH = 16


def highest_ranked(key: bytes, process_ids: tuple[str, ...]) -> str:
    """Return the worker of highest weight for an 8-byte key."""
    return rank_workers(key, process_ids, 1)[0]


def rank_workers(
    key: bytes, process_ids: tuple[str, ...], count: int
) -> tuple[str, ...]:
    """Return the ``count`` workers of highest weight, best first."""
    seed = int.from_bytes(key, 'big')
    digest = xxhash.xxh3_64_intdigest
    weights = [digest(name.encode(), seed) for name in process_ids]
    if count == 1:
        return (process_ids[weights.index(max(weights))],)
    top = heapq.nlargest(count, range(len(weights)), key=weights.__getitem__)
    return tuple(process_ids[index] for index in top)


class RankingCache:
    """Keep the rankings of recent keys over one set of workers."""

    def __init__(self) -> None:
        self._process_ids: tuple[str, ...] = ()
        self._kept: OrderedDict[bytes, tuple[str, ...]] = OrderedDict()

    def top(
        self, key: bytes, process_ids: tuple[str, ...], count: int
    ) -> tuple[str, ...]:
        """Return up to ``count`` (at most 16) workers, best first."""
        if process_ids is not self._process_ids:
            self._process_ids = process_ids
            self._kept.clear()
        kept = self._kept.get(key)
        if kept is None:
            kept = rank_workers(key, process_ids, MAX_WIDTH)
            self._kept[key] = kept
            if len(self._kept) > KEPT_RANKINGS:
                self._kept.popitem(last=False)
        self._kept.move_to_end(key)
        return kept[:count]
