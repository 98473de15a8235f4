"""Check how direct routers handle slow and incomplete bodies."""

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
PIECE_INTERVAL_S = 0.02
UPSTREAM_ID = 'reg-early'


@dataclass
class _ConnectionRecord:
    """Record the requests that arrived on one connection."""

    requests: list[tuple[str, bytes]] = field(default_factory=list)
    invalid_lines: list[str] = field(default_factory=list)


class _EarlyUpstream:
    """Answer long requests after their head and read their bodies later."""

    def __init__(self) -> None:
        self.connections: list[_ConnectionRecord] = []
        self.ran: list[str] = []
        self.address = ''
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on an ephemeral port."""
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
        record = _ConnectionRecord()
        self.connections.append(record)
        try:
            while await self._serve_request(record, reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            # The router may close a connection at any time.
            return
        finally:
            writer.close()

    async def _serve_request(
        self,
        record: _ConnectionRecord,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin1')
        lines = head.split('\r\n')
        if not lines[0].endswith(' HTTP/1.1'):
            record.invalid_lines.append(lines[0][:60])
            return False
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(':')
            headers[name.lower()] = value.strip()
        name = headers[(PREFIX + 'Request-Id').lower()]
        length = int(headers.get('content-length', '0'))
        if length > LONG_BYTES:
            writer.write(
                _response(name, 503, b'', {PREFIX + 'Not-Executed': '1'})
            )
            await writer.drain()
            await reader.readexactly(length)
            return True
        body = await reader.readexactly(length)
        record.requests.append((lines[0], body))
        self.ran.append(lines[0])
        writer.write(
            _response(
                name, 200, b'whole', {PREFIX + 'Response-Signature': 's'}
            )
        )
        await writer.drain()
        return True


def _response(
    name: str, status: int, body: bytes, headers: dict[str, str]
) -> bytes:
    lines = [f'HTTP/1.1 {status} X', f'{PREFIX}Request-Id: {name}']
    for key, value in headers.items():
        lines.append(f'{key}: {value}')
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


@given('an upstream that answers before it has read a body')
def step_early_upstream(context: Context) -> None:
    """Start and register the upstream; allow long bodies."""
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
    bench.on_loop(lambda: bench.store.put('servers', UPSTREAM_ID, entry))
    bench.configure(Limits={'MaxBodyBytes': MAX_BODY_BYTES})


@when('a caller sends a body of {size:d} bytes')
def step_long(context: Context, size: int) -> None:
    """Send a body at once; the upstream refuses it."""
    bench = direct_bench(context)
    answer = bench.ask('/certificates/1', KEY, 'POST', b'x' * size)
    assert answer.status == 503, answer


@when('a caller sends a body of {size:d} bytes in {count:d} slow pieces')
def step_slow(context: Context, size: int, count: int) -> None:
    """Send a body in pieces with pauses."""
    context.body = bytes(number % 251 for number in range(size))
    connection = _send_head(context, size)
    piece = size // count
    for number in range(count):
        connection.send(context.body[number * piece : (number + 1) * piece])
        time.sleep(PIECE_INTERVAL_S)
    response = connection.getresponse()
    assert response.status == 200, response.status
    assert response.read() == b'whole'
    connection.close()


@when('a caller fetches a record once the upstream is no longer excluded')
def step_fetch_again(context: Context) -> None:
    """Retry until the exclusion after the refusal is over."""
    bench = direct_bench(context)
    bench.until(lambda: bench.ask().status == 200, 'an answer')


@when('a caller disconnects after half of its body')
def step_disconnect(context: Context) -> None:
    """Close the connection in the middle of the body."""
    connection = _send_head(context, 1000)
    connection.send(b'x' * 500)
    time.sleep(PIECE_INTERVAL_S)
    connection.close()


def _send_head(context: Context, size: int) -> http.client.HTTPConnection:
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


@then('the record is complete')
def step_complete_record(context: Context) -> None:
    """Check the last answer."""
    answer = direct_bench(context).answer
    assert (answer.status, answer.body) == (200, b'whole'), answer


@then('every connection of the upstream carried complete requests only')
def step_complete_requests(context: Context) -> None:
    """Check that no body was read as a head and that one request ran."""
    for record in context.early.connections:
        assert not record.invalid_lines, record.invalid_lines
    assert len(context.early.ran) == 1, context.early.ran


@then('the upstream received that body once and complete')
def step_received_body(context: Context) -> None:
    """Compare the received bodies with the body sent."""
    received: list[bytes] = []
    for record in context.early.connections:
        received.extend(body for _, body in record.requests)
    assert received == [context.body], len(received)


@then('the upstream ran that request alone')
def step_single_run(context: Context) -> None:
    """Check that the upstream ran only the fetch of the record."""
    assert len(context.early.ran) == 1, context.early.ran
    assert context.early.ran[0].startswith('GET /records/'), context.early.ran
