"""Make one call of each kind and tell what its caller learned."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Protocol

from lacewing_bench.caller import Call
from lacewing_bench.caller import Caller
from lacewing_bench.fleet._http import ControlClient
from lacewing_bench.standins._transfer import Transfers
from lacewing_common.platform_http import HttpCall
from lacewing_common.platform_http import HttpClient
from lacewing_common.platform_http import NoHttpAnswer
from lacewing_common.store import StoreFault
from lacewing_ctl._operators_client import OperatorsClient
from lacewing_ctl._operators_client import Unanswered
from lacewing_daemon.agent._kv_client import KvClient
from lacewing_daemon.agent._transfer import AnswerStart
from lacewing_daemon.agent._transfer import Transfer
from lacewing_daemon.agent._worker import Broken
from lacewing_daemon.agent._worker import Worker
from lacewing_daemon.agent._worker import WorkerRequest
from lacewing_daemon.direct._answer_end import BodyEnd
from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._connection import connect
from lacewing_daemon.placement._order_client import Order
from lacewing_daemon.placement._order_client import OrderClient
from lacewing_daemon.placement._order_client import OrderFailed
from lacewing_daemon.placement._order_client import OrderKind
from lacewing_daemon.placement._order_client import StaleFence
from lacewing_platform import PlatformSite
from lacewing_platform import PlatformWire
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPClientError
from tornado.httputil import HTTPHeaders

_TIMEOUT_S = 5.0
_CALLS_AT_ONCE = 4
_BLOCKS = (b'a',)
_BROKEN_STATUS = 599


@dataclass(frozen=True)
class Learned:
    """Hold whether a response arrived, as its caller learned it.

    ``may_be_sent`` is false if the request seemed certainly unsent.
    """

    arrived: bool
    may_be_sent: bool
    text: str


class Client(Protocol):
    """Close the connections of a kind of calls."""

    def close(self) -> None:
        """Close all connections."""


@dataclass(frozen=True)
class Calls:
    """Make calls of one kind to one server.

    ``is_reusing``: they use open connections. ``reads_trailers``: a body in
    chunks may have trailers.
    """

    client: Client
    call: Callable[[], Awaitable[Learned]]
    is_reusing: bool = False
    reads_trailers: bool = True


class _Sink:
    """Record the heads and the end of a response."""

    def __init__(self) -> None:
        self.heads = 0
        self.end: asyncio.Future[BodyEnd] = asyncio.Future()
        self._wire = PlatformWire()

    @property
    def wire(self) -> PlatformWire:
        """Return what decodes the heads of responses."""
        return self._wire

    def begin(self, transfer: Transfer) -> None:
        """Ignore the control of the exchange."""

    def head(self, start: AnswerStart) -> None:
        """Count a head from a worker."""
        self.heads += 1

    def body(self, chunk: bytes) -> None:
        """Ignore bytes of the body."""

    def on_skipped(self) -> None:
        """Ignore a copy of an earlier response."""

    def on_head(self, status: int, headers: HTTPHeaders) -> None:
        """Count a head from an upstream."""
        self.heads += 1

    async def on_data(self, piece: bytes) -> None:
        """Ignore bytes of the body."""

    def on_end(self, body_end: BodyEnd, _following: bytes = b'') -> None:
        """Record the end of the response."""
        self.end.set_result(body_end)


def _platform(address: str, method: str) -> Calls:
    client = HttpClient(
        f'http://{address}', _CALLS_AT_ONCE, _TIMEOUT_S, _TIMEOUT_S
    )
    body = b'{}' if method == 'POST' else None

    async def call() -> Learned:
        answer = await client.call(
            HttpCall(method, '/objects', _TIMEOUT_S, body=body)
        )
        if isinstance(answer, NoHttpAnswer):
            return Learned(False, answer.may_be_sent, answer.message)
        return Learned(True, True, str(answer))

    return Calls(client, call, method == 'GET')


def _removal(address: str) -> Calls:
    site = PlatformSite(address)

    async def call() -> Learned:
        result = await site.store.delete('note', 'first', 1)
        is_unknown = result is not None and result.fault is StoreFault.UNKNOWN
        return Learned(not is_unknown, True, str(result))

    return Calls(site, call)


def _exchange(address: str, request: WorkerRequest) -> Calls:
    worker = Worker(f'http://{address}', _CALLS_AT_ONCE)

    async def call() -> Learned:
        sink = _Sink()
        result = await worker.exchange(request, sink)
        if not isinstance(result, Broken):
            assert sink.heads == 1, sink.heads
            return Learned(True, True, str(result))
        return Learned(False, result.reached, str(result))

    return Calls(worker, call)


def _poll(address: str) -> Calls:
    worker = Worker(f'http://{address}', _CALLS_AT_ONCE)

    async def call() -> Learned:
        result = await worker.get('/load', _TIMEOUT_S)
        if isinstance(result, Broken):
            return Learned(False, result.reached, result.message)
        return Learned(True, True, str(result))

    return Calls(worker, call)


def _cancellation(address: str) -> Calls:
    worker = Worker(f'http://{address}', _CALLS_AT_ONCE)

    async def call() -> Learned:
        return Learned(await worker.cancel('first'), True, 'cancelled')

    return Calls(worker, call)


def _orders(address: str, order: Order | None) -> Calls:
    client = OrderClient(f'http://{address}', _TIMEOUT_S)

    async def call() -> Learned:
        if order is None:
            result = await client.state()
        else:
            given = await client.give(order)
            if isinstance(given, StaleFence):
                return Learned(True, True, str(given))
            result = given
        arrived = not isinstance(result, OrderFailed)
        return Learned(arrived, True, str(result))

    return Calls(client, call)


def _kv(address: str, ask: Callable[[KvClient], Awaitable[int]]) -> Calls:
    client = KvClient(f'http://{address}', f'http://{address}')

    async def call() -> Learned:
        blocks = await ask(client)
        return Learned(blocks > 0, True, f'{blocks} blocks')

    return Calls(client, call)


def _operators(address: str, body: bytes | None) -> Calls:
    client = OperatorsClient(None)

    async def call() -> Learned:
        if body is None:
            result = await client.get(address, '/status')
        else:
            result = await client.post(address, '/confirm', body)
        arrived = not isinstance(result, Unanswered)
        return Learned(arrived, True, str(result))

    return Calls(client, call)


def _bench_caller(address: str) -> Calls:
    client = Caller({})

    async def call() -> Learned:
        answer = await client.send(
            f'http://{address}', Call('a call', 'team', '/', {'a': 1})
        )
        arrived = answer.whole or answer.status != _BROKEN_STATUS
        return Learned(arrived, answer.sent, str(answer))

    return Calls(client, call, True)


def _bench_command(address: str) -> Calls:
    client = ControlClient(None)

    async def call() -> Learned:
        try:
            result = await client.post(f'http://{address}/stop', {})
        except CurlError as error:
            return Learned(False, True, str(error))
        except HTTPClientError as error:
            return Learned(True, True, str(error))
        return Learned(True, True, str(result))

    return Calls(client, call, True)


def _weights(address: str) -> Calls:
    client = Transfers()

    async def call() -> Learned:
        error = await client.fetch_weights(address, 'model', 'v1')
        return Learned(not error.endswith('no answer'), True, error)

    return Calls(client, call, True)


def _direct(address: str) -> Calls:
    async def call() -> Learned:
        sink = _Sink()
        headers = HTTPHeaders({'Host': address})
        request = CallerRequest(
            'GET', '/', 'a', 'cut-1', headers, b'', 0.0, None, '', None, None
        )
        connection = await connect(address, _TIMEOUT_S)
        connection.send(request, headers, sink)
        async with asyncio.timeout(_TIMEOUT_S):
            end = await sink.end
        connection.close()
        arrived = end not in (BodyEnd.BROKEN, BodyEnd.CUT)
        return Learned(arrived or sink.heads > 0, True, str(end))

    return Calls(ExitStack(), call, reads_trailers=False)


def make_calls(kind: str, address: str) -> Calls:
    """Return calls of the kind that a scenario names."""
    return _KINDS[kind](address)


_ORDER = Order(fence=7, order=OrderKind.LOAD, model='m')
_KINDS: dict[str, Callable[[str], Calls]] = {
    'a read of the platform': lambda at: _platform(at, 'GET'),
    'a write of the platform': lambda at: _platform(at, 'POST'),
    'a look at the platform': lambda at: _platform(at, 'HEAD'),
    'a removal at the platform': _removal,
    'an exchange with a worker': lambda at: _exchange(
        at, WorkerRequest('POST', '/', body=b'{}')
    ),
    'an exchange that may run once': lambda at: _exchange(
        at, WorkerRequest('PUT', '/', body=b'{}')
    ),
    'an exchange without a body': lambda at: _exchange(
        at, WorkerRequest('GET', '/')
    ),
    'a poll of a worker': _poll,
    'a cancellation at a worker': _cancellation,
    "a read of a worker's orders": lambda at: _orders(at, None),
    'an order to a worker': lambda at: _orders(at, _ORDER),
    'a question to a store': lambda at: _kv(
        at, lambda client: client.held(_BLOCKS)
    ),
    'an import of blocks': lambda at: _kv(
        at, lambda client: client.import_blocks(_BLOCKS)
    ),
    'an export of blocks': lambda at: _kv(
        at, lambda client: client.export_blocks(_BLOCKS)
    ),
    'a read of operators': lambda at: _operators(at, None),
    'a command of operators': lambda at: _operators(at, b'{}'),
    'a request of a bench caller': _bench_caller,
    "a bench's command": _bench_command,
    'a fetch of weights': _weights,
    'a request of a direct router': _direct,
}
