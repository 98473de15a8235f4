"""Join what the agent knows of its engine's cache and of its prompts."""

import asyncio
import time
from collections.abc import Callable

import msgspec
from lacewing_common.online_estimates import PrefillCost
from lacewing_common.prefix import HASH_BYTES
from lacewing_common.wire import CacheReport
from lacewing_common.wire import Start

from lacewing_daemon.agent._cache_view import CacheView
from lacewing_daemon.agent._computing import Computing
from lacewing_daemon.agent._kept import KeptCache
from lacewing_daemon.agent._kept import KvMover
from lacewing_daemon.agent._levels import LevelTable
from lacewing_daemon.agent._metrics import CACHED_BLOCKS

_MS_PER_S = 1000.0


class CacheKnowledge:
    """Know hits before a request runs, and its prefix's demand after."""

    def __init__(
        self,
        running: Callable[[], int],
        on_level: Callable[[bytes, bool], None],
    ) -> None:
        self._running = running
        self._on_level = on_level
        self._view = CacheView(self._block_changed)
        self._levels = LevelTable()
        self._prefill = PrefillCost()
        self._computing = Computing(self._view)
        self._kept: KeptCache | None = None
        self._missing = 0

    @property
    def view(self) -> CacheView:
        """Return the cached blocks."""
        return self._view

    @property
    def levels(self) -> LevelTable:
        """Return the prompts' levels."""
        return self._levels

    @property
    def running(self) -> int:
        """Return the number of requests at the engine."""
        return self._running()

    @property
    def missing_blocks(self) -> int:
        """Return the blocks that the engine has yet to compute."""
        return self._missing

    @property
    def backlog_ms(self) -> float:
        """Return the time to compute what the engine still misses."""
        return self._missing * self._prefill.ms_per_block

    @property
    def prefill(self) -> PrefillCost:
        """Return what was learnt of the price of a block."""
        return self._prefill

    def held_levels(self) -> list[bytes]:
        """Return the cached levels that came again, the hottest first."""
        return [key for key in self._levels.reused() if key in self._view]

    def keep_in(self, mover: KvMover) -> KeptCache:
        """Use a store of kept KV cache from now on."""
        self._kept = KeptCache(mover, self._view, self._levels, self._prefill)
        return self._kept

    async def begin(self, start: Start) -> 'Run':
        """Prepare the cache for a request that is about to be sent."""
        for key in self._levels.use(start):
            if key in self._view:
                self._on_level(key, True)
        if start.use_kept:
            await self._computing.wait(start)
        event = self._computing.begin(start)
        try:
            if start.use_kept and self._kept is not None:
                await self._kept.fetch(start)
        except BaseException:
            self._computing.end(start, event)
            raise
        total = len(start.blocks) // HASH_BYTES
        missing = total - self._view.hit_blocks(start.blocks)
        CACHED_BLOCKS.set(len(self._view))
        run = Run(self, start, missing, event)
        self._missing += missing
        return run

    def report(self, start: Start, report: CacheReport) -> CacheReport:
        """Return a report with the width and with what the store holds."""
        width = self._levels.width(start, time.monotonic())
        report = msgspec.structs.replace(report, width=width)
        if self._kept is None or not start.use_kept:
            return report
        self._kept.offer(start)
        return self._kept.report(start, report)

    def computed(
        self, start: Start, blocks: int, event: asyncio.Event
    ) -> None:
        """Note that a request's missing blocks are no longer ahead."""
        self._missing -= blocks
        self._computing.end(start, event)

    def _block_changed(self, block: bytes, stored: bool) -> None:
        if self._levels.find(block) is not None:
            self._on_level(block, stored)


class Run:
    """Hold one request at the engine, from its sending to its end."""

    def __init__(
        self,
        knowledge: CacheKnowledge,
        start: Start,
        missing_blocks: int,
        computing: asyncio.Event,
    ) -> None:
        self._knowledge = knowledge
        self._start = start
        self._missing = missing_blocks
        self._computing = computing
        self._ahead = knowledge.missing_blocks
        self._crowd = knowledge.running
        self._sent_at_s = time.monotonic()
        self._first_byte_at_s: float | None = None
        self._over = False

    def first_byte(self) -> None:
        """Note that its prompt has been computed."""
        if self._first_byte_at_s is None:
            self._first_byte_at_s = time.monotonic()
        self.stop()

    def stop(self) -> None:
        """Note that nothing more of its prompt will be computed."""
        if self._over:
            return
        self._over = True
        self._knowledge.computed(self._start, self._missing, self._computing)

    def end(self, report: CacheReport) -> CacheReport:
        """Learn from its end; return its report with the width."""
        self.stop()
        start = self._start
        knowledge = self._knowledge
        now_s = time.monotonic()
        knowledge.view.correct(report.epoch, start.blocks, report.hit_blocks)
        self._learn_price(report)
        crowd = (self._crowd + knowledge.running) / 2
        took_ms = (now_s - self._sent_at_s) * _MS_PER_S
        knowledge.levels.work(start, took_ms / max(1.0, crowd), now_s)
        return knowledge.report(start, report)

    def _learn_price(self, report: CacheReport) -> None:
        if self._first_byte_at_s is None:
            return
        computed = report.prompt_blocks - report.hit_blocks + self._ahead
        took_s = self._first_byte_at_s - self._sent_at_s
        self._knowledge.prefill.update(computed, took_s * _MS_PER_S)
