"""Check that silence limits adapt to the speed of the engines."""

import threading
import time

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_platform_testing import Behaviour
from support.direct_bench import Answer
from support.direct_bench import direct_bench
from support.direct_bench import DirectBench
from support.direct_bench import PREFIX
from support.direct_bench import route

EVENTS = b''.join(
    f'id: {number}\ndata: word {number}\n\n'.encode() for number in range(1, 5)
)
RUNS = {'once': 1, 'twice': 2}
LIMIT_MS = 12000
# Interval between callers, so that few of them wait at an engine at a time.
CALLER_INTERVAL_S = 0.03


@given(
    'routes that allow event gaps of {gap_ms:d} ms and streams that'
    ' may run {runs}'
)
def step_routes(context: Context, gap_ms: int, runs: str) -> None:
    """Configure the streams and wait until the configuration is active."""
    bench = direct_bench(context)
    options = {
        'TargetGapMs': gap_ms,
        'TimeoutMs': LIMIT_MS,
        'MaxAttempts': RUNS[runs],
    }
    bench.configure(
        Routes=[
            route('/chat/', 'streaming', 'models', Resumable=True, **options),
            route('/talk/', 'streaming', 'models', Resumable=False, **options),
        ]
    )
    version = bench.config['Version']
    bench.until(
        lambda: bench.routers[0].configuration == version,
        'the new configuration to be active',
    )


@given('engines that send an event every {seconds:f} seconds')
def step_event_interval(context: Context, seconds: float) -> None:
    """Let each engine send its events together, one engine after another."""
    upstreams = list(direct_bench(context).upstreams.values())
    for number, upstream in enumerate(upstreams):
        upstream.beat_s = seconds
        upstream.phase_s = seconds * number / len(upstreams)


@given('an engine that stalls')
def step_stalls(context: Context) -> None:
    """Let one engine stall after the first event of each stream."""
    # Most prompts of the scenarios go to the last engine.
    upstream = list(direct_bench(context).upstreams.values())[-1]
    upstream.always = Behaviour.STALLS


@when('{count:d} callers ask models at once')
def step_ask(context: Context, count: int) -> None:
    """Request resumable streams concurrently."""
    bench = direct_bench(context)
    context.timed_answers = []
    callers = []
    for number in range(count):
        caller = threading.Thread(
            target=lambda one: context.timed_answers.append(_ask(bench, one)),
            args=(number,),
        )
        callers.append(caller)
        caller.start()
        time.sleep(CALLER_INTERVAL_S)
    for caller in callers:
        caller.join()


def _ask(bench: DirectBench, number: int) -> tuple[Answer, float]:
    """Return the answer and the seconds until its end."""
    while True:
        began_s = time.monotonic()
        answer = bench.ask_model(**_headers(number))
        if answer.status != 503:
            return answer, time.monotonic() - began_s
        # Requests beyond an engine's queue limit are refused and retried.
        time.sleep(CALLER_INTERVAL_S)


def _headers(number: int) -> dict[str, str]:
    # Prompts without a common part are spread evenly over the engines.
    parts = f'{number}a:100,{number}b:100,{number}c:100'
    return {
        PREFIX + 'Request-Id': f'paced-{number}',
        PREFIX + 'Prompt-Prefix': parts,
        PREFIX + 'Deadline-Ms': str(LIMIT_MS),
    }


@then('every caller gets all events once and in order')
def step_all(context: Context) -> None:
    """Check every answer."""
    for answer, _ in context.timed_answers:
        assert answer.status == 200, answer
        assert answer.body == EVENTS, answer


@then('no request ran at two engines')
def step_once(context: Context) -> None:
    """Count the runs of each request."""
    ran = direct_bench(context).ran()
    assert len(ran) == len(set(ran)), sorted(ran)


@then('the stream was continued once')
def step_continued(context: Context) -> None:
    """Check the two runs of the only request."""
    ran = direct_bench(context).ran()
    assert ran == ['paced-0'] * 2, ran


@then('each of them within {max_s:f} seconds')
def step_within(context: Context, max_s: float) -> None:
    """Check how long the answers took."""
    durations = [seconds for _, seconds in context.timed_answers]
    assert max(durations) < max_s, durations
