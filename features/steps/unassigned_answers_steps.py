"""Check requests that are answered twice, first without being named."""

import asyncio
import time
from collections.abc import Callable
from contextlib import closing
from contextlib import suppress
from dataclasses import dataclass
from http.client import IncompleteRead
from weakref import WeakKeyDictionary

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.verdict import Verdict
from lacewing_daemon.direct import Dispatch
from lacewing_daemon.direct._attempt import AttemptEnd
from lacewing_platform_testing import Behaviour
from lacewing_platform_testing import FakeUpstream
from lacewing_platform_testing._server import chunk
from lacewing_platform_testing._server import complete_response
from lacewing_platform_testing._server import ReceivedRequest
from support.attempts import caller_request
from support.attempts import LIMIT_S
from support.attempts import send_each
from support.direct_bench import Answer
from support.direct_bench import direct_bench
from support.direct_bench import HOST
from support.direct_bench import KEY
from support.direct_bench import PREFIX
from support.direct_bench import PROMPT
from support.kinds import ask_kind
from support.kinds import KINDS
from support.kinds import REPEATABLE
from tornado.iostream import IOStream

REQUEST_ID = PREFIX + 'Request-Id'
SIGNATURE = PREFIX + 'Response-Signature'
NOT_RUN = PREFIX + 'Not-Executed'
CONTROL_PATHS = ('/report', '/order')
FAILURE = b'the failure of a worker'
LATE = b'a late success'
# Longer than any failure here, so that a cut copy has room for one.
PLAIN = b'a record' * 64
EVENTS = tuple(f'id: {n}\ndata: word {n}\n\n'.encode() for n in range(1, 5))
LATE_EVENT = b'id: 1\ndata: late\n\n'
# Time from the first answer to the second one.
GAP_S = 0.02
# Numbers of bytes that an answer may lack.
CUTS = 200
# Sends that are open at the same time.
SENDS = 40
# Until an upstream closes a connection on which nothing follows.
IDLE_S = 0.2
_CHUNKED = b'Transfer-Encoding: chunked\r\n'


@dataclass(frozen=True)
class Earlier:
    """Hold the last exchange of a connection."""

    request_id: str = 'somebody'
    answer: bytes = b''
    has_failed: bool = False


@dataclass(frozen=True)
class Met:
    """Hold what a caller got; ``runs`` are those of its request."""

    path: str
    answer: Answer
    runs: int


First = Callable[[Earlier, str], bytes]


def _answer(
    status: int, request_id: str, body: bytes, *, signed: bool = False
) -> bytes:
    headers = {REQUEST_ID: request_id} if request_id else {}
    if signed:
        headers[SIGNATURE] = 'signed'
    return complete_response(status, headers, body)


def _refusal(request_id: str) -> bytes:
    headers = {REQUEST_ID: request_id} if request_id else {}
    return complete_response(503, {**headers, NOT_RUN: '1'}, b'')


def _in_chunks(answer: bytes, *pieces: bytes) -> bytes:
    head, _, body = answer.partition(b'\r\n\r\n')
    lines = []
    for line in head.split(b'\r\n'):
        if not line.startswith(b'Content-Length'):
            lines.append(line)
    chunks = b''.join(chunk(piece) for piece in (*pieces, b''))
    return b'\r\n'.join(lines) + b'\r\n' + _CHUNKED + b'\r\n' + chunks


def _swallowing(earlier: Earlier, own: str) -> bytes:
    """Return a copy that counts a failure as the end of its body."""
    failure = _answer(500, own, FAILURE, signed=True)
    body = _body_of(earlier.answer)
    length = len(body) + len(failure)
    head = _answer(200, earlier.request_id, b'', signed=True)
    head = head.replace(
        b'Content-Length: 0', f'Content-Length: {length}'.encode()
    )
    return head + body + failure


def _swallowing_in_chunks(earlier: Earlier, own: str) -> bytes:
    failure = _answer(500, own, FAILURE, signed=True)
    head = _answer(200, earlier.request_id, b'', signed=True)
    return _in_chunks(head, _body_of(earlier.answer), failure)


