"""Steps that explain requests from the logs of a router process."""

import json
import subprocess
import sys
import tempfile
import threading
from pathlib import Path

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from support.direct_bench import direct_bench
from support.direct_bench import HOST
from support.direct_bench import KEY
from support.direct_bench import MODEL
from support.direct_bench import PREFIX
from support.direct_bench import route

TIMEOUT_S = 30.0
STARTED = 'main: Started.'
ORDERED = 'placement: Ordered weights.'
_TIMESTAMP = '2026-03-03T10:00:0%s+00:00'
_ORDER = {
    'event': 'placement: Ordered weights.',
    'process': 'router-2',
    'timestamp': _TIMESTAMP % '1.100000',
    'upstream': 'eng-1',
    'version': 2,
    'verdict': 'taken',
}
_REFUSED = {
    'event': 'callers: Request failed.',
    'process': 'router-1',
    'timestamp': _TIMESTAMP % '1.200000',
    'request': 'refused-1',
    'status': 503,
    'verdict': 'not-run',
    'reason': 'queue_full',
    'message': 'the upstream refused',
    'ms': 12,
    'tries': [
        {
            'upstream': 'eng-1',
            'verdict': 'not-run',
            'reason': 'queue_full',
            'ms': 3,
            'status': 503,
        }
    ],
}


@given('a direct router that logs to a file')
def step_process(context: Context) -> None:
    """Start a router process that logs to a temporary directory."""
    directory = tempfile.TemporaryDirectory()
    context.resources.callback(directory.cleanup)
    process = direct_bench(context).start_process(Path(directory.name))
    context.log = process.log


@given('a log file in which an engine refuses requests while it loads')
def step_loading(context: Context) -> None:
    """Write log lines of two processes, out of order."""
    lines = [json.dumps(_REFUSED), f'12.5 router-2 {json.dumps(_ORDER)}']
    context.log = context.log.with_name('loading.log')
    context.log.write_text('\n'.join(lines))
    context.explained = 'refused-1'


@given('a log file of a stream that two upstreams had at once')
def step_overlap(context: Context) -> None:
    """Write the line of a stream that was moved after a refusal."""
    tries = [
        {'upstream': 'eng-2', 'verdict': 'not-run', 'at_ms': 440, 'ms': 5},
        {'upstream': 'eng-1', 'verdict': 'may-have-run', 'ms': 600},
        {
            'upstream': 'eng-3',
            'verdict': 'ran',
            'at_ms': 430,
            'connect_ms': 20,
            'ms': 900,
        },
    ]
    line = {
        **_REFUSED,
        'event': 'callers: Request answered.',
        'status': 200,
        'verdict': 'ran',
        'reason': '',
        'tries': [{'reason': '', **each} for each in tries],
    }
    context.log = context.log.with_name('overlap.log')
    context.log.write_text(json.dumps(line))
    context.explained = 'refused-1'


@given('a log file of a started stream for which no retry was left')
def step_no_retry(context: Context) -> None:
    """Write the line of the stream."""
    line = {**_REFUSED, 'status': 0, 'no_send': 'the retry budget is used up'}
    context.log = context.log.with_name('no_retry.log')
    context.log.write_text(json.dumps(line))
    context.explained = 'refused-1'


@when('a caller disconnects after the first event of a stream')
def step_disconnect(context: Context) -> None:
    """Read one event and close the connection."""
    bench = direct_bench(context)
    connection = bench.connect()
    context.explained = 'leaves'
    connection.request(
        'POST',
        '/talk/1',
        b'prompt',
        {
            'Host': HOST,
            'Authorization': f'Token {KEY}',
            PREFIX + 'Request-Id': context.explained,
            PREFIX + 'Deadline-Ms': '3000',
            PREFIX + 'Model': MODEL,
            PREFIX + 'Token-Usage': '300,20',
            PREFIX + 'Prompt-Prefix': 'aa:100,cc:200',
        },
    )
    response = connection.getresponse()
    assert response.read(1)
    response.close()
    connection.close()


@given('a route with a long timeout')
def step_long_route(context: Context) -> None:
    """Add a route and wait until the process serves it."""
    bench = direct_bench(context)
    slow = route('/slow/', 'non_idempotent', 'registry', TimeoutMs=20000)
    bench.configure(Routes=[*bench.config['Routes'], slow])
    bench.until(lambda: bench.ask('/slow/1').status == 200, 'the new route')


