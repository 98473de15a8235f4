"""Stop a router process and check what its callers get."""

import signal
import socket
import time
from dataclasses import dataclass
from dataclasses import field
from http.client import HTTPException
from http.client import HTTPResponse

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.verdict import Refusal
from lacewing_common.verdict import Verdict
from lacewing_daemon.direct._answer_times import AnswerTimes
from lacewing_daemon.direct._refusal_status import status_of
from lacewing_daemon.direct._router import OUT_OF_ROTATION_S
from lacewing_daemon.direct._stop_window import StopWindow
from lacewing_platform_testing import Behaviour
from msgspec.structs import replace
from support.direct_bench import Answer
from support.direct_bench import BOUNDS
from support.direct_bench import direct_bench
from support.direct_bench import HOST
from support.direct_bench import KEY
from support.direct_bench import LIMIT_S
from support.direct_bench import PREFIX
from support.direct_bench import PROMPT
from support.direct_bench import route

_SIGNAL_INTERVAL_S = 0.3
_PIECE = b'part of a body '
_AT_ONCE_S = 1.0
_STREAM_PATH = '/long/'
_NOW_S = 1000.0
# From the signal until open requests are answered.
_SERVE_S = 7.4
_DRAINING = 'main: Draining.'
_READ_AGAIN = 'main: Read the settings again.'