def _cut_and_swallowing(earlier: Earlier, own: str) -> bytes:
    """Return a copy whose missing bytes a failure replaces exactly."""
    failure = _answer(500, own, FAILURE, signed=True)
    if _CHUNKED in earlier.answer:
        return _swallowing_in_chunks(earlier, own)
    return earlier.answer[: -len(failure)] + failure


def _body_of(answer: bytes) -> bytes:
    return answer.partition(b'\r\n\r\n')[2]


FIRSTS: dict[str, First] = {
    'a failure without an id': lambda _, own: _answer(500, '', FAILURE),
    'a signed failure without an id': lambda _, own: _answer(
        500, '', FAILURE, signed=True
    ),
    'a failure without an id, in chunks': lambda _, own: _in_chunks(
        _answer(500, '', b''), FAILURE
    ),
    'a failure without an id and a body': lambda _, own: _answer(500, '', b''),
    'a 503 without an id': lambda _, own: _answer(503, '', FAILURE),
    'a 504 without an id': lambda _, own: _answer(504, '', FAILURE),
    'a success without an id': lambda _, own: _answer(
        200, '', b'whose', signed=True
    ),
    'a failure of an unknown request': lambda _, own: _answer(
        500, 'nobody', FAILURE
    ),
    'a refusal of an unknown request': lambda _, own: _refusal('nobody'),
    'a success of an unknown request': lambda _, own: _answer(
        200, 'nobody', b'whose', signed=True
    ),
    'a failure that names two requests': lambda earlier, own: _answer(
        500, f'{earlier.request_id}, {own}', FAILURE
    ),
    'a failure of the request before': lambda earlier, own: _answer(
        500, earlier.request_id, FAILURE
    ),
    'a signed failure of the request before': lambda earlier, own: _answer(
        500, earlier.request_id, FAILURE, signed=True
    ),
    'a refusal of the request before': lambda earlier, own: _refusal(
        earlier.request_id
    ),
    'another success of the request before': lambda earlier, own: _answer(
        200, earlier.request_id, b'another', signed=True
    ),
    'a copy that swallows a failure': _swallowing,
    'a copy in chunks that swallows one': _swallowing_in_chunks,
    'a copy that is cut and swallows one': _cut_and_swallowing,
    'a copy of the answer before': lambda earlier, own: earlier.answer,
    '20 copies of the answer before': lambda earlier, own: earlier.answer * 20,
}


FOLLOWING: dict[str, Callable[[str], bytes]] = {
    'the whole one': lambda number: _answer(
        200, f'second-{number}', PLAIN, signed=True
    ),
    'a failure': lambda number: _answer(
        500, f'second-{number}', FAILURE, signed=True
    ),
    'a failure without an id': lambda _: _answer(500, '', FAILURE),
    'a copy of an earlier one': lambda number: _answer(
        200, f'first-{number}', PLAIN, signed=True
    ),
}


def _long_head(status: int, request_id: str, body: bytes) -> bytes:
    """Return an answer whose first headers are not the router's."""
    start, _, rest = _answer(
        status, request_id, body, signed=status != 503
    ).partition(b'\r\n')
    refuses = NOT_RUN.encode() + b': 1\r\n' if status == 503 else b''
    others = b'Date: Sat, 05 Dec 2026 20:00:00 GMT\r\nServer: worker\r\n'
    return start + b'\r\n' + others + refuses + rest


HEADS: dict[str, Callable[[str], bytes]] = {
    'a success': lambda own: _long_head(200, own, b''),
    'a failure': lambda own: _long_head(500, own, FAILURE),
    'a refusal': lambda own: _long_head(503, own, b''),
}


