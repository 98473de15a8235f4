"""Remember which worker was seen to hold a prefix, and for how long."""

import math
from collections import OrderedDict
from dataclasses import dataclass

from lacewing_common.prefix import PrefixChain

from lacewing_daemon.router._policy import CacheChange

# About 0.5 KB each; a router serves several services in its 32 MB.
KEPT_LEVELS = 4_000
_FIRST_LIFE_S = 20.0
_SHORTEST_LIFE_S = 0.5
_LONGEST_LIFE_S = 600.0
_SHORTER = 0.8
_LONGER = 1.05
# A hint from an answer that is expected to hold with less than this chance
# is not worth a candidate.
_LEAST_CHANCE = 0.05


@dataclass(frozen=True, slots=True)
class Hint:
    """Hold that a worker's epoch held a level at a time, in seconds.

    ``published`` says that an agent's digest told it; the digest also
    tells of the eviction, so that such a hint ages more slowly.
    """

    epoch: str
    seen_at_s: float
    published: bool = False


@dataclass(frozen=True, slots=True)
class Held:
    """Hold how many blocks a worker is expected to have, with its epoch."""

    blocks: float
    epoch: str
    age_s: float
    level: int


class Hints:
    """Map a level's hash to the workers that hold it, the oldest dropped.

    The engine's real eviction sets the age at which a hint is doubted:
    ``life_s`` shrinks when a hit comes short of a hint and grows when an
    old hint comes true.
    """

    def __init__(self) -> None:
        self._by_level: OrderedDict[bytes, dict[str, Hint]] = OrderedDict()
        self._life_s = _FIRST_LIFE_S

    @property
    def life_s(self) -> float:
        """Return the age at which a third of the hints still hold."""
        return self._life_s

    def __len__(self) -> int:
        return len(self._by_level)

    def held(self, chain: PrefixChain, now_s: float) -> dict[str, Held]:
        """Return for each hinted worker what it is expected to hold."""
        found: dict[str, Held] = {}
        for level in chain.levels:
            hints = self._by_level.get(chain.blocks[level - 1])
            if not hints:
                continue
            for process_id, hint in hints.items():
                age_s = now_s - hint.seen_at_s
                chance = self._chance(hint, age_s)
                if chance < _LEAST_CHANCE:
                    continue
                earlier = found.get(process_id)
                if earlier is not None and earlier.epoch != hint.epoch:
                    if earlier.age_s < age_s:
                        continue
                    earlier = None
                blocks = level * chance
                if earlier is not None:
                    # The outer levels may be there though the inner isn't.
                    blocks += earlier.blocks * (1.0 - chance)
                found[process_id] = Held(blocks, hint.epoch, age_s, level)
        return found

    def learn(
        self, chain: PrefixChain, process_id: str, hint: Hint, blocks: int
    ) -> None:
        """Note that a worker holds the levels of so many leading blocks."""
        for level in chain.levels:
            if level > blocks:
                return
            self._add(chain.blocks[level - 1], process_id, hint)

    def judge(self, expected: Held, hit_blocks: int) -> None:
        """Learn the life of hints from a hit that came true or short."""
        if hit_blocks < expected.level:
            self._life_s = max(_SHORTEST_LIFE_S, self._life_s * _SHORTER)
            return
        if expected.age_s > self._life_s / 2:
            self._life_s = min(_LONGEST_LIFE_S, self._life_s * _LONGER)

    def change(self, change: CacheChange, now_s: float) -> None:
        """Take an agent's digest."""
        for key in change.evicted:
            hints = self._by_level.get(key)
            if hints is not None:
                hints.pop(change.process_id, None)
        hint = Hint(change.epoch, now_s, published=True)
        for key in change.stored:
            self._add(key, change.process_id, hint)

    def drop(
        self, chain: PrefixChain, process_id: str, hit_blocks: int
    ) -> None:
        """Drop the hints of levels that a worker turned out not to hold."""
        for level in chain.levels:
            if level <= hit_blocks:
                continue
            hints = self._by_level.get(chain.blocks[level - 1])
            if hints is not None:
                hints.pop(process_id, None)

    def forget(self, process_id: str) -> None:
        """Drop all hints of a worker."""
        for hints in self._by_level.values():
            hints.pop(process_id, None)

    def _chance(self, hint: Hint, age_s: float) -> float:
        life_s = self._life_s
        if hint.published:
            life_s = _LONGEST_LIFE_S
        return math.exp(-age_s / life_s)

    def _add(self, key: bytes, process_id: str, hint: Hint) -> None:
        hints = self._by_level.get(key)
        if hints is None:
            hints = {}
            self._by_level[key] = hints
            if len(self._by_level) > KEPT_LEVELS:
                self._by_level.popitem(last=False)
        else:
            self._by_level.move_to_end(key)
        earlier = hints.get(process_id)
        if earlier is not None and earlier.epoch == hint.epoch:
            # What the digest told stays told until it tells otherwise.
            published = earlier.published or hint.published
            hint = Hint(hint.epoch, hint.seen_at_s, published)
        hints[process_id] = hint
