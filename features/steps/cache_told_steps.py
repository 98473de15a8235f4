"""Check what an agent tells routers of its cache and of widths."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from hypothesis import given as for_any
from hypothesis import strategies as draw
from lacewing_daemon.agent._cache import CacheKnowledge
from lacewing_daemon.agent._digest import Digest
from lacewing_daemon.agent._digest import KEPT_S
from lacewing_daemon.agent._digest import MESSAGE_BYTES
from lacewing_daemon.agent._levels import LevelTable
from support.cache_bench import block
from support.cache_bench import CHECKED
from support.cache_bench import PROMPT
from support.cache_bench import run
from support.cache_bench import start_of
from support.cache_bench import stored_event


@then('for any changes the bytes told stay within the allowance')
def within_allowance(context: Context) -> None:
    """Let time pass and count what is told."""
    steps = draw.lists(
        draw.tuples(draw.integers(0, 30), draw.integers(1, 2000)),
        min_size=1,
        max_size=60,
    )

    @CHECKED
    @for_any(steps, draw.sampled_from((4.6, 50.0, 444.0)))
    def check(drawn: list[tuple[int, int]], bytes_s: float) -> None:
        digest = Digest(bytes_s, 0.0)
        now_s = 0.0
        told = 0.0
        for changed, passed_ms in drawn:
            now_s += passed_ms / 1000
            for number in range(changed):
                digest.change(block(number), number % 2 == 0)
            if not digest.earn(now_s):
                continue
            stored, evicted = digest.take()
            told += MESSAGE_BYTES + len(stored) + len(evicted)
        at_once = max(MESSAGE_BYTES, KEPT_S * bytes_s)
        assert told <= at_once + now_s * bytes_s, (told, now_s)

    check()


@given('a router that allows 200 bytes a second')
def allowing(context: Context) -> None:
    """Start a digest."""
    context.digest = Digest(200.0, 0.0)


@when('a level is stored, evicted and stored again')
def thrice(context: Context) -> None:
    """Note three changes of one level."""
    for stored in (True, False, True):
        context.digest.change(block(1), stored)


@then('the router is told once that it is stored')
def told_once(context: Context) -> None:
    """Take two messages."""
    assert context.digest.earn(1.0)
    assert context.digest.take() == (block(1), b'')
    assert context.digest.earn(2.0)
    assert context.digest.take() == (b'', b'')


@given('an agent that served a prompt once')
def served_once(context: Context) -> None:
    """Count one use."""
    context.told = []
    context.knowledge = CacheKnowledge(
        lambda: 1, lambda key, stored: context.told.append((key, stored))
    )
    run(context.knowledge.begin(start_of()))


@when("the engine stores the prompt's levels")
def engine_stores(context: Context) -> None:
    """Take the event."""
    context.knowledge.view.take(stored_event())


@then('no level is told')
def none_told(context: Context) -> None:
    """Check that the digest got nothing."""
    assert not context.told, context.told


@when('the prompt is served again')
def served_again(context: Context) -> None:
    """Count another use."""
    run(context.knowledge.begin(start_of(1)))


@then('its shared levels are told as stored')
def levels_told(context: Context) -> None:
    """Check the digest's input."""
    keys = {PROMPT.blocks[level - 1] for level in PROMPT.levels}
    assert set(context.told) == {(key, True) for key in keys}, context.told


@given(
    'an agent whose worker spends {percent:d} percent of its time on a prefix'
)
def busy_with(context: Context, percent: int) -> None:
    """Add work for some seconds."""
    context.levels = LevelTable()
    context.now_s = 0.0
    start = start_of()
    context.levels.use(start)
    for _ in range(200):
        context.now_s += 0.1
        context.levels.work(start, percent, context.now_s)


@then('its answers ask for one worker more')
def one_more(context: Context) -> None:
    """Check the width for a router that uses two."""
    start = start_of(width=2)
    assert context.levels.width(start, context.now_s) == 3


@then('its answers ask for as many workers as the router uses')
def as_many(context: Context) -> None:
    """Check widths of some routers."""
    for width in (1, 2):
        start = start_of(width=width)
        found = context.levels.width(start, context.now_s)
        assert found == width, (width, found)


@when('the prefix is quiet for {seconds:d} seconds')
def quiet(context: Context, seconds: int) -> None:
    """Let time pass."""
    context.now_s += seconds


@then('its answers ask for fewer workers, down to one')
def fewer(context: Context) -> None:
    """Follow the width as a router would."""
    width = 4
    for _ in range(5):
        width = context.levels.width(start_of(width=width), context.now_s)
    assert width == 1, width
