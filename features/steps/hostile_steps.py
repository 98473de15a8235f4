"""Feed spoilt bytes, made from fixed seeds, to what reads them."""

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
from lacewing_daemon.direct._events import event_id
from lacewing_daemon.direct._events import EventSplitter
from lacewing_daemon.direct._pool import ConnectionPool
from lacewing_platform import PlatformSite
from lacewing_platform import PlatformWire
from lacewing_platform_testing._server import complete_response
from lacewing_platform_testing._server import FakeServer
from lacewing_platform_testing._server import ReceivedRequest
from tornado.httputil import HTTPHeaders

SEED = 11
PREFIX = 'X-Lacewingstack-'
BODY = b'whole body of an answer'
# An attempt whose answer stalls ends after this; spoilt lengths do stall.
WAIT_S = 0.05
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


@when('{count:d} streams of events are cut at random places')
def step_cut(context: Context, count: int) -> None:
    """Push each stream in pieces of random length."""
    random = Random(SEED)
    context.pairs = []
    for _ in range(count):
        events = []
        for number in range(random.randrange(1, 12)):
            end = random.choice((b'\n\n', b'\r\n\r\n'))
            text = b'x' * random.randrange(40)
            events.append(b'id: %d\ndata: %s' % (number, text) + end)
        splitter = EventSplitter()
        got = []
        left = b''.join(events)
        while left:
            length = random.randrange(1, 20)
            got.extend(splitter.feed(left[:length]))
            left = left[length:]
        context.pairs.append((events, got, splitter.remainder))


@then('each gives its events whole and in order')
def step_whole(context: Context) -> None:
    """Compare what went in and what came out."""
    for events, got, rest in context.pairs:
        assert got == events, (events, got)
        assert rest == b'', rest
        assert [event_id(event) for event in got] == list(range(len(got)))


@when('{count:d} answers come that are spoilt at random places')
def step_answers(context: Context, count: int) -> None:
    """Send one request for each spoilt answer."""
    context.ends = asyncio.run(_attempts(count))
    context.count = count


async def _attempts(count: int) -> list[tuple[bytes, AttemptEnd]]:
    random = Random(SEED)
    answers: list[bytes] = []

    async def handle(received: ReceivedRequest) -> None:
        proof = {
            PREFIX + 'Request-Id': received.headers[PREFIX + 'Request-Id'],
            PREFIX + 'Response-Signature': 'signed',
        }
        answers.append(_spoil(complete_response(200, proof, BODY), random))
        await received.stream.write(answers[-1])
        if random.random() < 0.5:
            received.stream.close()

    server = FakeServer(handle)
    server.start()
    pool = ConnectionPool()
    ends = []
    try:
        async with asyncio.timeout(LIMIT_S):
            for number in range(count):
                end = await _attempt(server.address, pool, number)
                ends.append((answers[-1], end))
    finally:
        pool.close()
        server.close()
    return ends


async def _attempt(
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
        pool, upstream, Dispatch('up', 1.0), False, WAIT_S, WAIT_S, 4
    )


def _spoil(data: bytes, random: Random) -> bytes:
    """Change, drop, repeat or cut some bytes."""
    spoilt = bytearray(data)
    for _ in range(random.randrange(1, 4)):
        if not spoilt:
            break
        place = random.randrange(len(spoilt))
        how = random.randrange(4)
        if how == 0:
            spoilt[place] = random.randrange(256)
        elif how == 1:
            del spoilt[place]
        elif how == 2:
            spoilt[place:place] = spoilt[place : place + 9]
        else:
            del spoilt[max(1, place) :]
    return bytes(spoilt)


@then('a success is the whole body, or differs from it by what was spoilt')
def step_success(context: Context) -> None:
    """Check that nothing but bytes of the answer was taken for it."""
    good = 0
    for answer, end in context.ends:
        if end.verdict is not Verdict.RAN:
            continue
        good += 1
        assert end.complete and end.head is not None, end
        assert end.head.is_signed, end
        assert end.body in answer, (answer, end)
    assert 0 < good < context.count, good


@then('no attempt is left without an end')
def step_ends(context: Context) -> None:
    """Count the ends."""
    assert len(context.ends) == context.count, len(context.ends)


@when('{count:d} answers of the store are spoilt at random places')
def step_store(context: Context, count: int) -> None:
    """Read, follow and write against each."""
    context.got = asyncio.run(_store_answers(count))
    context.count = count


async def _store_answers(count: int) -> list[object]:
    random = Random(SEED)
    page = msgspec.json.encode(_PAGE)

    async def handle(received: ReceivedRequest) -> None:
        head = {'Content-Type': 'application/json'}
        body = _spoil(page, random)
        await received.stream.write(complete_response(200, head, body))

    server = FakeServer(handle)
    server.start()
    site = PlatformSite(server.address)
    got: list[object] = []
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
                got.append(await calls[number % len(calls)]())
    finally:
        site.close()
        server.close()
    return got


@then('each of them is a value or an error, and none ends the reader')
def step_values(context: Context) -> None:
    """Check that the types are the agreed ones."""
    known = (
        Listing,
        Changes,
        HistoryExpired,
        StoredObject,
        StoreError,
        tuple,
    )
    assert len(context.got) == context.count
    errors = 0
    for one in context.got:
        assert isinstance(one, known), one
        errors += isinstance(one, StoreError)
    assert 0 < errors < context.count, errors
