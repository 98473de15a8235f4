"""Know the prompts' levels that come again, and what each one costs."""

import math
from collections import OrderedDict
from dataclasses import dataclass

from lacewing_common.prefix import HASH_BYTES
from lacewing_common.wire import Start

KEPT_LEVELS = 8192
REUSED_USES = 2
# Work of a prefix fades with this time constant, in seconds: long enough to
# see a few requests, short enough to follow a shift within seconds.
DEMAND_FADE_S = 4.0
# The share of a worker that one prefix may take before it is spread wider,
# and the share below which it is gathered again. The gap between them
# keeps the width from swinging.
WIDE_SHARE = 0.6
NARROW_SHARE = 0.35
_MS_PER_S = 1000.0


@dataclass
class Level:
    """Hold one level: its blocks, its uses and its faded work."""

    blocks: bytes
    uses: int = 0
    work_ms: float = 0.0
    at_s: float = 0.0

    def share(self, now_s: float) -> float:
        """Return the share of the worker's time that it takes."""
        faded = self.work_ms * math.exp((self.at_s - now_s) / DEMAND_FADE_S)
        return faded / (DEMAND_FADE_S * _MS_PER_S)


class LevelTable:
    """Count the uses and the work of levels, by their last block's hash."""

    def __init__(self) -> None:
        self._levels: OrderedDict[bytes, Level] = OrderedDict()

    def find(self, key: bytes) -> Level | None:
        """Return a level that came again, else None."""
        level = self._levels.get(key)
        if level is None or level.uses < REUSED_USES:
            return None
        return level

    def reused(self) -> list[bytes]:
        """Return the levels that came again, the latest used first."""
        found: list[bytes] = []
        for key, level in reversed(self._levels.items()):
            if level.uses >= REUSED_USES:
                found.append(key)
        return found

    def use(self, start: Start) -> list[bytes]:
        """Count a request; return the levels that now came again first."""
        fresh: list[bytes] = []
        for end in start.levels:
            blocks = start.blocks[: end * HASH_BYTES]
            key = blocks[-HASH_BYTES:]
            level = self._levels.get(key)
            if level is None:
                level = Level(blocks)
                self._levels[key] = level
            self._levels.move_to_end(key)
            level.uses += 1
            if level.uses == REUSED_USES:
                fresh.append(key)
        while len(self._levels) > KEPT_LEVELS:
            self._levels.popitem(last=False)
        return fresh

    def work(self, start: Start, work_ms: float, now_s: float) -> None:
        """Add the worker's time that a request took to its levels."""
        for end in start.levels:
            key = start.blocks[(end - 1) * HASH_BYTES : end * HASH_BYTES]
            level = self._levels.get(key)
            if level is None:
                continue
            fade = math.exp((level.at_s - now_s) / DEMAND_FADE_S)
            level.work_ms = level.work_ms * fade + work_ms
            level.at_s = now_s

    def width(self, start: Start, now_s: float) -> int:
        """Return over how many workers to spread the outermost level.

        Each of the ``start.width`` workers sees its part of the prefix;
        what they ask for agrees when the parts are alike.
        """
        if not start.levels:
            return 1
        end = start.levels[0] * HASH_BYTES
        level = self._levels.get(start.blocks[end - HASH_BYTES : end])
        if level is None:
            return 1
        width = max(1, start.width)
        share = level.share(now_s)
        if share > WIDE_SHARE:
            return width + 1
        if width > 1 and share * width / (width - 1) < NARROW_SHARE:
            return width - 1
        return width