class TwiceAnsweringUpstreams:
    """Have the next planned request get two answers, all others their own."""

    def __init__(self) -> None:
        self.planned: First | None = None
        self.fails = 0
        self.failed: list[str] = []
        self.after_failures: list[str] = []
        self._earlier: WeakKeyDictionary[IOStream, Earlier] = (
            WeakKeyDictionary()
        )

    def take_over(self, fake: FakeUpstream) -> None:
        """Handle the requests of an upstream."""
        usual = fake.server.handle

        async def handle(received: ReceivedRequest) -> None:
            if received.path in CONTROL_PATHS or 'Kv-From' in received.headers:
                await usual(received)
                return
            if fake.script:
                await usual(received)
                return
            await self._handle(fake, received)

        fake.server.handle = handle

    async def _handle(
        self, fake: FakeUpstream, received: ReceivedRequest
    ) -> None:
        stream = received.stream
        own = received.headers[REQUEST_ID]
        earlier = self._earlier.get(stream, Earlier())
        first, self.planned = self.planned, None
        if earlier.has_failed:
            self.after_failures.append(own)
        if self.fails:
            await stream.write(self._fail(stream, own))
            return
        fake.ran.append(own)
        answer = self._success(received)
        self._earlier[stream] = Earlier(own, answer)
        if first is None:
            await stream.write(answer)
            return
        late = self._success(received, (LATE,), (LATE_EVENT,))
        await stream.write(first(earlier, own))
        await asyncio.sleep(GAP_S)
        if not stream.closed():
            await stream.write(late)

    def _fail(self, stream: IOStream, own: str) -> bytes:
        """Return a failure or a refusal, in turn."""
        self.fails -= 1
        self.failed.append(own)
        answer = _refusal(own)
        if self.fails % 2:
            answer = _answer(500, own, FAILURE, signed=True)
        self._earlier[stream] = Earlier(own, answer, has_failed=True)
        return answer

    def _success(
        self,
        received: ReceivedRequest,
        body: tuple[bytes, ...] = (PLAIN,),
        events: tuple[bytes, ...] = EVENTS,
    ) -> bytes:
        own = received.headers[REQUEST_ID]
        if PREFIX + 'Model' not in received.headers:
            return _answer(200, own, b''.join(body), signed=True)
        headers = {
            REQUEST_ID: own,
            SIGNATURE: 'signed',
            'Content-Type': 'text/event-stream',
        }
        return _in_chunks(complete_response(200, headers, b''), *events)


@given('{count:d} upstreams that answer twice, and as many engines')
def step_upstreams(context: Context, count: int) -> None:
    """Start plain upstreams and engines, all with the same plan."""
    bench = direct_bench(context)
    context.twice = TwiceAnsweringUpstreams()
    for number in range(count):
        for name, service in (('reg', 'registry'), ('eng', 'models')):
            fake = bench.add_upstream(f'{name}-{number}', service)
            context.twice.take_over(fake)


@when('each kind of request is answered with {answer}, then with a success')
def step_used(context: Context, answer: str) -> None:
    """Answer a request on a connection that has carried others."""
    _meet(context, FIRSTS[answer], True)


@when(
    'each kind of request is answered first of all with {answer},'
    ' then with a success'
)
def step_new(context: Context, answer: str) -> None:
    """Answer a request on a connection of its own."""
    _meet(context, FIRSTS[answer], False)


def _meet(context: Context, first: First, is_used: bool) -> None:
    bench = direct_bench(context)
    context.met = []
    for number, path in enumerate(KINDS):
        if is_used:
            # Any of the upstreams may be chosen next.
            for warm in range(6):
                assert ask_kind(bench, path, 100 * number + warm).status == 200
        bench.on_loop(lambda: setattr(context.twice, 'planned', first))
        answer = ask_kind(bench, path, 1000 + number)
        assert context.twice.planned is None, path
        runs = bench.ran().count(bench.last_request)
        context.met.append(Met(path, answer, runs))


@then('no caller gets that success, and what may run once ran once')
def step_not_believed(context: Context) -> None:
    """Expect 502, or the success of another run where that is allowed."""
    for met in context.met:
        if met.path not in REPEATABLE:
            assert (met.answer.status, met.runs) == (502, 1), met
            assert SIGNATURE not in met.answer.headers, met
            continue
        body = PLAIN if met.path == '/records/' else b''.join(EVENTS)
        assert (met.answer.status, met.runs) == (200, 2), met
        assert met.answer.body == body, met


