"""Serve an engine's cache events, orders, KV cache, counts and truth."""

import msgspec
from tornado.iostream import StreamClosedError

from lacewing_bench.standins._blocks import from_hex
from lacewing_bench.standins._blocks import to_hex
from lacewing_bench.standins._counts import EngineCounts
from lacewing_bench.standins._engine_http import EngineHandler
from lacewing_bench.standins._orders import Order
from lacewing_bench.standins._orders import OrderFailed
from lacewing_bench.standins._orders import StaleFence
from lacewing_bench.standins._transfer import KvMoved
from lacewing_bench.standins._transfer import KvTransfer
from lacewing_bench.standins._worker import Routes


class CacheSnapshot(msgspec.Struct, frozen=True):
    """Hold all cached blocks (hex) as of an event's number."""

    epoch: str
    sequence: int
    blocks: tuple[str, ...]


class TruthQuery(msgspec.Struct, frozen=True):
    """Ask for the leading blocks (hex) of a prompt that are cached."""

    blocks: tuple[str, ...] = ()


class Truth(msgspec.Struct, frozen=True):
    """Hold what is so at this moment, for an oracle."""

    epoch: str
    hit_blocks: int
    running: int
    waiting: int
    waiting_prefill_tokens: int


class EventsHandler(EngineHandler):
    """Stream the cache events."""

    _gone = False

    async def get(self) -> None:
        """Write the events after ``Last-Event-ID``, live."""
        journal = self.worker.journal
        after = self.last_event_id()
        if after > journal.sequence:
            # The number is of an earlier epoch.
            after = 0
        self.set_header('Content-Type', 'text/event-stream')
        try:
            await self.flush()
            while not self._gone and not journal.closed:
                await self.worker.faults.pause.over()
                events = journal.after(after)
                if not events:
                    await journal.wait(after)
                    continue
                after = events[-1].sequence
                self.write(b''.join(event.rendered for event in events))
                await self.flush()
        except StreamClosedError:
            return

    def on_connection_close(self) -> None:
        """Stop following."""
        self._gone = True
        self.worker.journal.wake()


class SnapshotHandler(EngineHandler):
    """Show the whole cache."""

    def get(self) -> None:
        """Answer all cached blocks."""
        self.worker.cache.flush()
        journal = self.worker.journal
        blocks = to_hex(self.worker.cache.held())
        self.reply(CacheSnapshot(journal.epoch, journal.sequence, blocks))


class OrdersHandler(EngineHandler):
    """Take orders."""

    async def post(self) -> None:
        """Carry out an order."""
        try:
            order = self.read(Order)
        except msgspec.DecodeError as error:
            self.refuse(400, f'expected an order: {error}')
            return
        result = await self.worker.carry_out(order)
        if isinstance(result, OrderFailed):
            self.refuse(502, result.message)
            return
        if isinstance(result, StaleFence):
            self.set_status(409)
        self.reply(result)


class OrderStateHandler(EngineHandler):
    """Show what the orders led to."""

    def get(self) -> None:
        """Answer the state."""
        self.reply(self.worker.orders.state)


class TransferHandler(EngineHandler):
    """Move KV cache to or from a store."""

    async def post(self, direction: str) -> None:
        """Export or import blocks."""
        try:
            transfer = self.read(KvTransfer)
            blocks = from_hex(transfer.blocks)
        except ValueError as error:
            self.refuse(400, f'expected a store and blocks: {error}')
            return
        if direction == 'export':
            moved = await self.worker.export_kv(transfer.store, blocks)
        else:
            moved = await self.worker.import_kv(transfer.store, blocks)
        self.reply(KvMoved(moved))


class CountsHandler(EngineHandler):
    """Report what the engine truly did."""

    frozen_by_pause = False

    def get(self) -> None:
        """Answer all counts."""
        self.reply(self.worker.counts)


class BlockCounts(msgspec.Struct, frozen=True):
    """Hold how often each block (hex) was computed."""

    blocks: dict[str, int]


class BlockCountsHandler(EngineHandler):
    """Report how often each block was computed."""

    frozen_by_pause = False

    def get(self) -> None:
        """Answer the count of each block."""
        counted = self.worker.counts.prefilled_blocks
        self.reply(
            BlockCounts(
                {block.hex(): times for block, times in counted.items()}
            )
        )


class ResetHandler(EngineHandler):
    """Forget what the engine did."""

    frozen_by_pause = False

    def post(self) -> None:
        """Start all counts at 0."""
        self.worker.counts = EngineCounts()
        self.reply(self.worker.counts)


class TruthHandler(EngineHandler):
    """Tell an oracle what is so now, without lag."""

    frozen_by_pause = False

    def get(self) -> None:
        """Answer for ``?blocks=hex,hex``."""
        given = self.get_query_argument('blocks', '')
        self._tell(tuple(name for name in given.split(',') if name))

    def post(self) -> None:
        """Answer for the blocks of the body."""
        try:
            query = self.read(TruthQuery)
        except msgspec.DecodeError as error:
            self.refuse(400, f'expected block hashes: {error}')
            return
        self._tell(query.blocks)

    def _tell(self, names: tuple[str, ...]) -> None:
        try:
            blocks = from_hex(names)
        except ValueError as error:
            self.refuse(400, f'expected block hashes in hex: {error}')
            return
        batch = self.worker.batch
        self.reply(
            Truth(
                self.worker.epoch,
                self.worker.cache.hit_blocks(blocks),
                batch.running,
                batch.waiting,
                batch.missing_prefill_tokens(),
            )
        )


CONTROL_ROUTES: Routes = [
    (r'/cache/events', EventsHandler),
    (r'/cache/snapshot', SnapshotHandler),
    (r'/orders', OrdersHandler),
    (r'/orders/state', OrderStateHandler),
    (r'/kv/(export|import)', TransferHandler),
    (r'/counts', CountsHandler),
    (r'/counts/blocks', BlockCountsHandler),
    (r'/counts/reset', ResetHandler),
    (r'/truth', TruthHandler),
]
