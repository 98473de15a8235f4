"""Import prefixes from the store of kept KV cache and export them."""

import asyncio
import time
from collections import OrderedDict
from typing import Protocol

import msgspec
from lacewing_common.online_estimates import PrefillCost
from lacewing_common.prefix import HASH_BYTES
from lacewing_common.prefix import split_hashes
from lacewing_common.wire import CacheReport
from lacewing_common.wire import Start

from lacewing_daemon.agent._cache_view import CacheView
from lacewing_daemon.agent._levels import LevelTable
from lacewing_daemon.agent._metrics import KV_EXPORTED
from lacewing_daemon.agent._metrics import KV_IMPORTED

# For fewer blocks the question to the store costs more than it saves.
LEAST_IMPORT = 2
KEPT_BLOCKS = 65_536
MOST_EXPORTS_QUEUED = 64
# An exported block is asked for again after so long: the store evicts, too.
EXPORT_LIFE_S = 60.0
_FIRST_IMPORT_MS = 1.0
_GAIN = 0.1
_MS_PER_S = 1000.0


class KvMover(Protocol):
    """Move KV cache between the store and the engine."""

    async def held(self, blocks: tuple[bytes, ...]) -> int:
        """Return how many leading blocks the store holds."""

    async def import_blocks(self, blocks: tuple[bytes, ...]) -> int:
        """Have the engine import blocks; return how many came."""

    async def export_blocks(self, blocks: tuple[bytes, ...]) -> int:
        """Have the engine export blocks; return how many went."""

    def close(self) -> None:
        """Close all connections."""


class KeptCache:
    """Decide what to import before a request and what to export after."""

    def __init__(
        self,
        mover: KvMover,
        view: CacheView,
        levels: LevelTable,
        prefill: PrefillCost,
    ) -> None:
        self._mover = mover
        self._view = view
        self._levels = levels
        self._prefill = prefill
        self._import_ms = _FIRST_IMPORT_MS
        # When each block was last known to be in the store.
        self._kept: OrderedDict[bytes, float] = OrderedDict()
        self._queue: asyncio.Queue[tuple[bytes, ...]] = asyncio.Queue(
            MOST_EXPORTS_QUEUED
        )

    @property
    def import_ms(self) -> float:
        """Return the learnt milliseconds for the import of a block."""
        return self._import_ms

    async def fetch(self, start: Start) -> None:
        """Import the blocks of a prompt that the store holds, if it pays."""
        wanted = self._wanted(start)
        if len(wanted) < LEAST_IMPORT:
            return
        if self._import_ms >= self._prefill.ms_per_block:
            return
        held = await self._mover.held(wanted)
        self._note(wanted[:held])
        if held < LEAST_IMPORT:
            return
        began_s = time.monotonic()
        came = await self._mover.import_blocks(wanted[:held])
        if came:
            took_ms = (time.monotonic() - began_s) * _MS_PER_S
            self._import_ms += _GAIN * (took_ms / came - self._import_ms)
        KV_IMPORTED.inc(came)

    def report(self, start: Start, report: CacheReport) -> CacheReport:
        """Return a report with what the store holds of the prompt."""
        now_s = time.monotonic()
        kept = 0
        for block in split_hashes(start.blocks):
            if not self._is_kept(block, now_s):
                break
            kept += 1
        if not kept:
            return report
        return msgspec.structs.replace(
            report, kept_blocks=kept, import_ms=round(self._import_ms, 2)
        )

    def offer(self, start: Start) -> None:
        """Queue the levels that came again and are not kept for export."""
        now_s = time.monotonic()
        missing: list[bytes] = []
        for block in _shared_blocks(start, self._levels):
            if not self._is_kept(block, now_s):
                missing.append(block)
        if not missing or self._queue.full():
            return
        blocks = tuple(missing)
        self._note(blocks)
        self._queue.put_nowait(blocks)

    async def run(self) -> None:
        """Export what is queued, one prefix after the other."""
        while True:
            blocks = await self._queue.get()
            # Another worker may have exported it.
            held = await self._mover.held(blocks)
            if held < len(blocks):
                went = await self._mover.export_blocks(blocks[held:])
                KV_EXPORTED.inc(went)
                self._forget(blocks[held + went :])

    def _wanted(self, start: Start) -> tuple[bytes, ...]:
        """Return the blocks beyond the cached ones that may be kept."""
        if not start.levels:
            return ()
        # The last level is the request's own, unless it is the only one.
        end = start.levels[-1]
        if len(start.levels) > 1:
            end = start.levels[-2]
        hits = self._view.hit_blocks(start.blocks)
        return split_hashes(start.blocks[hits * HASH_BYTES : end * HASH_BYTES])

    def _is_kept(self, block: bytes, now_s: float) -> bool:
        at_s = self._kept.get(block)
        return at_s is not None and now_s - at_s < EXPORT_LIFE_S

    def _note(self, blocks: tuple[bytes, ...]) -> None:
        now_s = time.monotonic()
        for block in blocks:
            self._kept[block] = now_s
            self._kept.move_to_end(block)
        while len(self._kept) > KEPT_BLOCKS:
            self._kept.popitem(last=False)

    def _forget(self, blocks: tuple[bytes, ...]) -> None:
        for block in blocks:
            self._kept.pop(block, None)


def _shared_blocks(start: Start, levels: LevelTable) -> tuple[bytes, ...]:
    """Return the blocks of the innermost level that came again."""
    for end in reversed(start.levels):
        key = start.blocks[(end - 1) * HASH_BYTES : end * HASH_BYTES]
        if levels.find(key) is not None:
            return split_hashes(start.blocks[: end * HASH_BYTES])
    return ()
