"""Rank workers by rendezvous hashing, alike at all routers."""

import heapq
from collections import OrderedDict
from collections.abc import Sequence
from math import log

import xxhash

# Ranking 890 workers takes about 130 us. The outermost prefix levels are few
# and recur, so their rankings stay in the cache.
MAX_CACHED_RANKINGS = 1024
MAX_WIDTH = 16
_DIGESTS = 2.0**64
_MIN_LOG = 1e-300


def highest_ranked(key: bytes, process_ids: tuple[str, ...]) -> str:
    """Return the worker with the highest weight for an 8-byte key."""
    return rank_workers(key, process_ids, 1)[0]


def rank_workers(
    key: bytes, process_ids: tuple[str, ...], count: int
) -> tuple[str, ...]:
    """Return the ``count`` workers with the highest weights, best first."""
    seed = int.from_bytes(key, 'big')
    digest = xxhash.xxh3_64_intdigest
    weights = [digest(name.encode(), seed) for name in process_ids]
    if count == 1:
        return (process_ids[weights.index(max(weights))],)
    top = heapq.nlargest(count, range(len(weights)), key=weights.__getitem__)
    return tuple(process_ids[index] for index in top)


def rank_weighted(
    key: bytes, process_ids: tuple[str, ...], shares: Sequence[float]
) -> tuple[str, ...]:
    """Return all workers, best first, each first for its share of keys.

    Weighted rendezvous hashing: a change of one share moves only keys to or
    from its worker. Equal shares give the order of ``rank_workers``, but for
    hashes that are equal as floating-point numbers.
    """
    seed = int.from_bytes(key, 'big')
    digest = xxhash.xxh3_64_intdigest
    ranked = []
    for name, share in zip(process_ids, shares, strict=True):
        fraction = (digest(name.encode(), seed) + 0.5) / _DIGESTS
        # Rounding may give 1.0, whose logarithm is 0.
        ranked.append((share / max(-log(fraction), _MIN_LOG), name))
    ranked.sort(reverse=True)
    return tuple(name for _, name in ranked)


class RankingCache:
    """Cache the rankings of recent keys over one set of workers."""

    def __init__(self) -> None:
        self._process_ids: tuple[str, ...] = ()
        self._rankings: OrderedDict[bytes, tuple[str, ...]] = OrderedDict()

    def top(
        self, key: bytes, process_ids: tuple[str, ...], count: int
    ) -> tuple[str, ...]:
        """Return up to ``count`` (at most 16) workers, best first."""
        if process_ids is not self._process_ids:
            self._process_ids = process_ids
            self._rankings.clear()
        ranking = self._rankings.get(key)
        if ranking is None:
            ranking = rank_workers(key, process_ids, MAX_WIDTH)
            self._rankings[key] = ranking
            if len(self._rankings) > MAX_CACHED_RANKINGS:
                self._rankings.popitem(last=False)
        self._rankings.move_to_end(key)
        return ranking[:count]
