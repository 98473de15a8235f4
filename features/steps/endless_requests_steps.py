"""Check a router beside callers that send without end."""

from behave import then
from behave import when
from behave.runner import Context
from steps.endless_answers_steps import load_router
from steps.endless_answers_steps import MAX_EXTRA_BYTES
from steps.endless_answers_steps import MIB
from support.direct_bench import direct_bench
from support.endless_callers import EndlessCallers
from support.endless_callers import FAST_INTERVAL_S
from support.endless_callers import PIECE_BYTES
from support.endless_callers import SLOW_INTERVAL_S

TOO_LARGE = '413'


@when(
    '{count:d} callers send bodies without end under that load for'
    ' {lasts_s:g} s'
)
def step_endless_bodies(context: Context, count: int, lasts_s: float) -> None:
    """Send them in chunks, as fast as the router reads."""
    piece = f'{PIECE_BYTES:x}\r\n'.encode() + b'x' * PIECE_BYTES + b'\r\n'
    context.callers = _callers(context, piece, FAST_INTERVAL_S)
    sending = context.callers.start(count, lasts_s)
    context.load = load_router(context, lasts_s)
    sending.join()


@when(
    '{count:d} callers with a time limit of {limit_s:g} s send bodies slowly'
    ' for {lasts_s:g} s'
)
def step_slow_bodies(
    context: Context, count: int, limit_s: float, lasts_s: float
) -> None:
    """Send a byte at a time."""
    context.callers = _callers(context, b'1\r\nx\r\n', SLOW_INTERVAL_S)
    context.callers.deadline_ms = int(limit_s * 1000)
    context.callers.start(count, lasts_s).join()


@then('each of their connections was closed after at most {most_s:g} s')
def step_closed(context: Context, most_s: float) -> None:
    """Check how long one was open at most."""
    assert context.callers.longest_s <= most_s, context.callers


@then('memory peaks at most 16 MiB above')
def step_memory(context: Context) -> None:
    """Compare with the calm load."""
    process = direct_bench(context).process
    assert process is not None
    extra = process.peak_bytes - context.calm_peak
    assert extra <= MAX_EXTRA_BYTES, f'{extra / MIB:.1f} MiB'


@then('each of these callers was refused for the size of its body')
def step_refused(context: Context) -> None:
    """Check the answers; a reset may overtake one."""
    statuses = set(context.callers.statuses)
    assert TOO_LARGE in statuses, statuses
    assert statuses <= {TOO_LARGE, ''}, statuses


@then('no engine was sent their requests')
def step_not_sent(context: Context) -> None:
    """Check the ids of all requests that engines received."""
    for received in direct_bench(context).received():
        request_id = received.headers['X-Lacewingstack-Request-Id']
        assert not request_id.startswith('endless-'), request_id


def _callers(
    context: Context, piece: bytes, interval_s: float
) -> EndlessCallers:
    process = direct_bench(context).process
    assert process is not None
    return EndlessCallers(process.callers_address, piece, interval_s)
