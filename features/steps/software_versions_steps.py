"""Check that streams go on only at the software version that began them."""

import time
from dataclasses import dataclass
from http.client import HTTPConnection
from http.client import HTTPResponse
from http.client import IncompleteRead

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct._cluster_state import ClusterState
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._site import UpstreamReport
from lacewing_daemon.direct._upstream import Upstream
from lacewing_daemon.direct.origins import Question
from lacewing_daemon.direct.origins import UnknownOrigin
from lacewing_platform_testing import Behaviour
from lacewing_platform_testing import StoreMode
from steps.direct_steps import ALL_EVENTS
from support.direct_bench import Answer
from support.direct_bench import BOUNDS
from support.direct_bench import direct_bench
from support.direct_bench import DirectBench
from support.direct_bench import HOST
from support.direct_bench import KEY
from support.direct_bench import MODEL
from support.direct_bench import OTHER_KEY
from support.direct_bench import PREFIX
from support.direct_bench import PROMPT
from support.direct_bench import route
from support.origin_fleet import SilentCalls

FIRST_EVENT = ALL_EVENTS[: ALL_EVENTS.index(b'id: 2')]
FIRST_REQUEST = 'brought-the-first-event'
NO_STREAM = Question(bytes(16), 'models', 1000.0)
NO_RECORD = UnknownOrigin.NO_RECORD
LIMIT_S = 15.0
EVENT_COUNT = 4
EVENT_GAP_S = 0.01
# The factor of events, and of their gaps, in streams that stay open.
LONG_FACTOR = 10
# Events of a stream under which its engine ends.
OPEN_EVENT_COUNT = 15
# How long an engine that starts again accepts no connection.
ENDED_S = 0.3


@dataclass
class OpenStream:
    """Hold a stream of which the first event was read."""

    connection: HTTPConnection
    response: HTTPResponse
    events: bytes

    def read(self) -> None:
        """Read the rest, if there is any."""
        try:
            self.events += self.response.read()
        except IncompleteRead as error:
            self.events += error.partial
        self.connection.close()

    @property
    def versions(self) -> set[bytes]:
        """Return the versions that its events name."""
        return _versions(self.events)


@given('an engine "{name}" of software "{software}"')
def step_engine(context: Context, name: str, software: str) -> None:
    """Start an engine; all routers know it."""
    bench = direct_bench(context)
    bench.add_upstream(name, 'models', software=software)
    for router in bench.routers:
        bench.until(
            lambda: name in router.upstream_ids,
            f'a router that knows {name}',
        )


@given('{count:d} routers that know each other')
def step_routers(context: Context, count: int) -> None:
    """Start routers and wait until each can call all others."""
    bench = direct_bench(context)
    for number in range(1, count + 1):
        bench.start_router(f'router-{number}')
    bench.until_ready()
    for router in bench.routers:
        bench.until(
            lambda: len(router.peer_addresses) == count - 1,
            'routers that know each other',
        )
        if count > 1:
            origins = router._fleet.stream_origins
            bench.until(
                lambda: bench.run(origins.find(NO_STREAM)) is NO_RECORD,
                'routers that answer each other',
            )


@given('"{name}" is draining')
def step_draining(context: Context, name: str) -> None:
    """Register an upstream as draining; all routers know it."""
    bench = direct_bench(context)
    bench.register(name, 'draining')
    for router in bench.routers:
        state = router._fleet.cluster_state.upstream(name)
        assert state is not None
        bench.until(lambda: state.upstream.leaving, f'{name} to leave')


@given('a caller that read the first event of a stream at router {number:d}')
def step_first_event(context: Context, number: int) -> None:
    """Read one event of a stream that stalls, and leave."""
    bench = direct_bench(context)
    for upstream in bench.upstreams.values():
        upstream.script.append(Behaviour.STALLS)
    _begin(bench, number - 1, FIRST_REQUEST).close()
    for upstream in bench.upstreams.values():
        upstream.script.clear()


@given('the entry of "{name}" names software "{software}"')
def step_entry(context: Context, name: str, software: str) -> None:
    """Write another entry of the same start; all routers know it."""
    bench = direct_bench(context)
    bench.upstreams[name].software = software
    revision = bench.store.revision
    bench.register(name)
    for router in bench.routers:
        watcher = router._fleet._upstream_watcher
        bench.until(lambda: watcher.revision > revision, 'the new entry')


