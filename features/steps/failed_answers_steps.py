"""Check what callers get where an upstream answers a failure."""

import asyncio
from collections.abc import Awaitable
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
from prometheus_client import REGISTRY
from support.direct_bench import direct_bench
from support.direct_bench import PREFIX
from support.kinds import ask_kind
from support.kinds import KINDS
from support.kinds import REPEATABLE
from tornado.iostream import IOStream

REQUEST_ID = PREFIX + 'Request-Id'
SIGNATURE = PREFIX + 'Response-Signature'
NOT_RUN = PREFIX + 'Not-Executed'
SKIPPED_METRIC = 'lacewing_direct_answers_skipped_total'
BODY = b'the failure of a worker'
EVENTS = tuple(f'id: {n}\ndata: word {n}\n\n'.encode() for n in range(1, 5))
LENGTH = f'Content-Length: {len(BODY)}\r\n'.encode()
CHUNKED = b'Transfer-Encoding: chunked\r\n'
MANY = 10000
# Longer than the router waits for an upstream that sends nothing.
LATE_S = 2.0


@dataclass(frozen=True)
class Plan:
    """Hold what an upstream sends to one request, and whether it closes.

    ``repeats_earlier``: a copy of the connection's last answer comes first.
    """

    failure: Callable[[str], bytes]
    before: Callable[[str], bytes]
    after: Callable[[str], bytes]
    closes: bool
    repeats_earlier: bool = False


def _failure(status: int, request_id: str, is_signed: bool = True) -> bytes:
    headers = {REQUEST_ID: request_id}
    if is_signed:
        headers[SIGNATURE] = 'signed'
    return complete_response(status, headers, BODY)


def _success(request_id: str) -> bytes:
    headers = {REQUEST_ID: request_id, SIGNATURE: 'signed'}
    return complete_response(200, headers, b'a success')


def _in_chunks(request_id: str) -> bytes:
    head = _failure(500, request_id)[: -len(BODY)]
    return head.replace(LENGTH, CHUNKED) + chunk(BODY) + chunk(b'')


def _nothing(_request_id: str) -> bytes:
    return b''


FAILURES: dict[str, Callable[[str], bytes]] = {
    'of status 500': lambda own: _failure(500, own),
    'of status 404': lambda own: _failure(404, own),
    'of status 503': lambda own: _failure(503, own),
    'in chunks': _in_chunks,
    'without framing': lambda own: _failure(500, own).replace(LENGTH, b''),
    'without a signature': lambda own: _failure(500, own, False),
    'cut inside its head': lambda own: _failure(500, own)[:50],
    'cut inside its body': lambda own: _failure(500, own)[:-4],
    'cut inside a chunk': lambda own: _in_chunks(own)[:-12],
}
CLOSING = ('cut inside', 'without framing')
STATUSES = {'of status 404': 404, 'of status 503': 503}
# The answer before on the same connection comes once more.
EARLIER_AGAIN = 'the earlier success again'
# Answers beside the failure, each as (before it, after it).
Companions = dict[str, tuple[Callable[[str], bytes], Callable[[str], bytes]]]
COMPANIONS: Companions = {
    'nothing': (_nothing, _nothing),
    EARLIER_AGAIN: (_nothing, _nothing),
    'itself again': (_nothing, lambda own: _failure(500, own)),
    'a success to the same request': (_nothing, _success),
}
# Answers that may be the request's own.
UNASSIGNED: Companions = {
    'an earlier refusal': (
        lambda earlier: complete_response(
            503, {REQUEST_ID: earlier, NOT_RUN: '1'}, b''
        ),
        _nothing,
    ),
    'another earlier success': (_success, _nothing),
    'a success without an id': (
        lambda _: complete_response(200, {SIGNATURE: 'signed'}, b'whose'),
        _nothing,
    ),
}