@then('each caller gets that success')
def step_believed(context: Context) -> None:
    """Compare with the second answer of the only run."""
    for met in context.met:
        is_plain = met.path in ('/records/', '/certificates/')
        body = LATE if is_plain else LATE_EVENT
        assert (met.answer.status, met.runs) == (200, 1), met
        assert met.answer.body == body, met


@when(
    'a run breaks off, and its continuation is answered with {answer},'
    ' then with events'
)
def step_continuation(context: Context, answer: str) -> None:
    """Answer the request that names a copy to go on from twice."""
    bench = direct_bench(context)
    context.continued = []
    for fake in bench.upstreams.values():
        if fake.service != 'models':
            continue
        fake.script.append(Behaviour.CUT)
        _answer_continuations(fake, FIRSTS[answer], context.continued)
    context.answer = bench.ask_model('/talk/1')


def _answer_continuations(
    fake: FakeUpstream, first: First, continued: list[str]
) -> None:
    usual = fake.server.handle

    async def handle(received: ReceivedRequest) -> None:
        if 'Kv-From' not in received.headers:
            await usual(received)
            return
        own = received.headers[REQUEST_ID]
        continued.append(own)
        await received.stream.write(first(Earlier(), own))
        await asyncio.sleep(GAP_S)
        headers = {
            REQUEST_ID: own,
            SIGNATURE: 'signed',
            'Content-Type': 'text/event-stream',
        }
        rest = _in_chunks(complete_response(200, headers, b''), *EVENTS[2:])
        if not received.stream.closed():
            await received.stream.write(rest)

    fake.server.handle = handle


@when('{count:d} requests are refused or fail, and as many are served')
def step_fail(context: Context, count: int) -> None:
    """Send orders on connections that have carried others."""
    bench = direct_bench(context)
    for number in range(count):
        assert ask_kind(bench, '/certificates/', number).status == 200
    bench.on_loop(lambda: setattr(context.twice, 'fails', count))
    served = 0
    while context.twice.fails or served < count:
        # Upstreams that have failed get nothing for a moment.
        served += ask_kind(bench, '/certificates/', 100).status == 200


@then('no connection carried a request after a failure')
def step_closed(context: Context) -> None:
    """Compare with the answers that each connection has carried."""
    assert len(context.twice.failed) > 1, context.twice.failed
    assert not context.twice.after_failures, context.twice.after_failures


@when('answers lack any number of bytes, and {following} follows {when}')
def step_cut(context: Context, following: str, when: str) -> None:
    """Cut the second answer of a connection by each number of bytes."""
    bench = direct_bench(context)
    fake = bench.add_upstream('reg-cut', 'registry')

    async def handle(received: ReceivedRequest) -> None:
        name, _, number = received.headers[REQUEST_ID].partition('-')
        own = _answer(200, f'{name}-{number}', PLAIN, signed=True)
        if name == 'first':
            await received.stream.write(own)
            return
        follow = FOLLOWING[following](number)
        cut = own[: -1 - int(number)]
        if when == 'at once':
            await received.stream.write(cut + follow)
        else:
            await received.stream.write(cut)
            await asyncio.sleep(GAP_S)
            await received.stream.write(follow)
        await asyncio.sleep(IDLE_S)
        received.stream.close()

    fake.server.handle = handle
    context.ends = bench.run(_send_pairs(fake))


async def _send_pairs(fake: FakeUpstream) -> list[AttemptEnd]:
    """Return the ends of the second requests."""
    places = asyncio.Semaphore(SENDS)
    dispatch = Dispatch(fake.upstream_id, LIMIT_S)

    async def send_pair(number: int) -> AttemptEnd:
        requests = []
        for name in ('first', 'second'):
            requests.append((caller_request(f'{name}-{number}'), dispatch))
        async with places:
            first, second = await send_each(fake, requests)
        assert first.verdict is Verdict.RAN, first
        return second

    return await asyncio.gather(*(send_pair(each) for each in range(CUTS)))


@then('each answer that counts is whole')
def step_whole(context: Context) -> None:
    """Compare bodies with the one that the upstream has."""
    assert len(context.ends) == CUTS
    wrong = []
    for lacking, end in enumerate(context.ends):
        if end.verdict is Verdict.RAN and end.body != PLAIN:
            wrong.append((lacking, end.body))
    assert not wrong, (len(wrong), wrong[:3])


