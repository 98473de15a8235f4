"""Stand in for the model workers of a service."""

import asyncio
import itertools
import json
import time
from collections.abc import Callable

from standin_http import format_chunk
from standin_http import format_head
from standin_http import format_response
from standin_http import Headers
from standin_http import Message
from standin_http import read_message
from standin_record import Record
from standin_store import Store

HEARTBEAT_S = 1.2
SLOTS = 48
LOAD_S = 0.42
TOKENS_PER_MS = 110.0
STEP_S = 0.00608
TOKENS_PER_EVENT = 4
# Reports are as of some hundred ms ago.
REPORT_LAG_S = 0.2

_PREFIX = 'x-lacewingstack-'
_ID = _PREFIX + 'request-id'
_NOT_EXECUTED = {'X-Lacewingstack-Not-Executed': '1'}
# Memory of runs is sent to the worker that keeps a copy this often.
_COPY_EVERY_S = 0.25


class Worker:
    """Run streams, report, carry out orders and register in the store.

    ``spoils`` is called with the status of each answer to a request. If it
    returns true, the same answer is sent once more on that connection, late:
    where the next answer is expected. The first event of a stream has the id
    ``id_base`` plus one. ``peers`` has the workers by address, to which runs
    are copied; ``arrivals`` has the time, the request's id and the status of
    each request that reached this one.
    """

    def __init__(
        self, worker_id: str, service: str, model: str, record: Record
    ) -> None:
        self.worker_id = worker_id
        self.spoils: Callable[[int], bool] = lambda _status: False
        self.id_base = 0
        self.peers: dict[str, Worker] = {}
        self.runs: list[str] = []
        self.arrivals: list[tuple[float, str, int]] = []
        self._copies: set[str] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._beating: asyncio.Task[None] | None = None
        self._service = service
        self._model = model
        self._record = record
        self._version = 1
        self._sequence = 0
        self._heartbeats = 0
        self._loading = False
        self._running = 0
        self._reports: list[tuple[float, bytes]] = []
        self._address = ''
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def copies(self) -> int:
        """Return the number of runs elsewhere whose copies it keeps."""
        return len(self._copies)

    async def start(self, host: str, store: Store) -> None:
        """Listen on a free port and register in the store."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self._address = f'{host}:{port}'
        self._note_report()
        self.peers[self._address] = self
        self._beating = asyncio.create_task(self._beat(store))

    def leave(self, store: Store) -> None:
        """Remove the entry, without reporting to drain; serve on."""
        assert self._beating is not None
        self._beating.cancel()
        store.remove('servers', self.worker_id)

    def crash(self) -> None:
        """End at once: no heartbeats, no connections, nothing listens."""
        assert self._beating is not None and self._server is not None
        self._beating.cancel()
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def _spawn(self, job: 'asyncio._CoroutineLike[None]') -> None:
        task = asyncio.create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat(self, store: Store) -> None:
        while True:
            self._heartbeats += 1
            store.put('servers', self.worker_id, self._entry())
            await asyncio.sleep(HEARTBEAT_S)

    def _models(self) -> list[dict[str, object]]:
        version = self._version
        return [{'Name': self._model, 'Version': version, 'Adapters': []}]

    def _entry(self) -> dict[str, object]:
        return {
            'Service': self._service,
            'Address': self._address,
            'Zone': 'gulberg',
            'Version': 'v1',
            'Slots': SLOTS,
            'State': 'ready',
            'ColdRemainingMs': 0,
            'Stage': 'both',
            'Models': self._models(),
            'Sequence': self._heartbeats,
        }

    def _note_report(self) -> None:
        report = {
            'Stage': 'both',
            'Models': self._models(),
            'Busy': self._loading,
            'Sequence': self._sequence,
            'QueuedRequests': 0,
            'RunningRequests': self._running,
            'KvUsed': 0,
            'KvTotal': 112556,
            'Handles': 0,
        }
        body = json.dumps(report).encode()
        self._reports.append((time.monotonic(), body))
        del self._reports[:-200]

    def _report(self) -> bytes:
        latest = self._reports[0][1]
        for noted_s, body in self._reports:
            if noted_s <= time.monotonic() - REPORT_LAG_S:
                latest = body
        return latest

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        late = b''
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                if late:
                    self._record.add(f'{self.worker_id} sends a late copy')
                    writer.write(late)
                    late = b''
                answer = await self._answer(request, reader, writer)
                await writer.drain()
                if answer and self.spoils(int(answer.split(b' ')[1])):
                    late = answer
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes:
        """Answer a request; return the answer, empty for one not spoilt."""
        if request.path == '/report':
            headers = {'Content-Type': 'application/json'}
            writer.write(format_response(200, headers, self._report()))
            return b''
        if request.path == '/order':
            status = self._order(request)
            writer.write(format_response(status, {}, b''))
            return b''
        if request.path == '/health':
            headers = {'X-Lacewingstack-Instance-Id': self.worker_id}
            writer.write(format_response(200, headers, b''))
            return b''
        status, extra = self._refusal(request.headers)
        request_id = request.headers.get(_ID, '')
        self.arrivals.append((time.monotonic(), request_id, status))
        if status:
            headers = {
                'X-Lacewingstack-Request-Id': request_id,
                'X-Lacewingstack-Weight-Versions': str(self._version),
                **extra,
            }
            answer = format_response(status, headers, b'')
            self._record.add(f'{self.worker_id} refuses {request_id} {status}')
            writer.write(answer)
            return answer
        await self._run(request, reader, writer)
        # A whole answer; its bytes are not kept, so that it is not spoilt.
        self.spoils(200)
        return b''

    def _refusal(self, headers: Headers) -> tuple[int, Headers]:
        """Return the status of a refusal, 0 for a request that may run."""
        target = headers.get(_PREFIX + 'target-instance', self.worker_id)
        expected = headers.get(_PREFIX + 'expected-version')
        if target != self.worker_id:
            return 421, _NOT_EXECUTED
        if self._loading or self._running >= SLOTS:
            return 503, _NOT_EXECUTED
        if expected is not None and int(expected) != self._version:
            return 421, _NOT_EXECUTED
        if 'kv-from' in headers:
            copy = f'{self._address}/{headers.get(_ID, "")}'
            known = headers.get(_ID) in self._copies
            if headers['kv-from'] != copy or not known:
                return 503, _NOT_EXECUTED
        return 0, {}

    async def _run(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        request_id = request.headers[_ID]
        sizes = request.headers[_PREFIX + 'token-usage'].split(',')
        if 'kv-from' in request.headers:
            # A copy is used once.
            self._copies.discard(request_id)
        else:
            await asyncio.sleep(int(sizes[0]) / TOKENS_PER_MS / 1000)
        keeper = self.peers.get(request.headers.get(_PREFIX + 'kv-backup', ''))
        copied_s = time.monotonic()
        events = max(1, int(sizes[1]) // TOKENS_PER_EVENT)
        last = request.headers.get('last-event-id', str(self.id_base))
        first = int(last) - self.id_base + 1
        headers = {
            'X-Lacewingstack-Request-Id': request_id,
            'X-Lacewingstack-Response-Signature': f'sig-{self.worker_id}',
            'X-Lacewingstack-Weight-Versions': str(self._version),
            'X-Lacewingstack-Server-Load': f'{self._running},0,{SLOTS}',
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        self._running += 1
        self.runs.append(request_id)
        self._record.add(f'{self.worker_id} runs {request_id} from {first}')
        try:
            writer.write(format_head('HTTP/1.1 200 OK', headers))
            for number in itertools.count(first):
                if number > events:
                    break
                if reader.at_eof() or writer.is_closing():
                    self._record.add(f'{self.worker_id} drops {request_id}')
                    raise ConnectionResetError
                event_id = self.id_base + number
                event = f'id: {event_id}\ndata: {request_id} {number}\n\n'
                writer.write(format_chunk(event.encode()))
                await writer.drain()
                now_s = time.monotonic()
                if keeper is not None and now_s - copied_s > _COPY_EVERY_S:
                    keeper._copies.add(request_id)
                    copied_s = now_s
                await asyncio.sleep(STEP_S * TOKENS_PER_EVENT)
            writer.write(format_chunk(b''))
            if keeper is not None:
                keeper._copies.discard(request_id)
        finally:
            self._running -= 1

    def _order(self, request: Message) -> int:
        order = json.loads(request.body)
        target = request.headers.get(_PREFIX + 'target-instance')
        if target not in (None, self.worker_id):
            return 421
        if 'Holder' not in order or 'FencingToken' not in order:
            return 400
        if order.get('Version') == self._version:
            return 200
        if self._loading:
            return 409
        if order.get('Precondition', self._sequence) != self._sequence:
            return 409
        self._sequence += 1
        self._loading = True
        self._note_report()
        self._spawn(self._load(order['Version']))
        return 202

    async def _load(self, version: int) -> None:
        await asyncio.sleep(LOAD_S)
        self._version = version
        self._loading = False
        self._note_report()
        self._record.add(f'{self.worker_id} has version {version}')