class FailingUpstreams:
    """Have the next request at any upstream meet what is planned."""

    def __init__(self) -> None:
        self.plans: list[Plan] = []
        self._last_ids: WeakKeyDictionary[IOStream, str] = WeakKeyDictionary()

    def take_over(self, fake: FakeUpstream) -> None:
        """Handle the requests of an upstream."""
        usual = fake.server.handle

        async def handle(received: ReceivedRequest) -> None:
            await self._handle(fake, received, usual)

        fake.server.handle = handle

    async def _handle(
        self,
        fake: FakeUpstream,
        received: ReceivedRequest,
        usual: Callable[[ReceivedRequest], Awaitable[None]],
    ) -> None:
        request_id = received.headers.get(REQUEST_ID, '')
        earlier = self._last_ids.get(received.stream, 'somebody')
        if received.path not in ('/report', '/order'):
            self._last_ids[received.stream] = request_id
        if not self.plans or received.path in ('/report', '/order'):
            await usual(received)
            return
        plan = self.plans.pop(0)
        fake.ran.append(request_id)
        if plan.repeats_earlier:
            await fake.late_answers.send_due(received.stream)
        before = _signed_by(fake, plan.before(earlier))
        await received.stream.write(before)
        await received.stream.write(plan.failure(request_id))
        if plan.closes:
            received.stream.close()
            return
        await received.stream.write(plan.after(request_id))


def _signed_by(fake: FakeUpstream, answer: bytes) -> bytes:
    """Return an answer with the signature that the upstream's others have."""
    signed = f'{SIGNATURE}: signed\r\n'
    own = f'{SIGNATURE}: signed-{fake.upstream_id}\r\n'
    return answer.replace(signed.encode(), own.encode())


@given('{count:d} upstreams that fail as scripted, and as many engines')
def step_upstreams(context: Context, count: int) -> None:
    """Start plain upstreams and engines, all with the same plans."""
    bench = direct_bench(context)
    context.failing = FailingUpstreams()
    for number in range(count):
        for name, service in (('reg', 'registry'), ('eng', 'models')):
            fake = bench.add_upstream(f'{name}-{number}', service)
            context.failing.take_over(fake)


@when('callers send each kind of request, which meets a failure {shape}')
def step_send(context: Context, shape: str) -> None:
    """Send each kind of request with each companion of the failure."""
    for fake in direct_bench(context).upstreams.values():
        fake.late_answers.count = MANY
    _send_each(context, shape, COMPANIONS)


@when(
    'callers send each kind of request, which meets another answer before a'
    ' failure {shape}'
)
def step_send_unassigned(context: Context, shape: str) -> None:
    """Send each kind with each answer that is no copy."""
    _send_each(context, shape, UNASSIGNED)


def _send_each(context: Context, shape: str, companions: Companions) -> None:
    bench = direct_bench(context)
    context.skipped_before = _skipped()
    context.shape = shape
    context.met = []
    closes = shape.startswith(CLOSING)
    for name, (before, after) in companions.items():
        repeats = name == EARLIER_AGAIN
        for path in KINDS:
            plan = Plan(FAILURES[shape], before, after, closes, repeats)
            bench.on_loop(lambda: context.failing.plans.append(plan))
            # Requests that ask the same and break off would be blocked.
            answer = ask_kind(bench, path, len(context.met))
            assert not context.failing.plans, (name, path, answer)
            context.met.append((name, path, bench.last_request, answer))
            for warm_path in ('/records/', '/chat/'):
                assert ask_kind(bench, warm_path, -1).status == 200


def _skipped() -> float:
    total = 0.0
    for metric in REGISTRY.collect():
        for sample in metric.samples:
            if sample.name == SKIPPED_METRIC:
                total += sample.value
    return total


