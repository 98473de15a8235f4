"""Check requests, reports and orders whose answers come a second time."""

import asyncio
import time

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.verdict import Verdict
from lacewing_daemon.direct import Dispatch
from lacewing_daemon.direct._attempt import AttemptEnd
from lacewing_platform_testing import Behaviour
from lacewing_platform_testing._server import complete_response
from lacewing_platform_testing._server import ReceivedRequest
from support.attempts import caller_request
from support.attempts import LIMIT_S
from support.attempts import send_each
from support.direct_bench import direct_bench
from support.direct_bench import MODEL
from support.direct_bench import PREFIX

REQUEST_ID = PREFIX + 'Request-Id'
MANY = 1000
# Requests have a time limit of 3 s.
AT_ONCE_S = 1.0
EVENTS = tuple(f'id: {n}\ndata: word {n}\n\n'.encode() for n in range(1, 5))
BEHAVIOURS = {
    'is good': Behaviour.GOOD,
    'fails': Behaviour.FAILS,
    'is 503 without saying "not run"': Behaviour.ANGRY,
}


@given('the upstreams name requests in their answers')
def step_name(context: Context) -> None:
    """Have each body be the id of its request."""
    for upstream in direct_bench(context).upstreams.values():
        upstream.names_requests = True


@given('upstreams send each answer twice, the second time late')
def step_repeat(context: Context) -> None:
    """Have all answers to requests come twice."""
    for upstream in direct_bench(context).upstreams.values():
        upstream.late_answers.count = MANY


@given(
    'upstreams send each report and each answer to an order twice,'
    ' {calls:d} later'
)
def step_repeat_control(context: Context, calls: int) -> None:
    """Have all answers to the router's own calls come twice."""
    for upstream in direct_bench(context).upstreams.values():
        for copies in (upstream.late_reports, upstream.late_orders):
            copies.count = MANY
            copies.delay = calls


@given('every third answer {behaves}')
def step_behave(context: Context, behaves: str) -> None:
    """Script the answers that all upstreams share."""
    upstreams = tuple(direct_bench(context).upstreams.values())
    for upstream in upstreams:
        upstream.script = upstreams[0].script
    answers = (Behaviour.GOOD, Behaviour.GOOD, BEHAVIOURS[behaves])
    upstreams[0].script.extend(answers * MANY)


@when('a caller fetches {count:d} records, one after the other')
def step_fetch(context: Context, count: int) -> None:
    """Send idempotent requests and keep their ids."""
    bench = direct_bench(context)
    context.fetched = []
    for _ in range(count):
        answer = bench.ask()
        context.fetched.append((bench.last_request, answer))


@when('a caller fetches records until an answer has come twice')
def step_fetch_until_twice(context: Context) -> None:
    """Stop at the request before whose answer a copy was sent."""
    bench = direct_bench(context)

    def has_come() -> bool:
        bench.ask()
        upstreams = bench.upstreams.values()
        return any(upstream.late_answers.sent for upstream in upstreams)

    bench.until(has_come, 'an answer that came twice')


@when('a caller asks a model {count:d} times, one after the other')
def step_ask(context: Context, count: int) -> None:
    """Send prompts whose streams may run once."""
    for _ in range(count):
        direct_bench(context).ask_model('/talk/1')


@when('HEAD precedes {method} to "{path}"')
def step_head(context: Context, method: str, path: str) -> None:
    """Send both and measure how long the second one takes."""
    bench = direct_bench(context)
    for upstream in bench.upstreams.values():
        # Which upstream gets a request is not decided here.
        upstream.names_requests = True
    for _ in range(4):
        bench.ask(method='HEAD')
    start_s = time.monotonic()
    body = b'order' if method == 'POST' else None
    bench.ask(path, method=method, body=body)
    context.took_s = time.monotonic() - start_s


