"""Check the agent's view of a cache, its digests and the kept KV cache."""

import asyncio
import socket
from collections.abc import Coroutine
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import TypeVar

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as draw
from lacewing_common.prefix import chain
from lacewing_common.prefix import HASH_BYTES
from lacewing_common.wire import AttemptId
from lacewing_common.wire import CacheReport
from lacewing_common.wire import Start
from lacewing_daemon.agent._cache import CacheKnowledge
from lacewing_daemon.agent._cache import Run
from lacewing_daemon.agent._cache_follower import CacheFollower
from lacewing_daemon.agent._cache_follower import SNAPSHOT_PATH
from lacewing_daemon.agent._cache_view import CacheEvent
from lacewing_daemon.agent._cache_view import CacheSnapshot
from lacewing_daemon.agent._cache_view import CacheView
from lacewing_daemon.agent._cache_view import EventKind
from lacewing_daemon.agent._digest import Digest
from lacewing_daemon.agent._digest import KEPT_S
from lacewing_daemon.agent._digest import MESSAGE_BYTES
from lacewing_daemon.agent._kv_client import KvClient
from lacewing_daemon.agent._levels import LevelTable
from lacewing_daemon.agent._transfer import AnswerStart
from lacewing_daemon.agent._worker import AnswerSink
from lacewing_daemon.agent._worker import Broken
from lacewing_daemon.agent._worker import Whole
from lacewing_daemon.agent._worker import WorkerRequest

CHECKED = settings(max_examples=80, deadline=None, derandomize=True)
LIMIT_S = 20.0
T = TypeVar('T')

kinds = draw.sampled_from((EventKind.STORED, EventKind.EVICTED))
changes = draw.lists(
    draw.tuples(kinds, draw.sets(draw.integers(0, 20), min_size=1)),
    min_size=1,
    max_size=30,
)


def name(number: int) -> str:
    """Return the hex name of a block."""
    return number.to_bytes(HASH_BYTES, 'big').hex()


def block(number: int) -> bytes:
    """Return the hash of a block."""
    return number.to_bytes(HASH_BYTES, 'big')


def event(
    sequence: int,
    blocks: set[int],
    kind: EventKind = EventKind.STORED,
    epoch: str = 'e1',
) -> CacheEvent:
    """Return an event."""
    names = tuple(name(number) for number in sorted(blocks))
    return CacheEvent(epoch, sequence, kind, names)


def snapshot(
    sequence: int, blocks: set[int], epoch: str = 'e1'
) -> CacheSnapshot:
    """Return a snapshot."""
    names = tuple(name(number) for number in sorted(blocks))
    return CacheSnapshot(epoch, sequence, names)


def ignore(_block: bytes, _stored: bool) -> None:
    """Take a change and do nothing."""


def holds(view: CacheView) -> set[int]:
    """Return the numbers of the blocks that a view holds."""
    return {number for number in range(200) if block(number) in view}


def applied(held: set[int], kind: EventKind, numbers: set[int]) -> set[int]:
    """Return a cache after an event."""
    if kind is EventKind.STORED:
        return held | numbers
    return held - numbers