@then('each caller gets that failure, from one run')
def step_failure(context: Context) -> None:
    """Compare the answers with what the upstream sent."""
    bench = direct_bench(context)
    status = STATUSES.get(context.shape, 500)
    for name, path, request_id, answer in context.met:
        case = (name, path, answer)
        assert (answer.status, answer.body) == (status, BODY), case
        assert answer.headers.get(REQUEST_ID) == request_id, case
        assert answer.headers.get(SIGNATURE) == 'signed', case
        assert bench.ran().count(request_id) == 1, case


@then('each caller gets what a failure not proven allows')
def step_not_proven(context: Context) -> None:
    """Expect another run's answer, or 502 where none is allowed."""
    bench = direct_bench(context)
    for name, path, request_id, answer in context.met:
        case = (name, path, answer)
        runs = bench.ran().count(request_id)
        if not path.startswith(REPEATABLE):
            assert (answer.status, runs) == (502, 1), (case, runs)
            assert SIGNATURE not in answer.headers, case
            continue
        body = b'whole body' if path == '/records/' else b''.join(EVENTS)
        assert (answer.status, runs) == (200, 2), (case, runs)
        assert answer.body == body, case


@then('answers to other requests were skipped')
def step_skipped(context: Context) -> None:
    """Check that companions of the failures came."""
    assert _skipped() > context.skipped_before


@when('a caller asks for "{path}", and its first upstream stays silent')
def step_silent(context: Context, path: str) -> None:
    """Keep what is asked for; the next step sends it."""
    context.path = path


@when('the first upstream answers a success late, the next one a failure')
def step_late(context: Context) -> None:
    """Script both upstreams and send the request."""
    bench = direct_bench(context)
    context.failing.plans.append(
        Plan(FAILURES['of status 500'], _nothing, _nothing, False)
    )
    reached: list[str] = []
    for fake in bench.upstreams.values():
        _delay_first(fake, reached)
    path, _, query = context.path.partition('1')
    context.answer = (
        bench.ask(f'{path}1{query}')
        if path == '/records/'
        else bench.ask_model(f'{path}1')
    )
    context.reached = reached


def _delay_first(fake: FakeUpstream, reached: list[str]) -> None:
    scripted = fake.server.handle

    async def handle(received: ReceivedRequest) -> None:
        if received.path in ('/report', '/order'):
            await scripted(received)
            return
        reached.append(fake.upstream_id)
        if len(reached) > 1:
            await scripted(received)
            return
        await asyncio.sleep(LATE_S)
        await received.stream.write(_success(received.headers[REQUEST_ID]))

    fake.server.handle = handle


@then('that caller gets the failure')
def step_gets_failure(context: Context) -> None:
    """Check the answer and that two upstreams were asked."""
    assert len(context.reached) == 2, context.reached
    assert context.answer.status == 500, context.answer
    assert context.answer.body == BODY, context.answer


@when('a run breaks off and its continuation meets a failure')
def step_continuation(context: Context) -> None:
    """Fail the request that names a copy to go on from."""
    bench = direct_bench(context)
    context.continued = []
    for fake in bench.upstreams.values():
        _fail_continuations(fake, context.continued)
        if fake.service == 'models':
            fake.script.append(Behaviour.CUT)
    context.answer = bench.ask_model('/talk/1')


def _fail_continuations(fake: FakeUpstream, continued: list[str]) -> None:
    usual = fake.server.handle

    async def handle(received: ReceivedRequest) -> None:
        if 'Kv-From' not in received.headers:
            await usual(received)
            return
        request_id = received.headers[REQUEST_ID]
        continued.append(request_id)
        for answer in (_success('somebody'), _failure(500, request_id)):
            await received.stream.write(answer)

    fake.server.handle = handle


@then("its caller's stream is not complete, and it ran once")
def step_incomplete(context: Context) -> None:
    """Check the answer, the runs and that a continuation was asked for."""
    bench = direct_bench(context)
    assert context.continued == [bench.last_request], context.continued
    assert context.answer.status == 0, context.answer
    assert bench.ran().count(bench.last_request) == 1, bench.ran()
