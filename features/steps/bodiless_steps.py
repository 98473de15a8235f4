"""Check answers that end with their head."""

import time

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_platform_testing._server import ReceivedRequest
from support.direct_bench import direct_bench
from support.direct_bench import KEY
from support.direct_bench import PREFIX
from support.direct_bench import PROMPT

# Requests have a time limit of 3 s.
AT_ONCE_S = 1.0
NO_LENGTH = 'no length'
TYPE = 'Content-Type: application/json'
WHOLE = b'whole body'
FURTHER = b'past'


@given('a plain upstream and an engine')
def step_upstreams(context: Context) -> None:
    """Start one of each, so that connections are used again."""
    bench = direct_bench(context)
    bench.add_upstream('reg-1', 'registry')
    bench.add_upstream('eng-1', 'models')


@given('another plain upstream')
def step_another(context: Context) -> None:
    """Add one and wait until the router knows it."""
    bench = direct_bench(context)
    bench.add_upstream('reg-2', 'registry')
    router = bench.routers[0]
    bench.until(lambda: 'reg-2' in router.upstream_ids, 'another upstream')


@given('upstreams that answer with {status:d}, "{header}" and no body')
def step_answers(context: Context, status: int, header: str) -> None:
    """Write a head as it is."""
    lines = [] if header == NO_LENGTH else [header]
    _answer_next(context, status, lines, b'')


@given('upstreams that answer with a body to HEAD')
def step_answers_body(context: Context) -> None:
    """Write a body where none may be."""
    _answer_next(context, 200, [f'Content-Length: {len(FURTHER)}'], FURTHER)


def _answer_next(
    context: Context, status: int, lines: list[str], body: bytes
) -> None:
    """Script the first answer; later ones are whole."""
    context.asked = []

    async def handle(received: ReceivedRequest) -> None:
        if received.path == '/report':
            await received.stream.write(_response(received, 404, [], b''))
            return
        context.asked.append(received)
        if len(context.asked) == 1:
            answer = _response(received, status, lines, body)
        else:
            whole = [TYPE, f'Content-Length: {len(WHOLE)}']
            answer = _response(received, 200, whole, WHOLE)
        await received.stream.write(answer)

    for upstream in direct_bench(context).upstreams.values():
        upstream.server.handle = handle


def _response(
    received: ReceivedRequest, status: int, lines: list[str], body: bytes
) -> bytes:
    request_id = received.headers.get(PREFIX + 'Request-Id', '')
    head = [
        f'HTTP/1.1 {status} Stand-in',
        f'{PREFIX}Request-Id: {request_id}',
        f'{PREFIX}Response-Signature: signed',
        *lines,
    ]
    return '\r\n'.join([*head, '', '']).encode() + body


@when('a caller sends {method} to "{path}"')
def step_sends(context: Context, method: str, path: str) -> None:
    """Send the request and measure the time to the answer."""
    context.path = path
    started_s = time.monotonic()
    _send(context, method)
    context.took_s = time.monotonic() - started_s


def _send(context: Context, method: str) -> None:
    bench = direct_bench(context)
    headers = PROMPT if context.path.startswith('/chat/') else {}
    body = b'prompt' if method == 'POST' else None
    bench.ask(context.path, KEY, method, body, **headers)


@then('it gets {status:d} and "{header}" at once')
def step_gets(context: Context, status: int, header: str) -> None:
    """Compare the answer with what the upstream sent."""
    answer = direct_bench(context).answer
    assert answer.status == status, answer
    assert answer.body == b'', answer
    name, _, value = header.partition(': ')
    expected = value if name == 'Content-Length' else None
    assert answer.headers.get('Content-Length') == expected, answer
    assert context.took_s < AT_ONCE_S, context.took_s
    assert len(context.asked) == 1, context.asked


@then('the next request goes over the same connection')
def step_same_connection(context: Context) -> None:
    """Ask again and compare the connections."""
    _ask_again(context)
    first, second = context.asked
    assert first.stream is second.stream


@then('the next request goes over another connection')
def step_other_connection(context: Context) -> None:
    """Ask again and compare the connections."""
    _ask_again(context)
    first, second = context.asked
    assert first.stream is not second.stream


@then('the next {count:d} requests get their own answers')
def step_own_answers(context: Context, count: int) -> None:
    """Ask again; a request may be sent to a second upstream."""
    for _ in range(count):
        _ask_again(context)


def _ask_again(context: Context) -> None:
    bench = direct_bench(context)
    _send(context, 'GET')
    assert bench.answer.status == 200, bench.answer
    assert bench.answer.body == WHOLE, bench.answer
