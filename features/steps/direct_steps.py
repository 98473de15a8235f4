"""Check a direct router against stand-ins of the platform."""

import threading

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_platform_testing import Behaviour
from support.direct_bench import direct_bench
from support.direct_bench import DirectBench
from support.direct_bench import KEY
from support.direct_bench import MODEL
from support.direct_bench import OTHER_KEY
from support.direct_bench import PREFIX
from support.direct_bench import sleep

CALLERS = 8
ALL_EVENTS = b''.join(
    f'id: {number}\ndata: word {number}\n\n'.encode() for number in range(1, 5)
)
FOREIGN = {
    PREFIX + 'Tenant': 'south',
    PREFIX + 'Target-Instance': 'reg-9',
    PREFIX + 'Cache-Salt': 'stolen',
    PREFIX + 'Hold': 'stolen',
    PREFIX + 'Pin-Ms': 'stolen',
    PREFIX + 'Kv-Backup': 'stolen',
    PREFIX + 'Kv-Fetch': 'stolen',
    PREFIX + 'Kv-Save': 'stolen',
    PREFIX + 'Expected-Version': '77',
    PREFIX + 'Request-Urgency': '0',
    'Kv-From': 'stolen',
}
FOREIGN_VALUES = frozenset(('stolen', 'south', 'reg-9', '77'))


@given('a store with a configuration')
def step_store(context: Context) -> None:
    """Write the first configuration and name the first weights."""
    bench = direct_bench(context)
    bench.configure()
    name_weights(context, 1)


@given('plain upstreams "{first}" and "{second}"')
def step_plain(context: Context, first: str, second: str) -> None:
    """Start two upstreams of a plain service."""
    for name in (first, second):
        direct_bench(context).add_upstream(name, 'registry')


@given('engines "{first}" and "{second}"')
def step_engines(context: Context, first: str, second: str) -> None:
    """Start two model engines."""
    for name in (first, second):
        direct_bench(context).add_upstream(name, 'models')


@given('a direct router')
def step_router(context: Context) -> None:
    """Start a router and wait until it is ready."""
    bench = direct_bench(context)
    bench.start_router()
    bench.until_ready()


@given('engines that copy the memory of runs')
def step_copies(context: Context) -> None:
    """Say so in the configuration and connect the engines."""
    bench = direct_bench(context)
    services = []
    for service in bench.config['Services']:
        if 'Engine' in service:
            engine = {**service['Engine'], 'Backups': True}
            service = {**service, 'Engine': engine}
        services.append(service)
    bench.configure(Services=services)
    version = bench.config['Version']
    bench.until(
        lambda: bench.routers[0].configuration == version,
        'the configuration in force',
    )
    _connect_engines(context)


@given('a third engine')
def step_third(context: Context) -> None:
    """Add an engine and wait until the router knows it."""
    bench = direct_bench(context)
    bench.add_upstream('eng-3', 'models')
    bench.until(
        lambda: 'eng-3' in bench.routers[0].upstream_ids, 'a third engine'
    )
    _connect_engines(context)


def _connect_engines(context: Context) -> None:
    peers = {}
    for upstream in direct_bench(context).upstreams.values():
        peers[upstream.server.address] = upstream
    for upstream in peers.values():
        upstream.peers = peers


@given('the copies are lost')
def step_copies_lost(context: Context) -> None:
    """Let engines copy to nowhere."""
    for upstream in direct_bench(context).upstreams.values():
        upstream.peers = {}


@given('the next upstream {behaves}')
def step_next(context: Context, behaves: str) -> None:
    """Script the first request that any upstream gets."""
    bench = direct_bench(context)
    script = next(iter(bench.upstreams.values())).script
    script.append(Behaviour(behaves))
    # All share the script of the first one.
    for upstream in bench.upstreams.values():
        upstream.script = script


@given('all upstreams shed')
def step_all_shed(context: Context) -> None:
    """Have all upstreams refuse."""
    for upstream in direct_bench(context).upstreams.values():
        upstream.always = Behaviour.SHED


@given('all upstreams reset their answers')
def step_all_reset(context: Context) -> None:
    """Have all upstreams break off what they run."""
    for upstream in direct_bench(context).upstreams.values():
        upstream.always = Behaviour.RESET


@given('engines that leave orders unanswered')
def step_ignore(context: Context) -> None:
    """Have engines take no order."""
    for upstream in direct_bench(context).upstreams.values():
        upstream.ignores_orders = True


@given('all upstreams hold their answers')
def step_hold(context: Context) -> None:
    """Have upstreams run requests and answer none."""
    bench = direct_bench(context)
    for upstream in bench.upstreams.values():
        bench.on_loop(upstream.hold.clear)


