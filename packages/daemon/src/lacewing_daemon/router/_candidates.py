"""Name the few workers that are worth an estimate."""

import random
from dataclasses import dataclass

from lacewing_common.prefix import PrefixChain

from lacewing_daemon.router._hints import Held
from lacewing_daemon.router._policy import Workers
from lacewing_daemon.router._rendezvous import best
from lacewing_daemon.router._rendezvous import Rankings

# Up to so many workers an estimate of each is cheaper than choosing which.
SMALL_FLEET = 16
RANDOM_CANDIDATES = 2
MOST_HINTED = 8


@dataclass(frozen=True)
class Candidates:
    """Hold the workers to estimate.

    ``homes`` maps a worker to the blocks that belong there: routers which
    know nothing agree on them.
    """

    process_ids: tuple[str, ...]
    homes: dict[str, int]


class Finder:
    """Find candidates by rendezvous, by hints and by chance."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._rankings = Rankings()

    def find(
        self,
        chain: PrefixChain,
        workers: Workers,
        held: dict[str, Held],
        width: int,
    ) -> Candidates:
        """Return the candidates for a prompt."""
        ids = workers.ids
        homes = self._homes(chain, ids, width)
        if len(ids) <= SMALL_FLEET:
            return Candidates(ids, homes)
        found = dict.fromkeys(homes)
        for process_id in _most_held(held):
            found[process_id] = None
        for process_id in self._rng.sample(ids, RANDOM_CANDIDATES):
            found[process_id] = None
        return Candidates(tuple(found), homes)

    def _homes(
        self, chain: PrefixChain, ids: tuple[str, ...], width: int
    ) -> dict[str, int]:
        """Return the homes of the outermost level and of those inside it.

        An inner level's home is one of the outer level's, so that a worker
        which holds the inner holds the outer, too. The last level is the
        request's own and has no home, unless it is the only one.
        """
        levels = chain.levels
        if not levels:
            return {}
        top = self._rankings.top(chain.blocks[levels[0] - 1], ids, width)
        homes = dict.fromkeys(top, levels[0])
        for level in levels[1:-1]:
            home = best(chain.blocks[level - 1], top)
            homes[home] = level
        return homes


def _most_held(held: dict[str, Held]) -> list[str]:
    if len(held) <= MOST_HINTED:
        return list(held)
    ordered = sorted(held, key=lambda each: held[each].blocks, reverse=True)
    return ordered[:MOST_HINTED]
