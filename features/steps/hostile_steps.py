"""Pass corrupted data, generated from fixed seeds, to its parsers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from random import Random

import msgspec
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.verdict import Verdict
from lacewing_daemon.direct import CallerRequest
from lacewing_daemon.direct import Changes
from lacewing_daemon.direct import Dispatch
from lacewing_daemon.direct import HistoryExpired
from lacewing_daemon.direct import Listing
from lacewing_daemon.direct import Upstream
from lacewing_daemon.direct._attempt import Attempt
from lacewing_daemon.direct._attempt import AttemptEnd
from lacewing_daemon.direct._event_ids import event_id
from lacewing_daemon.direct._events import EventSplitter
from lacewing_daemon.direct._pool import ConnectionPool
from lacewing_daemon.direct._upstream_state import UpstreamState
from lacewing_platform import PlatformSite
from lacewing_platform import PlatformWire
from lacewing_platform_testing._server import complete_response
from lacewing_platform_testing._server import FakeServer
from lacewing_platform_testing._server import ReceivedRequest
from tornado.httputil import HTTPHeaders

SEED = 11
PREFIX = 'X-Lacewingstack-'
BODY = b'whole body of an answer'
# An attempt ends after this if its response stalls, which a corrupted length
# causes.
TIMEOUT_S = 0.05
LIMIT_S = 60.0
_PAGE = {
    'items': [
        {
            'Metadata': {'Name': 'i-1', 'Revision': 3},
            'Specification': {'Service': 'a', 'Address': '127.0.0.1:1'},
        }
    ],
    'HasMore': False,
    'At': 7,
}


@when('{count:d} event streams are split at random positions')
def step_split(context: Context, count: int) -> None:
    """Feed each stream in chunks of random length."""
    random = Random(SEED)
    context.streams = []
    for _ in range(count):
        events = []
        for number in range(random.randrange(1, 12)):
            end = random.choice((b'\n\n', b'\r\n\r\n'))
            text = b'x' * random.randrange(40)
            events.append(b'id: %d\ndata: %s' % (number, text) + end)
        splitter = EventSplitter()
        received_events = []
        remaining = b''.join(events)
        while remaining:
            length = random.randrange(1, 20)
            received_events.extend(splitter.feed(remaining[:length]))
            remaining = remaining[length:]
        context.streams.append((events, received_events, splitter.remainder))


@then('each returns its events complete and in order')
def step_events_complete(context: Context) -> None:
    """Compare the sent and the parsed events."""
    for events, received_events, remainder in context.streams:
        assert received_events == events, (events, received_events)
        assert remainder == b'', remainder
        assert [event_id(event) for event in received_events] == [
            str(number) for number in range(len(received_events))
        ]


@when('{count:d} responses are corrupted at random positions')
def step_corrupt_responses(context: Context, count: int) -> None:
    """Send one request for each corrupted response."""
    context.attempt_ends = asyncio.run(_run_attempts(count))
    context.count = count


async def _run_attempts(count: int) -> list[tuple[bytes, AttemptEnd]]:
    random = Random(SEED)
    responses: list[bytes] = []

    async def handle(received: ReceivedRequest) -> None:
        proof = {
            PREFIX + 'Request-Id': received.headers[PREFIX + 'Request-Id'],
            PREFIX + 'Response-Signature': 'signed',
        }
        responses.append(_corrupt(complete_response(200, proof, BODY), random))
        await received.stream.write(responses[-1])
        if random.random() < 0.5:
            received.stream.close()

    server = FakeServer(handle)
    server.start()
    pool = ConnectionPool()
    attempt_ends = []
    try:
        async with asyncio.timeout(LIMIT_S):
            for number in range(count):
                end = await _run_attempt(server.address, pool, number)
                attempt_ends.append((responses[-1], end))
    finally:
        pool.close()
        server.close()
    return attempt_ends


async def _run_attempt(
    address: str, pool: ConnectionPool, number: int
) -> AttemptEnd:
    name = f'request-{number}'
    request = CallerRequest(
        'GET',
        '/records/1',
        'host',
        name,
        HTTPHeaders({PREFIX + 'Request-Id': name}),
        b'',
        0.0,
        1.0,
        '',
        None,
        None,
    )
    attempt = Attempt(request, PlatformWire(), lambda head: None, None)
    upstream = Upstream('up', 'a', address, 'east', 4, False, {})
    return await attempt.run(
        pool,
        UpstreamState(upstream),
        Dispatch('up', 1.0),
        False,
        TIMEOUT_S,
        TIMEOUT_S,
        4,
    )


def _corrupt(data: bytes, random: Random) -> bytes:
    """Change, remove, repeat or truncate some bytes."""
    corrupted = bytearray(data)
    for _ in range(random.randrange(1, 4)):
        if not corrupted:
            break
        position = random.randrange(len(corrupted))
        kind = random.randrange(4)
        if kind == 0:
            corrupted[position] = random.randrange(256)
        elif kind == 1:
            del corrupted[position]
        elif kind == 2:
            corrupted[position:position] = corrupted[position : position + 9]
        else:
            del corrupted[max(1, position) :]
    return bytes(corrupted)


@then('a successful response differs from the body by corrupted bytes only')
def step_success(context: Context) -> None:
    """Check that accepted bodies contain only bytes of the response."""
    success_count = 0
    for response, end in context.attempt_ends:
        if end.verdict is not Verdict.RAN:
            continue
        success_count += 1
        assert end.complete and end.head is not None, end
        assert end.head.is_signed, end
        assert end.body in response, (response, end)
    assert 0 < success_count < context.count, success_count


@then('every attempt ends')
def step_attempts_end(context: Context) -> None:
    """Count the ended attempts."""
    assert len(context.attempt_ends) == context.count, len(
        context.attempt_ends
    )


@when('{count:d} responses of the store are corrupted at random positions')
def step_corrupt_store(context: Context, count: int) -> None:
    """Read, watch and write against each corrupted response."""
    context.results = asyncio.run(_call_store(count))
    context.count = count


async def _call_store(count: int) -> list[object]:
    random = Random(SEED)
    page = msgspec.json.encode(_PAGE)

    async def handle(received: ReceivedRequest) -> None:
        head = {'Content-Type': 'application/json'}
        body = _corrupt(page, random)
        await received.stream.write(complete_response(200, head, body))

    server = FakeServer(handle)
    server.start()
    site = PlatformSite(server.address)
    results: list[object] = []
    calls: tuple[Callable[[], Awaitable[object]], ...] = (
        lambda: site.upstreams.read(),
        lambda: site.routing_configs.read(),
        lambda: site.weights.changes(3, 0.1),
        lambda: site.store.get('leases', 'weights'),
        lambda: site.store.put('leases', 'weights', b'x', 0),
        lambda: site.store.peek_all('routers'),
    )
    try:
        async with asyncio.timeout(LIMIT_S):
            for number in range(count):
                results.append(await calls[number % len(calls)]())
    finally:
        site.close()
        server.close()
    return results


@then('each of them yields a value or an error, and no reader ends')
def step_values(context: Context) -> None:
    """Check the types of the results."""
    expected_types = (
        Listing,
        Changes,
        HistoryExpired,
        StoredObject,
        StoreError,
        tuple,
    )
    assert len(context.results) == context.count
    error_count = 0
    for result in context.results:
        assert isinstance(result, expected_types), result
        error_count += isinstance(result, StoreError)
    assert 0 < error_count < context.count, error_count


@when('a caller or upstream sends "{header}" with "{value}"')
def step_header_number(context: Context, header: str, value: str) -> None:
    """Decode a request, or a response, with this header."""
    wire = PlatformWire()
    if header in (
        'Weight-Versions',
        'Keep-Alive',
        'Server-Load',
        'Connection',
    ):
        is_plain = header in ('Keep-Alive', 'Connection')
        name = header if is_plain else PREFIX + header
        head = wire.read_reply(200, HTTPHeaders({name: value}))
        context.found = {
            'Weight-Versions': head.weights,
            'Keep-Alive': head.keep_alive_s,
            'Connection': head.will_close,
            'Server-Load': head.load and head.load.waiting,
        }[header]
        return
    headers = HTTPHeaders({PREFIX + 'Model': 'tutor'})
    headers[PREFIX + 'Token-Usage'] = '1460,80'
    headers[header if header == 'Last-Event-Id' else PREFIX + header] = value
    request = wire.read_request('POST', '/chat/1', headers, b'', 0.0)
    prompt = request.prompt
    assert prompt is not None
    context.found = {
        'Deadline-Ms': request.deadline_s,
        'Last-Event-Id': request.after_event,
        'Token-Usage': prompt.tokens,
        'Length-Hint': prompt.expected_tokens,
        'Prompt-Prefix': sum(part.tokens for part in prompt.parts),
    }[header]


@then('it is read as {result}')
def step_read_as(context: Context, result: str) -> None:
    """Compare."""
    assert str(context.found) == result, context.found
