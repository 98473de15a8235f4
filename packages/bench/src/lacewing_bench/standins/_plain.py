"""Stand in for a plain service that counts each execution."""

import asyncio
from collections import deque
from dataclasses import dataclass

from lacewing_bench.answers import call_digest
from lacewing_bench.answers import plain_answer
from lacewing_bench.standins._counts import PlainCounts
from lacewing_bench.standins._load import Load
from lacewing_bench.standins._settings import PlainConfig
from lacewing_bench.standins._worker import REQUEST_ID
from lacewing_bench.standins._worker import Worker
from lacewing_bench.standins._worker import WorkerHandler

IDEMPOTENCY_KEY = 'Idempotency-Key'


@dataclass(frozen=True)
class PlainReply:
    """Hold an answer and the id of its request."""

    request_id: str
    body: bytes


class PlainService(Worker):
    """Answer any path after a service time, some calls at once."""

    kind = 'plain'

    def __init__(self, config: PlainConfig) -> None:
        super().__init__(
            config.name,
            config.port,
            config.load_lag_ms,
            [
                (r'/counts', CountsHandler),
                (r'/counts/reset', ResetHandler),
                (r'/.*', CallHandler),
            ],
        )
        self._config = config
        self.counts = PlainCounts()
        self._running = 0
        self._queue: deque[asyncio.Future[bool]] = deque()

    def end_epoch(self) -> None:
        """Drop the queue; its calls have not run and won't."""
        queue, self._queue = self._queue, deque()
        self._running = 0
        for turn in queue:
            if not turn.done():
                turn.set_result(False)

    async def execute(self, request_id: str, key: str, call: str) -> bool:
        """Run one call when its turn comes; tell whether it ended."""
        if not await self._take_turn():
            return False
        epoch = self.epoch
        self.counts.executions[request_id] += 1
        self.counts.by_call[call] += 1
        if key:
            self.counts.by_key[key] += 1
        self.counts.peak_running = max(self.counts.peak_running, self._running)
        slow = self.faults.now.slow
        await asyncio.sleep(self._config.service_ms * slow / 1000)
        await self.faults.pause.over()
        if self.epoch != epoch:
            return False
        self._give_turn()
        self.counts.completed += 1
        return True

    async def _take_turn(self) -> bool:
        if self._running < self._config.max_running:
            self._running += 1
            self._record()
            return True
        turn: asyncio.Future[bool]
        turn = asyncio.get_running_loop().create_future()
        self._queue.append(turn)
        self._record()
        return await turn

    def _give_turn(self) -> None:
        if self._queue:
            self._queue.popleft().set_result(True)
        else:
            self._running -= 1
        self._record()

    def _record(self) -> None:
        load = Load(self.epoch, self._running, len(self._queue))
        self.history.record(load)


class PlainHandler(WorkerHandler):
    """Serve a plain service."""

    worker: PlainService


class CallHandler(PlainHandler):
    """Execute a call."""

    async def get(self) -> None:
        """Answer a call."""
        await self._answer()

    async def post(self) -> None:
        """Answer a call."""
        await self._answer()

    async def put(self) -> None:
        """Answer a call."""
        await self._answer()

    async def delete(self) -> None:
        """Answer a call."""
        await self._answer()

    async def _answer(self) -> None:
        headers = self.request.headers
        request_id = headers.get(REQUEST_ID, '')
        key = headers.get(IDEMPOTENCY_KEY, '')
        uri = self.request.uri or ''
        call = call_digest(uri, self.request.body)
        if not await self.worker.execute(request_id, key, call):
            return
        body = plain_answer(uri, self.request.body)
        mine = PlainReply(request_id, body)
        faults = self.worker.faults
        shown = await faults.crossing.swap(mine)
        await asyncio.sleep(faults.take_delay())
        if faults.crossing.crosses_headers:
            self.set_header(REQUEST_ID, shown.request_id)
        self.set_header('Content-Type', 'application/json')
        self.write(shown.body)


class CountsHandler(PlainHandler):
    """Report the executions."""

    frozen_by_pause = False

    def get(self) -> None:
        """Answer all counts."""
        self.reply(self.worker.counts)


class ResetHandler(PlainHandler):
    """Forget the executions."""

    frozen_by_pause = False

    def post(self) -> None:
        """Start all counts at 0."""
        self.worker.counts = PlainCounts()
        self.reply(self.worker.counts)
