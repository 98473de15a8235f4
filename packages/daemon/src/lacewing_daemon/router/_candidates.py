"""Name the few workers that are worth an estimate."""

import random
from dataclasses import dataclass

from lacewing_common.prefix import PrefixChain

from lacewing_daemon.rendezvous import highest_ranked
from lacewing_daemon.rendezvous import RankingCache
from lacewing_daemon.router._hints import Held
from lacewing_daemon.router._policy import Workers

# Up to so many workers an estimate of each is cheaper than choosing which.
SMALL_FLEET = 16
RANDOM_CANDIDATES = 2
MOST_HINTED = 8
# The next workers by rendezvous after the homes: where routers agree to
# turn to when the homes are full.
STANDBYS = 2


@dataclass(frozen=True)
class Candidates:
    """Hold the workers to estimate.

    ``homes`` maps a worker to the blocks that belong there: routers which
    know nothing agree on them. ``ranks`` orders workers of near costs, the
    lowest first: deep homes, outer homes, the next ones by rendezvous.
    """

    process_ids: tuple[str, ...]
    homes: dict[str, int]
    ranks: dict[str, int]


class Finder:
    """Find candidates by rendezvous, by hints and by chance."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._rankings = RankingCache()

    def find(
        self,
        chain: PrefixChain,
        workers: Workers,
        held: dict[str, Held],
        width: int,
    ) -> Candidates:
        """Return the candidates for a prompt."""
        ids = workers.ids
        if not chain.levels:
            return Candidates(self._some(ids), {}, {})
        outer = chain.blocks[chain.levels[0] - 1]
        top = self._rankings.top(outer, ids, width + STANDBYS)
        homes = _homes(chain, top[:width])
        ranks = _ranks(homes, top)
        if len(ids) <= SMALL_FLEET:
            return Candidates(ids, homes, ranks)
        found = dict.fromkeys(ranks)
        for process_id in _most_held(held):
            found[process_id] = None
        for process_id in self._some(ids):
            found[process_id] = None
        return Candidates(tuple(found), homes, ranks)

    def _some(self, ids: tuple[str, ...]) -> tuple[str, ...]:
        if len(ids) <= SMALL_FLEET:
            return ids
        return tuple(self._rng.sample(ids, RANDOM_CANDIDATES))


def _homes(chain: PrefixChain, top: tuple[str, ...]) -> dict[str, int]:
    """Return the homes of the outermost level and of those inside it.

    An inner level's home is one of the outer level's, so that a worker
    which holds the inner holds the outer, too. The last level is the
    request's own and has no home, unless it is the only one.
    """
    homes = dict.fromkeys(top, chain.levels[0])
    for level in chain.levels[1:-1]:
        home = highest_ranked(chain.blocks[level - 1], top)
        homes[home] = level
    return homes


def _ranks(homes: dict[str, int], top: tuple[str, ...]) -> dict[str, int]:
    """Rank homes by depth, equal ones alike, and the stand-bys after."""
    depths = sorted(set(homes.values()), reverse=True)
    ranks: dict[str, int] = {}
    for process_id in top:
        if process_id in homes:
            ranks[process_id] = depths.index(homes[process_id])
            continue
        ranks[process_id] = len(depths) + len(ranks)
    return ranks


def _most_held(held: dict[str, Held]) -> list[str]:
    if len(held) <= MOST_HINTED:
        return list(held)
    ordered = sorted(held, key=lambda each: held[each].blocks, reverse=True)
    return ordered[:MOST_HINTED]