@when('a caller fetches a record')
def step_fetch(context: Context) -> None:
    """Send a request that may repeat."""
    direct_bench(context).ask()


@when('a caller orders a certificate')
def step_certificate(context: Context) -> None:
    """Send a request that must not repeat."""
    direct_bench(context).ask('/certificates/1', KEY, 'POST', b'for Ali')


@when('a caller orders {count:d} certificates')
def step_certificates(context: Context, count: int) -> None:
    """Send several requests that must not repeat."""
    for _ in range(count):
        step_certificate(context)


@when('callers talk to models that pause for {seconds:f} seconds')
def step_pausing(context: Context, seconds: float) -> None:
    """Let the engines pause with several streams each."""
    bench = direct_bench(context)
    for upstream in bench.upstreams.values():
        upstream.pause_s = seconds
    callers = []
    for _ in range(CALLERS):
        caller = threading.Thread(target=lambda: _talk(bench))
        callers.append(caller)
        caller.start()
    for caller in callers:
        caller.join()


def _talk(bench: DirectBench) -> None:
    # Those that come at once beyond what may wait at an engine are refused.
    while bench.ask_model('/talk/1').status == 503:
        continue


@then('each of them gets all events once and in order')
def step_all_events(context: Context) -> None:
    """Check every answer that began."""
    served = []
    for answer in direct_bench(context).answers:
        if answer.status == 503:
            continue
        served.append(answer)
        assert answer.body == ALL_EVENTS, answer
    assert len(served) == CALLERS, served


@when('a caller asks a model')
def step_model(context: Context) -> None:
    """Ask for a stream that may be resumed."""
    direct_bench(context).ask_model()


@when('a caller talks to a model')
def step_talk(context: Context) -> None:
    """Ask for a stream that may not be resumed."""
    direct_bench(context).ask_model('/talk/1')


@when('a caller asks a model and leaves')
def step_leave(context: Context) -> None:
    """Ask for a stream and close the connection at once."""
    bench = direct_bench(context)
    connection = bench.connect()
    connection.request(
        'POST',
        '/chat/1',
        b'prompt',
        {
            'Host': 'handbook.example',
            'Authorization': f'Token {KEY}',
            PREFIX + 'Request-Id': 'leaves',
            PREFIX + 'Deadline-Ms': '3000',
            PREFIX + 'Model': MODEL,
            PREFIX + 'Token-Usage': '300,20',
            PREFIX + 'Prompt-Prefix': 'aa:100,cc:200',
        },
    )
    bench.until(lambda: bool(bench.ran()), 'a run')
    connection.close()


@when('a caller sends a request with {what}')
def step_not_allowed(context: Context, what: str) -> None:
    """Send a request that must be refused."""
    bench = direct_bench(context)
    if what == 'a path without route':
        bench.ask('/nowhere/1')
    elif what == 'an unknown key':
        bench.ask(key='made-up')
    else:
        bench.ask(method='POST', body=b'x' * 100001)


@when("a caller sends headers that are the system's to set")
def step_foreign(context: Context) -> None:
    """Send them with a plain request and with a prompt."""
    bench = direct_bench(context)
    bench.ask('/records/1', KEY, 'GET', None, **FOREIGN)
    bench.ask_model(**FOREIGN)


@when('a caller of each team asks a model')
def step_teams(context: Context) -> None:
    """Ask with the keys of both teams."""
    bench = direct_bench(context)
    bench.ask_model()
    bench.ask_model(Authorization=f'Token {OTHER_KEY}')


@when('a caller asks a model before and after new weights')
def step_weights(context: Context) -> None:
    """Name new weights between two prompts and wait until they are in."""
    bench = direct_bench(context)
    bench.ask_model()
    name_weights(context, 2)
    bench.until(
        lambda: all(
            upstream.weights.get(MODEL, 2) == 2
            for upstream in bench.upstreams.values()
        ),
        'new weights on all engines',
    )
    bench.ask_model()


def name_weights(context: Context, version: int) -> None:
    """Name a version of the model's weights as the operator does."""
    bench = direct_bench(context)
    named = {'Model': MODEL, 'Version': version}
    bench.on_loop(lambda: bench.store.put('versions', MODEL, named))


@then('one engine ran the request and the other went on with it')
def step_went_on(context: Context) -> None:
    """Count the runs, and those that go on."""
    bench = direct_bench(context)
    assert len(bench.ran()) == 1, bench.ran()
    went_on = []
    for upstream in bench.upstreams.values():
        went_on.extend(upstream.went_on)
    assert went_on == bench.ran(), went_on


@then('one engine ran the request and no other went on with it')
def step_not_on(context: Context) -> None:
    """Check that only the engine that was to go on was asked."""
    bench = direct_bench(context)
    assert len(bench.ran()) == 1, bench.ran()
    received = 0
    for upstream in bench.upstreams.values():
        assert not upstream.went_on, upstream.went_on
        received += len(upstream.received)
    assert received == 2, received


