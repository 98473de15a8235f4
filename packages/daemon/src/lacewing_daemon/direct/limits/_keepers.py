"""Choose the router that keeps the pool of a limit."""

import math
from collections.abc import Callable
from collections.abc import Sequence

import xxhash

# Routers that call one keeper; with more of them the pools are spread.
ROUTERS_PER_KEEPER = 50
# A router that did not answer is not asked again for this long, twice as long
# after each further time. It may only be starting, as all others are.
MIN_SUSPECT_S = 0.5
MAX_SUSPECT_S = 8.0


class Keepers:
    """Choose keepers so that all routers that know each other agree.

    Where routers disagree for a moment, a limit has two pools. That costs
    efficiency only, as tokens are never in both.
    """

    def __init__(self) -> None:
        self._suspected_until_s: dict[str, float] = {}
        self._suspect_s: dict[str, float] = {}

    def suspect(self, address: str, now: float) -> None:
        """Do not choose a router that did not answer for a while."""
        if self._suspected_until_s.get(address, 0.0) > now:
            return
        duration_s = self._suspect_s.get(address, MIN_SUSPECT_S)
        self._suspected_until_s[address] = now + duration_s
        self._suspect_s[address] = min(MAX_SUSPECT_S, 2 * duration_s)

    def trust(self, address: str) -> None:
        """Choose a router again, as it answered."""
        self._suspected_until_s.pop(address, None)
        self._suspect_s.pop(address, None)

    def keeper(
        self, key: str, addresses: Sequence[str], now: float
    ) -> str | None:
        """Return the address of a limit's keeper, None if there is none."""
        return self.among(addresses, now)(key)

    def among(
        self, addresses: Sequence[str], now: float
    ) -> Callable[[str], str | None]:
        """Return a function that returns the keeper of a limit.

        It ranks the routers once for all limits that share a keeper.
        """
        chosen: dict[int, str | None] = {}
        shards = _shard_count(addresses)

        def keeper(key: str) -> str | None:
            shard = xxhash.xxh64_intdigest(key.encode()) % shards
            if shard not in chosen:
                chosen[shard] = self._keeper_of_shard(shard, addresses, now)
            return chosen[shard]

        return keeper

    def _keeper_of_shard(
        self, shard: int, addresses: Sequence[str], now: float
    ) -> str | None:
        best: tuple[int, str] | None = None
        for address in addresses:
            if self._suspected_until_s.get(address, 0.0) > now:
                continue
            rank = xxhash.xxh64_intdigest(f'{shard}/{address}'.encode())
            if best is None or (rank, address) > best:
                best = (rank, address)
        return None if best is None else best[1]

    def forget_expired(self, now: float) -> None:
        """Remove suspicions that ended long ago."""
        for address, until_s in tuple(self._suspected_until_s.items()):
            if until_s + MAX_SUSPECT_S <= now:
                self.trust(address)


def _shard_count(addresses: Sequence[str]) -> int:
    return max(1, math.ceil(len(addresses) / ROUTERS_PER_KEEPER))