@given('"{name}" starts again with software "{software}"')
def step_starts_again(context: Context, name: str, software: str) -> None:
    """Start a new incarnation; all routers know its entry."""
    bench = direct_bench(context)
    bench.upstreams[name].software = software
    bench.start_again(name)
    for router in bench.routers:
        state = router._fleet.cluster_state

        def known() -> bool:
            found = state.upstream(name)
            return found is not None and found.upstream.software == software

        bench.until(known, f'{name} of software {software}')


@given('routers that believe keys for {revoke_s:g} s')
def step_revoke(context: Context, revoke_s: float) -> None:
    """Let routers serve while the store is away."""
    bench = direct_bench(context)
    bench.bounds = msgspec.structs.replace(bench.bounds, revoke_s=revoke_s)


@given('{connection} to each engine')
def step_connection(context: Context, connection: str) -> None:
    """Leave an open stream, or an idle connection, which expires."""
    bench = direct_bench(context)
    is_open = connection == 'an open stream'
    context.open_streams = []
    for upstream in bench.upstreams.values():
        if is_open:
            upstream.event_count *= LONG_FACTOR
            upstream.pause_s *= LONG_FACTOR
    for upstream in bench.upstreams.values():
        while not upstream.received:
            if is_open:
                context.open_streams.append(_begin(bench))
            else:
                assert _ask_new(bench).status == 200


@when('no call reaches the store for {away_s:g} s')
def step_store_away(context: Context, away_s: float) -> None:
    """Let the store answer nothing from now on, and wait."""
    bench = direct_bench(context)

    def leave() -> None:
        bench.store.mode = StoreMode.SILENT

    bench.on_loop(leave)
    time.sleep(away_s)


@when('"{name}" ends and starts again with software "{software}"')
def step_unnoticed(context: Context, name: str, software: str) -> None:
    """Crash it and start it at its address; it can write no entry."""
    bench = direct_bench(context)
    upstream = bench.upstreams[name]
    bench.on_loop(upstream.crash)
    for each in bench.upstreams.values():
        each.event_count = EVENT_COUNT
        each.pause_s = EVENT_GAP_S
    time.sleep(ENDED_S)

    def start() -> None:
        upstream.start_new_incarnation()
        upstream.software = software
        upstream.server.start(upstream.server.port)

    bench.on_loop(start)


@then('no answer holds events of two software versions, with "{name}" cut off')
def step_not_mixed(context: Context, name: str) -> None:
    """Ask until the engine has got some streams, which it cuts off."""
    bench = direct_bench(context)
    upstream = bench.upstreams[name]
    upstream.received.clear()
    end_s = time.monotonic() + LIMIT_S
    while len(upstream.received) < 3:
        assert time.monotonic() < end_s, 'expected streams at the engine'
        upstream.script.clear()
        upstream.script.append(Behaviour.CUT)
        answer = _ask_new(bench)
        assert len(_versions(answer.body)) <= 1, answer.body
    upstream.script.clear()


@when('a stream is open at each engine')
def step_open_streams(context: Context) -> None:
    """Open long streams until each engine has one; read an event of each."""
    bench = direct_bench(context)
    upstreams = bench.upstreams.values()
    for upstream in upstreams:
        upstream.pause_s = EVENT_GAP_S * LONG_FACTOR
        upstream.event_count = OPEN_EVENT_COUNT
        upstream.received.clear()
    context.streams = []
    end_s = time.monotonic() + LIMIT_S
    while not all(upstream.received for upstream in upstreams):
        assert time.monotonic() < end_s, 'expected a stream at each engine'
        context.streams.append(_open_new(bench, len(context.streams)))


@when('"{name}" ends')
def step_ends(context: Context, name: str) -> None:
    """Crash it; it does not start again."""
    bench = direct_bench(context)
    bench.on_loop(bench.upstreams[name].crash)


@then('no stream holds events of two software versions')
def step_none_mixed(context: Context) -> None:
    """Read all open streams to their ends."""
    for stream in context.streams:
        stream.read()
        assert len(stream.versions) == 1, stream.events


@then('each stream is whole')
def step_streams_whole(context: Context) -> None:
    """Read all open streams to their ends."""
    for stream in context.streams:
        stream.read()
        count = stream.events.count(b'id: ')
        assert count == OPEN_EVENT_COUNT, stream.events


@when('"{name}" is not cut off any more')
def step_whole(context: Context, name: str) -> None:
    """Let it send whole streams."""
    direct_bench(context).upstreams[name].script.clear()