@then('the answer is 200 with the whole body and its proof')
def step_whole(context: Context) -> None:
    """Check status, body and proof."""
    answer = direct_bench(context).answer
    assert answer.status == 200, answer
    assert answer.body == b'whole body', answer
    assert answer.headers[PREFIX + 'Response-Signature'], answer


@then('the answer is 200 with all events once and in order')
def step_events(context: Context) -> None:
    """Check that the stream is whole."""
    answer = direct_bench(context).answer
    assert answer.status == 200, answer
    assert answer.body == ALL_EVENTS, answer


@then('the answer is {status:d}')
def step_status(context: Context, status: int) -> None:
    """Check the status; no proof goes with the system's own answers."""
    answer = direct_bench(context).answer
    assert answer.status == status, answer
    assert PREFIX + 'Response-Signature' not in answer.headers, answer


@then("the answer is 500 with the upstream's proof")
def step_failure(context: Context) -> None:
    """Check that a failure is passed on as it is."""
    answer = direct_bench(context).answer
    assert answer.status == 500, answer
    assert answer.body == b'no', answer
    assert answer.headers[PREFIX + 'Response-Signature'], answer


@then('the answer is 503 with a time to come back')
def step_come_back(context: Context) -> None:
    """Check the refusal."""
    answer = direct_bench(context).answer
    assert answer.status == 503, answer
    assert float(answer.headers['Retry-After']) > 0, answer


@then("the caller's answer is cut")
def step_cut(context: Context) -> None:
    """Check that the caller notices the end."""
    assert direct_bench(context).answer.status == 0


@then('the upstream was told its id, its team and the time left')
def step_told(context: Context) -> None:
    """Check the headers that the router sets."""
    received = direct_bench(context).received()[0]
    assert received.headers[PREFIX + 'Target-Instance'] in ('reg-1', 'reg-2')
    assert received.headers[PREFIX + 'Tenant'] == 'north'
    left_ms = int(received.headers[PREFIX + 'Deadline-Ms'])
    assert 0 < left_ms <= 3000, left_ms


@then('the upstream was not told the key')
def step_no_key(context: Context) -> None:
    """Check that the key stays at the router."""
    for received in direct_bench(context).received():
        assert 'Authorization' not in received.headers
        assert KEY not in str(received.headers)


@then("the upstream received none of the caller's values")
def step_none(context: Context) -> None:
    """Check every header that upstreams received."""
    received = direct_bench(context).received()
    assert len(received) == 2, received
    for request in received:
        for name, value in request.headers.get_all():
            assert value not in FOREIGN_VALUES, (name, value)
        assert request.headers.get(PREFIX + 'Request-Urgency') != '0'


@then('no upstream received anything')
def step_nothing(context: Context) -> None:
    """Check that nothing was passed on."""
    assert not direct_bench(context).received()


@then('exactly one upstream received the request')
def step_one_received(context: Context) -> None:
    """Wait a moment for a second send, which must not come."""
    bench = direct_bench(context)
    bench.run(sleep(0.3))
    assert len(bench.received()) == 1, bench.received()


@then('exactly one upstream ran the request')
def step_one_ran(context: Context) -> None:
    """Check the runs."""
    bench = direct_bench(context)
    assert len(bench.ran()) == 1, bench.ran()


@then('no upstream ran anything')
def step_no_run(context: Context) -> None:
    """Check that a refusal as not run is true."""
    assert not direct_bench(context).ran()


@then('the second engine was told the last event')
def step_last_event(context: Context) -> None:
    """Check where the stream went on."""
    told = []
    for received in direct_bench(context).received():
        told.append(received.headers.get('Last-Event-Id', ''))
    assert sorted(told) == ['', '1'], told


@then('the engine learns that its work is not wanted')
def step_cancelled(context: Context) -> None:
    """Wait until the engine sees the closed connection."""
    bench = direct_bench(context)

    def cancelled() -> bool:
        return any(upstream.cancelled for upstream in bench.upstreams.values())

    bench.until(cancelled, 'a cancelled run')


@then('the engines were told two different walls')
def step_walls(context: Context) -> None:
    """Check the names of the caches."""
    walls = set()
    for received in direct_bench(context).received():
        walls.add(received.headers[PREFIX + 'Cache-Salt'])
    assert len(walls) == 2, walls


@then('every prompt named the version that its engine had')
def step_versions(context: Context) -> None:
    """Check that both versions were named, in order."""
    named = []
    for received in direct_bench(context).received():
        named.append(received.headers[PREFIX + 'Expected-Version'])
    assert sorted(set(named)) == ['1', '2'], named
