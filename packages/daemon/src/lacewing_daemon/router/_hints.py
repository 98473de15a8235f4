"""Remember which worker was seen to hold a prefix."""

from collections import OrderedDict
from dataclasses import dataclass

from lacewing_common.prefix import PrefixChain

KEPT_HINTS = 20_000
HINT_LIFE_S = 10.0


@dataclass(frozen=True)
class Hint:
    """Hold that a worker's epoch held a level at a time, in seconds."""

    process_id: str
    epoch: str
    seen_at_s: float


class Hints:
    """Map a level's hash to the workers that held it, the oldest dropped."""

    def __init__(self) -> None:
        self._by_level: OrderedDict[bytes, dict[str, Hint]] = OrderedDict()

    def held_blocks(
        self, chain: PrefixChain, now_s: float
    ) -> dict[str, tuple[int, str]]:
        """Return for each hinted worker its blocks and epoch."""
        held: dict[str, tuple[int, str]] = {}
        for level in chain.levels:
            hints = self._by_level.get(chain.blocks[level - 1])
            if hints is None:
                continue
            for hint in hints.values():
                if now_s - hint.seen_at_s > HINT_LIFE_S:
                    continue
                held[hint.process_id] = (level, hint.epoch)
        return held

    def learn(self, chain: PrefixChain, hint: Hint) -> None:
        """Note that a worker now holds all levels of a prompt."""
        for level in chain.levels:
            key = chain.blocks[level - 1]
            hints = self._by_level.setdefault(key, {})
            hints[hint.process_id] = hint
            self._by_level.move_to_end(key)
        while len(self._by_level) > KEPT_HINTS:
            self._by_level.popitem(last=False)

    def forget(self, process_id: str) -> None:
        """Drop all hints of a worker."""
        for hints in self._by_level.values():
            hints.pop(process_id, None)
