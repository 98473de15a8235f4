"""Run stand-in workers in the process of a scenario and call them."""

import asyncio
import json
from collections.abc import Coroutine
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import msgspec
from behave.runner import Context
from lacewing_bench.standins import Engine
from lacewing_bench.standins import EngineConfig
from lacewing_bench.standins import KvConfig
from lacewing_bench.standins import KvStore
from lacewing_bench.standins import PlainConfig
from lacewing_bench.standins import PlainService
from lacewing_common.prefix import BLOCK_BYTES
from lacewing_common.prefix import chain
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPResponse

SALT = b'salt of team one'
OTHER_SALT = b'salt of team two'
_WAIT_S = 0.005
_MODELS = [{'id': 'diag', 'weights': 'w1'}]
_COSTS = {'step_ms': 1.0, 'sequence_ms': 0.0, 'prefill_token_ms': 0.001}


@dataclass
class StreamSeen:
    """Hold a stream's events as they came."""

    data: bytes = b''
    broken: bool = False
    status: int = 0
    came: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None

    @property
    def events(self) -> list[str]:
        """Return the whole events."""
        return self.data.decode().split('\n\n')[:-1]

    @property
    def chunks(self) -> list[Any]:
        """Return the decoded chunks, without the end mark."""
        decoded = []
        for event in self.events:
            data = event.partition('data: ')[2]
            if data != '[DONE]':
                decoded.append(json.loads(data))
        return decoded