@then('streams begin at "{first}" and "{second}"')
def step_both_serve(context: Context, first: str, second: str) -> None:
    """Check that a doubt keeps no new stream away."""
    bench = direct_bench(context)
    for name in (first, second):
        upstream = bench.upstreams[name]
        upstream.received.clear()
        end_s = time.monotonic() + LIMIT_S
        while not upstream.received:
            assert time.monotonic() < end_s, f'expected a stream at {name}'
            _ask_new(bench)


@when('"{name}" cuts off all of its streams, of {count:d} in a row')
def step_cuts_off(context: Context, name: str, count: int) -> None:
    """Ask for streams one after the other."""
    bench = direct_bench(context)
    upstream = bench.upstreams[name]
    context.answers = []
    for _ in range(count):
        upstream.script.clear()
        upstream.script.append(Behaviour.CUT)
        context.answers.append(_ask_new(bench))
    assert len(upstream.received) > 1, len(upstream.received)


@then('each answer is whole')
def step_each_whole(context: Context) -> None:
    """Check status and events."""
    for answer in context.answers:
        assert answer.status == 200, answer
        assert answer.body.count(b'id: ') == 4, answer.body


@when('an engine of software "{software}" reports a later start')
def step_reports_start(context: Context, software: str) -> None:
    """Apply a report before the entry of the start."""
    context.software = software
    context.state = ClusterState(BOUNDS, LoadPolicy())
    entry = Upstream(
        'eng-1', 'models', '127.0.0.1:1', 'east', 4, False, {}, 5, software
    )
    context.state.update_upstream('eng-1', entry)
    report = UpstreamReport(0, False, {MODEL: 1}, 6)
    context.state.apply_report(context.state.upstream('eng-1'), report)


@then('its software is unknown until its entry names it')
def step_unknown_software(context: Context) -> None:
    """Check the state before and after the entry."""
    state = context.state.upstream('eng-1')
    assert not state.upstream.has_same_software(context.software)
    entry = Upstream(
        'eng-1', 'models', '127.0.0.1:1', 'east', 4, False, {}, 6, 'v2'
    )
    context.state.update_upstream('eng-1', entry)
    assert context.state.upstream('eng-1').upstream.has_same_software('v2')


@given('router {number:d} is killed')
@when('router {number:d} is killed')
def step_killed(context: Context, number: int) -> None:
    """Close a router without a drain."""
    bench = direct_bench(context)
    bench.run(bench.routers[number - 1].close())


@given('router {number:d} reaches no peer')
@when('router {number:d} reaches no peer')
def step_no_peer(context: Context, number: int) -> None:
    """Leave the calls of a router unanswered."""
    origins = direct_bench(context).routers[number - 1]._fleet.stream_origins
    origins.connect(SilentCalls())


@given('the route now leads to two services')
def step_two_services(context: Context) -> None:
    """Divide the requests of the route among two services."""
    bench = direct_bench(context)
    split = [
        {'Service': 'models', 'Weight': 1},
        {'Service': 'registry', 'Weight': 99},
    ]
    streams = route('/chat/', 'streaming', '', Resumable=True)
    del streams['Service']
    streams['TrafficSplit'] = split
    bench.configure(Routes=[streams])
    version = bench.config['Version']
    for router in bench.routers:
        bench.until(lambda: router.configuration == version, 'the split')


@given('a system that starts for the first time')
def step_first_start(context: Context) -> None:
    """Start routers with the setting."""
    direct_bench(context).first_start = True


@given('both routers have confirmed the engines')
def step_confirmed(context: Context) -> None:
    """Wait until the routers themselves have confirmed their lists."""
    bench = direct_bench(context)
    for router in bench.routers:
        history = router._fleet.stream_origins.history
        bench.until(lambda: history.observed_s > 0, 'a confirmed list')


@given('both routers have known the engines for long')
def step_known_long(context: Context) -> None:
    """Predate what the routers have observed."""
    for router in direct_bench(context).routers:
        history = router._fleet.stream_origins.history
        history.confirm(0.0)
        history._observed_since_s = float('-inf')


@when('it takes the stream up at router {number:d}')
def step_take_up(context: Context, number: int) -> None:
    """Ask for the events after the first one."""
    take_up(context, number, Resumes=FIRST_REQUEST)


@when('it takes the stream up at router {number:d} ten times')
def step_take_up_often(context: Context, number: int) -> None:
    """Ask for the events after the first one, time and again."""
    for _ in range(10):
        step_take_up(context, number)


