"""Check a direct router against fakes of the platform."""

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

CALLER_COUNT = 8
ALL_EVENTS = b''.join(
    f'id: {number}\ndata: word {number}\n\n'.encode() for number in range(1, 5)
)
RESERVED_HEADERS = {
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
RESERVED_VALUES = frozenset(('stolen', 'south', 'reg-9', '77'))


@given('a store with a configuration')
def step_store(context: Context) -> None:
    """Write the first configuration and release the first weights."""
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


@given('engines that copy the KV cache of runs')
def step_copies(context: Context) -> None:
    """Enable copies in the configuration and set the engines' peers."""
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
        'the active configuration',
    )
    _set_engine_peers(context)


@given('a third engine')
def step_third(context: Context) -> None:
    """Add an engine and wait until the router knows it."""
    bench = direct_bench(context)
    bench.add_upstream('eng-3', 'models')
    bench.until(
        lambda: 'eng-3' in bench.routers[0].upstream_ids, 'a third engine'
    )
    _set_engine_peers(context)


def _set_engine_peers(context: Context) -> None:
    peers = {}
    for upstream in direct_bench(context).upstreams.values():
        peers[upstream.server.address] = upstream
    for upstream in peers.values():
        upstream.peers = peers


@given('the copies are lost')
def step_copies_lost(context: Context) -> None:
    """Remove the peers that engines copy to."""
    for upstream in direct_bench(context).upstreams.values():
        upstream.peers = {}


@given('the next upstream {behaves}')
def step_next_behaviour(context: Context, behaves: str) -> None:
    """Script the answer to the next request at any upstream."""
    bench = direct_bench(context)
    script = next(iter(bench.upstreams.values())).script
    script.append(Behaviour(behaves))
    # All upstreams share one script, as the router may choose any of them.
    for upstream in bench.upstreams.values():
        upstream.script = script


@given('all upstreams shed')
def step_all_shed(context: Context) -> None:
    """Have all upstreams refuse requests."""
    for upstream in direct_bench(context).upstreams.values():
        upstream.always = Behaviour.SHED


@given('all upstreams reset their answers')
def step_all_reset(context: Context) -> None:
    """Have all upstreams run requests and close before an answer."""
    for upstream in direct_bench(context).upstreams.values():
        upstream.always = Behaviour.RESET


@given('engines that leave orders unanswered')
def step_unanswered_orders(context: Context) -> None:
    """Have engines ignore load orders."""
    for upstream in direct_bench(context).upstreams.values():
        upstream.ignores_orders = True


@given('all upstreams hold their answers')
def step_all_hold(context: Context) -> None:
    """Have upstreams run requests without answering them."""
    bench = direct_bench(context)
    for upstream in bench.upstreams.values():
        bench.on_loop(upstream.hold.clear)


@when('a caller fetches a record')
def step_fetch(context: Context) -> None:
    """Send a request that can be retried."""
    direct_bench(context).ask()


@when('a caller orders a certificate')
def step_certificate(context: Context) -> None:
    """Send a request that must not run twice."""
    direct_bench(context).ask('/certificates/1', KEY, 'POST', b'for Ali')


@when('a caller orders {count:d} certificates')
def step_certificates(context: Context, count: int) -> None:
    """Send several requests that must not run twice."""
    for _ in range(count):
        step_certificate(context)


@when(
    'callers request non-resumable streams with pauses of {seconds:f} seconds'
)
def step_pausing(context: Context, seconds: float) -> None:
    """Open several streams to engines that pause between events."""
    bench = direct_bench(context)
    for upstream in bench.upstreams.values():
        upstream.pause_s = seconds
    callers = []
    for _ in range(CALLER_COUNT):
        caller = threading.Thread(target=lambda: _request_stream(bench))
        callers.append(caller)
        caller.start()
    for caller in callers:
        caller.join()


def _request_stream(bench: DirectBench) -> None:
    # Streams beyond the queue limit of the engines are refused; retry them.
    while bench.ask_model('/talk/1').status == 503:
        continue


@then('each of them gets all events once and in order')
def step_all_events(context: Context) -> None:
    """Check every answer that was not refused."""
    served = []
    for answer in direct_bench(context).answers:
        if answer.status == 503:
            continue
        served.append(answer)
        assert answer.body == ALL_EVENTS, answer
    assert len(served) == CALLER_COUNT, served


@when('a caller asks a model')
def step_model(context: Context) -> None:
    """Request a resumable stream."""
    direct_bench(context).ask_model()


@when('a caller requests a non-resumable stream')
def step_non_resumable(context: Context) -> None:
    """Request a stream that must not run twice."""
    direct_bench(context).ask_model('/talk/1')


@when('a caller asks a model and disconnects')
def step_disconnect(context: Context) -> None:
    """Request a stream and close the connection once it runs."""
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
    """Send a request that the router must refuse."""
    bench = direct_bench(context)
    if what == 'a path without route':
        bench.ask('/nowhere/1')
    elif what == 'an unknown key':
        bench.ask(key='made-up')
    else:
        bench.ask(method='POST', body=b'x' * 100001)


@when('a caller sends headers reserved for the system')
def step_reserved_headers(context: Context) -> None:
    """Send reserved headers with a plain request and with a prompt."""
    bench = direct_bench(context)
    bench.ask('/records/1', KEY, 'GET', None, **RESERVED_HEADERS)
    bench.ask_model(**RESERVED_HEADERS)


@when('a caller of each team asks a model')
def step_teams(context: Context) -> None:
    """Send a prompt with the key of each team."""
    bench = direct_bench(context)
    bench.ask_model()
    bench.ask_model(Authorization=f'Token {OTHER_KEY}')


