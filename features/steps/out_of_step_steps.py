"""Check take-ups of streams at a router that gets no news for a while."""

import asyncio
import time
from http.client import HTTPConnection
from http.client import IncompleteRead
from typing import Any
from unittest.mock import patch

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct import Upstream
from lacewing_daemon.direct._clock import boot_s
from lacewing_daemon.direct._connection import connect
from lacewing_daemon.direct._upstream import UnknownSoftware
from lacewing_platform._control import PlatformControl
from lacewing_platform_testing import Behaviour
from lacewing_platform_testing import FakeUpstream
from lacewing_platform_testing._server import FakeServer
from lacewing_platform_testing._server import ReceivedRequest
from structlog.testing import capture_logs
from support.direct_bench import Answer
from support.direct_bench import direct_bench
from support.direct_bench import DirectBench
from support.direct_bench import HOST
from support.direct_bench import KEY
from support.direct_bench import PREFIX
from support.direct_bench import PROMPT
from tornado.iostream import IOStream

PATH = '/chat/software'
SECOND = 1
# A long stream, so that its upstream ends under it.
LONG_EVENT_COUNT = 20
LONG_PAUSE_S = 0.1
START_GAP_S = 0.05


class StoreEntrance:
    """Pass calls on to a store, until it is cut off."""

    def __init__(self, bench: DirectBench) -> None:
        self._store = bench.store
        self._is_cut = False
        self.server = FakeServer(self._handle)

    def cut(self) -> None:
        """Answer nothing from now on, open calls included."""
        self._is_cut = True
        self.server.reset_all()

    async def _handle(self, received: ReceivedRequest) -> None:
        if self._is_cut:
            await asyncio.Event().wait()
        await self._store.server.handle(received)


@given('a router 2 with a connection of its own to the store')
def step_entrance(context: Context) -> None:
    """Let the second router reach the store through an entrance."""
    bench = direct_bench(context)
    entrance = StoreEntrance(bench)
    bench.on_loop(entrance.server.start)
    context.resources.callback(bench.on_loop, entrance.server.close)
    bench.store_addresses['router-2'] = entrance.server.address
    context.entrance = entrance


@given('{count:d} streams of which router 1 has relayed the first event')
def step_streams_begun(context: Context, count: int) -> None:
    """Read one event of each stream, and leave."""
    context.streams = [
        begin_and_leave(direct_bench(context), number)
        for number in range(count)
    ]


@when(
    '{count:d} streams of which router 1 has relayed the first event'
    ' from "{name}"'
)
def step_streams_begun_at(context: Context, count: int, name: str) -> None:
    """Let all other engines refuse while the streams begin."""
    bench = direct_bench(context)
    others = [
        upstream
        for upstream in bench.upstreams.values()
        if upstream.upstream_id != name
    ]
    for upstream in others:
        upstream.always = Behaviour.SHED
    step_streams_begun(context, count)
    for upstream in others:
        upstream.always = None


@given('router 2 relays a stream of one of them')
def step_stream_open(context: Context) -> None:
    """Read the first event of a long stream; no other engine is connected."""
    bench = direct_bench(context)
    for upstream in bench.upstreams.values():
        upstream.event_count = LONG_EVENT_COUNT
        upstream.pause_s = LONG_PAUSE_S
    context.connection = bench.connect(SECOND)
    _send(context.connection, 'open-stream', 100, {})
    context.response = context.connection.getresponse()
    context.events = context.response.read1()
    names = [
        upstream.upstream_id
        for upstream in bench.upstreams.values()
        if upstream.received
    ]
    assert len(names) == 1, names
    context.streaming = names[0]


@when(
    'the other one starts again with software "{software}", as router 1 knows'
)
def step_other_starts(context: Context, software: str) -> None:
    """Start the engine without a stream."""
    for name in direct_bench(context).upstreams:
        if name != context.streaming:
            step_starts_again(context, name, software)


@when('the one with the stream ends')
def step_streaming_ends(context: Context) -> None:
    """Crash it; it does not start again."""
    bench = direct_bench(context)
    bench.on_loop(bench.upstreams[context.streaming].crash)


@when('no call of router 2 reaches the store')
def step_store_cut(context: Context) -> None:
    """Cut the second router off from the store."""
    direct_bench(context).on_loop(context.entrance.cut)


@when('"{name}" starts again with software "{software}", as router 1 knows')
def step_starts_again(context: Context, name: str, software: str) -> None:
    """Start it under its id and address; the first router knows its entry."""
    bench = direct_bench(context)
    _start_again(bench, name, software)
    bench.register(name)
    _until_known(bench, name, software)


