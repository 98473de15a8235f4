"""Check the agent's view of an engine's cache and how it follows it."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from hypothesis import given as for_any
from hypothesis import strategies as draw
from lacewing_daemon.agent._cache_follower import CacheFollower
from lacewing_daemon.agent._cache_follower import SNAPSHOT_PATH
from lacewing_daemon.agent._cache_view import CacheView
from lacewing_daemon.agent._cache_view import EventKind
from lacewing_daemon.agent._transfer import AnswerStart
from lacewing_daemon.agent._worker import AnswerSink
from lacewing_daemon.agent._worker import Broken
from lacewing_daemon.agent._worker import Whole
from lacewing_daemon.agent._worker import WorkerRequest
from support.cache_bench import block
from support.cache_bench import CHECKED
from support.cache_bench import event
from support.cache_bench import ignore
from support.cache_bench import run
from support.cache_bench import snapshot

kinds = draw.sampled_from((EventKind.STORED, EventKind.EVICTED))
changes = draw.lists(
    draw.tuples(kinds, draw.sets(draw.integers(0, 20), min_size=1)),
    min_size=1,
    max_size=30,
)


def holds(view: CacheView) -> set[int]:
    """Return the numbers of the blocks that a view holds."""
    return {number for number in range(200) if block(number) in view}


def applied(held: set[int], kind: EventKind, numbers: set[int]) -> set[int]:
    """Return a cache after an event."""
    if kind is EventKind.STORED:
        return held | numbers
    return held - numbers


@then('any events without a gap give the cache, known to be exact')
def no_gap(context: Context) -> None:
    """Compare the view with a set that takes the same events."""

    @CHECKED
    @for_any(changes)
    def check(drawn: list[tuple[EventKind, set[int]]]) -> None:
        view = CacheView(ignore)
        held: set[int] = set()
        for index, (kind, numbers) in enumerate(drawn):
            view.take(event(index + 1, numbers, kind))
            held = applied(held, kind, numbers)
        assert view.exact
        assert holds(view) == held

    check()


@then('any lost event is noticed by the next one, and a snapshot repairs it')
def gap_repaired(context: Context) -> None:
    """Lose one of the events, then take a snapshot."""

    @CHECKED
    @for_any(changes, draw.data())
    def check(
        drawn: list[tuple[EventKind, set[int]]], data: draw.DataObject
    ) -> None:
        lost = data.draw(draw.integers(0, len(drawn) - 1))
        view = CacheView(ignore)
        view.reset(snapshot(0, set()))
        held: set[int] = set()
        for index, (kind, numbers) in enumerate(drawn):
            held = applied(held, kind, numbers)
            if index != lost:
                view.take(event(index + 1, numbers, kind))
        is_last = lost == len(drawn) - 1
        assert view.exact == is_last
        view.reset(snapshot(len(drawn), held))
        assert view.exact
        assert holds(view) == held

    check()


@given("a view of an engine's cache")
def some_view(context: Context) -> None:
    """Let a view take two events."""
    context.view = CacheView(ignore)
    context.view.take(event(1, {1, 2}))
    context.view.take(event(2, {3}))


@when('an event of another epoch comes')
def other_epoch(context: Context) -> None:
    """Take an event of the engine's next run."""
    context.view.take(event(1, {9}, epoch='e2'))


@then('the view holds only what that event stored')
def only_new(context: Context) -> None:
    """Check that the former run's blocks are gone."""
    assert context.view.epoch == 'e2'
    assert holds(context.view) == {9}


@when('a snapshot comes that is older than the last event')
def old_snapshot(context: Context) -> None:
    """Take a snapshot of before the second event."""
    context.view.reset(snapshot(1, {1, 2}))


@then('the view holds what the events said')
def as_events_said(context: Context) -> None:
    """Check that nothing was taken back."""
    assert holds(context.view) == {1, 2, 3}


@dataclass
class FakeEngine:
    """Send events, some of them lost, and snapshots."""

    lost: set[int] = field(default_factory=set)
    breaks: bool = False
    count: int = 8
    snapshots: int = 0
    last: int = 0

    @property
    def held(self) -> set[int]:
        """Return what is cached after the events so far."""
        held: set[int] = set()
        for sequence in range(1, self.last + 1):
            held = applied(held, *self._change(sequence))
        return held

    def _change(self, sequence: int) -> tuple[EventKind, set[int]]:
        if sequence % 3 == 0:
            return EventKind.EVICTED, {sequence - 1}
        return EventKind.STORED, {sequence}

    async def get(self, path: str) -> bytes | Broken:
        """Answer a snapshot."""
        assert path == SNAPSHOT_PATH, path
        self.snapshots += 1
        return msgspec.json.encode(snapshot(self.last, self.held))

    async def exchange(
        self, request: WorkerRequest, sink: AnswerSink
    ) -> Whole | Broken:
        """Send events after the one named, then wait or break."""
        after = int(dict(request.headers)['Last-Event-ID'])
        start = AnswerStart(200, 'text/event-stream', '', '')
        sink.head(start)
        for sequence in range(after + 1, self.count + 1):
            self.last = max(self.last, sequence)
            if sequence in self.lost:
                continue
            kind, numbers = self._change(sequence)
            data = msgspec.json.encode(event(sequence, numbers, kind))
            sink.body(b'id: %d\ndata: %b\n\n' % (sequence, data))
            await asyncio.sleep(0)
            if self.breaks:
                return Broken(True, 'the stream broke')
        await asyncio.Event().wait()
        return Whole(start)


@given('an engine whose events 2 and 3 are lost')
def losing_engine(context: Context) -> None:
    """Lose a stored and an evicted block's event."""
    context.engine = FakeEngine(lost={2, 3})


@given('an engine whose event stream breaks after each event')
def breaking_engine(context: Context) -> None:
    """Break the stream after each event."""
    context.engine = FakeEngine(breaks=True)


@when('the agent follows it')
def follows(context: Context) -> None:
    """Follow until the view is the cache, or the limit is over."""
    view = CacheView(ignore)
    context.view = view
    engine: FakeEngine = context.engine

    async def follow() -> None:
        # The fake has the two calls of a worker that the follower makes.
        worker: Any = engine
        follower = CacheFollower(worker, lambda: True, view)
        task = asyncio.create_task(follower.run())
        while engine.last < engine.count or not view.exact:
            await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.wait([task])

    run(follow())


@then("the agent's view becomes the engine's cache")
def view_is_cache(context: Context) -> None:
    """Compare both."""
    assert holds(context.view) == context.engine.held
    assert context.engine.snapshots > 1
