"""Stand in for a model engine."""

import asyncio
from collections import OrderedDict

from lacewing_bench.answers import AnswerSource
from lacewing_bench.answers import ModelRequest
from lacewing_bench.standins._batch import Batch
from lacewing_bench.standins._blocks import block_hashes
from lacewing_bench.standins._cache import BlockCache
from lacewing_bench.standins._counts import EngineCounts
from lacewing_bench.standins._engine_http import GENERATION_ROUTES
from lacewing_bench.standins._generation import Generation
from lacewing_bench.standins._journal import Journal
from lacewing_bench.standins._load import Load
from lacewing_bench.standins._orders import LoadedModels
from lacewing_bench.standins._settings import EngineConfig
from lacewing_bench.standins._settings import LoadedModel
from lacewing_bench.standins._worker import Worker

_KEPT_GENERATIONS = 2000


class Engine(Worker):
    """Batch requests continuously and cache their prompts' blocks."""

    kind = 'engine'

    def __init__(self, config: EngineConfig) -> None:
        super().__init__(
            config.name, config.port, config.load_lag_ms, GENERATION_ROUTES
        )
        self.config = config
        self.counts = EngineCounts()
        self._known: OrderedDict[str, Generation] = OrderedDict()
        self._stepping: asyncio.Task[None] | None = None

    def begin_epoch(self, lose_models: bool) -> None:
        """Start with an empty cache and the models of the settings."""
        models = () if lose_models else self.config.models
        self.models = LoadedModels(models)
        self.journal = Journal(self.epoch, self.faults)
        self.cache = BlockCache(self.config.capacity_blocks, self.journal)
        self.batch = Batch(self.config, self.cache, self)
        self._stepping = asyncio.create_task(self.batch.run())

    def end_epoch(self) -> None:
        """Drop all requests."""
        if self._stepping is not None:
            self._stepping.cancel()
        self.batch.crash()
        self.journal.close()
        self._known.clear()

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

    def record_load(self) -> None:
        """Record the load from now on."""
        self.history.record(
            Load(
                self.epoch,
                self.batch.running,
                self.batch.waiting,
                self.batch.waiting_prefill_tokens(),
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

    def _forget_finished(self) -> None:
        # A generation that still runs is kept, however old: its reader may
        # come back for it.
        while len(self._known) > _KEPT_GENERATIONS:
            request_id, oldest = next(iter(self._known.items()))
            if oldest.ending is None:
                return
            del self._known[request_id]
