"""Explain requests from the logs of a router process."""

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

LIMIT_S = 30.0
STARTED = 'main: Started.'
ORDERED = 'placement: Ordered weights.'
_AT = '2026-03-03T10:00:0%s+00:00'
_ORDER = {
    'event': 'placement: Ordered weights.',
    'process': 'router-2',
    'timestamp': _AT % '1.100000',
    'upstream': 'eng-1',
    'version': 2,
    'verdict': 'taken',
}
_REFUSED = {
    'event': 'callers: Request failed.',
    'process': 'router-1',
    'timestamp': _AT % '1.200000',
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
    """Start a router process."""
    directory = tempfile.TemporaryDirectory()
    context.resources.callback(directory.cleanup)
    process = direct_bench(context).start_process(Path(directory.name))
    context.log = process.log


@given('a log file in which an engine refuses while it loads')
def step_loading(context: Context) -> None:
    """Write the lines of two processes into the log, out of order."""
    lines = [json.dumps(_REFUSED), f'12.5 router-2 {json.dumps(_ORDER)}']
    context.log = context.log.with_name('loading.log')
    context.log.write_text('\n'.join(lines))
    context.explained = 'refused-1'


@when('a caller talks to a model and leaves after the first event')
def step_leaves(context: Context) -> None:
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


@given('a route on which answers may take long')
def step_long_route(context: Context) -> None:
    """Add a route and wait until the process knows it."""
    bench = direct_bench(context)
    slow = route('/slow/', 'non_idempotent', 'registry', TimeoutMs=20000)
    bench.configure(Routes=[*bench.config['Routes'], slow])
    bench.until(lambda: bench.ask('/slow/1').status == 200, 'the new route')


@when('a caller asks on it while the router is stopped')
def step_stopped(context: Context) -> None:
    """Stop the router while the upstream works, and wait for its end."""
    bench = direct_bench(context)
    process = bench.process
    assert process is not None
    before = len(bench.ran())
    long = {PREFIX + 'Deadline-Ms': '20000'}
    asking = threading.Thread(
        target=lambda: bench.ask('/slow/2', KEY, 'POST', b'', **long)
    )
    asking.start()
    bench.until(lambda: len(bench.ran()) > before, 'a run')
    context.explained = bench.last_request
    process.stop()
    asking.join()


@when('the router is killed and started {count:d} times')
def step_loop(context: Context, count: int) -> None:
    """Restart it each time that it has started."""
    bench = direct_bench(context)
    process = bench.process
    assert process is not None
    for number in range(count):
        process.restart()
        starts = number + 2
        bench.until(
            lambda: _count(context, STARTED) == starts, 'another start'
        )


@then('the log tells of {starts:d} starts and no stop')
def step_starts(context: Context, starts: int) -> None:
    """Count the lines that the page names."""
    assert _count(context, STARTED) == starts
    assert _count(context, 'main: Stopped.') == 0


@then('the log tells of an order that got no answer, twice for one engine')
def step_unanswered(context: Context) -> None:
    """Wait for two such lines."""
    bench = direct_bench(context)
    process = bench.process
    assert process is not None

    def twice() -> bool:
        unanswered = []
        for line in process.events():
            if line.event == ORDERED and line.verdict == 'unknown':
                unanswered.append(line.upstream)
        return len(unanswered) > len(set(unanswered))

    bench.until(twice, 'two orders without an answer')


def _count(context: Context, event: str) -> int:
    process = direct_bench(context).process
    assert process is not None
    return sum(line.event == event for line in process.events())


@then('explaining it names status {status:d} and "{text}"')
def step_explain(context: Context, status: int, text: str) -> None:
    """Run the command on the log once the request has its line."""
    bench = direct_bench(context)
    process = bench.process
    assert process is not None
    request = getattr(context, 'explained', bench.last_request)
    if context.log == process.log:
        bench.until(lambda: process.told(request), 'a line of the request')
    ended = _explain(request, context.log)
    assert ended.returncode == 0, ended
    assert f'status {status},' in ended.stdout, ended.stdout
    cause = ended.stdout.splitlines()[-1]
    assert cause.startswith('cause: ') and text in cause, ended.stdout


@given('a log file in which one of two routers falls silent')
def step_silent(context: Context) -> None:
    """Write lines of one long after the last one of the other."""
    later = {**_ORDER, 'timestamp': '2026-03-03T10:00:30+00:00'}
    context.log = context.log.with_name('silent.log')
    context.log.write_text(f'{json.dumps(_REFUSED)}\n{json.dumps(later)}')


@then('explaining another request fails and names the silent router')
def step_named(context: Context) -> None:
    """Ask for a request that has no line."""
    ended = _explain('never-told', context.log)
    assert ended.returncode == 1, ended
    assert 'the log of router-1 ends at' in ended.stderr, ended.stderr
    assert 'router-2' not in ended.stderr, ended.stderr


@then('explaining another request fails and says where to look')
def step_unknown(context: Context) -> None:
    """Ask for a request that was never sent."""
    ended = _explain('never-sent', context.log)
    assert ended.returncode == 1, ended
    assert 'Left out lines of requests.' in ended.stderr, ended.stderr


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
        timeout=LIMIT_S,
    )
