"""Check requests that are answered twice, first without being named."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from weakref import WeakKeyDictionary

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_platform_testing import Behaviour
from lacewing_platform_testing import FakeUpstream
from lacewing_platform_testing._server import chunk
from lacewing_platform_testing._server import complete_response
from lacewing_platform_testing._server import ReceivedRequest
from support.direct_bench import Answer
from support.direct_bench import direct_bench
from support.direct_bench import DirectBench
from support.direct_bench import PREFIX
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
REPEATABLE = ('/records/', '/chat/')
KINDS = ('/records/', '/certificates/', '/chat/', '/talk/')
# Time from the first answer to the second one.
GAP_S = 0.02
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
                assert _ask(bench, path, 100 * number + warm).status == 200
        bench.on_loop(lambda: setattr(context.twice, 'planned', first))
        answer = _ask(bench, path, 1000 + number)
        assert context.twice.planned is None, path
        runs = bench.ran().count(bench.last_request)
        context.met.append(Met(path, answer, runs))


def _ask(bench: DirectBench, path: str, number: int) -> Answer:
    if path == '/records/':
        return bench.ask(f'/records/{number}?page={number}')
    if path == '/certificates/':
        body = f'order {number}'.encode()
        return bench.ask('/certificates/1', method='POST', body=body)
    prefix = f'a{number}:100,b{number}:100'
    return bench.ask_model(
        f'{path}{number}', **{PREFIX + 'Prompt-Prefix': prefix}
    )


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
        assert _ask(bench, '/certificates/', number).status == 200
    bench.on_loop(lambda: setattr(context.twice, 'fails', count))
    served = 0
    while context.twice.fails or served < count:
        # Upstreams that have failed get nothing for a moment.
        served += _ask(bench, '/certificates/', 100).status == 200


@then('no connection carried a request after a failure')
def step_closed(context: Context) -> None:
    """Compare with the answers that each connection has carried."""
    assert len(context.twice.failed) > 1, context.twice.failed
    assert not context.twice.after_failures, context.twice.after_failures