@when('it takes the stream up at router {number:d} with {what}')
def step_take_up_with(context: Context, number: int, what: str) -> None:
    """Ask in a way that does not tell which stream it is."""
    if what == 'no Resumes':
        take_up(context, number)
        return
    if what == 'a Resumes made up':
        take_up(context, number, Resumes='made-up')
        return
    authorization = f'Token {OTHER_KEY}'
    take_up(
        context, number, Resumes=FIRST_REQUEST, Authorization=authorization
    )


def take_up(context: Context, number: int, **headers: str) -> None:
    """Ask a router for the events after the first one."""
    bench = direct_bench(context)
    connection = bench.connect(number - 1)
    sent = {**PROMPT, 'Last-Event-Id': '1', **headers}
    asked_s = time.monotonic()
    try:
        bench.ask_on(connection, '/chat/1', KEY, 'POST', b'prompt', **sent)
    finally:
        connection.close()
    context.took_s = time.monotonic() - asked_s


@when('a caller takes up a stream that no router knows')
def step_unknown_stream(context: Context) -> None:
    """Name a request that began no stream."""
    sent = {'Last-Event-Id': '1', 'Resumes': 'made-up'}
    direct_bench(context).ask_model(**sent)


@then('it was refused within {limit_s:f} s')
def step_at_once(context: Context, limit_s: float) -> None:
    """Check that it was a refusal, and how long it took."""
    answer = direct_bench(context).answer
    assert answer.status == 503, answer
    assert context.took_s <= limit_s, context.took_s


@then('the answer is 200 with the events after the first one')
def step_rest(context: Context) -> None:
    """Check the events that a caller gets which takes a stream up."""
    answer = direct_bench(context).answer
    assert answer.status == 200, answer
    assert FIRST_EVENT + answer.body == ALL_EVENTS, answer


@then('every answer is 200 with the events after the first one')
def step_every_rest(context: Context) -> None:
    """Check all answers."""
    for answer in direct_bench(context).answers:
        assert answer.status == 200, answer
        assert FIRST_EVENT + answer.body == ALL_EVENTS, answer


@then('no engine of software "{software}" received anything')
def step_none_of(context: Context, software: str) -> None:
    """Check the engines of a version."""
    for upstream in direct_bench(context).upstreams.values():
        if upstream.software == software:
            assert not upstream.received, upstream.received


@then('all engines that received the request have one software version')
def step_one_version(context: Context) -> None:
    """Check the engines of the request."""
    versions = set()
    count = 0
    for upstream in direct_bench(context).upstreams.values():
        count += len(upstream.received)
        if upstream.received:
            versions.add(upstream.software)
    assert count == 2, count
    assert len(versions) == 1, versions


@then('no upstream was asked to copy a run')
def step_no_copy(context: Context) -> None:
    """Check the requests that upstreams received."""
    for received in direct_bench(context).received():
        assert PREFIX + 'Kv-Backup' not in received.headers, received


def _begin(
    bench: DirectBench, router: int = 0, request_id: str = 'open-stream'
) -> HTTPConnection:
    """Read the first event of a stream that stalls, and keep it open."""
    connection = bench.connect(router)
    headers = {
        **PROMPT,
        'Host': HOST,
        'Authorization': f'Token {KEY}',
        PREFIX + 'Request-Id': request_id,
        PREFIX + 'Deadline-Ms': '3000',
    }
    connection.request('POST', '/chat/1', b'prompt', headers)
    assert connection.getresponse().read1() == FIRST_EVENT
    return connection


def _open_new(bench: DirectBench, number: int) -> OpenStream:
    """Read the first event of a stream with a prompt that is not cached."""
    connection = bench.connect(0)
    headers = {
        **PROMPT,
        'Host': HOST,
        'Authorization': f'Token {KEY}',
        PREFIX + 'Request-Id': f'open-stream-{number}',
        PREFIX + 'Deadline-Ms': '10000',
        PREFIX + 'Prompt-Prefix': f'c{number}:100,d{number}:200',
    }
    connection.request('POST', '/chat/software', b'prompt', headers)
    response = connection.getresponse()
    return OpenStream(connection, response, response.read1())


def _versions(events: bytes) -> set[bytes]:
    """Return the software versions that events name."""
    return {
        line.split()[-1]
        for line in events.split(b'\n')
        if line.startswith(b'data:')
    }


def _ask_new(bench: DirectBench) -> Answer:
    """Ask with a prompt that no engine has cached."""
    number = len(bench.answers)
    parts = {PREFIX + 'Prompt-Prefix': f'a{number}:100,b{number}:200'}
    return bench.ask_model('/chat/software', **parts)
