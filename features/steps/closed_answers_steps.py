"""Check answers that arrive together with the close of a connection."""

from collections.abc import Mapping

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.verdict import Verdict
from lacewing_daemon.direct import Dispatch
from lacewing_platform_testing import FakeUpstream
from lacewing_platform_testing._server import chunk
from lacewing_platform_testing._server import complete_response
from lacewing_platform_testing._server import ReceivedRequest
from support.attempts import caller_request
from support.attempts import LIMIT_S
from support.attempts import send_each
from support.direct_bench import direct_bench
from support.direct_bench import PREFIX

REQUEST_ID = PREFIX + 'Request-Id'
SIGNATURE = PREFIX + 'Response-Signature'
LENGTH = b'Content-Length: 6\r\n'
EVENT = b'id: 1\ndata: word 1\n\n'


def _answer(request_id: str, status: int, name: str, value: str) -> bytes:
    headers = {REQUEST_ID: request_id, name: value, 'Connection': 'close'}
    return complete_response(status, headers, request_id.encode())


COPY = complete_response(200, {REQUEST_ID: 'first', SIGNATURE: 's'}, b'first')
ANSWERS: Mapping[str, tuple[bytes, Verdict, int]] = {
    'a success': (_answer('second', 200, SIGNATURE, 's'), Verdict.RAN, 200),
    'a failure': (_answer('second', 500, SIGNATURE, 's'), Verdict.RAN, 500),
    'a refusal': (
        _answer('second', 503, PREFIX + 'Not-Executed', '1'),
        Verdict.NOT_RUN,
        503,
    ),
    'a success without framing': (
        _answer('second', 200, SIGNATURE, 's').replace(LENGTH, b''),
        Verdict.RAN,
        200,
    ),
}


@given(
    'the next engine sends an event, half of another one and the close at once'
)
def step_cut(context: Context) -> None:
    """Have the first request meet an engine that breaks off."""
    context.has_cut = False
    for fake in direct_bench(context).upstreams.values():
        _take_over(context, fake)


def _take_over(context: Context, fake: FakeUpstream) -> None:
    usual = fake.server.handle

    async def handle(received: ReceivedRequest) -> None:
        if context.has_cut or received.path in ('/report', '/order'):
            await usual(received)
            return
        context.has_cut = True
        request_id = received.headers[REQUEST_ID]
        fake.ran.append(request_id)
        fake.received.append(received)
        fake._copy_to_peer(received)
        headers = {REQUEST_ID: request_id, SIGNATURE: 's'}
        head = complete_response(200, headers, b'').replace(
            b'Content-Length: 0\r\n',
            b'Content-Type: text/event-stream\r\n'
            b'Transfer-Encoding: chunked\r\n',
        )
        await received.stream.write(head + chunk(EVENT) + chunk(EVENT[:9]))
        received.stream.close()

    fake.server.handle = handle


@when('an upstream sends a copy, {answer} and the close at once')
def step_close(context: Context, answer: str) -> None:
    """Send two requests over one connection; the second meets the close."""
    bench = direct_bench(context)
    fake = bench.upstreams['reg-1']
    own, context.verdict, context.status = ANSWERS[answer]

    async def handle(received: ReceivedRequest) -> None:
        if received.headers[REQUEST_ID] == 'first':
            await received.stream.write(COPY)
            return
        await received.stream.write(COPY + own)
        received.stream.close()

    fake.server.handle = handle
    dispatch = Dispatch(fake.upstream_id, LIMIT_S)
    sends = [(caller_request(name), dispatch) for name in ('first', 'second')]
    context.end = bench.run(send_each(fake, sends))[1]


@then('the second request got that answer')
def step_got(context: Context) -> None:
    """Check the verdict, the status and the body."""
    end = context.end
    assert end.verdict is context.verdict, end
    assert end.head is not None and end.head.status == context.status, end
    assert end.body == b'second', end
    assert end.connection_use.earlier_requests == 1, end
