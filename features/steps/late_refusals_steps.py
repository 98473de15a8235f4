"""Check requests whose refusals an upstream sends twice."""

import time
from dataclasses import replace

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.verdict import Verdict
from lacewing_daemon.direct import Dispatch
from lacewing_daemon.direct._connection import MAX_CARRIED_REQUESTS
from lacewing_platform_testing import Behaviour
from lacewing_platform_testing import FakeUpstream
from lacewing_platform_testing._server import complete_response
from lacewing_platform_testing._server import ReceivedRequest
from support.attempts import caller_request
from support.attempts import LIMIT_S
from support.attempts import send_all
from support.direct_bench import direct_bench
from support.direct_bench import MODEL
from support.direct_bench import PREFIX
from support.direct_bench import sleep
from tornado.iostream import IOStream

REQUEST_ID = PREFIX + 'Request-Id'
NEWER_VERSION = 2
# Longer than an upstream that refused is left alone.
PAUSE_S = 0.2
# Requests have a time limit of 3 s.
AT_ONCE_S = 1.0
REFUSAL = complete_response(503, {PREFIX + 'Not-Executed': '1'}, b'')
ANSWERS = (Behaviour.SHED, Behaviour.GOOD, Behaviour.GOOD)
# How engines handle a stream, and its path.
STREAMS = {
    'a stream': (Behaviour.GOOD, '/chat/1'),
    'a slow stream': (Behaviour.SLOW, '/chat/1'),
    'a slow stream that may run once': (Behaviour.SLOW, '/talk/1'),
}


@given('upstreams send each refusal twice, the second time late')
def step_repeat(context: Context) -> None:
    """Have all refusals carry the request's id and come twice."""
    _repeat_refusals(context, True)


@given('upstreams send each refusal twice, without an id')
def step_repeat_unnamed(context: Context) -> None:
    """Have all refusals come twice, without an id."""
    _repeat_refusals(context, False)


@given('upstreams send each refusal twice, the second time without an id')
def step_repeat_nameless(context: Context) -> None:
    """Have all refusals carry the request's id, but not their copies."""
    _repeat_refusals(context, True)
    for upstream in direct_bench(context).upstreams.values():
        upstream.late_refusals.dropped = (REQUEST_ID,)


def _repeat_refusals(context: Context, names_refusals: bool) -> None:
    for upstream in direct_bench(context).upstreams.values():
        upstream.names_refusals = names_refusals
        upstream.late_refusals.count = 1000


@given('all engines have newer weights than the router knows')
def step_newer(context: Context) -> None:
    """Change the weights of the engines, not their entries."""
    for upstream in direct_bench(context).upstreams.values():
        upstream.weights[MODEL] = NEWER_VERSION


@given('upstreams refuse every third request')
def step_alternate(context: Context) -> None:
    """Script the answers that all upstreams share."""
    _script(context, *ANSWERS * 100)


def _script(context: Context, *behaviours: Behaviour) -> None:
    upstreams = tuple(direct_bench(context).upstreams.values())
    for upstream in upstreams:
        upstream.script = upstreams[0].script
    upstreams[0].script.extend(behaviours)


@given('routes with {count:d} attempts')
def step_attempts(context: Context, count: int) -> None:
    """Limit the upstreams on which one request may run."""
    bench = direct_bench(context)
    routes = []
    for route in bench.config['Routes']:
        routes.append({**route, 'MaxAttempts': count})
    bench.configure(Routes=routes)


@when('a caller asks a model for a stream that may run once')
def step_ask_once(context: Context) -> None:
    """Send a prompt to a route whose streams may not be resumed."""
    direct_bench(context).ask_model('/talk/1')


@when('a caller orders {count:d} certificates, one after the other')
def step_order(context: Context, count: int) -> None:
    """Send requests with pauses in which no upstream is excluded."""
    bench = direct_bench(context)
    context.answer_times_s = []
    for _ in range(count):
        start_s = time.monotonic()
        bench.ask('/certificates/1', method='POST', body=b'order')
        context.answer_times_s.append(time.monotonic() - start_s)
        bench.run(sleep(PAUSE_S))


@when('an engine refuses a stream without an id on a used connection')
def step_refuse_unnamed(context: Context) -> None:
    """Refuse the stream after some others, and keep how long it takes."""
    bench = direct_bench(context)
    for _ in range(4):
        bench.ask_model()
    _script(context, Behaviour.SHED)
    start_s = time.monotonic()
    bench.ask_model()
    context.answer_times_s = [time.monotonic() - start_s]
    refused = [
        received
        for received in bench.received()
        if received.headers[REQUEST_ID] == bench.last_request
    ]
    used = [
        received.stream
        for received in bench.received()
        if received.headers[REQUEST_ID] != bench.last_request
    ]
    assert any(received.stream in used for received in refused), refused


