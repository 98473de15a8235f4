"""Check that only an answer that arrived whole passes for one."""

import socket

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct._answer_end import BodyEnd
from lacewing_daemon.direct._answer_end import is_whole
from lacewing_daemon.direct._events import EventSplitter
from steps.direct_steps import ALL_EVENTS
from support.direct_bench import direct_bench
from support.direct_bench import HOST
from support.direct_bench import KEY
from support.direct_bench import LIMIT_S
from support.direct_bench import PREFIX
from support.direct_bench import PROMPT

_LINE_ENDS = {'LF': b'\n', 'CR LF': b'\r\n', 'CR': b'\r'}
_NO_EVENTS = '(none)'


@when('a stream of "{events}" ends as {end}, started after event {after}')
def step_stream_ends(
    context: Context, events: str, end: str, after: str
) -> None:
    """Split the events and judge their end."""
    splitter = EventSplitter()
    if events != _NO_EVENTS:
        text = events.replace('\\n', '\n').replace('\\r', '\r')
        splitter.feed(text.encode())
    after_event = None if after == '-' else after
    context.whole = is_whole(BodyEnd(end), splitter, after_event)


@when('a body ends as {end}')
def step_body_ends(context: Context, end: str) -> None:
    """Judge the end of an answer that is no stream."""
    body_end = None if end == 'abandoned' else BodyEnd(end)
    context.whole = is_whole(body_end, None, None)


@then('the answer counts as {counts}')
def step_counts(context: Context, counts: str) -> None:
    """Check the verdict."""
    assert context.whole == (counts == 'whole'), context.whole


@given('engines whose lines end with {line_end}')
def step_line_end(context: Context, line_end: str) -> None:
    """Set how engines end the lines of events."""
    context.line_end = _LINE_ENDS[line_end]
    for upstream in direct_bench(context).upstreams.values():
        upstream.line_end = context.line_end


@then('the answer is 200 with the events as the engine sent them')
def step_as_sent(context: Context) -> None:
    """Compare the events with their line ends."""
    answer = direct_bench(context).answer
    assert answer.status == 200, answer
    expected = ALL_EVENTS.replace(b'\n', context.line_end)
    assert answer.body == expected, answer


@when('a caller reads the first event of a stream and leaves')
def step_first_event(context: Context) -> None:
    """Read one piece of a stream that doesn't end."""
    connection = direct_bench(context).connect()
    headers = {
        **PROMPT,
        'Host': HOST,
        'Authorization': f'Token {KEY}',
        PREFIX + 'Request-Id': 'first-event',
        PREFIX + 'Deadline-Ms': '3000',
    }
    connection.request('POST', '/talk/1', b'prompt', headers)
    context.first_piece = connection.getresponse().read1()
    connection.close()


@then('it got the first event before the stream ended')
def step_got_first(context: Context) -> None:
    """Check the piece."""
    assert context.first_piece == ALL_EVENTS[: len(b'id: 1\ndata: word 1\n\n')]


@when('a caller with HTTP/1.0 requests a non-resumable stream')
def step_old_http(context: Context) -> None:
    """Read all bytes up to the close of the connection."""
    bench = direct_bench(context)
    host, _, port = bench.routers[0].callers_address.rpartition(':')
    lines = ['POST /talk/1 HTTP/1.0', f'Host: {HOST}', 'Content-Length: 6']
    headers = {
        **PROMPT,
        'Authorization': f'Token {KEY}',
        PREFIX + 'Request-Id': 'old-http',
        PREFIX + 'Deadline-Ms': '3000',
    }
    for name, value in headers.items():
        lines.append(f'{name}: {value}')
    request = '\r\n'.join((*lines, '', 'prompt')).encode()
    received = b''
    with socket.create_connection((host, int(port)), LIMIT_S) as connection:
        connection.sendall(request)
        while piece := connection.recv(65536):
            received += piece
    context.received = received


@then('it gets no answer')
def step_no_answer(context: Context) -> None:
    """Check that not even a head came."""
    assert context.received == b'', context.received


@then('it gets all events and their length')
def step_all_with_length(context: Context) -> None:
    """Check framing and body."""
    head, _, body = context.received.partition(b'\r\n\r\n')
    assert body == ALL_EVENTS, context.received
    assert b'Content-Length: %d' % len(ALL_EVENTS) in head, head