@when('the router is stopped during a request on that route')
def step_stop_during_request(context: Context) -> None:
    """Stop the router while an upstream runs the request."""
    bench = direct_bench(context)
    process = bench.process
    assert process is not None
    run_count = len(bench.ran())
    headers = {PREFIX + 'Deadline-Ms': '20000'}
    caller = threading.Thread(
        target=lambda: bench.ask('/slow/2', KEY, 'POST', b'', **headers)
    )
    caller.start()
    bench.until(lambda: len(bench.ran()) > run_count, 'a run')
    context.explained = bench.last_request
    process.stop()
    caller.join()


@when('the router is killed and started {count:d} times')
def step_kill_and_restart(context: Context, count: int) -> None:
    """Kill and restart the router, each time after it has started."""
    bench = direct_bench(context)
    process = bench.process
    assert process is not None
    for number in range(count):
        process.restart()
        starts = number + 2
        bench.until(
            lambda: _count_events(context, STARTED) == starts, 'another start'
        )


@then('the log shows {starts:d} starts and no stop')
def step_starts(context: Context, starts: int) -> None:
    """Count the start and stop events."""
    assert _count_events(context, STARTED) == starts
    assert _count_events(context, 'main: Stopped.') == 0


@then('the log shows two unanswered orders for the same engine')
def step_unanswered(context: Context) -> None:
    """Wait for two unanswered orders with the same upstream."""
    bench = direct_bench(context)
    process = bench.process
    assert process is not None

    def has_repeated_order() -> bool:
        unanswered = []
        for line in process.events():
            if line.event == ORDERED and line.verdict == 'unknown':
                unanswered.append(line.upstream)
        return len(unanswered) > len(set(unanswered))

    bench.until(has_repeated_order, 'two orders without an answer')


def _count_events(context: Context, event: str) -> int:
    process = direct_bench(context).process
    assert process is not None
    return sum(line.event == event for line in process.events())


@when(
    'a caller of a team that may run {rate:d} request a second sends several'
)
def step_over_limit(context: Context, rate: int) -> None:
    """Limit the team of the caller and send requests until one is refused."""
    bench = direct_bench(context)
    tenants = [
        {**tenant, 'RatePerS': rate, 'Burst': rate}
        for tenant in bench.config['Tenants']
    ]
    bench.configure(Tenants=tenants)
    bench.until(lambda: bench.ask().status == 429, 'a refused request')


@then('explaining it shows status {status:d} and "{text}"')
def step_explain(context: Context, status: int, text: str) -> None:
    """Run lacewingctl explain once the request is logged."""
    bench = direct_bench(context)
    process = bench.process
    assert process is not None
    request = getattr(context, 'explained', bench.last_request)
    if context.log == process.log:
        bench.until(lambda: process.told(request), 'a line of the request')
    completed = _explain(request, context.log)
    assert completed.returncode == 0, completed
    assert f'status {status},' in completed.stdout, completed.stdout
    cause = completed.stdout.splitlines()[-1]
    assert cause.startswith('cause: ') and text in cause, completed.stdout


@given('a log file in which the log of one of two routers ends early')
def step_early_end(context: Context) -> None:
    """Write one router's last line long before the other's."""
    later = {**_ORDER, 'timestamp': '2026-03-03T10:00:30+00:00'}
    context.log = context.log.with_name('silent.log')
    context.log.write_text(f'{json.dumps(_REFUSED)}\n{json.dumps(later)}')


@then('explaining an unlogged request fails and names that router')
def step_names_router(context: Context) -> None:
    """Explain a request that has no log line."""
    completed = _explain('never-told', context.log)
    assert completed.returncode == 1, completed
    assert 'the log of router-1 ends at' in completed.stderr, completed.stderr
    assert 'router-2' not in completed.stderr, completed.stderr


@then('explaining an unlogged request fails and hints at dropped lines')
def step_hints_at_dropped_lines(context: Context) -> None:
    """Explain a request that was never sent."""
    completed = _explain('never-sent', context.log)
    assert completed.returncode == 1, completed
    assert 'Left out lines of requests.' in completed.stderr, completed.stderr


def _explain(request: str, log: Path) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [
            sys.executable,
            '-m',
            'lacewing_ctl.main',
            'explain',
            request,
            '--logs',
            str(log),
        ],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