@when('the process stands still for {stall_s:g} s while a late answer arrives')
def step_stall(context: Context, stall_s: float) -> None:
    """Block the loop of the attempt; its upstream has another one."""
    fake = direct_bench(context).upstreams['reg-1']

    def answer_to(request_id: str) -> bytes:
        headers = {
            REQUEST_ID: request_id,
            PREFIX + 'Response-Signature': 'signed',
        }
        return complete_response(200, headers, f'{request_id} body'.encode())

    async def handle(received: ReceivedRequest) -> None:
        late = answer_to('earlier')
        if received.headers[REQUEST_ID] == 'earlier':
            await received.stream.write(late)
            return
        await received.stream.write(late[:-4])
        await asyncio.sleep(stall_s / 2)
        await received.stream.write(late[-4:])
        await received.stream.write(answer_to('own'))

    fake.server.handle = handle
    dispatch = Dispatch(fake.upstream_id, LIMIT_S)
    sends = [(caller_request(name), dispatch) for name in ('earlier', 'own')]

    async def attempt() -> AttemptEnd:
        asyncio.get_running_loop().call_later(stall_s / 4, time.sleep, stall_s)
        return (await send_each(fake, sends))[1]

    context.end = asyncio.run(attempt())


@then('the answer to the request itself is received')
def step_received(context: Context) -> None:
    """Check the verdict and the body."""
    assert context.end.verdict is Verdict.RAN, context.end
    assert context.end.body == b'own body', context.end


@when('weights are named {count:d} times, each once all engines have the last')
def step_name_weights(context: Context, count: int) -> None:
    """Name versions one after the other."""
    context.versions = range(2, 2 + count)
    for version in context.versions:
        _name_version(context, version)


def _name_version(context: Context, version: int) -> None:
    bench = direct_bench(context)
    entry = {'Model': MODEL, 'Version': version}
    bench.on_loop(lambda: bench.store.put('versions', MODEL, entry))
    bench.until(
        lambda: _have_loaded(context, version),
        f'version {version} at all engines',
    )


def _have_loaded(context: Context, version: int) -> bool:
    for upstream in direct_bench(context).upstreams.values():
        if upstream.weights[MODEL] != version:
            return False
    return True


@then('each record is its own')
def step_own(context: Context) -> None:
    """Compare the bodies with the ids of the requests."""
    for request_id, answer in context.fetched:
        assert answer.headers.get(REQUEST_ID) == request_id, answer
        if answer.status == 500:
            continue
        assert answer.status == 200, (request_id, answer)
        assert answer.body == request_id.encode(), (request_id, answer)


@then('each stream has all events once and in order')
def step_streams(context: Context) -> None:
    """Compare the bodies with the events of a stream."""
    for answer in direct_bench(context).answers:
        assert answer.status == 200, answer
        assert answer.body == b''.join(EVENTS), answer


@then('both are answered at once')
def step_at_once(context: Context) -> None:
    """Check the statuses and the time of the last answer."""
    answers = direct_bench(context).answers
    assert [answer.status for answer in answers] == [200] * 5, answers
    assert context.took_s < AT_ONCE_S, context.took_s


@then('each engine was ordered once for each version')
def step_ordered(context: Context) -> None:
    """Compare the orders that engines received."""
    for upstream in direct_bench(context).upstreams.values():
        versions = [order['Version'] for order in upstream.orders]
        assert versions == list(context.versions), versions


@then('reports were sent, each on a connection of its own like orders')
def step_alone(context: Context) -> None:
    """Check that no later call came where a copy was due."""
    for upstream in direct_bench(context).upstreams.values():
        for copies in (upstream.late_reports, upstream.late_orders):
            assert copies.count < MANY, 'no answer was to come twice'
            assert copies.sent == 0, copies.sent


@then('no upstream received a request that no caller sent')
def step_only_callers(context: Context) -> None:
    """Check that the router makes no health checks of its own."""
    bench = direct_bench(context)
    assert not bench.received(), bench.received()