def run(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine with a limit."""
    return asyncio.run(asyncio.wait_for(work, LIMIT_S))


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


PROMPT = chain(bytes(16), (b'a' * 2560, b'b' * 1280, b'question'))


def start_of(number: int = 0, width: int = 1) -> Start:
    """Return a Start of the prompt."""
    return Start(
        attempt=AttemptId('router', number, 1),
        request_id=str(number),
        team='rahmat',
        service='tutor',
        method='POST',
        path='/',
        content_type='',
        body=b'',
        blocks=b''.join(PROMPT.blocks),
        levels=PROMPT.levels,
        width=width,
        use_kept=True,
    )


def stored_event(sequence: int = 1) -> CacheEvent:
    """Return the event that all of the prompt was stored."""
    names = tuple(each.hex() for each in PROMPT.blocks)
    return CacheEvent('e1', sequence, EventKind.STORED, names)


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


class FakeMover:
    """Hold blocks in memory and count what is moved."""

    def __init__(self, kept: tuple[bytes, ...] = (), pause_s: float = 0.0):
        self.kept = set(kept)
        self.pause_s = pause_s
        self.asked = False
        self.imports: list[tuple[bytes, ...]] = []
        self.exports: list[tuple[bytes, ...]] = []

    async def held(self, blocks: tuple[bytes, ...]) -> int:
        """Return how many leading blocks are kept."""
        count = 0
        for each in blocks:
            if each not in self.kept:
                break
            count += 1
        return count

    async def import_blocks(self, blocks: tuple[bytes, ...]) -> int:
        """Count an import."""
        self.imports.append(blocks)
        await asyncio.sleep(self.pause_s * len(blocks))
        return len(blocks)

    async def export_blocks(self, blocks: tuple[bytes, ...]) -> int:
        """Count an export."""
        self.exports.append(blocks)
        self.kept.update(blocks)
        return len(blocks)

    def close(self) -> None:
        """Hold nothing open."""


def shared_blocks() -> tuple[bytes, ...]:
    """Return the blocks of the prompt's shared levels."""
    return PROMPT.blocks[: PROMPT.levels[-1]]


def knowledge_with(context: Context, mover: FakeMover) -> None:
    """Give an agent a store."""
    context.mover = mover
    context.knowledge = CacheKnowledge(lambda: 1, ignore)
    context.kept = context.knowledge.keep_in(mover)


@given('a store that keeps all shared levels of a prompt')
def keeping_store(context: Context) -> None:
    """Keep the shared levels."""
    knowledge_with(context, FakeMover(shared_blocks()))


@given('a store that keeps nothing')
def empty_store(context: Context) -> None:
    """Keep nothing."""
    knowledge_with(context, FakeMover())


class UnreachableMover(FakeMover):
    """Ask a store whose port is closed, through the real client."""

    async def held(self, blocks: tuple[bytes, ...]) -> int:
        """Ask in vain."""
        with socket.socket() as closed:
            closed.bind(('127.0.0.1', 0))
            url = f'http://127.0.0.1:{closed.getsockname()[1]}'
        client = KvClient(url, url)
        try:
            return await client.held(blocks)
        finally:
            client.close()


class NonsenseMover(FakeMover):
    """Ask a store that answers with a page, through the real client."""

    async def held(self, blocks: tuple[bytes, ...]) -> int:
        """Ask and get a page."""
        server = await asyncio.start_server(self._answer, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        client = KvClient(f'http://127.0.0.1:{port}', 'http://127.0.0.1:1')
        try:
            return await client.held(blocks)
        finally:
            client.close()
            server.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        self.asked = True
        page = b'<html>at work</html>'
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(page)
        writer.write(head + page)
        await writer.drain()
        writer.close()


@given('a store that answers with an HTML page')
def nonsense_store(context: Context) -> None:
    """Have a store that is ill."""
    knowledge_with(context, NonsenseMover(shared_blocks()))


@given('a store that does not answer')
def unreachable_store(context: Context) -> None:
    """Let nothing listen where the store is said to be."""
    knowledge_with(context, UnreachableMover(shared_blocks()))


@given('imports that take longer than computing')
def dear_imports(context: Context) -> None:
    """Learn cheap blocks."""
    for _ in range(200):
        context.knowledge.prefill.learn(10.0, 30.0)
        context.knowledge.prefill.learn(20.0, 30.5)
    assert context.knowledge.prefill.ms_per_block < context.kept.import_ms


@when('the prompt is about to run where nothing is cached')
def about_to_run(context: Context) -> None:
    """Prepare a request."""
    run(context.knowledge.begin(start_of()))


@then('the engine imports the shared levels')
def imported(context: Context) -> None:
    """Check the one import; the last level may be the request's own."""
    wanted = PROMPT.blocks[: PROMPT.levels[-2]]
    assert context.mover.imports == [wanted], context.mover.imports


@then('the engine imports nothing')
def imported_nothing(context: Context) -> None:
    """Check that no import was made."""
    assert not context.mover.imports, context.mover.imports


@when('the prompt is served {times:d} times')
def served_times(context: Context, times: int) -> None:
    """Serve and let the exports run."""

    async def serve() -> None:
        exporting = asyncio.create_task(context.kept.run())
        for number in range(times):
            ended = await context.knowledge.begin(start_of(number))
            ended.end(CacheReport('e1', 0, len(PROMPT.blocks)))
            await asyncio.sleep(0)
        while not context.mover.exports:
            await asyncio.sleep(0.01)
        exporting.cancel()
        await asyncio.wait([exporting])

    run(serve())


@then('the shared levels are exported once')
def exported_once(context: Context) -> None:
    """Check the exports."""
    assert context.mover.exports == [shared_blocks()], context.mover.exports


async def settle() -> None:
    """Let all tasks go on as far as they can."""
    for _ in range(20):
        await asyncio.sleep(0)


@given('a prompt that is being computed')
def being_computed(context: Context) -> None:
    """Begin a first request."""
    context.runner = context.resources.enter_context(asyncio.Runner())
    context.knowledge = CacheKnowledge(lambda: 1, ignore)
    context.first = context.runner.run(context.knowledge.begin(start_of(1)))


@when('its twin is about to run')
def twin_begins(context: Context) -> None:
    """Begin a second request; it must not be ready."""
    knowledge: CacheKnowledge = context.knowledge

    async def begin() -> asyncio.Task[Run]:
        twin = asyncio.create_task(knowledge.begin(start_of(2)))
        await settle()
        return twin

    context.twin = context.runner.run(begin())
    assert not context.twin.done()


@when('the first one fails')
def first_fails(context: Context) -> None:
    """Stop the first without a byte."""
    context.first.stop()


@then("the twin waits until the first one's first token")
def waits_for_token(context: Context) -> None:
    """Give the first its token."""
    context.first.first_byte()
    twin_goes_on(context)


@then('the twin goes on')
def twin_goes_on(context: Context) -> None:
    """Check that the twin is ready."""
    context.runner.run(settle())
    assert context.twin.done()
