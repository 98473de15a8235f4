"""Check which streams of a silent engine are broken off."""

from collections.abc import Callable

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct import Upstream
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._silence_detector import SilenceDetector
from lacewing_daemon.direct._upstream_state import UpstreamState

HEARD_S = 100.0


@given(
    'an engine with {count:d} {kind} streams that last sent data'
    ' {ago_ms:d} ms ago'
)
def step_streams(context: Context, count: int, kind: str, ago_ms: int) -> None:
    """Open streams at an engine that was heard once."""
    context.watch = SilenceDetector(LoadPolicy().mute_ms / 1000)
    context.state = UpstreamState(
        Upstream('up', 'models', '127.0.0.1:1', 'east', 8, False, {})
    )
    context.state.data_received(HEARD_S)
    context.now_s = HEARD_S + ago_ms / 1000
    context.cut = []
    context.streams = []
    for number in range(count):
        cut = _cut(context, number)
        context.watch.stream_opened(context.state, cut, kind == 'plain')
        context.streams.append(cut)


@given('another with streams that last sent data {ago_ms:d} ms ago')
def step_another(context: Context, ago_ms: int) -> None:
    """Open a stream at another engine."""
    other = UpstreamState(
        Upstream('other', 'models', '127.0.0.1:2', 'east', 8, False, {})
    )
    other.data_received(context.now_s - ago_ms / 1000)
    context.watch.stream_opened(other, _cut(context, -1), True)


def _cut(context: Context, number: int) -> Callable[[], None]:
    def cut() -> None:
        context.cut.append(number)

    return cut


@when('two of them end')
def step_end(context: Context) -> None:
    """End two streams."""
    for cut in context.streams[:2]:
        context.watch.stream_closed(context.state, cut)


@when('open streams are checked')
def step_look(context: Context) -> None:
    """Look once."""
    context.watch.check(context.now_s)


@then('{count:d} of them are aborted')
def step_broken(context: Context, count: int) -> None:
    """Count the streams that were broken off."""
    assert len(context.cut) == count, context.cut
