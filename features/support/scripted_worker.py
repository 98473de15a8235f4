"""Play a worker whose every fault a scenario sets."""

import asyncio
import json
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler

REQUEST_ID = 'X-Request-Id'
FOREIGN = 'router-other.1-7-1'
CACHED_TOKENS = 128
PROMPT_TOKENS = 200
FAILURE = b'no'


@dataclass
class Plan:
    """Say how the worker answers; each fault shows once, 0 is never.

    ``hold_after`` stops each stream after so many events until ``go_on``.
    """

    events: int = 6
    event_bytes: int = 10
    hold_after: int = 0
    cross_before: int = 0
    skip: int = 0
    cut_after: int = 0
    cross_header: bool = False
    cross_body: bool = False
    vanish: bool = False
    fail_unnamed: bool = False
    status: int = 200
    body_bytes: int = 0
    go_on: asyncio.Event = field(default_factory=asyncio.Event)


def event_text(request_id: str, number: int, plan: Plan) -> bytes:
    """Return one event of a request's stream."""
    if number > plan.events:
        return b'id: %d\ndata: [DONE]\n\n' % number
    chunk: dict[str, Any] = {'id': request_id, 'text': f'{number}'}
    chunk['padding'] = 'x' * plan.event_bytes
    if number == plan.events:
        chunk['usage'] = _usage(plan)
    data = json.dumps(chunk).encode()
    return b'id: %d\ndata: %s\n\n' % (number, data)


def stream_text(request_id: str, plan: Plan) -> bytes:
    """Return the whole stream of a request."""
    texts = []
    for number in range(1, plan.events + 2):
        texts.append(event_text(request_id, number, plan))
    return b''.join(texts)


def whole_text(request_id: str, plan: Plan) -> bytes:
    """Return the whole answer to a request."""
    answer = {'id': request_id, 'usage': _usage(plan)}
    return json.dumps(answer | {'text': 'x' * plan.body_bytes}).encode()


def _usage(plan: Plan) -> dict[str, Any]:
    return {
        'prompt_tokens': PROMPT_TOKENS,
        'completion_tokens': plan.events,
        'prompt_tokens_details': {'cached_tokens': CACHED_TOKENS},
    }


class ScriptedWorker:
    """Count what it runs and answer by a plan."""

    def __init__(self) -> None:
        self.plan = Plan()
        self.epoch = 'epoch-1'
        self.resume_epoch = ''
        self.repeats = False
        self.swaps = False
        self.swapped: asyncio.Future[str] | None = None
        self.first = ''
        self.late_copies = False
        self.load_status = 200
        self.echoes = True
        self.models = [{'id': 'm', 'weights': 'w1', 'adapters': []}]
        self.runs: Counter[str] = Counter()
        self.order: list[str] = []
        self.cancelled: list[str] = []
        self.resume_status = 200
        self.written = 0
        routes: list[Any] = [
            (r'/load', _Load),
            (r'/v1/models', _Models),
            (r'/v1/completions', _Generate),
            (r'/requests/(.*)/stream', _Resume),
            (r'/requests/(.*)/answer', _Whole),
            (r'/requests/(.*)/cancel', _Cancel),
            (r'/.*', _Call),
        ]
        rules = [(path, handler, {'worker': self}) for path, handler in routes]
        self._server = HTTPServer(Application(rules, log_function=_quiet))
        self._port = 0

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f'http://127.0.0.1:{self._port}'

    async def start(self) -> None:
        """Listen on a free port."""
        sockets = bind_sockets(0, '127.0.0.1')
        self._port = sockets[0].getsockname()[1]
        self._server.add_sockets(sockets)

    async def close(self) -> None:
        """Refuse connections and drop those that are open."""
        self.plan.go_on.set()
        self._server.stop()
        await self._server.close_all_connections()

    def take(self, fault: str) -> Any:
        """Return a fault's value and switch it off."""
        value = getattr(self.plan, fault)
        setattr(self.plan, fault, type(value)())
        return value