@dataclass
class StopCall:
    """Hold the connection of one caller and what it has got."""

    connection: socket.socket
    request_id: str = ''
    method: str = 'GET'
    rest: bytes = b''
    sent_s: float = 0.0
    has_length: bool = True
    answer: Answer = field(default_factory=lambda: Answer(0))
    answered_s: float = 0.0

    def send(
        self,
        path: str,
        method: str = 'GET',
        body: bytes = b'',
        withheld: int = 0,
        version: str = 'HTTP/1.1',
        in_chunks: bool = False,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a request but for its last ``withheld`` bytes."""
        self.method = method
        self.request_id = f'stop-{time.monotonic_ns()}'
        fields = {
            'Host': HOST,
            PREFIX + 'Request-Id': self.request_id,
            PREFIX + 'Deadline-Ms': '20000',
            'Authorization': f'Token {KEY}',
            **(headers or {}),
        }
        if in_chunks:
            fields['Transfer-Encoding'] = 'chunked'
            body = b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
        elif body:
            fields['Content-Length'] = str(len(body))
        head = f'{method} {path} {version}\r\n'
        for name, value in fields.items():
            head += f'{name}: {value}\r\n'
        data = head.encode() + b'\r\n' + body
        self.rest = data[len(data) - withheld :]
        self.connection.sendall(data[: len(data) - withheld])
        self.sent_s = time.monotonic()

    def send_rest(self) -> None:
        """Send the bytes that were withheld."""
        self.connection.sendall(self.rest)
        self.sent_s = time.monotonic()

    def read(self) -> None:
        """Read the answer; its status is 0 if it is not complete."""
        response = HTTPResponse(self.connection, method=self.method)
        try:
            response.begin()
            body = response.read()
        except (HTTPException, OSError):
            return
        self.answered_s = time.monotonic()
        self.has_length = (
            self.method == 'HEAD'
            or response.chunked
            or response.headers['Content-Length'] is not None
        )
        self.answer = Answer(response.status, dict(response.headers), body)


def _connect(context: Context) -> StopCall:
    process = direct_bench(context).process
    assert process is not None
    host, port = process.callers_address.split(':')
    connection = socket.socket()
    connection.settimeout(LIMIT_S)
    connection.connect((host, int(port)))
    context.resources.callback(connection.close)
    call = StopCall(connection)
    context.stop_call = call
    return call


def _call(context: Context) -> StopCall:
    call: StopCall = context.stop_call
    return call


def _was_received(context: Context, request_id: str) -> bool:
    for request in direct_bench(context).received():
        if request.headers.get(PREFIX + 'Request-Id') == request_id:
            return True
    return False


def _wait_received(context: Context) -> None:
    request_id = _call(context).request_id
    direct_bench(context).until(
        lambda: _was_received(context, request_id), 'a request that is sent'
    )


@given('a stream route with a long timeout and slow events')
def step_stream_route(context: Context) -> None:
    """Add a stream route whose callers wait long for each event."""
    bench = direct_bench(context)
    added = route(
        _STREAM_PATH,
        'streaming',
        'models',
        Resumable=False,
        TimeoutMs=20000,
        TargetLatencyMs=20000,
    )
    bench.configure(Routes=[*bench.config['Routes'], added])
    bench.until(lambda: bench.ask(_STREAM_PATH).status != 404, 'the new route')


@given('{count:d} streams on that route were answered')
def step_streams_answered(context: Context, count: int) -> None:
    """Let the router observe short streams."""
    bench = direct_bench(context)
    for _ in range(count):
        assert bench.ask_model(f'{_STREAM_PATH}1').status == 200


@given('all upstreams stall after an event')
def step_stall(context: Context) -> None:
    """Let each stream begin and not go on."""
    for upstream in direct_bench(context).upstreams.values():
        upstream.always = Behaviour.STALLS


@given('{count:d} requests to "{path}" were answered')
def step_answered(context: Context, count: int, path: str) -> None:
    """Let the router observe answers of a route."""
    bench = direct_bench(context)
    for _ in range(count):
        assert bench.ask(path).status == 200


@given('{count:d} requests to "{path}" have been open for {age_s:g} s')
def step_open(context: Context, count: int, path: str, age_s: float) -> None:
    """Leave requests without an answer."""
    for _ in range(count):
        _connect(context).send(path)
    _wait_received(context)
    time.sleep(age_s)


@given('the router has read that a stop takes {drain_s:g} s')
def step_shorter(context: Context, drain_s: float) -> None:
    """Change the settings file and let the process read it again."""
    bench = direct_bench(context)
    process = bench.process
    assert process is not None
    process.write_bounds(replace(BOUNDS, drain_s=drain_s))
    process.send(signal.SIGHUP)
    bench.until(lambda: _logged(context, _READ_AGAIN), 'read settings')


@when('a caller has an open {method} request for "{path}"')
def step_send(context: Context, method: str, path: str) -> None:
    """Send a request and wait until an upstream has it."""
    body = _PIECE if method == 'POST' else b''
    _connect(context).send(path, method, body)
    _wait_received(context)


@when('a caller without chunks asks for a stream on that route')
def step_unchunked(context: Context) -> None:
    """Ask for a stream as a caller that reads until the close."""
    _connect(context).send(
        _STREAM_PATH, 'POST', _PIECE, version='HTTP/1.0', headers=PROMPT
    )
    _wait_received(context)


@when('a caller reads the first event of a stream on that route')
def step_first_event(context: Context) -> None:
    """Ask for a stream and wait until it has begun."""
    call = _connect(context)
    call.send(_STREAM_PATH, 'POST', _PIECE, headers=PROMPT)
    direct_bench(context).until(
        lambda: b'data' in call.connection.recv(4096, socket.MSG_PEEK),
        'a first event',
    )


@when('a caller has sent a part of a request for "{path}"')
def step_part(context: Context, path: str) -> None:
    """Withhold the last bytes of a body."""
    _connect(context).send(path, 'POST', _PIECE, withheld=4)


@when('the router gets {names}')
def step_signals(context: Context, names: str) -> None:
    """Send one or two signals to the router, some time apart."""
    process = direct_bench(context).process
    assert process is not None
    context.stopped_s = time.monotonic()
    for number, name in enumerate(names.split(' and ')):
        if number:
            time.sleep(_SIGNAL_INTERVAL_S)
        process.send(signal.Signals[name])


@when('a {way} for that route is open as the stop begins')
def step_stream_body(context: Context, way: str) -> None:
    """Begin the stop while a part of a body is withheld."""
    bench = direct_bench(context)
    context.way = way
    _connect(context).send(
        _STREAM_PATH,
        'POST',
        _PIECE,
        withheld=4,
        in_chunks=way.startswith('chunked'),
        headers=PROMPT,
    )
    time.sleep(_SIGNAL_INTERVAL_S)
    assert bench.process is not None
    bench.process.send(signal.SIGTERM)
    bench.until(lambda: _logged(context, _DRAINING), 'a router that stops')


@when('its last bytes come {later_s:g} s later')
def step_last_bytes(context: Context, later_s: float) -> None:
    """Send what is left of the request and read the answer."""
    time.sleep(later_s)
    _call(context).send_rest()
    _call(context).read()


@when('a {way} is open as the stop begins')
def step_stop_while_open(context: Context, way: str) -> None:
    """Begin the stop while a connection waits for its request."""
    bench = direct_bench(context)
    process = bench.process
    assert process is not None
    context.way = way
    if way == 'kept connection':
        call = _connect(context)
        call.send('/records/1')
        call.read()
        assert call.answer.status == 200
        # The router must have begun to wait for the next request.
        time.sleep(_SIGNAL_INTERVAL_S)
    if 'body' in way:
        _connect(context).send(
            '/slow/4',
            'POST',
            _PIECE,
            withheld=4,
            in_chunks=way.startswith('chunked'),
        )
        time.sleep(_SIGNAL_INTERVAL_S)
    process.send(signal.SIGTERM)
    bench.until(lambda: _logged(context, _DRAINING), 'a router that stops')
    if way == 'new connection':
        _connect(context)


def _logged(context: Context, event: str) -> bool:
    process = direct_bench(context).process
    assert process is not None
    return any(line.event == event for line in process.events())


@when('a request for "{path}" comes on it')
def step_send_on(context: Context, path: str) -> None:
    """Send the request, or what is left of it, and read the answer."""
    call = _call(context)
    if 'body' in context.way:
        call.send_rest()
    else:
        call.send(path, 'POST', _PIECE)
    call.read()


@then('the router ends with code {code:d} in time')
@then('the router ends with code {code:d} within {limit_s:g} s')
def step_ends(
    context: Context, code: int, limit_s: float = BOUNDS.drain_s
) -> None:
    """Read the answer and wait for the process; it must not be killed."""
    bench = direct_bench(context)
    process = bench.process
    assert process is not None
    if not hasattr(context, 'way'):
        _call(context).read()
    bench.until(lambda: process.exit_code is not None, 'an ended router')
    took_s = time.monotonic() - context.stopped_s
    assert process.exit_code == code, process.exit_code
    assert took_s < limit_s, took_s


@then('the caller gets {status:d} and "Connection: close"')
@then('the caller gets {status:d} and "Connection: close" {at_once}')
def step_gets(context: Context, status: int, at_once: str = '') -> None:
    """Check the answer, and that 503 says when to come again."""
    call = _call(context)
    answer = call.answer
    assert answer.status == status, answer
    assert call.has_length, answer
    assert answer.headers['Connection'] == 'close', answer
    if status == 503:
        assert 'Retry-After' in answer.headers, answer
    if at_once:
        took_s = call.answered_s - call.sent_s
        assert took_s < _AT_ONCE_S, took_s


@then('the stream is seen as incomplete')
def step_incomplete(context: Context) -> None:
    """Check that the caller's client reports a cut stream."""
    assert _call(context).answer.status == 0, _call(context).answer


@then('the upstream was told that the caller has left')
def step_told(context: Context) -> None:
    """Check that the router has closed the connection of the run."""
    bench = direct_bench(context)
    request_id = _call(context).request_id
    bench.until(
        lambda: any(
            request_id in upstream.cancelled
            for upstream in bench.upstreams.values()
        ),
        'a run that is ended',
    )


@then('no upstream received the request')
def step_not_received(context: Context) -> None:
    """Check that a status that says so is true."""
    assert not _was_received(context, _call(context).request_id)


@given('{count:d} answers that took {took_s:g} s')
def step_times(context: Context, count: int, took_s: float) -> None:
    """Record answers of a route."""
    context.times = AnswerTimes()
    for number in range(count):
        context.times.begin('slow', number, _NOW_S - took_s)
        context.times.end('slow', number, _NOW_S, True)


@given('{count:d} requests that have been open for {age_s:g} s')
def step_ages(context: Context, count: int, age_s: float) -> None:
    """Record requests of a route that have no answer yet."""
    for number in range(count):
        context.times.begin('slow', f'open {number}', _NOW_S - age_s)


@when('a request with {limit_s:g} s may be sent {left_s:g} s before the end')
def step_may_be_sent(context: Context, limit_s: float, left_s: float) -> None:
    """Ask whether a request is sent."""
    window = StopWindow(context.times)
    end_s = _NOW_S + left_s
    window.begin(end_s, end_s - _SERVE_S + OUT_OF_ROTATION_S)
    context.refusal = window.refusal('slow', _NOW_S + limit_s, _NOW_S)


@then('it is sent')
def step_sent(context: Context) -> None:
    """Check that nothing speaks against it."""
    assert context.refusal is None, context.refusal


@then('it is refused for now')
def step_refused(context: Context) -> None:
    """Check that the caller may repeat it elsewhere soon."""
    refusal = context.refusal
    assert isinstance(refusal, Refusal)
    assert refusal.verdict is Verdict.NOT_RUN, refusal
    assert status_of(refusal) == 503, refusal
    assert refusal.retry_after_s is not None, refusal
