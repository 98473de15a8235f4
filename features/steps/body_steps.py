"""Check how direct routers treat bodies that are slow or cut short."""

import asyncio
import http.client
import time
from dataclasses import dataclass
from dataclasses import field

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from support.direct_bench import direct_bench
from support.direct_bench import HOST
from support.direct_bench import KEY
from support.direct_bench import PREFIX

MAX_BODY_BYTES = 12_000_000
LONG_BYTES = 100_000
PAUSE_S = 0.02
NAME = 'reg-early'


@dataclass
class _Exchange:
    """Hold what one connection of the upstream received, by request."""

    requests: list[tuple[str, bytes]] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)


class _EarlyUpstream:
    """Answer long requests when their head is in, and read on later."""

    def __init__(self) -> None:
        self.exchanges: list[_Exchange] = []
        self.ran: list[str] = []
        self.address = ''
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a port that the system chooses."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=64 * 1024
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        exchange = _Exchange()
        self.exchanges.append(exchange)
        try:
            while await self._one(exchange, reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            # The router closed the connection, which it may at any time.
            return
        finally:
            writer.close()

    async def _one(
        self,
        exchange: _Exchange,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin1')
        lines = head.split('\r\n')
        if not lines[0].endswith(' HTTP/1.1'):
            exchange.faults.append(lines[0][:60])
            return False
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(':')
            headers[name.lower()] = value.strip()
        name = headers[(PREFIX + 'Request-Id').lower()]
        length = int(headers.get('content-length', '0'))
        if length > LONG_BYTES:
            writer.write(
                _answer(name, 503, b'', {PREFIX + 'Not-Executed': '1'})
            )
            await writer.drain()
            await reader.readexactly(length)
            return True
        body = await reader.readexactly(length)
        exchange.requests.append((lines[0], body))
        self.ran.append(lines[0])
        writer.write(
            _answer(name, 200, b'whole', {PREFIX + 'Response-Signature': 's'})
        )
        await writer.drain()
        return True


def _answer(
    name: str, status: int, body: bytes, headers: dict[str, str]
) -> bytes:
    lines = [f'HTTP/1.1 {status} X', f'{PREFIX}Request-Id: {name}']
    for key, value in headers.items():
        lines.append(f'{key}: {value}')
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


@given('an upstream that answers before it has read a body')
def step_early(context: Context) -> None:
    """Start it, register it, and let callers send long bodies."""
    bench = direct_bench(context)
    context.early = _EarlyUpstream()
    bench.run(context.early.start())
    context.resources.callback(lambda: bench.run(context.early.close()))
    entry = {
        'Service': 'registry',
        'Address': context.early.address,
        'Zone': 'east',
        'Version': 'v1',
        'Slots': 4,
        'State': 'ready',
        'ColdRemainingMs': 0,
        'Sequence': 1,
    }
    bench.on_loop(lambda: bench.store.put('servers', NAME, entry))
    bench.configure(Limits={'MaxBodyBytes': MAX_BODY_BYTES})


@when('a caller sends a body of {size:d} bytes')
def step_long(context: Context, size: int) -> None:
    """Send a body in one go."""
    bench = direct_bench(context)
    answer = bench.ask('/certificates/1', KEY, 'POST', b'x' * size)
    assert answer.status == 503, answer


@when('a caller sends a body of {size:d} bytes in {count:d} slow pieces')
def step_slow(context: Context, size: int, count: int) -> None:
    """Send it piece by piece."""
    context.body = bytes(number % 251 for number in range(size))
    connection = _begin(context, size)
    piece = size // count
    for number in range(count):
        connection.send(context.body[number * piece : (number + 1) * piece])
        time.sleep(PAUSE_S)
    response = connection.getresponse()
    assert response.status == 200, response.status
    assert response.read() == b'whole'
    connection.close()


@when('a caller fetches a record once the upstream is used again')
def step_again(context: Context) -> None:
    """Ask until the pause after its refusal is over."""
    bench = direct_bench(context)
    bench.until(lambda: bench.ask().status == 200, 'an answer')


@when('a caller leaves after half of its body')
def step_half(context: Context) -> None:
    """Close the connection in the middle."""
    connection = _begin(context, 1000)
    connection.send(b'x' * 500)
    time.sleep(PAUSE_S)
    connection.close()


def _begin(context: Context, size: int) -> http.client.HTTPConnection:
    connection = direct_bench(context).connect()
    connection.putrequest('POST', '/certificates/2', skip_host=True)
    for name, value in (
        ('Host', HOST),
        ('Authorization', f'Token {KEY}'),
        (PREFIX + 'Request-Id', 'slow-body'),
        (PREFIX + 'Deadline-Ms', '3000'),
        ('Content-Length', str(size)),
    ):
        connection.putheader(name, value)
    connection.endheaders()
    return connection


@then('the record comes whole')
def step_record(context: Context) -> None:
    """Check the last answer."""
    answer = direct_bench(context).answer
    assert (answer.status, answer.body) == (200, b'whole'), answer


@then('every connection of the upstream held whole requests only')
def step_only_whole(context: Context) -> None:
    """Check that no body was read as a head, and one record ran."""
    for exchange in context.early.exchanges:
        assert not exchange.faults, exchange.faults
    assert len(context.early.ran) == 1, context.early.ran


@then('the upstream got that body once and whole')
def step_got(context: Context) -> None:
    """Compare the bodies."""
    got: list[bytes] = []
    for exchange in context.early.exchanges:
        got.extend(body for _, body in exchange.requests)
    assert got == [context.body], len(got)


@then('the upstream ran that record alone')
def step_alone(context: Context) -> None:
    """Check what it ran."""
    assert len(context.early.ran) == 1, context.early.ran
    assert context.early.ran[0].startswith('GET /records/'), context.early.ran
