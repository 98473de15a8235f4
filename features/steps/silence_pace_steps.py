"""Check the silence limits and the silences that are recorded."""

from functools import partial

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct import Upstream
from lacewing_daemon.direct._budget import RetryBudget
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._silence_detector import SilenceDetector
from lacewing_daemon.direct._silence_detector import WatchedStream
from lacewing_daemon.direct._silence_history import SilenceHistory
from lacewing_daemon.direct._upstream_state import UpstreamState

BEGIN_S = 100.0
MIN_S = LoadPolicy().mute_ms / 1000
# How often the other engine sends data.
OTHER_MS = 30


def _unexpected_abort() -> None:
    raise AssertionError('expected no stream to be aborted')


def _can_move(_moving: int) -> bool:
    return True


@given(
    'a route that allows event gaps of {gap_ms:d} ms and callers that'
    ' abandon streams after {abandon_s:d} s'
)
def step_route(context: Context, gap_ms: int, abandon_s: int) -> None:
    """Describe a stream that can be retried and one that can't."""
    context.streams = []
    for can_retry in (True, False):
        stream = WatchedStream(
            _unexpected_abort, can_retry, gap_ms / 1000, abandon_s, _can_move
        )
        context.streams.append(stream)


@given('live engines are silent for {silence_ms:d} ms')
def step_silence(context: Context, silence_ms: int) -> None:
    """Set the usual silence."""
    context.silence_s = silence_ms / 1000


@then('a stream is moved after a silence of {after_ms:d} ms')
def step_after(context: Context, after_ms: int) -> None:
    """Check the limit of the stream that can be retried."""
    limit_s = context.streams[0].silence_limit_s(MIN_S, context.silence_s)
    assert abs(limit_s * 1000 - after_ms) < 1, limit_s


@then('one that can only continue from a copy after {after_ms:d} ms')
def step_copy(context: Context, after_ms: int) -> None:
    """Check the limit of the stream that can't be retried."""
    limit_s = context.streams[1].silence_limit_s(MIN_S, context.silence_s)
    assert abs(limit_s * 1000 - after_ms) < 1, limit_s


@given(
    'a detector with {count:d} streams, of which {movable:d} could be'
    ' finished elsewhere'
)
def step_detector(context: Context, count: int, movable: int) -> None:
    """Open streams at one engine, and one at another."""
    context.detector = SilenceDetector(MIN_S)
    context.now_s = BEGIN_S
    context.aborted_streams = []
    history = SilenceHistory()
    context.state = _engine('up', history)
    context.other = _engine('other', history)
    for number in range(count):
        _open(context, context.state, number, number < movable)
    for _ in range(count):
        _open(context, context.other, -1, True)
    _receive_both(context)


def _engine(name: str, history: SilenceHistory) -> UpstreamState:
    upstream = Upstream(name, 'models', '127.0.0.1:1', 'east', 8, False, {})
    return UpstreamState(upstream, history)


def _open(
    context: Context, state: UpstreamState, number: int, movable: bool
) -> None:
    def abort() -> None:
        context.aborted_streams.append(number)

    context.detector.stream_opened(
        state, abort, True, 0.25, 2.0, lambda _: movable
    )


def _receive_both(context: Context) -> None:
    for state in (context.state, context.other):
        context.detector.data_received(state, context.now_s)


def _receive_other(context: Context, ms: int) -> None:
    for later_ms in range(OTHER_MS, ms, OTHER_MS):
        now_s = context.now_s + later_ms / 1000
        context.detector.data_received(context.other, now_s)


@when('their engine sends data after {ms:d} ms, {times:d} times')
def step_data(context: Context, ms: int, times: int) -> None:
    """Let the other engine send data all the time."""
    for _ in range(times):
        _receive_other(context, ms)
        context.now_s += ms / 1000
        context.detector.data_received(context.state, context.now_s)


@when('no engine sends data for {ms:d} ms, {times:d} times')
def step_none(context: Context, ms: int, times: int) -> None:
    """Let both engines be silent and resume together."""
    for _ in range(times):
        context.now_s += ms / 1000
        _receive_both(context)


@when('their engine is silent for {ms:d} ms and another sends data')
def step_silent(context: Context, ms: int) -> None:
    """Check the streams during a silence that continues."""
    context.aborted_streams.clear()
    _receive_other(context, ms)
    context.detector.check(context.now_s + ms / 1000)


@then('{count:d} stream is aborted')
@then('{count:d} streams are aborted')
def step_aborted(context: Context, count: int) -> None:
    """Count the streams that were aborted."""
    assert len(context.aborted_streams) == count, context.aborted_streams


@given('{count:d} streams at a silent engine and one retry left')
def step_one_retry(context: Context, count: int) -> None:
    """Run a check after another engine has sent data."""
    budget = RetryBudget(0.0, 2.0, 10.0)
    allowed = 0
    while budget.allows(0.0, 1, True, allowed):
        allowed += 1
    for _ in range(allowed - 1):
        assert budget.spend(0.0, 1, True)
    detector = SilenceDetector(MIN_S)
    silent = UpstreamState(_upstream('silent'))
    other = UpstreamState(_upstream('other'))
    context.aborted_streams = []
    for number in range(count):
        detector.stream_opened(
            silent,
            partial(context.aborted_streams.append, number),
            True,
            can_move=lambda moving: budget.allows(0.0, 1, True, moving),
        )
    detector.stream_opened(other, _unexpected_abort, True)
    detector.data_received(silent, 0.0)
    detector.data_received(other, 1.0)
    detector.check(1.0)


@then('one of them is aborted')
def step_one_aborted(context: Context) -> None:
    """Count the streams that were aborted."""
    assert len(context.aborted_streams) == 1, context.aborted_streams


def _upstream(upstream_id: str) -> Upstream:
    return Upstream(upstream_id, 'models', '127.0.0.1:1', 'east', 4, False, {})