class Bench:
    """Hold the workers of one scenario and what they answered."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.workers: dict[str, Any] = {}
        self.salt = SALT
        self.answers: dict[str, Any] = {}
        self.responses: dict[str, HTTPResponse] = {}
        self.streams: dict[str, StreamSeen] = {}
        self.ended: list[str] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.readings: list[asyncio.Task[HTTPResponse]] = []
        self.first_epoch = ''
        self.faults_at = 0.0
        self._client = self.run(self._new_client())

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run until done, the workers meanwhile too."""
        return self.loop.run_until_complete(work)

    def close(self) -> None:
        """Close all workers."""
        self.run(self._close())
        self.loop.close()

    def add(self, kind: str, name: str, given_settings: str) -> None:
        """Start a worker."""
        settings = {'name': name, 'kind': kind, **json.loads(given_settings)}
        if kind == 'engine':
            settings = {'models': _MODELS, 'costs': _COSTS, **settings}
            engine = msgspec.convert(settings, EngineConfig)
            self.workers[name] = Engine(engine)
        elif kind == 'plain':
            settings = {'service_ms': 1.0, **settings}
            plain = msgspec.convert(settings, PlainConfig)
            self.workers[name] = PlainService(plain)
        else:
            store = msgspec.convert(settings, KvConfig)
            self.workers[name] = KvStore(store)
        # Built outside of the loop, as the process builds its workers.
        self.run(self.workers[name].start())
        self.first_epoch = self.workers[name].epoch

    async def fetch(
        self,
        name: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        came: Any = None,
    ) -> HTTPResponse:
        """Call a worker; raise HTTPClientError when no answer comes."""
        address = self.workers[name].address
        return await self.fetch_at(address, path, body, headers, came)

    async def fetch_at(
        self,
        address: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        came: Any = None,
    ) -> HTTPResponse:
        """Call an address; raise HTTPClientError when no answer comes."""
        response: HTTPResponse = await self._client.fetch(
            f'http://{address}{path}',
            method='GET' if body is None else 'POST',
            body=None if body is None else json.dumps(body),
            headers=headers,
            streaming_callback=came,
            raise_error=False,
            request_timeout=60.0,
        )
        return response

    def get(self, name: str, path: str, body: Any = None) -> Any:
        """Call a worker and decode its answer."""
        response = self.run(self.fetch(name, path, body))
        return json.loads(response.body)

    def headers(self, request_id: str, priority: int = 0) -> dict[str, str]:
        """Return what the agent sends with a request."""
        return {
            'X-Request-Id': request_id,
            'X-Cache-Salt': self.salt.hex(),
            'X-Priority': str(priority),
        }

    async def ask(
        self, name: str, prompt: str, tokens: int, request_id: str, rank: int
    ) -> None:
        """Ask an engine for a whole answer."""
        body = {'model': 'diag', 'prompt': prompt, 'max_tokens': tokens}
        headers = self.headers(request_id, rank)
        response = await self.fetch(name, '/v1/completions', body, headers)
        self.answers[request_id] = json.loads(response.body)
        self.responses[request_id] = response
        self.ended.append(request_id)

    async def stream(
        self, name: str, prompt: str, size: int, rid: str
    ) -> None:
        """Ask an engine for a stream and follow it."""
        body = {
            'model': 'diag',
            'prompt': prompt,
            'max_tokens': size,
            'stream': True,
        }
        await self.follow(name, '/v1/completions', body, rid, {})

    async def follow(
        self,
        name: str,
        path: str,
        body: Any,
        rid: str,
        extra: dict[str, str],
    ) -> None:
        """Gather a stream's events, after those that came before."""
        stream = self.streams.setdefault(rid, StreamSeen())
        stream.broken = False

        def take(data: bytes) -> None:
            stream.data += data
            stream.came.set()

        headers = {**self.headers(rid), **extra}
        try:
            response = await self.fetch(name, path, body, headers, take)
            stream.status = response.code
        except HTTPClientError:
            stream.broken = True

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Let something run beside the following steps."""
        self.tasks.append(self.loop.create_task(work))

    async def settled(self) -> None:
        """Wait until all that was started has ended."""
        await asyncio.gather(*self.tasks)

    async def first_event(self, rid: str) -> None:
        """Wait until a stream's first event came."""
        await self.streams.setdefault(rid, StreamSeen()).came.wait()

    def call_body(self, rid: str) -> Any:
        """Return the body of the short call of an id."""
        return {'model': 'diag', 'prompt': rid, 'max_tokens': 4}

    async def call_all(
        self, name: str, rids: tuple[str, ...], extra: dict[str, str]
    ) -> None:
        """Make short calls at once; keep their responses."""
        calls = [self._call(name, rid, extra) for rid in rids]
        await asyncio.gather(*calls)

    async def _call(self, name: str, rid: str, extra: dict[str, str]) -> None:
        headers = {**self.headers(rid), **extra}
        body = self.call_body(rid)
        try:
            response = await self.fetch(name, '/v1/completions', body, headers)
        except HTTPClientError:
            # The worker crashed.
            return
        self.responses[rid] = response
        self.ended.append(rid)

    async def events_until(self, name: str, last: int) -> list[Any]:
        """Read cache events up to a number, as far as they come."""
        stream = StreamSeen()

        def take(data: bytes) -> None:
            stream.data += data
            stream.came.set()

        reading = asyncio.create_task(
            self.fetch(name, '/cache/events', came=take)
        )
        self.readings.append(reading)
        while not stream.chunks or stream.chunks[-1]['sequence'] < last:
            stream.came.clear()
            await stream.came.wait()
        return stream.chunks

    async def _new_client(self) -> CurlAsyncHTTPClient:
        return CurlAsyncHTTPClient(force_instance=True, max_clients=20)

    async def _close(self) -> None:
        for worker in self.workers.values():
            await worker.close()
        # Their connections are gone, so that all end by themselves.
        await asyncio.gather(
            *self.tasks, *self.readings, return_exceptions=True
        )
        self._client.close()


def bench_of(context: Context) -> Bench:
    """Return the scenario's bench, made at its first use."""
    if not hasattr(context, 'bench'):
        context.bench = Bench()
        context.resources.callback(context.bench.close)
    bench: Bench = context.bench
    return bench


def long_prompt(letter: str, blocks: int, extra: int = 0) -> str:
    """Return a prompt of full blocks and some more bytes."""
    return letter * (blocks * BLOCK_BYTES + extra)


def block_names(letter: str, salt: bytes = SALT, blocks: int = 3) -> list[str]:
    """Return the hashes (hex) that the system computes for a prompt."""
    hashed = chain(salt, (long_prompt(letter, blocks).encode(),))
    return [block.hex() for block in hashed.blocks]


def text_of(bench: Bench, request_id: str) -> str:
    """Return the text that answered a request."""
    if request_id in bench.answers:
        return str(bench.answers[request_id]['choices'][0]['text'])
    chunks = bench.streams[request_id].chunks
    return ''.join(chunk['choices'][0]['text'] for chunk in chunks)


async def until_load(
    bench: Bench, name: str, running: int, waiting: int
) -> None:
    """Wait until a worker reports a load."""
    while True:
        response = await bench.fetch(name, '/load')
        load = json.loads(response.body)
        if (load['running'], load['waiting']) == (running, waiting):
            return
        await asyncio.sleep(_WAIT_S)
