"""Run the requests of one engine in a continuously filled batch."""

import asyncio
import heapq
from dataclasses import dataclass
from typing import Protocol

from lacewing_bench.standins._blocks import BLOCK_TOKENS
from lacewing_bench.standins._cache import BlockCache
from lacewing_bench.standins._counts import EngineCounts
from lacewing_bench.standins._generation import Ending
from lacewing_bench.standins._generation import Generation
from lacewing_bench.standins._settings import EngineConfig

# Steps that are late by more than this are not made up for: a process that
# was stopped would otherwise emit all the lost time's tokens at once.
_MOST_LAG_S = 0.5


class Host(Protocol):
    """Hold what a batch needs of its engine."""

    counts: EngineCounts

    def slowness(self) -> float:
        """Return the factor on each step's time."""

    async def unfrozen(self) -> None:
        """Wait while frozen."""

    def record_load(self) -> None:
        """Record the load from now on."""


@dataclass(frozen=True)
class _Chunk:
    """Hold a part of a prompt to compute in one step."""

    generation: Generation
    tokens: int


@dataclass(frozen=True)
class _Step:
    """Hold the work of one step."""

    chunks: tuple[_Chunk, ...]
    decoding: tuple[Generation, ...]
    duration_s: float


class Batch:
    """Own the waiting queue and the running requests of one epoch."""

    def __init__(
        self, config: EngineConfig, cache: BlockCache, host: Host
    ) -> None:
        self._costs = config.costs
        self._max_running = config.max_running
        self._cache = cache
        self._host = host
        self._waiting: list[tuple[int, int, Generation]] = []
        self._running: list[Generation] = []
        self._arrivals = 0
        self._wake = asyncio.Event()
        self._next_step_at = 0.0

    @property
    def running(self) -> int:
        """Return the number of requests in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return the number of requests in the queue."""
        return len(self._waiting)

    def expected_prefill_tokens(self) -> int:
        """Count the prompt tokens to compute, by the hits on arrival."""
        tokens = 0
        for generation in self._running:
            tokens += generation.prefill_left
        for _, _, generation in self._waiting:
            tokens += generation.expected_prefill
        return tokens

    def missing_prefill_tokens(self) -> int:
        """Count the prompt tokens to compute, by the cache as it is."""
        tokens = 0
        for generation in self._running:
            tokens += generation.prefill_left
        for _, _, generation in self._waiting:
            tokens += self._missing(generation)
        return tokens

    def add(self, generation: Generation) -> None:
        """Queue a request, after others of its priority."""
        self._arrivals += 1
        generation.expected_prefill = self._missing(generation)
        heapq.heappush(
            self._waiting,
            (-generation.priority, self._arrivals, generation),
        )
        self._wake.set()

    def cancel(self, generation: Generation) -> None:
        """Stop a request, queued or running."""
        if generation.ending is not None:
            return
        kept = [row for row in self._waiting if row[2] is not generation]
        if len(kept) < len(self._waiting):
            heapq.heapify(kept)
            self._waiting = kept
        self._host.counts.cancelled += 1
        self._leave(generation, Ending.CANCELLED)

    def crash(self) -> None:
        """End all requests without an answer."""
        lost = [*self._running, *[row[2] for row in self._waiting]]
        self._waiting = []
        for generation in lost:
            self._leave(generation, Ending.CRASHED)

    async def run(self) -> None:
        """Step while there is work."""
        while True:
            await self._work()
            await self._host.unfrozen()
            self._admit()
            step = self._plan()
            await self._spend(step.duration_s)
            await self._host.unfrozen()
            self._apply(step)

    async def _work(self) -> None:
        if self._waiting or self._running:
            return
        self._wake.clear()
        await self._wake.wait()
        self._next_step_at = asyncio.get_running_loop().time()

    async def _spend(self, duration_s: float) -> None:
        """Sleep to the step's absolute end, so that lags don't add up."""
        now = asyncio.get_running_loop().time()
        begin = max(self._next_step_at, now - _MOST_LAG_S)
        self._next_step_at = begin + duration_s
        self._host.counts.busy_s += duration_s
        await asyncio.sleep(max(self._next_step_at - now, 0.0))

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._max_running:
            generation = self._waiting[0][2]
            fits = self._cache.has_room(generation.blocks)
            if self._running and not fits:
                break
            heapq.heappop(self._waiting)
            generation.start(self._cache.lease(generation.blocks))
            self._running.append(generation)
            self._host.counts.admit(generation, len(self._running))

    def _plan(self) -> _Step:
        budget = self._costs.chunk_tokens
        chunks: list[_Chunk] = []
        decoding: list[Generation] = []
        for generation in self._running:
            if generation.prefill_left <= 0:
                decoding.append(generation)
                continue
            tokens = min(generation.prefill_left, budget)
            if tokens == 0:
                continue
            budget -= tokens
            chunks.append(_Chunk(generation, tokens))
        computed = self._costs.chunk_tokens - budget
        duration_ms = self._costs.step_ms
        duration_ms += self._costs.sequence_ms * len(decoding)
        duration_ms += self._costs.prefill_token_ms * computed
        duration_s = duration_ms * self._host.slowness() / 1000
        return _Step(tuple(chunks), tuple(decoding), duration_s)

    def _apply(self, step: _Step) -> None:
        advanced = list(step.decoding)
        for chunk in step.chunks:
            generation = chunk.generation
            if generation.ending is not None:
                continue
            self._prefill(generation, chunk.tokens)
            if generation.prefill_left == 0:
                advanced.append(generation)
        for generation in advanced:
            if generation.ending is not None:
                continue
            generation.advance()
            if generation.ending is not None:
                self._host.counts.completed += 1
                self._remove(generation)
            generation.tell_readers()
        self._cache.flush()
        self._host.record_load()

    def _prefill(self, generation: Generation, tokens: int) -> None:
        before = generation.prompt_tokens - generation.prefill_left
        generation.prefill_left -= tokens
        self._host.counts.prefilled_tokens += tokens
        lease = generation.lease
        if lease is None:
            return
        done = (before + tokens) // BLOCK_TOKENS
        self._host.counts.prefill(lease.blocks[before // BLOCK_TOKENS : done])
        self._cache.extend(lease, done)

    def _missing(self, generation: Generation) -> int:
        hits = self._cache.hit_blocks(generation.blocks)
        return generation.prefill_left - hits * BLOCK_TOKENS

    def _leave(self, generation: Generation, ending: Ending) -> None:
        generation.finish(ending)
        self._remove(generation)
        generation.tell_readers()

    def _remove(self, generation: Generation) -> None:
        if generation in self._running:
            self._running.remove(generation)
        if generation.lease is not None:
            self._cache.release(generation.lease)
            generation.lease = None
