"""Stand in for a model engine."""

import asyncio
from collections import OrderedDict

from lacewing_bench.answers import AnswerSource
from lacewing_bench.answers import ModelRequest
from lacewing_bench.standins._batch import Batch
from lacewing_bench.standins._blocks import block_hashes
from lacewing_bench.standins._cache import BlockCache
from lacewing_bench.standins._counts import EngineCounts
from lacewing_bench.standins._engine_control import CONTROL_ROUTES
from lacewing_bench.standins._engine_http import GENERATION_ROUTES
from lacewing_bench.standins._generation import Generation
from lacewing_bench.standins._journal import Journal
from lacewing_bench.standins._load import Load
from lacewing_bench.standins._models import LoadedModels
from lacewing_bench.standins._orders import Order
from lacewing_bench.standins._orders import OrderFailed
from lacewing_bench.standins._orders import Orders
from lacewing_bench.standins._orders import OrderState
from lacewing_bench.standins._orders import StaleFence
from lacewing_bench.standins._settings import EngineConfig
from lacewing_bench.standins._settings import LoadedModel
from lacewing_bench.standins._transfer import Transfers
from lacewing_bench.standins._worker import Worker

_KEPT_GENERATIONS = 2000


class Engine(Worker):
    """Batch requests continuously and cache their prompts' blocks."""

    kind = 'engine'

    def __init__(self, config: EngineConfig) -> None:
        super().__init__(
            config.name,
            config.port,
            config.load_lag_ms,
            [*GENERATION_ROUTES, *CONTROL_ROUTES],
        )
        self.config = config
        self.counts = EngineCounts()
        self._transfers: Transfers | None = None
        self._known: OrderedDict[str, Generation] = OrderedDict()
        self._stepping: asyncio.Task[None] | None = None

    def begin_epoch(self, lose_models: bool) -> None:
        """Start with an empty cache and the models of the settings."""
        models = () if lose_models else self.config.models
        self.models = LoadedModels(models)
        self.journal = Journal(self.epoch, self.faults)
        self.cache = BlockCache(self.config.capacity_blocks, self.journal)
        self.batch = Batch(self.config, self.cache, self)
        self.orders = Orders(
            self.epoch,
            self.models,
            self.config.max_models,
            self._load_weights,
            self.cache.clear,
        )
        self._stepping = asyncio.create_task(self.batch.run())

    def end_epoch(self) -> None:
        """Drop all requests."""
        if self._stepping is not None:
            self._stepping.cancel()
        self.batch.crash()
        self.journal.close()
        self._known.clear()

    @property
    def transfers(self) -> Transfers:
        """Return the engine's way out, made at its first use.

        Its client belongs to the loop that runs when it is made: made
        before the loop, its calls would never end.
        """
        if self._transfers is None:
            self._transfers = Transfers()
        return self._transfers

    async def close(self) -> None:
        """Stop listening and drop all connections and requests."""
        await super().close()
        if self._transfers is not None:
            self._transfers.close()

    def find(self, request_id: str) -> Generation | None:
        """Return the latest request of an id."""
        return self._known.get(request_id)

    def submit(
        self,
        request_id: str,
        request: ModelRequest,
        loaded: LoadedModel,
        salt: bytes,
        priority: int,
    ) -> Generation:
        """Queue a request."""
        source = AnswerSource(request.model, request.adapter, loaded.weights)
        blocks = block_hashes(salt, request.prompt) if salt else ()
        generation = Generation(request_id, request, source, blocks, priority)
        self._known[request_id] = generation
        self._known.move_to_end(request_id)
        self._forget_finished()
        self.batch.add(generation)
        self.record_load()
        return generation

    async def carry_out(
        self, order: Order
    ) -> OrderState | StaleFence | OrderFailed:
        """Change models or role as ordered."""
        honour = self.faults.now.honour_fencing
        if honour is None:
            honour = self.config.honours_fencing
        result = await self.orders.carry_out(order, honour)
        if isinstance(result, StaleFence):
            self.counts.stale_orders += 1
        else:
            self.counts.orders += 1
        return result

    async def export_kv(self, store: str, blocks: tuple[bytes, ...]) -> int:
        """Put the leading blocks that are cached into a store."""
        cached = blocks[: self.cache.hit_blocks(blocks)]
        moved = await self.transfers.export_blocks(store, cached)
        await self._spend_on_blocks(moved)
        self.counts.exported_blocks += moved
        return moved

    async def import_kv(self, store: str, blocks: tuple[bytes, ...]) -> int:
        """Cache the leading blocks that a store holds."""
        cache = self.cache
        came = await self.transfers.import_blocks(store, blocks)
        await self._spend_on_blocks(came)
        held = cache.insert(blocks[:came])
        cache.flush()
        self.counts.imported_blocks += held
        self.record_load()
        return held

    def record_load(self) -> None:
        """Record the load from now on."""
        self.history.record(
            Load(
                self.epoch,
                self.batch.running,
                self.batch.waiting,
                self.batch.expected_prefill_tokens(),
                len(self.cache),
                self.cache.capacity,
            )
        )

    def slowness(self) -> float:
        """Return the factor on each step's time."""
        return self.faults.now.slow

    async def unfrozen(self) -> None:
        """Wait while frozen."""
        await self.faults.pause.over()

    async def _spend_on_blocks(self, count: int) -> None:
        cost_ms = self.config.costs.kv_block_ms * count
        await asyncio.sleep(cost_ms * self.slowness() / 1000)

    async def _load_weights(self, model: str, version: str) -> str:
        counts = self.counts
        counts.loads += 1
        counts.loading += 1
        try:
            if self.config.platform:
                return await self.transfers.fetch_weights(
                    self.config.platform, model, version
                )
            await asyncio.sleep(self.config.costs.load_ms / 1000)
            return ''
        finally:
            counts.loading -= 1

    def _forget_finished(self) -> None:
        # A generation that still runs is kept, however old: its reader may
        # come back for it.
        while len(self._known) > _KEPT_GENERATIONS:
            request_id, oldest = next(iter(self._known.items()))
            if oldest.ending is None:
                return
            del self._known[request_id]