@when('answers with a status line in their text are followed by nothing')
def step_texts(context: Context) -> None:
    """Fetch texts that have a status line at their start, middle and end."""
    bench = direct_bench(context)
    line = b'HTTP/1.1 200 OK\r\n'
    context.texts = []
    for body in (line + b'x', b'x' + line + b'\r\nx', b'x' + line):
        for fake in bench.upstreams.values():
            _answer_all(fake, body)
        context.texts.append((body, bench.ask('/records/1')))


def _answer_all(fake: FakeUpstream, body: bytes) -> None:
    async def handle(received: ReceivedRequest) -> None:
        own = received.headers.get(REQUEST_ID, '')
        await received.stream.write(_answer(200, own, body, signed=True))

    if fake.service == 'registry':
        fake.server.handle = handle


@then('each of them is whole')
def step_texts_whole(context: Context) -> None:
    """Compare the answers with the texts."""
    for body, answer in context.texts:
        assert (answer.status, answer.body) == (200, body), answer


@when(
    'a stream without framing is cut {where} an event, and {following} follows'
)
def step_cut_stream(context: Context, where: str, following: str) -> None:
    """Answer a stream that may run once twice on one connection."""
    bench = direct_bench(context)

    async def handle(received: ReceivedRequest) -> None:
        if received.path in CONTROL_PATHS:
            return
        headers = {
            REQUEST_ID: received.headers[REQUEST_ID],
            SIGNATURE: 'signed',
            'Content-Type': 'text/event-stream',
        }
        head = complete_response(200, headers, b'').replace(
            b'Content-Length: 0\r\n', b''
        )
        whole = head + b''.join(EVENTS)
        cut = EVENTS[1][:9] if where == 'inside' else b''
        follow = whole
        if following != 'the whole one':
            follow = FOLLOWING[following]('')
        await received.stream.write(head + EVENTS[0] + cut + follow)
        received.stream.close()

    for fake in bench.upstreams.values():
        if fake.service == 'models':
            fake.server.handle = handle
    with closing(bench.connect()) as connection:
        connection.request(
            'POST',
            '/talk/1',
            b'prompt',
            {
                'Host': HOST,
                REQUEST_ID: 'cut-stream',
                PREFIX + 'Deadline-Ms': '3000',
                'Authorization': f'Token {KEY}',
                **PROMPT,
            },
        )
        response = connection.getresponse()
        context.got = b''
        with suppress(IncompleteRead):
            while piece := response.read1():
                context.got += piece


@then('its caller gets no part of the second one')
def step_no_part(context: Context) -> None:
    """Expect the events before the cut."""
    assert context.got in (b'', EVENTS[0]), context.got


@then('each answer that counts is whole, but for the one with a whole failure')
def step_whole_but_one(context: Context) -> None:
    """Leave out the answer that lacks just the bytes of the failure."""
    failure = FOLLOWING['a failure without an id']('')
    assert len(context.ends) == CUTS > len(failure)
    counted = []
    for number, end in enumerate(context.ends):
        if number + 1 == len(failure) or end.verdict is not Verdict.RAN:
            continue
        counted.append((number + 1, end.body))
    assert not counted, (len(counted), counted[:3])


@when(
    'a request comes again after {count:d} others, and a copy of its answer'
    ' precedes its second one'
)
def step_forgotten(context: Context, count: int) -> None:
    """Send it first and last over the connections of one pool."""
    bench = direct_bench(context)
    fake = bench.add_upstream('reg-again', 'registry')
    first = _answer(200, 'again', b'first', signed=True)
    carried: list[IOStream] = []

    async def handle(received: ReceivedRequest) -> None:
        own = received.headers[REQUEST_ID]
        answer = _answer(200, own, b'other', signed=True)
        if own == 'again':
            answer = first
            if carried:
                answer = _answer(200, own, b'second', signed=True)
            if received.stream in carried:
                answer = first + answer
            carried.append(received.stream)
        await received.stream.write(answer)

    fake.server.handle = handle
    dispatch = Dispatch(fake.upstream_id, LIMIT_S)
    names = ['again', *(f'other-{each}' for each in range(count)), 'again']
    sends = [(caller_request(name), dispatch) for name in names]
    context.ends = bench.run(send_each(fake, sends))


