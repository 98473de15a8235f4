"""Check answers beside copies that swallow them, and answers cut off."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.verdict import Verdict
from lacewing_daemon.direct import Dispatch
from lacewing_daemon.direct._attempt import AttemptEnd
from lacewing_platform_testing import FakeUpstream
from lacewing_platform_testing._server import chunk
from lacewing_platform_testing._server import complete_response
from lacewing_platform_testing._server import ReceivedRequest
from lacewing_platform_testing._server import reset_on_close
from steps.failed_answers_steps import EVENTS
from steps.failed_answers_steps import Plan
from support.attempts import caller_request
from support.attempts import LIMIT_S
from support.attempts import send_each
from support.direct_bench import Answer
from support.direct_bench import direct_bench
from support.direct_bench import DirectBench
from support.direct_bench import PREFIX
from support.kinds import ask_kind
from support.kinds import KINDS
from support.kinds import REPEATABLE

REQUEST_ID = PREFIX + 'Request-Id'
SIGNATURE = PREFIX + 'Response-Signature'
NOT_RUN = PREFIX + 'Not-Executed'
REFUSALS = (429, 503)
BODY = b'a success'
COPY_BODY = b'copy'
# Longer than all that the upstream sends.
STATED_BYTES = 5000
SEED = 17
CUT_SHARE = 0.3
RESET_SHARE = 0.3
# Until an upstream closes a connection on which nothing follows.
IDLE_S = 0.3
# Until a run that was announced as refused has its answer.
RUN_S = 0.1
# Sends that are open at the same time.
SENDS = 50


def _success(request_id: str) -> bytes:
    headers = {REQUEST_ID: request_id, SIGNATURE: 'signed'}
    return complete_response(200, headers, BODY)


def _failure(request_id: str) -> bytes:
    headers = {REQUEST_ID: request_id, SIGNATURE: 'signed'}
    return complete_response(500, headers, b'a failure')


def _framed(request_id: str, framing: str) -> bytes:
    length = f'Content-Length: {len(BODY)}\r\n'
    return _success(request_id).replace(length.encode(), framing.encode())


def _in_chunks(request_id: str) -> bytes:
    copy = _framed(request_id, 'Transfer-Encoding: chunked\r\n')
    return copy.removesuffix(BODY) + chunk(BODY)


COPIES: dict[str, Callable[[str], bytes]] = {
    'without framing': lambda earlier: _framed(earlier, ''),
    'shorter than its length': lambda earlier: _framed(
        earlier, f'Content-Length: {STATED_BYTES}\r\n'
    ),
    'in chunks that do not end': _in_chunks,
}
ANSWERS: dict[str, Callable[[str], bytes]] = {
    'a success': _success,
    'a success sent twice': lambda own: _success(own) * 2,
    'a failure': _failure,
    'a refusal': lambda own: complete_response(
        503, {REQUEST_ID: own, NOT_RUN: '1'}, b''
    ),
    'a refusal without an id': lambda _: complete_response(
        503, {NOT_RUN: '1'}, b''
    ),
}

BEFORE_REFUSALS = {
    'first': b'',
    'after an answer to somebody': _success('somebody'),
    'after a refusal of somebody': ANSWERS['a refusal']('somebody'),
}


@dataclass(frozen=True)
class Met:
    """Hold a request, what its caller got, how often it ran and how long."""

    path: str
    answer: Answer
    runs: int
    took_s: float


@when('callers send each kind of request, and a copy {copy} precedes {answer}')
def step_swallowed(context: Context, copy: str, answer: str) -> None:
    """Send each kind on a connection that has carried another request."""
    bench = direct_bench(context)
    plan = Plan(ANSWERS[answer], COPIES[copy], lambda _: b'', False)
    context.met = []
    for number, path in enumerate(KINDS):
        for warm_path in ('/records/', '/chat/'):
            assert ask_kind(bench, warm_path, -1).status == 200
        bench.on_loop(lambda: context.failing.plans.append(plan))
        context.met.append(_send(bench, path, number))
        assert not context.failing.plans, context.met[-1]


@then('requests that may run once got 502 and ran once')
def step_once(context: Context) -> None:
    """Check those of the kinds that may not be repeated."""
    for met in context.met:
        if met.path not in REPEATABLE:
            assert (met.answer.status, met.runs) == (502, 1), met


@then('the others got the whole answer of a second run')
def step_second(context: Context) -> None:
    """Check those of the kinds that may be repeated."""
    for met in context.met:
        if met.path in REPEATABLE:
            body = b''.join(EVENTS) if met.path == '/chat/' else b'whole body'
            assert (met.answer.status, met.runs) == (200, 2), met
            assert met.answer.body == body, met


@then('each of them was answered within {limit_s:f} s')
def step_in_time(context: Context, limit_s: float) -> None:
    """Compare with the time limit of 3 s that the requests have."""
    for met in context.met:
        assert met.took_s < limit_s, met


@when('copies swallow every number of bytes of {answer}')
def step_swallow_all(context: Context, answer: str) -> None:
    """Send two requests for each number of bytes, on one connection each."""
    bench = direct_bench(context)
    fake = bench.add_upstream('reg-one', 'registry')
    answer_of = ANSWERS[answer]

    async def handle(received: ReceivedRequest) -> None:
        name, _, number = received.headers[REQUEST_ID].partition('-')
        if name == 'first':
            await received.stream.write(_success(f'first-{number}'))
            return
        length = len(COPY_BODY) + int(number)
        copy = _framed(f'first-{number}', f'Content-Length: {length}\r\n')
        await received.stream.write(copy.removesuffix(BODY) + COPY_BODY)
        await received.stream.write(answer_of(f'second-{number}'))
        await asyncio.sleep(IDLE_S)
        received.stream.close()

    fake.server.handle = handle
    context.ends = bench.run(_send_pairs(fake, len(answer_of('second-100'))))


async def _send_pairs(fake: FakeUpstream, count: int) -> list[AttemptEnd]:
    """Return the ends of the second requests."""
    places = asyncio.Semaphore(SENDS)
    dispatch = Dispatch(fake.upstream_id, LIMIT_S)

    async def send_pair(number: int) -> AttemptEnd:
        names = (f'first-{number}', f'second-{number}')
        async with places:
            first, second = await send_each(
                fake, [(caller_request(name), dispatch) for name in names]
            )
        assert first.verdict is Verdict.RAN, first
        assert second.connection_use.skipped_answers == 1, second
        return second

    # Three digits each, so that all answers are of the same size.
    numbers = range(100, 100 + count)
    return await asyncio.gather(*(send_pair(number) for number in numbers))


@then('no send ends with anything but {ends}')
def step_ends(context: Context, ends: str) -> None:
    """Check verdicts, and the body of each answer that counts."""
    assert len(context.ends) > len(BODY)
    for end in context.ends:
        if end.verdict is Verdict.RAN and 'own answer' in ends:
            assert end.body == BODY, end
            continue
        assert end.verdict is Verdict.MAY_HAVE_RUN, end


@when('a new connection brings a refusal without an id {when}')
def step_unnamed(context: Context, when: str) -> None:
    """Answer a request that way; it runs unless the refusal is first."""
    bench = direct_bench(context)
    before = BEFORE_REFUSALS[when]
    runs = bool(before)

    async def handle(received: ReceivedRequest) -> None:
        own = received.headers[REQUEST_ID]
        await received.stream.write(before)
        await received.stream.write(ANSWERS['a refusal without an id'](own))
        if runs:
            await asyncio.sleep(RUN_S)
            fake_ran.append(own)
            if not received.stream.closed():
                await received.stream.write(_success(own))

    fake_ran: list[str] = []
    for fake in bench.upstreams.values():
        fake.server.handle = handle
    context.answer = ask_kind(bench, '/certificates/', 1)
    context.fake_ran = fake_ran


@then('a request that may run once {ends}')
def step_unnamed_ends(context: Context, ends: str) -> None:
    """Check its answer and its runs."""
    time.sleep(2 * RUN_S)
    answer = context.answer
    if ends == 'did not run':
        assert answer.status == 503, answer
        assert not context.fake_ran, context.fake_ran
        return
    assert answer.status == 502, answer
    assert SIGNATURE not in answer.headers, answer
    assert len(context.fake_ran) == 1, context.fake_ran


@when('{count:d} requests of each kind meet answers cut off at random bytes')
def step_cut(context: Context, count: int) -> None:
    """Cut a share of the answers; close or reset their connections."""
    bench = direct_bench(context)
    random = Random(SEED)
    context.cut = []
    for fake in bench.upstreams.values():
        _cut_answers(fake, random, context.cut)
    context.met = []
    for number in range(count):
        for path in KINDS:
            context.met.append(_send(bench, path, number))


def _cut_answers(fake: FakeUpstream, random: Random, cut: list[str]) -> None:
    usual = fake.server.handle

    async def handle(received: ReceivedRequest) -> None:
        if received.path in ('/report', '/order'):
            await usual(received)
            return
        request_id = received.headers[REQUEST_ID]
        fake.ran.append(request_id)
        answer = _whole_answer(received)
        if random.random() >= CUT_SHARE:
            await received.stream.write(answer)
            return
        cut.append(request_id)
        end = random.randrange(len(answer))
        if end:
            await received.stream.write(answer[:end])
        if random.random() < RESET_SHARE:
            reset_on_close(received.stream)
        received.stream.close()

    fake.server.handle = handle


def _whole_answer(received: ReceivedRequest) -> bytes:
    request_id = received.headers[REQUEST_ID]
    if PREFIX + 'Model' not in received.headers:
        return _success(request_id)
    headers = {
        REQUEST_ID: request_id,
        SIGNATURE: 'signed',
        'Content-Type': 'text/event-stream',
    }
    head = complete_response(200, headers, b'')
    head = head.replace(
        b'Content-Length: 0\r\n', b'Transfer-Encoding: chunked\r\n'
    )
    after = int(received.headers.get('Last-Event-Id', '0'))
    return head + b''.join(chunk(each) for each in (*EVENTS[after:], b''))


@then('each got its whole answer, or an incomplete one or 502 after one run')
def step_whole_or_not(context: Context) -> None:
    """Compare what callers got with the runs of their requests."""
    statuses = set()
    for met in context.met:
        statuses.add(met.answer.status)
        if met.path not in REPEATABLE:
            assert met.runs <= 1, met
        if met.answer.status in REFUSALS:
            assert met.runs == 0, met
            continue
        if met.answer.status != 200:
            assert met.answer.status in (0, 502), met
            continue
        is_stream = met.path in ('/chat/', '/talk/')
        assert met.answer.body == (b''.join(EVENTS) if is_stream else BODY)
        assert met.answer.headers.get(SIGNATURE) == 'signed', met
    assert {0, 200, 502} <= statuses, statuses
    assert len(context.cut) > len(context.met) * CUT_SHARE / 2


def _send(bench: DirectBench, path: str, number: int) -> Met:
    asked_s = time.monotonic()
    answer = ask_kind(bench, path, number)
    took_s = time.monotonic() - asked_s
    return Met(path, answer, bench.ran().count(bench.last_request), took_s)
