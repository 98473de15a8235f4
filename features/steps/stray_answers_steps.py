"""Check what is logged and counted of answers that nobody waits for."""

import time
from collections.abc import Mapping

from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.verdict import Verdict
from lacewing_daemon.direct import Dispatch
from lacewing_daemon.direct._line_budget import BURST_LINES
from lacewing_daemon.direct._line_budget import FAILURE_RESERVE_FRACTION
from lacewing_daemon.direct._line_budget import LINES_PER_S
from lacewing_platform_testing import FakeUpstream
from lacewing_platform_testing._server import complete_response
from lacewing_platform_testing._server import ReceivedRequest
from prometheus_client import REGISTRY
from structlog.testing import capture_logs
from support.attempts import caller_request
from support.attempts import LIMIT_S
from support.attempts import send_each
from support.direct_bench import direct_bench
from support.direct_bench import PREFIX

REQUEST_ID = PREFIX + 'Request-Id'
SIGNATURE = PREFIX + 'Response-Signature'
NOT_RUN = PREFIX + 'Not-Executed'
SKIPPED = 'Skipped a response to another request.'
ENDED = 'Ended a send: the response does not name it.'
LINES = {'a skipped answer': SKIPPED, 'an ended send': ENDED}
CLOSED = 'Closed a connection: unexpected response.'
SKIPPED_METRIC = 'lacewing_direct_answers_skipped_total'
UNEXPECTED_METRIC = 'lacewing_direct_answers_unexpected_total'
# Enough for an answer to arrive at an idle connection on loopback.
PAUSE_S = 0.2


def _answer(request_id: str) -> bytes:
    headers = {REQUEST_ID: request_id, SIGNATURE: 'signed'}
    return complete_response(200, headers, request_id.encode())


ANSWERS: Mapping[str, bytes] = {
    'the first one again': _answer('first'),
    'another answer to the first one': complete_response(
        500, {REQUEST_ID: 'first'}, b'failed'
    ),
    'an answer to another request': _answer('somebody'),
    'a refusal without an id': complete_response(503, {NOT_RUN: '1'}, b''),
    'an answer without an id': complete_response(200, {SIGNATURE: 's'}, b'x'),
    'a failure without an id': complete_response(500, {}, b'failed'),
}
KINDS = ('earlier', 'different', 'unknown', 'refusal', 'unnamed')
NAMES = {'earlier': 'first', 'different': 'first', 'unknown': 'somebody'}


@when('an upstream sends {answer} before the answer to the second request')
def step_before(context: Context, answer: str) -> None:
    """Send a stray answer where the second one is expected."""
    context.stray = ANSWERS[answer]
    _exchange(context, b'', context.stray, 0.0)


@when('an upstream sends {answer} while no request waits')
def step_idle(context: Context, answer: str) -> None:
    """Send a stray answer right after the first one."""
    _exchange(context, ANSWERS[answer], b'', PAUSE_S)


@when(
    'an upstream sends the first one again {count:d} times before the second'
    ' one'
)
def step_many(context: Context, count: int) -> None:
    """Send many copies where the second answer is expected."""
    _exchange(context, b'', _answer('first') * count, 0.0)


def _exchange(
    context: Context, after_first: bytes, before_second: bytes, pause_s: float
) -> None:
    """Send two requests over one pool."""
    bench = direct_bench(context)
    fake: FakeUpstream = bench.upstreams['reg-1']

    async def handle(received: ReceivedRequest) -> None:
        request_id = received.headers[REQUEST_ID]
        if request_id == 'second':
            await received.stream.write(before_second)
        await received.stream.write(_answer(request_id))
        if request_id == 'first':
            await received.stream.write(after_first)

    fake.server.handle = handle
    dispatch = Dispatch(fake.upstream_id, LIMIT_S)
    sends = [(caller_request(name), dispatch) for name in ('first', 'second')]
    context.counted_before = {
        (metric, kind): _counted(metric, kind)
        for metric in (SKIPPED_METRIC, UNEXPECTED_METRIC)
        for kind in KINDS
    }
    start_s = time.monotonic()
    with capture_logs() as context.lines:
        ends = bench.run(send_each(fake, sends, pause_s))
    context.took_s = time.monotonic() - start_s
    context.end = ends[1]


def _counted(metric: str, kind: str) -> float:
    labels = {'service': 'a', 'kind': kind}
    return REGISTRY.get_sample_value(metric, labels) or 0.0


@then('the second request has its own answer')
def step_own(context: Context) -> None:
    """Check the verdict and the body."""
    assert context.end.verdict is Verdict.RAN, context.end
    assert context.end.body == b'second', context.end


@then('the second request may have run, and its send has ended "{ended}"')
def step_ended(context: Context, ended: str) -> None:
    """Check that nothing of the answers counts."""
    end = context.end
    assert end.verdict is Verdict.MAY_HAVE_RUN, end
    assert end.body_end is not None and end.body_end.value == ended, end
    assert end.head is None and not end.body, end
    assert not end.connection_broken, end


@then('its send shows {skipped:d} skipped and {earlier:d} earlier')
def step_use(context: Context, skipped: int, earlier: int) -> None:
    """Check what the log entry of the send is made of."""
    use = context.end.connection_use
    assert use.skipped_answers == skipped, use
    assert use.earlier_requests == earlier, use


@then(
    'a line of {what} names the upstream, both requests, the status and'
    ' "{kind}"'
)
def step_line(context: Context, what: str, kind: str) -> None:
    """Compare the only line about other answers."""
    both = LINES.values()
    assert sum(line['event'] in both for line in context.lines) == 1
    lines = [line for line in context.lines if line['event'] == LINES[what]]
    assert len(lines) == 1, context.lines
    line = lines[0]
    status = int(context.stray.split()[1])
    assert line['upstream'] == 'reg-1' and line['service'] == 'a', line
    assert line['request'] == 'second' and line['kind'] == kind, line
    assert line['answered'] == NAMES.get(kind, ''), line
    assert line['status'] == status and line['earlier'] == 1, line


@then('a line names the upstream, its closed connection and "{kind}"')
def step_closed(context: Context, kind: str) -> None:
    """Compare the only line about closed connections."""
    lines = [line for line in context.lines if line['event'] == CLOSED]
    assert len(lines) == 1, context.lines
    line = lines[0]
    assert line['upstream'] == 'reg-1' and line['kind'] == kind, line
    assert line['answered'] == 'first' and line['request'] == '', line


@then('{count:d} skipped answer of kind "{kind}" is counted')
def step_counted(context: Context, count: int, kind: str) -> None:
    """Compare the counters with those before."""
    _check_counters(context, SKIPPED_METRIC, kind, count)


@then('{count:d} unexpected answer of kind "{kind}" is counted')
def step_unexpected(context: Context, count: int, kind: str) -> None:
    """Compare the counters with those before."""
    _check_counters(context, UNEXPECTED_METRIC, kind, count)


def _check_counters(
    context: Context, metric: str, kind: str, count: int
) -> None:
    for counter, before in context.counted_before.items():
        added = _counted(*counter) - before
        expected = count if counter == (metric, kind) else 0
        assert added == expected, (counter, added)


@then('no more lines are written than the budget for them allows')
def step_lines(context: Context) -> None:
    """Compare the number of lines with the burst and the sustained rate."""
    lines = [line for line in context.lines if line['event'] == SKIPPED]
    burst = BURST_LINES * (1.0 - FAILURE_RESERVE_FRACTION)
    most = burst + context.took_s * LINES_PER_S
    assert 0 < len(lines) <= most, (len(lines), most)