@then('it gets its second answer')
def step_second(context: Context) -> None:
    """Check the last one."""
    assert context.ends[0].body == b'first', context.ends[0]
    assert context.ends[-1].body == b'second', context.ends[-1]


@when('heads of {first} lack any number of bytes, and {following} follows')
def step_cut_head(context: Context, first: str, following: str) -> None:
    """Cut the head of an answer after each of its bytes."""
    bench = direct_bench(context)
    fake = bench.add_upstream('reg-cut', 'registry')

    async def handle(received: ReceivedRequest) -> None:
        own = received.headers[REQUEST_ID]
        head = HEADS[first](own)
        end = 1 + int(own.removeprefix('head-')) % (len(head) - 1)
        answer = head[:end] + HEADS[following](own)
        if own == 'head-0':
            answer = HEADS[first](own)
        await received.stream.write(answer)
        await asyncio.sleep(IDLE_S)
        received.stream.close()

    fake.server.handle = handle
    context.first = HEADS[first]('head-0')
    context.ends = bench.run(_send_heads(fake))


async def _send_heads(fake: FakeUpstream) -> list[AttemptEnd]:
    places = asyncio.Semaphore(SENDS)
    dispatch = Dispatch(fake.upstream_id, LIMIT_S)

    async def send(number: int) -> AttemptEnd:
        request = caller_request(f'head-{number}')
        async with places:
            ends = await send_each(fake, [(request, dispatch)])
        return ends[0]

    return await asyncio.gather(*(send(each) for each in range(CUTS)))


@then('no answer counts that is of both')
def step_not_both(context: Context) -> None:
    """Expect nothing from an answer whose head was cut."""
    whole, *others = context.ends
    assert whole.verdict is not Verdict.MAY_HAVE_RUN, whole
    wrong = []
    for end in others:
        if end.verdict is not Verdict.MAY_HAVE_RUN:
            wrong.append((end.verdict, end.head, end.body))
    assert not wrong, (len(wrong), wrong[:3])


@when('a failure begins right after the answer to the first of two requests')
def step_following(context: Context) -> None:
    """Send the start of a status line behind the first answer."""
    bench = direct_bench(context)
    fake = bench.add_upstream('reg-after', 'registry')
    context.streams = []

    async def handle(received: ReceivedRequest) -> None:
        own = received.headers[REQUEST_ID]
        context.streams.append(received.stream)
        answer = _answer(200, own, own.encode(), signed=True)
        if own == 'first':
            answer += b'HTTP/1.1 5'
        await received.stream.write(answer)

    fake.server.handle = handle
    dispatch = Dispatch(fake.upstream_id, LIMIT_S)
    sends = [(caller_request(name), dispatch) for name in ('first', 'second')]
    context.ends = bench.run(send_each(fake, sends))


@then('the second one gets its own answer, on another connection')
def step_other(context: Context) -> None:
    """Check both answers and the connections that they came on."""
    assert [end.body for end in context.ends] == [b'first', b'second']
    first, second = context.streams
    assert first is not second


@when('an answer has {count:d} bytes of status lines')
def step_many_lines(context: Context, count: int) -> None:
    """Fetch a text in which no empty line ends a head."""
    bench = direct_bench(context)
    line = b'< HTTP/1.1 200 OK\n'
    context.body = line * (count // len(line))
    for fake in bench.upstreams.values():
        _answer_all(fake, context.body)
    asked_s = time.monotonic()
    context.answer = bench.ask('/records/1')
    context.took_s = time.monotonic() - asked_s


@then('it is whole after at most {limit_s:f} s')
def step_in_time(context: Context, limit_s: float) -> None:
    """Compare the body and the time."""
    assert context.answer.status == 200, context.answer.status
    assert context.answer.body == context.body
    assert context.took_s <= limit_s, context.took_s
