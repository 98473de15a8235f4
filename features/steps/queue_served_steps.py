"""Check the queue of waiting requests in a router."""

import asyncio
import io
import json
import threading
from collections.abc import Callable
from collections.abc import MutableMapping
from contextlib import redirect_stdout
from http.client import HTTPConnection
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest.mock import patch

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_ctl._queries.explain import explain
from lacewing_daemon.direct._cluster_state import ClusterState
from lacewing_daemon.direct.crashes._guard import CrashGuard
from lacewing_platform_testing import Behaviour
from structlog.testing import capture_logs
from support.direct_bench import direct_bench
from support.direct_bench import DirectBench
from support.direct_bench import PREFIX

SERVICE = 'models'
LONG_PROMPT = 200_000


@given('the service is {state}')
def step_contended(context: Context, state: str) -> None:
    """Replace the decision whether a service is contended."""
    replaced = patch.object(
        ClusterState, 'is_contended', return_value=state == 'contended'
    )
    context.resources.enter_context(replaced)


@when('a caller sends a prompt of {tokens:d} tokens')
def step_send(context: Context, tokens: int) -> None:
    """Send a prompt and read the answer."""
    headers = {PREFIX + 'Token-Usage': f'{tokens},20'}
    headers[PREFIX + 'Prompt-Prefix'] = f'aa:{tokens}'
    direct_bench(context).ask_model(**headers)


@then('it gets {status:d}')
def step_gets(context: Context, status: int) -> None:
    """Check the status of the last answer."""
    assert direct_bench(context).answer.status == status


def _in_thread(context: Context, call: Callable[[], object]) -> None:
    thread = threading.Thread(target=call)
    thread.start()
    context.resources.callback(thread.join)
    context.threads = [*getattr(context, 'threads', ()), thread]


def _length(bench: DirectBench) -> int:
    queue = bench.routers[0]._fleet.queues.queue(SERVICE)
    return int(bench.on_loop(lambda: queue.length))


@given('an engine that prefills a long prompt')
def step_prefills(context: Context) -> None:
    """Let the engine hold a prompt before its first event."""
    context.logs = context.resources.enter_context(capture_logs())
    bench = direct_bench(context)
    engine = bench.upstreams['eng-1']
    bench.on_loop(engine.hold.clear)
    context.resources.callback(lambda: bench.on_loop(engine.hold.set))
    _in_thread(context, lambda: step_send(context, LONG_PROMPT))
    bench.until(lambda: len(engine.received) == 1, 'the long prompt')


@when("a caller's prompt waits at the router")
def step_waits_at_router(context: Context) -> None:
    """Send a prompt that the engine can't answer in time."""
    bench = direct_bench(context)
    context.connection = bench.connect()
    _in_thread(context, lambda: _ask_on(bench, context.connection))
    bench.until(lambda: _length(bench) == 1, 'a waiting request')


def _ask_on(bench: DirectBench, connection: HTTPConnection) -> None:
    headers = {
        PREFIX + 'Model': 'tutor',
        PREFIX + 'Token-Usage': '300,20',
        PREFIX + 'Prompt-Prefix': 'bb:300',
    }
    bench.ask_on(
        connection, '/chat/1', method='POST', body=b'prompt', **headers
    )


@when('the engine has prefilled')
def step_prefilled(context: Context) -> None:
    """Let the engine answer."""
    bench = direct_bench(context)
    bench.on_loop(bench.upstreams['eng-1'].hold.set)
    for thread in context.threads:
        thread.join()


@then('both are answered')
def step_both_answered(context: Context) -> None:
    """Check the answers."""
    statuses = [answer.status for answer in direct_bench(context).answers]
    assert statuses == [200, 200], statuses


def _outcomes(context: Context) -> list[MutableMapping[str, Any]]:
    return [line for line in context.logs if 'tries' in line]


@then('the log and lacewingctl tell how long the second waited')
def step_log(context: Context) -> None:
    """Check the fields of the line of the request that waited."""
    # A router logs a request after it has sent the answer.
    direct_bench(context).until(
        lambda: len(_outcomes(context)) == 2, 'the lines of both requests'
    )
    lines = [line for line in context.logs if 'queued_ms' in line]
    assert len(lines) == 1, lines
    assert lines[0]['queue_ahead'] == 0 and lines[0]['queued_ms'] > 0, lines
    stamp = {'process': 'router-1', 'timestamp': '2026-01-02T03:04:05+00:00'}
    line = json.dumps({**lines[0], **stamp}, default=str)
    directory = context.resources.enter_context(TemporaryDirectory())
    path = Path(directory, 'router.log')
    path.write_text(line + '\n')
    printed = io.StringIO()
    with redirect_stdout(printed):
        explain(lines[0]['request'], str(path))
    expected = f'waited {lines[0]["queued_ms"]} ms at the router, 0 ahead'
    assert expected in printed.getvalue(), printed.getvalue()


@when('the router stops')
def step_stops(context: Context) -> None:
    """Begin to stop the router, without waiting for its end."""
    bench = direct_bench(context)
    router = bench.routers[0]
    context.stopping = bench.on_loop(
        lambda: asyncio.ensure_future(router.stop())
    )
    context.threads[-1].join()


@when('meanwhile its prompt is blocked')
def step_blocked(context: Context) -> None:
    """Block all prompts, as after crashes."""
    replaced = patch.object(CrashGuard, 'is_blocked', return_value=True)
    context.resources.enter_context(replaced)


@when('meanwhile its key is taken away')
def step_revoked(context: Context) -> None:
    """Remove the team's key and wait until the router knows."""
    bench = direct_bench(context)
    tenants = [
        {**tenant, 'ApiKeys': ['another']}
        for tenant in bench.config['Tenants']
    ]
    bench.configure(Tenants=tenants)
    router, version = bench.routers[0], bench.config['Version']
    bench.until(lambda: router.configuration == version, 'no key')


@then('the waiting caller gets {status:d} and its prompt was not sent')
def step_drained(context: Context, status: int) -> None:
    """Check the answer and what the engine received."""
    bench = direct_bench(context)
    statuses = [answer.status for answer in bench.answers]
    assert status in statuses, bench.answers
    answer = bench.answers[statuses.index(status)]
    assert status != 503 or 'Retry-After' in answer.headers, answer
    assert len(bench.upstreams['eng-1'].received) == 1
    assert _length(bench) == 0


@when('that caller leaves')
def step_leaves(context: Context) -> None:
    """Close the connection of the caller that waits."""
    context.connection.sock.shutdown(2)
    bench = direct_bench(context)
    bench.until(lambda: _length(bench) == 0, 'an empty queue')


@then('nothing waits and its prompt was not sent')
def step_left(context: Context) -> None:
    """Check what the engine received."""
    bench = direct_bench(context)
    assert len(bench.upstreams['eng-1'].received) == 1
    assert _length(bench) == 0


@given('the engine refuses {count:d} requests')
def step_refuses(context: Context, count: int) -> None:
    """Let the engine refuse its next requests."""
    engine = direct_bench(context).upstreams['eng-1']
    engine.script.extend([Behaviour.SHED] * count)


@then('{count:d} sends reached the only engine, at least {gap:d} ms apart')
def step_apart(context: Context, count: int, gap: int) -> None:
    """Check the times at which the engine was asked."""
    times = direct_bench(context).upstreams['eng-1'].received_s
    assert len(times) == count, times
    for earlier, later in zip(times, times[1:], strict=False):
        assert later - earlier >= gap / 1000, times