@when('a refusal without an id precedes {stream} on a used connection')
def step_late_unnamed(context: Context, stream: str) -> None:
    """Use the connections of both engines, then ask for the stream."""
    bench = direct_bench(context)
    for _ in range(4):
        bench.ask_model()
    used = {received.stream for received in bench.received()}
    behaviour, path = STREAMS[stream]
    refused: list[IOStream] = []
    for upstream in bench.upstreams.values():
        upstream.always = behaviour
        _refuse_first(upstream, refused)
    bench.ask_model(path)
    assert len(refused) == 1 and refused[0] in used, refused


def _refuse_first(fake: FakeUpstream, refused: list[IOStream]) -> None:
    """Write a refusal before the answer to one request that runs."""
    usual = fake.server.handle

    async def handle(received: ReceivedRequest) -> None:
        if received.path not in ('/report', '/order') and not refused:
            refused.append(received.stream)
            await received.stream.write(REFUSAL)
        await usual(received)

    fake.server.handle = handle


@then('that stream {ends}')
def step_stream_ends(context: Context, ends: str) -> None:
    """Check the answer to the last one and its runs."""
    bench = direct_bench(context)
    expected = (200, 2) if ends == 'is served elsewhere' else (502, 1)
    runs = bench.ran().count(bench.last_request)
    assert (bench.answer.status, runs) == expected, (bench.answer, runs)


@then('upstreams ran each of the others once')
def step_others(context: Context) -> None:
    """Compare what ran with what callers were told."""
    bench = direct_bench(context)
    ran = [each for each in bench.ran() if each != bench.last_request]
    statuses = [answer.status for answer in bench.answers[:-1]]
    assert len(ran) == len(set(ran)) == len(statuses), (ran, statuses)
    assert set(statuses) == {200}, statuses


@when('a refused request is sent again after {count:d} others')
def step_send_again(context: Context, count: int) -> None:
    """Send requests through one pool; the copy is due at the last one."""
    fake = _refusing(context, count + 1)
    refused = caller_request('refused')
    dispatch = Dispatch(fake.upstream_id, LIMIT_S)
    requests = [caller_request(f'other-{number}') for number in range(count)]
    sends = [(request, dispatch) for request in (refused, *requests, refused)]
    context.verdicts = direct_bench(context).run(send_all(fake, sends))


@when('a refused request goes on there from its copy')
def step_continue(context: Context) -> None:
    """Send it, another one, and then the continuation."""
    fake = _refusing(context, 2)
    fake.copies.add('refused')
    refused = caller_request('refused')
    dispatch = Dispatch(fake.upstream_id, LIMIT_S)
    continuation = replace(dispatch, continue_from=fake.server.address)
    sends = [
        (refused, dispatch),
        (caller_request('other'), dispatch),
        (refused, continuation),
    ]
    context.verdicts = direct_bench(context).run(send_all(fake, sends))
    assert fake.went_on == ['refused'], fake.went_on


def _refusing(context: Context, delay: int) -> FakeUpstream:
    """Return an upstream that refuses a request and repeats that late."""
    fake = direct_bench(context).upstreams['reg-1']
    fake.names_refusals = True
    fake.script.append(Behaviour.SHED)
    fake.late_refusals.count = 1
    fake.late_refusals.delay = delay
    return fake


@then('it ran once, and nothing followed the refusal on its connection')
def step_own_connection(context: Context) -> None:
    """Check its two sends and that all others shared a connection."""
    verdicts = context.verdicts
    fake = direct_bench(context).upstreams['reg-1']
    first, *others, again = [request.stream for request in fake.received]
    most = 1 + len(others) // MAX_CARRIED_REQUESTS
    assert len(set(others)) <= most, len(set(others))
    assert first not in (*others, again)
    assert fake.ran.count('refused') + len(fake.went_on) == 1, fake.ran
    assert verdicts[0] is Verdict.NOT_RUN, verdicts
    assert set(verdicts[1:]) == {Verdict.RAN}, verdicts


@then('all answers came at once')
def step_at_once(context: Context) -> None:
    """Compare the slowest answer with the time limit of requests."""
    slowest_s = max(context.answer_times_s)
    assert slowest_s < AT_ONCE_S, context.answer_times_s


@then('upstreams ran each of the {count:d} requests once')
def step_ran_once(context: Context, count: int) -> None:
    """Compare what ran with what callers were told."""
    assert len(direct_bench(context).answers) == count
    step_each_ran_once(context)


@then('upstreams ran each request once')
def step_each_ran_once(context: Context) -> None:
    """Compare what ran with what callers were told."""
    bench = direct_bench(context)
    statuses = [answer.status for answer in bench.answers]
    ran = bench.ran()
    assert len(ran) == len(set(ran)) == len(statuses), (ran, statuses)
    assert set(statuses) == {200}, statuses


@then('no connection carried a request twice')
def step_connections(context: Context) -> None:
    """Check the requests of each connection."""
    carried = set()
    for upstream in direct_bench(context).upstreams.values():
        for received in upstream.received:
            key = (received.stream, received.headers[REQUEST_ID])
            assert key not in carried, key
            carried.add(key)
