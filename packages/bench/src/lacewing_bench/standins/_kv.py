"""Stand in for the store of kept KV cache."""

import asyncio
from collections import OrderedDict

import msgspec

from lacewing_bench.standins._load import Load
from lacewing_bench.standins._settings import KvConfig
from lacewing_bench.standins._worker import Worker
from lacewing_bench.standins._worker import WorkerHandler


class HeldQuery(msgspec.Struct, frozen=True):
    """Ask for the leading blocks that are held; hashes in hex."""

    blocks: tuple[str, ...]


class HeldAnswer(msgspec.Struct, frozen=True):
    """Count the leading blocks that are held."""

    held: int


class KvCounts(msgspec.Struct):
    """Count a store's calls."""

    puts: int = 0
    hits: int = 0
    misses: int = 0


class KvStore(Worker):
    """Keep blocks by hash, the least recently used out first."""

    kind = 'kv'

    def __init__(self, config: KvConfig) -> None:
        super().__init__(
            config.name,
            config.port,
            0.0,
            [
                (r'/kv/held', HeldHandler),
                (r'/kv/([0-9a-f]+)', BlockHandler),
                (r'/counts', CountsHandler),
                (r'/counts/reset', ResetHandler),
            ],
        )
        self._capacity = config.capacity_blocks
        self._values: OrderedDict[str, bytes] = OrderedDict()
        self.counts = KvCounts()

    def end_epoch(self) -> None:
        """Lose all blocks."""
        self._values.clear()

    def get(self, block: str) -> bytes | None:
        """Return a block's value and count the use."""
        value = self._values.get(block)
        if value is None:
            self.counts.misses += 1
            return None
        self.counts.hits += 1
        self._values.move_to_end(block)
        return value

    def put(self, block: str, value: bytes) -> None:
        """Keep a block."""
        self.counts.puts += 1
        self._values[block] = value
        self._values.move_to_end(block)
        while len(self._values) > self._capacity:
            self._values.popitem(last=False)
        self._record()

    def held(self, blocks: tuple[str, ...]) -> int:
        """Count the leading blocks that are held."""
        count = 0
        for block in blocks:
            if block not in self._values:
                break
            count += 1
        return count

    def _record(self) -> None:
        blocks = len(self._values)
        self.history.record(
            Load(
                self.epoch,
                cached_blocks=blocks,
                capacity_blocks=self._capacity,
            )
        )


class KvHandler(WorkerHandler):
    """Serve a store."""

    worker: KvStore


class BlockHandler(KvHandler):
    """Serve one block."""

    async def get(self, block: str) -> None:
        """Answer a block's bytes."""
        value = self.worker.get(block)
        if value is None:
            self.refuse(404, f'expected a held block, got {block}')
            return
        faults = self.worker.faults
        value = await faults.crossing.swap(value)
        await asyncio.sleep(faults.take_delay())
        self.set_header('Content-Type', 'application/octet-stream')
        self.write(value)

    def put(self, block: str) -> None:
        """Keep a block's bytes."""
        self.worker.put(block, self.request.body)
        self.set_status(204)


class HeldHandler(KvHandler):
    """Tell which blocks are held."""

    def post(self) -> None:
        """Answer the count of leading blocks held."""
        try:
            query = self.read(HeldQuery)
        except msgspec.DecodeError as error:
            self.refuse(400, f'expected block hashes: {error}')
            return
        self.reply(HeldAnswer(self.worker.held(query.blocks)))


class CountsHandler(KvHandler):
    """Report the calls."""

    frozen_by_pause = False

    def get(self) -> None:
        """Answer all counts."""
        self.reply(self.worker.counts)


class ResetHandler(KvHandler):
    """Forget the calls."""

    frozen_by_pause = False

    def post(self) -> None:
        """Start all counts at 0."""
        self.worker.counts = KvCounts()
        self.reply(self.worker.counts)