@when('"{name}" starts again with software "{software}", without an entry')
def step_starts_unseen(context: Context, name: str, software: str) -> None:
    """Start it under its id and address; its entry stays as it was."""
    _start_again(direct_bench(context), name, software)


@when('an engine "{name}" of software "{software}" joins, as router 1 knows')
def step_joins(context: Context, name: str, software: str) -> None:
    """Start an engine; the first router knows it."""
    bench = direct_bench(context)
    bench.add_upstream(name, 'models', software=software)
    _until_known(bench, name, software)


@when('router 1 learns of the start by a report')
def step_learns(context: Context) -> None:
    """Ask for streams until one has shown the start."""
    bench = direct_bench(context)
    cluster_state = bench.routers[0]._fleet.cluster_state

    def has_learnt() -> bool:
        bench.ask_model(PATH)
        state = cluster_state.upstream('eng-1')
        if state is None:
            return False
        return state.upstream.software is UnknownSoftware.NO_ENTRY

    bench.until(has_learnt, 'a start without an entry')


@when('the entry of "{name}" tells of software "{software}"')
def step_entry_tells(context: Context, name: str, software: str) -> None:
    """Write the entry of the new start; the first router knows it."""
    bench = direct_bench(context)
    bench.register(name)
    _until_known(bench, name, software)


@then('router 1 remembers software "{first}" and "{second}"')
def step_remembers(context: Context, first: str, second: str) -> None:
    """Check the history of versions."""
    history = direct_bench(context).routers[0]._fleet.stream_origins.history
    assert history.recent_software('models') == {first, second}


@when('"{name}" answers no report')
def step_no_report(context: Context, name: str) -> None:
    """Serve all but reports."""
    server = direct_bench(context).upstreams[name].server
    usual = server.handle

    async def handle(received: ReceivedRequest) -> None:
        if received.path == '/report':
            await asyncio.Event().wait()
        await usual(received)

    server.handle = handle


@when('the streams are taken up at router 2')
def step_taken_up(context: Context) -> None:
    """Ask for the rest of each stream."""
    bench = direct_bench(context)
    context.took_s = []
    with capture_logs() as context.log:
        for number, stream in enumerate(context.streams):
            asked_s = time.monotonic()
            take_up(bench, stream, number)
            context.took_s.append(time.monotonic() - asked_s)
    context.answers = bench.answers[-len(context.streams) :]


@then('no stream goes on at software "{software}"')
def step_none_at(context: Context, software: str) -> None:
    """Check the events of all answers."""
    for answer in context.answers:
        assert answer.status in (200, 503), answer
        assert software.encode() not in answer.body, answer


@then('at least {count:d} streams go on at software "{software}"')
def step_some_at(context: Context, count: int, software: str) -> None:
    """Count the answers with events of the version."""
    found = 0
    for answer in context.answers:
        found += answer.status == 200 and software.encode() in answer.body
    assert found >= count, context.answers


@then('each take-up was refused within {limit_s:f} s')
def step_refused(context: Context, limit_s: float) -> None:
    """Check status, Retry-After and time."""
    for answer, took_s in zip(context.answers, context.took_s, strict=True):
        assert answer.status == 503, answer
        assert 'Retry-After' in answer.headers, answer
        assert took_s <= limit_s, took_s


@then('the log tells that their versions were {origin}')
def step_logged(context: Context, origin: str) -> None:
    """Check the lines of the take-ups that were answered."""
    answered = 0
    for line in context.log:
        if line['event'] != 'Request answered.':
            continue
        answered += 1
        assert line['origin'] == origin, line
        assert not line['tries'][-1].get('unconfirmed'), line
    assert answered, context.log


@then('the open stream holds events of software "{software}" only')
def step_open_stream(context: Context, software: str) -> None:
    """Read the rest, if there is any."""
    try:
        context.events += context.response.read()
    except IncompleteRead as error:
        context.events += error.partial
    context.connection.close()
    for line in context.events.split(b'\n'):
        if line.startswith(b'data:'):
            assert line.split()[-1] == software.encode(), context.events


@when('a connection to an upstream takes {delay_s:f} s to open')
def step_slow_connect(context: Context, delay_s: float) -> None:
    """Delay the end of the connect."""
    bench = direct_bench(context)
    upstream = bench.add_upstream('eng-1', 'models')

    opens = IOStream.connect

    async def open_late(stream: IOStream, address: Any) -> IOStream:
        await asyncio.sleep(delay_s)
        return await opens(stream, address)

    async def open_one() -> None:
        asked_s = boot_s()
        with patch.object(IOStream, 'connect', open_late):
            connection = await connect(upstream.server.address, 1.0)
        context.opened_after_s = connection.opened_s - asked_s
        connection.close()

    context.delay_s = delay_s
    bench.run(open_one())


