"""Check what a direct router makes of upstreams that ask for rest."""

import threading
import time
from collections.abc import MutableMapping
from typing import Any

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_platform_testing import Behaviour
from lacewing_platform_testing._upstream import EVENT_COUNT
from structlog.testing import capture_logs
from support.direct_bench import Answer
from support.direct_bench import direct_bench
from support.direct_bench import KEY
from support.direct_bench import PREFIX
from support.direct_bench import PROMPT

RETRY_AFTER = 'Retry-After'
OK = 200
UNAVAILABLE = 503
MAX_REQUESTS = 40
ALL_EVENTS = b''.join(
    f'id: {number}\ndata: word {number}\n\n'.encode()
    for number in range(1, EVENT_COUNT + 1)
)
AT_ONCE_S = 0.3
FIRST_PROMPT = 5000


@given('"{name}" refuses all requests and asks for {seconds:g} s of rest')
def step_rests(context: Context, name: str, seconds: float) -> None:
    """Have an upstream turn everything away for a while."""
    direct_bench(context).upstreams[name].always = Behaviour.SHED
    step_asks(context, name, seconds)


@given('"{name}" asks for {seconds:g} s of rest')
def step_asks(context: Context, name: str, seconds: float) -> None:
    """Have all answers of an upstream carry the time."""
    states = {RETRY_AFTER: f'{seconds:g}'}
    direct_bench(context).upstreams[name].states = states


@given('"{name}" refuses all requests and asks for "{text}" of rest')
def step_malformed(context: Context, name: str, text: str) -> None:
    """Have an upstream turn everything away with a malformed time."""
    upstream = direct_bench(context).upstreams[name]
    upstream.always = Behaviour.SHED
    upstream.states = {RETRY_AFTER: text}


@given('"{name}" refuses all requests with no word of whether they ran')
def step_undeclared(context: Context, name: str) -> None:
    """Have an upstream answer 503 and nothing else."""
    direct_bench(context).upstreams[name].always = Behaviour.ANGRY


@when('a caller asks models until both engines have refused')
def step_ask_both(context: Context) -> None:
    """Send prompts until each engine has got one."""
    bench = direct_bench(context)
    context.asked = 'eng-1'
    engines = [bench.upstreams['eng-1'], bench.upstreams['eng-2']]
    for number in range(MAX_REQUESTS):
        if all(engine.received for engine in engines):
            return
        bench.ask_model(**{PREFIX + 'Prompt-Prefix': f'{number:x}:300'})
    raise AssertionError('an engine got no request')


@when('"{name}" accepts requests again')
def step_accepts(context: Context, name: str) -> None:
    """Have an upstream serve again."""
    upstream = direct_bench(context).upstreams[name]
    upstream.always = None
    upstream.states = {}


@when('{seconds:g} s of time pass')
def step_wait(context: Context, seconds: float) -> None:
    """Wait."""
    time.sleep(seconds)


@when(
    'callers send its service steadily {per_s:d} requests a second for'
    ' {seconds:g} s'
)
def step_send(context: Context, per_s: int, seconds: float) -> None:
    """Send different requests, one after the other."""
    bench = direct_bench(context)
    upstream = bench.upstreams[context.asked]
    context.received_before = len(upstream.received)
    context.sent_from = len(bench.answers)
    context.took_s = []
    context.asked_s = []
    started_s = time.monotonic()
    context.requests = set()
    with capture_logs() as context.lines:
        for number in range(int(per_s * seconds)):
            due_s = started_s + number / per_s
            time.sleep(max(0.0, due_s - time.monotonic()))
            asked_s = time.monotonic()
            context.asked_s.append(asked_s)
            if upstream.service == 'registry':
                bench.ask()
            else:
                prefix = f'{FIRST_PROMPT + number:x}:300'
                bench.ask_model(**{PREFIX + 'Prompt-Prefix': prefix})
            context.took_s.append(time.monotonic() - asked_s)
            context.requests.add(bench.last_request)
        bench.until(lambda: len(_lines(context)) == number + 1, 'all lines')


def _lines(context: Context) -> list[MutableMapping[str, Any]]:
    """Return the lines of the requests that were sent steadily."""
    return [
        line
        for line in context.lines
        if line.get('request') in context.requests
    ]


@then(
    '"{name}" gets none of them within {rest_s:g} s of its refusal, and all'
    ' are answered'
)
def step_none_at_rest(context: Context, name: str, rest_s: float) -> None:
    """Check what it got until its rest was over, and all answers."""
    bench = direct_bench(context)
    arrived_s = bench.upstreams[name].received_s
    ends_s = arrived_s[context.received_before - 1] + rest_s
    assert [at_s for at_s in context.asked_s if at_s < ends_s], 'none sent'
    early_s = [
        at_s for at_s in arrived_s[context.received_before :] if at_s < ends_s
    ]
    assert not early_s, early_s
    statuses = [one.status for one in bench.answers[context.sent_from :]]
    assert set(statuses) == {OK}, statuses


@then('all are refused at once until the first ends its rest')
def step_refused(context: Context) -> None:
    """Check statuses, times and when callers are to come back."""
    bench = direct_bench(context)
    waits_s = []
    for answer in bench.answers[context.sent_from :]:
        assert answer.status == UNAVAILABLE, answer
        waits_s.append(float(answer.headers[RETRY_AFTER]))
    assert max(context.took_s) < AT_ONCE_S, context.took_s
    # The second engine was asked after the first and rests for 2 s.
    assert 1.0 < max(waits_s) <= 2.0, waits_s
    assert waits_s == sorted(waits_s, reverse=True), waits_s


@then('the log says that 2 asked for rest')
def step_logged(context: Context) -> None:
    """Check the lines of the refused requests."""
    for line in _lines(context):
        assert '2 asked for rest' in line['message'], line


@when(
    'the engine of a run ends while that of its copy rests for {seconds:g} s'
)
def step_ends_during_rest(context: Context, seconds: float) -> None:
    """Start a slow stream, have the other engine ask for rest, and cut."""
    bench = direct_bench(context)
    engines = [bench.upstreams['eng-1'], bench.upstreams['eng-2']]
    for engine in engines:
        engine.pause_s = 0.5
    answers: list[Answer] = []
    caller = threading.Thread(
        target=lambda: answers.append(
            bench.ask('/talk/1', KEY, 'POST', b'prompt', **PROMPT)
        )
    )
    caller.start()
    bench.until(lambda: bool(bench.ran()), 'a run')
    first, other = engines if engines[0].ran else engines[::-1]
    time.sleep(0.1)
    other.always = Behaviour.SHED
    other.states = {RETRY_AFTER: f'{seconds:g}'}
    before = len(other.received)
    first.pause_s = 0.01
    for number in range(MAX_REQUESTS):
        bench.ask_model(**{PREFIX + 'Prompt-Prefix': f'{number:x}:300'})
        if len(other.received) > before:
            break
    context.rested_s = other.received_s[before] + seconds
    other.states = {}
    bench.on_loop(first.server.reset_all)
    caller.join()
    context.stream, context.other = answers[0], other


@then('the run continues there after the rest and loses no event')
def step_continued(context: Context) -> None:
    """Check the stream and when it went on."""
    assert context.stream.status == OK, context.stream
    assert context.stream.body == ALL_EVENTS, context.stream
    assert len(context.other.went_on) == 1, context.other.went_on
    assert context.other.received_s[-1] >= context.rested_s