class _Handler(RequestHandler):
    gone = False

    async def send_late_copy(self) -> None:
        """Send what is to come again before the connection's next answer."""
        connection: Any = self.request.connection
        late = getattr(connection.stream, 'late_copy', b'')
        if late:
            await connection.stream.write(late)

    def send_again(self, status: str, body: bytes) -> None:
        """Have an answer without an id come again, late."""
        connection: Any = self.request.connection
        head = f'HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n'
        connection.stream.late_copy = head.encode() + body

    async def write_late(self, answer: dict[str, Any]) -> None:
        """Answer, after a second copy of the connection's last answer."""
        await self.send_late_copy()
        self.write(answer)
        if self.worker.late_copies:
            self.send_again('200 OK', json.dumps(answer).encode())

    def initialize(self, worker: ScriptedWorker) -> None:
        self.worker = worker

    def prepare(self) -> None:
        self.set_header('X-Engine-Epoch', self.worker.epoch)
        if self.worker.echoes:
            request_id = self.request.headers.get(REQUEST_ID, '')
            self.set_header(REQUEST_ID, request_id)

    def on_connection_close(self) -> None:
        self.gone = True

    def close_connection(self) -> None:
        connection: Any = self.request.connection
        connection.stream.close()

    async def write_stream(self, request_id: str, after: int) -> None:
        plan = self.worker.plan
        cut_after = self.worker.take('cut_after')
        cross_before = self.worker.take('cross_before')
        skip = self.worker.take('skip')
        self.set_header('Content-Type', 'text/event-stream')
        for number in range(after + 1, plan.events + 2):
            if self.gone or request_id in self.worker.cancelled:
                return
            if number == cross_before:
                self.write(event_text(FOREIGN, number, plan))
            if number != skip:
                text = event_text(request_id, number, plan)
                self.worker.written += len(text)
                self.write(text)
                await self.flush()
            if number == cut_after:
                self.close_connection()
                return
            if number == plan.hold_after:
                await plan.go_on.wait()


class _Load(_Handler):
    async def get(self) -> None:
        self.set_status(self.worker.load_status)
        await self.write_late({'epoch': self.worker.epoch})


class _Models(_Handler):
    async def get(self) -> None:
        epoch = self.worker.epoch
        await self.write_late({'epoch': epoch, 'data': self.worker.models})


class _Generate(_Handler):
    async def post(self) -> None:
        worker = self.worker
        request_id = self.request.headers[REQUEST_ID]
        worker.runs[request_id] += 1
        worker.order.append(request_id)
        if worker.take('vanish'):
            self.close_connection()
            return
        if worker.plan.status != 200:
            self.set_status(worker.plan.status)
            return
        if worker.take('cross_header'):
            self.set_header(REQUEST_ID, FOREIGN)
            request_id = FOREIGN
        if json.loads(self.request.body).get('stream'):
            await self.write_stream(request_id, 0)
            return
        if worker.take('cross_body'):
            request_id = FOREIGN
        self.set_header('Content-Type', 'application/json')
        self.write(whole_text(request_id, worker.plan))


class _Resume(_Handler):
    async def get(self, request_id: str) -> None:
        if self.worker.resume_status != 200:
            self.set_status(self.worker.resume_status)
            return
        if self.worker.resume_epoch:
            self.set_header('X-Engine-Epoch', self.worker.resume_epoch)
        after = int(self.request.headers['Last-Event-ID'])
        if self.worker.repeats:
            after = 0
        await self.write_stream(request_id, after)


class _Whole(_Handler):
    def get(self, request_id: str) -> None:
        self.set_header('Content-Type', 'application/json')
        self.write(whole_text(request_id, self.worker.plan))


class _Cancel(_Handler):
    async def post(self, request_id: str) -> None:
        self.worker.cancelled.append(request_id)
        self.worker.plan.go_on.set()
        await self.write_late({})


class _Call(_Handler):
    async def post(self) -> None:
        worker = self.worker
        request_id = self.request.headers[REQUEST_ID]
        worker.runs[request_id] += 1
        worker.order.append(request_id)
        if worker.take('vanish'):
            self.close_connection()
            return
        await self.send_late_copy()
        if worker.take('fail_unnamed'):
            self.clear_header(REQUEST_ID)
            self.set_status(500)
            self.write(FAILURE)
            self.send_again('500 Internal Server Error', FAILURE)
            return
        if worker.plan.hold_after:
            await worker.plan.go_on.wait()
        if worker.take('cross_header'):
            self.set_header(REQUEST_ID, FOREIGN)
        self.set_header('Content-Type', 'text/plain')
        if worker.swaps:
            other = await self._swapped(request_id)
            self.set_header(REQUEST_ID, other)
            self.write(f'done {other}')
            return
        self.write(b'done ' + b'x' * worker.plan.body_bytes)

    async def _swapped(self, request_id: str) -> str:
        waiting, self.worker.swapped = self.worker.swapped, asyncio.Future()
        if waiting is None:
            self.worker.first = request_id
            return await self.worker.swapped
        waiting.set_result(request_id)
        return self.worker.first


def _quiet(_handler: RequestHandler) -> None:
    return