@when('a caller asks a model before and after new weights')
def step_weights(context: Context) -> None:
    """Release new weights between two prompts and await their loads."""
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
    """Release a version of the model's weights as an operator does."""
    bench = direct_bench(context)
    versions_sent = {'Model': MODEL, 'Version': version}
    bench.on_loop(lambda: bench.store.put('versions', MODEL, versions_sent))


@then('one engine ran the request and the other continued it')
def step_continued(context: Context) -> None:
    """Check that the one run was continued once."""
    bench = direct_bench(context)
    assert len(bench.ran()) == 1, bench.ran()
    continued = []
    for upstream in bench.upstreams.values():
        continued.extend(upstream.went_on)
    assert continued == bench.ran(), continued


@then('one engine ran the request and no other continued it')
def step_not_continued(context: Context) -> None:
    """Check that no third engine received the request."""
    bench = direct_bench(context)
    assert len(bench.ran()) == 1, bench.ran()
    received = 0
    for upstream in bench.upstreams.values():
        assert not upstream.went_on, upstream.went_on
        received += len(upstream.received)
    assert received == 2, received


@then('the answer is 200 with the whole body and its proof')
def step_complete(context: Context) -> None:
    """Check status, body and signature."""
    answer = direct_bench(context).answer
    assert answer.status == 200, answer
    assert answer.body == b'whole body', answer
    assert answer.headers[PREFIX + 'Response-Signature'], answer


@then('the answer is 200 with all events once and in order')
def step_events(context: Context) -> None:
    """Check that the stream is complete."""
    answer = direct_bench(context).answer
    assert answer.status == 200, answer
    assert answer.body == ALL_EVENTS, answer


@then('the answer is {status:d}')
def step_status(context: Context, status: int) -> None:
    """Check the status; answers of the router carry no signature."""
    answer = direct_bench(context).answer
    assert answer.status == status, answer
    assert PREFIX + 'Response-Signature' not in answer.headers, answer


@then("the answer is 500 with the upstream's signature")
def step_error_response(context: Context) -> None:
    """Check that an error response is forwarded unchanged."""
    answer = direct_bench(context).answer
    assert answer.status == 500, answer
    assert answer.body == b'no', answer
    assert answer.headers[PREFIX + 'Response-Signature'], answer


@then('the answer is 503 with a time to come back')
def step_retry_after(context: Context) -> None:
    """Check the refusal and its Retry-After."""
    answer = direct_bench(context).answer
    assert answer.status == 503, answer
    assert float(answer.headers['Retry-After']) > 0, answer


@then("the caller's answer is aborted")
def step_aborted(context: Context) -> None:
    """Check that the caller sees an incomplete answer."""
    assert direct_bench(context).answer.status == 0


@then('the upstream received its id, the team and the remaining time')
def step_headers(context: Context) -> None:
    """Check the headers that the router sets."""
    received = direct_bench(context).received()[0]
    assert received.headers[PREFIX + 'Target-Instance'] in ('reg-1', 'reg-2')
    assert received.headers[PREFIX + 'Tenant'] == 'north'
    left_ms = int(received.headers[PREFIX + 'Deadline-Ms'])
    assert 0 < left_ms <= 3000, left_ms


@then('the upstream did not receive the key')
def step_no_key(context: Context) -> None:
    """Check that the key is in no header."""
    for received in direct_bench(context).received():
        assert 'Authorization' not in received.headers
        assert KEY not in str(received.headers)


@then("the upstream received none of the caller's values")
def step_no_reserved_values(context: Context) -> None:
    """Check every header that upstreams received."""
    received = direct_bench(context).received()
    assert len(received) == 2, received
    for request in received:
        for name, value in request.headers.get_all():
            assert value not in RESERVED_VALUES, (name, value)
        assert request.headers.get(PREFIX + 'Request-Urgency') != '0'


@then('no upstream received anything')
def step_none_received(context: Context) -> None:
    """Check that nothing was forwarded."""
    assert not direct_bench(context).received()


@then('exactly one upstream received the request')
def step_one_received(context: Context) -> None:
    """Wait for a moment and check that no second send follows."""
    bench = direct_bench(context)
    bench.run(sleep(0.3))
    assert len(bench.received()) == 1, bench.received()


@then('exactly one upstream ran the request')
def step_one_ran(context: Context) -> None:
    """Check the number of runs."""
    bench = direct_bench(context)
    assert len(bench.ran()) == 1, bench.ran()


@then('no upstream ran anything')
def step_no_run(context: Context) -> None:
    """Check that a request refused as not run did not run."""
    assert not direct_bench(context).ran()


@then('the second engine received the id of the last event')
def step_last_event(context: Context) -> None:
    """Check after which event the stream was continued."""
    last_event_ids = []
    for received in direct_bench(context).received():
        last_event_ids.append(received.headers.get('Last-Event-Id', ''))
    assert sorted(last_event_ids) == ['', '1'], last_event_ids


@then('the engine sees the closed connection')
def step_cancelled(context: Context) -> None:
    """Wait until the engine cancels the run."""
    bench = direct_bench(context)

    def cancelled() -> bool:
        return any(upstream.cancelled for upstream in bench.upstreams.values())

    bench.until(cancelled, 'a cancelled run')


@then('the engines received two different cache salts')
def step_salts(context: Context) -> None:
    """Compare the cache salts."""
    salts = set()
    for received in direct_bench(context).received():
        salts.add(received.headers[PREFIX + 'Cache-Salt'])
    assert len(salts) == 2, salts


@then('every prompt carried the version that its engine had')
def step_versions(context: Context) -> None:
    """Check that prompts carried both versions."""
    versions_sent = []
    for received in direct_bench(context).received():
        versions_sent.append(received.headers[PREFIX + 'Expected-Version'])
    assert sorted(set(versions_sent)) == ['1', '2'], versions_sent
