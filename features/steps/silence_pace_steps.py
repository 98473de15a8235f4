"""Check the bounds of silence and what is learnt from silences."""

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
LEAST_S = LoadPolicy().mute_ms / 1000
# How often another engine is heard.
OTHER_MS = 30


def _no_cut() -> None:
    raise AssertionError('expected no stream to be broken off')


def _may_leave(_others: int) -> bool:
    return True


@given(
    'a route that allows event gaps of {gap_ms:d} ms and callers that'
    ' abandon streams after {abandon_s:d} s'
)
def step_route(context: Context, gap_ms: int, abandon_s: int) -> None:
    """Describe a stream that may begin again and one that may not."""
    context.streams = []
    for may_repeat in (True, False):
        stream = WatchedStream(
            _no_cut, may_repeat, gap_ms / 1000, abandon_s, _may_leave
        )
        context.streams.append(stream)


@given('live engines are silent for {silence_ms:d} ms')
def step_silence(context: Context, silence_ms: int) -> None:
    """Keep the silence that was learnt."""
    context.silence_s = silence_ms / 1000


@then('a stream is moved after a silence of {after_ms:d} ms')
def step_after(context: Context, after_ms: int) -> None:
    """Compare the bound."""
    mute_s = context.streams[0].silence_limit_s(LEAST_S, context.silence_s)
    assert abs(mute_s * 1000 - after_ms) < 1, mute_s


@then('one that can only continue from a copy after {after_ms:d} ms')
def step_copy(context: Context, after_ms: int) -> None:
    """Compare the bound."""
    mute_s = context.streams[1].silence_limit_s(LEAST_S, context.silence_s)
    assert abs(mute_s * 1000 - after_ms) < 1, mute_s


@given(
    'a detector with {count:d} streams, of which {movable:d} could be'
    ' finished elsewhere'
)
def step_watch(context: Context, count: int, movable: int) -> None:
    """Open streams at one engine, and one at another."""
    context.watch = SilenceDetector(LEAST_S)
    context.now_s = BEGIN_S
    context.cut = []
    pace = SilenceHistory()
    context.state = _engine('up', pace)
    context.other = _engine('other', pace)
    for number in range(count):
        _open(context, context.state, number, number < movable)
    for _ in range(count):
        _open(context, context.other, -1, True)
    _hear_both(context)


def _engine(name: str, pace: SilenceHistory) -> UpstreamState:
    upstream = Upstream(name, 'models', '127.0.0.1:1', 'east', 8, False, {})
    return UpstreamState(upstream, pace)


def _open(
    context: Context, state: UpstreamState, number: int, able: bool
) -> None:
    def cut() -> None:
        context.cut.append(number)

    context.watch.stream_opened(state, cut, True, 0.25, 2.0, lambda _: able)


def _hear_both(context: Context) -> None:
    for state in (context.state, context.other):
        context.watch.data_received(state, context.now_s)


def _hear_other(context: Context, ms: int) -> None:
    for later_ms in range(OTHER_MS, ms, OTHER_MS):
        now_s = context.now_s + later_ms / 1000
        context.watch.data_received(context.other, now_s)


@when('their engine sends data after {ms:d} ms, {times:d} times')
def step_heard(context: Context, ms: int, times: int) -> None:
    """Let the other one be heard all the time."""
    for _ in range(times):
        _hear_other(context, ms)
        context.now_s += ms / 1000
        context.watch.data_received(context.state, context.now_s)


@when('no engine sends data for {ms:d} ms, {times:d} times')
def step_none(context: Context, ms: int, times: int) -> None:
    """Let both be silent and come back together."""
    for _ in range(times):
        context.now_s += ms / 1000
        _hear_both(context)


@when('their engine is silent for {ms:d} ms and another sends data')
def step_silent(context: Context, ms: int) -> None:
    """Look at the streams at the end of a silence that goes on."""
    context.cut.clear()
    _hear_other(context, ms)
    context.watch.check(context.now_s + ms / 1000)


@then('{count:d} stream is aborted')
@then('{count:d} streams are aborted')
def step_cut(context: Context, count: int) -> None:
    """Count those that were broken off."""
    assert len(context.cut) == count, context.cut


@given('{count:d} streams at a silent engine and one retry left')
def step_one_repeat(context: Context, count: int) -> None:
    """Break off what may leave once another engine is heard."""
    budget = RetryBudget(0.0, 2.0, 10.0)
    allowed = 0
    while budget.allows(0.0, 1, True, allowed):
        allowed += 1
    for _ in range(allowed - 1):
        assert budget.spend(0.0, 1, True)
    watch = SilenceDetector(LEAST_S)
    silent = UpstreamState(_upstream('silent'))
    other = UpstreamState(_upstream('other'))
    context.broken_off = []
    for number in range(count):
        watch.stream_opened(
            silent,
            partial(context.broken_off.append, number),
            True,
            can_move=lambda others: budget.allows(0.0, 1, True, others),
        )
    watch.stream_opened(other, _no_cut, True)
    watch.data_received(silent, 0.0)
    watch.data_received(other, 1.0)
    watch.check(1.0)


@then('one of them is aborted')
def step_one_broken(context: Context) -> None:
    """Count them."""
    assert len(context.broken_off) == 1, context.broken_off


def _upstream(upstream_id: str) -> Upstream:
    return Upstream(upstream_id, 'models', '127.0.0.1:1', 'east', 4, False, {})