@then('it counts as opened after that time')
def step_opened_after(context: Context) -> None:
    """Check the time."""
    assert context.opened_after_s >= context.delay_s, context.opened_after_s


@given('{silent:d} engines that answer no report and 1 that does')
def step_silent_engines(context: Context, silent: int) -> None:
    """Start them."""
    bench = direct_bench(context)
    upstreams = [FakeUpstream(f'eng-{each}', 'm') for each in range(silent)]
    for upstream in upstreams:
        upstream.server.handle = _answer_nothing
    context.upstreams = [*upstreams, FakeUpstream('sound', 'm')]
    for upstream in context.upstreams:
        bench.on_loop(upstream.server.start)
        context.resources.callback(bench.on_loop, upstream.server.close)


@when('reports of all of them are requested at once')
def step_request_reports(context: Context) -> None:
    """Request the report of the sound one last."""
    bench = direct_bench(context)

    async def request_all() -> None:
        control = PlatformControl()
        calls = []
        for each in context.upstreams:
            entry = Upstream(
                each.upstream_id, 'm', each.server.address, 'e', 4, False, {}
            )
            calls.append(asyncio.create_task(control.report(entry)))
        context.report = await calls[-1]
        context.still_wait = [not call.done() for call in calls[:-1]]
        await asyncio.gather(*calls)
        control.close()

    bench.run(request_all())


@then('the report of the one that answers comes while the others wait')
def step_report_came(context: Context) -> None:
    """Check the report and the other calls."""
    assert context.report is not None
    assert all(context.still_wait), context.still_wait


async def _answer_nothing(_received: ReceivedRequest) -> None:
    await asyncio.Event().wait()


def _start_again(bench: DirectBench, name: str, software: str) -> None:
    """Crash an upstream and start it under its id and address."""
    upstream = bench.upstreams[name]
    bench.on_loop(upstream.crash)
    time.sleep(START_GAP_S)

    def start() -> None:
        upstream.start_new_incarnation()
        upstream.software = software
        upstream.server.start(upstream.server.port)

    bench.on_loop(start)


def _until_known(bench: DirectBench, name: str, software: str) -> None:
    """Wait until the first router knows the software of an upstream."""
    cluster_state = bench.routers[0]._fleet.cluster_state

    def is_known() -> bool:
        found = cluster_state.upstream(name)
        return found is not None and found.upstream.software == software

    bench.until(is_known, f'{name} of software {software}')


def begin_and_leave(bench: DirectBench, number: int, at: int = 0) -> str:
    """Read the first event at a router; return the request's id."""
    for upstream in bench.upstreams.values():
        if upstream.always is None:
            upstream.script.append(Behaviour.STALLS)
    begun: list[str] = []

    def has_begun() -> bool:
        # An engine that has just started again may still be excluded.
        request_id = f'stream-{number}-{len(begun)}'
        begun.append(request_id)
        connection = bench.connect(at)
        _send(connection, request_id, number, {})
        response = connection.getresponse()
        is_begun = response.status == 200 and response.read1() != b''
        connection.close()
        return is_begun

    bench.until(has_begun, 'a stream that begins')
    for upstream in bench.upstreams.values():
        upstream.script.clear()
    return begun[-1]


def _send(
    connection: HTTPConnection,
    request_id: str,
    number: int,
    headers: dict[str, str],
) -> None:
    """Ask with a prompt of its own."""
    sent = {
        **PROMPT,
        'Host': HOST,
        'Authorization': f'Token {KEY}',
        PREFIX + 'Request-Id': request_id,
        PREFIX + 'Deadline-Ms': '10000',
        PREFIX + 'Prompt-Prefix': f'a{number}:100,b{number}:200',
        **headers,
    }
    connection.request('POST', PATH, b'prompt', sent)


def take_up(
    bench: DirectBench, stream: str, number: int, at: int = SECOND
) -> Answer:
    """Ask a router, by default the second, for the later events."""
    connection = bench.connect(at)
    headers = {
        'Last-Event-Id': '1',
        'Resumes': stream,
        PREFIX + 'Prompt-Prefix': f'a{number}:100,b{number}:200',
    }
    try:
        return bench.ask_on(
            connection, PATH, KEY, 'POST', b'prompt', **{**PROMPT, **headers}
        )
    finally:
        connection.close()
