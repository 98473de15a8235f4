"""Check which streams of a silent engine are aborted."""

from collections.abc import Callable

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct import Upstream
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._silence_detector import SilenceDetector
from lacewing_daemon.direct._upstream_state import UpstreamState

LAST_DATA_S = 100.0


@given(
    'an engine with {count:d} {kind} streams that last sent data'
    ' {ago_ms:d} ms ago'
)
def step_streams(context: Context, count: int, kind: str, ago_ms: int) -> None:
    """Open streams at an engine that sent data once."""
    context.detector = SilenceDetector(LoadPolicy().mute_ms / 1000)
    context.state = UpstreamState(
        Upstream('up', 'models', '127.0.0.1:1', 'east', 8, False, {})
    )
    context.state.data_received(LAST_DATA_S)
    context.now_s = LAST_DATA_S + ago_ms / 1000
    context.aborted_streams = []
    context.streams = []
    for number in range(count):
        abort = _abort_function(context, number)
        context.detector.stream_opened(context.state, abort, kind == 'plain')
        context.streams.append(abort)


@given('another with streams that last sent data {ago_ms:d} ms ago')
def step_another(context: Context, ago_ms: int) -> None:
    """Open a stream at another engine."""
    other = UpstreamState(
        Upstream('other', 'models', '127.0.0.1:2', 'east', 8, False, {})
    )
    other.data_received(context.now_s - ago_ms / 1000)
    context.detector.stream_opened(other, _abort_function(context, -1), True)


def _abort_function(context: Context, number: int) -> Callable[[], None]:
    def abort() -> None:
        context.aborted_streams.append(number)

    return abort


@when('two of them end')
def step_end(context: Context) -> None:
    """End two streams."""
    for abort in context.streams[:2]:
        context.detector.stream_closed(context.state, abort)


@when('open streams are checked')
def step_check(context: Context) -> None:
    """Run one check."""
    context.detector.check(context.now_s)


@then('{count:d} of them are aborted')
def step_aborted(context: Context, count: int) -> None:
    """Count the streams that were aborted."""
    assert len(context.aborted_streams) == count, context.aborted_streams
