"""Check that a wrongly blocked request is admitted again."""

import time
from functools import partial
from types import SimpleNamespace
from typing import Any

import msgspec
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct.crashes import CrashRecord
from lacewing_daemon.direct.crashes import Suspect
from lacewing_daemon.direct.crashes import UpstreamIncarnation
from lacewing_daemon.direct.crashes._fingerprint import fingerprint
from lacewing_daemon.direct.crashes._fingerprint import RequestSubjects
from lacewing_platform_testing import PROCESS_START_MS
from support.direct_bench import Answer
from support.direct_bench import direct_bench
from support.direct_bench import DirectBench
from support.direct_bench import HOST
from support.direct_bench import KEY

CRASHING_BODY = b'what crashes upstreams'
HARMLESS_BODY = b'what crashes nothing'
PATH = '/records/1'
TEAM = 'north'
STORED_KIND = 'lacewing-crashes'
POLL_INTERVAL_S = 0.1
MAX_RETRY_S = 5.0


def _fingerprint(body: bytes) -> str:
    request: Any = SimpleNamespace(
        method='POST', host=HOST, path=PATH, body=body
    )
    return fingerprint(request, TEAM)


def _ask(bench: DirectBench, at: int, body: bytes) -> Answer:
    connection = bench.connect(at)
    try:
        return bench.ask_on(connection, PATH, KEY, 'POST', body)
    finally:
        connection.close()


@when('{count:d} crashes are reported under a crashing and a harmless request')
def step_reported(context: Context, count: int) -> None:
    """Write the crashes to the store as another router does."""
    bench = direct_bench(context)
    suspects = tuple(
        Suspect(_fingerprint(body), False)
        for body in (CRASHING_BODY, HARMLESS_BODY)
    )
    for number in range(1, count + 1):
        incarnation = UpstreamIncarnation(f'up-{number}', PROCESS_START_MS - 1)
        text = msgspec.json.encode(CrashRecord(incarnation, suspects)).decode()
        name = f'up-{number}.{PROCESS_START_MS - 1}.0.router-9'
        put = partial(bench.store.put, STORED_KIND, name, {'text': text})
        bench.on_loop(put)


@then('the harmless request is refused with a short retry delay')
def step_refused(context: Context) -> None:
    """Send the request once all routers have read the reports."""
    bench = direct_bench(context)
    for router in bench.routers:
        guard = router._fleet.crash_guard
        bench.until(
            partial(
                guard.is_blocked, RequestSubjects(_fingerprint(HARMLESS_BODY))
            ),
            'a blocked request',
        )
    assert _ask(bench, 0, HARMLESS_BODY).status == 503, bench.answer
    retry_s = float(bench.answer.headers['Retry-After'])
    assert 0 < retry_s <= MAX_RETRY_S, retry_s


@then('it is served by all routers within {limit_s:d} seconds')
def step_served(context: Context, limit_s: int) -> None:
    """Repeat the request at each router until it succeeds."""
    bench = direct_bench(context)
    end_s = time.monotonic() + limit_s
    for at in range(len(bench.routers)):
        while _ask(bench, at, HARMLESS_BODY).status != 200:
            assert time.monotonic() < end_s, bench.answer
            time.sleep(POLL_INTERVAL_S)


@then(
    'the crashing request reaches at most {count:d} more upstreams in'
    ' {duration_s:d} seconds'
)
def step_reaches(context: Context, count: int, duration_s: int) -> None:
    """Send the request to all routers repeatedly."""
    bench = direct_bench(context)
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        for at in range(len(bench.routers)):
            _ask(bench, at, CRASHING_BODY)
        time.sleep(POLL_INTERVAL_S)
    crash_count = sum(
        upstream.crashes for upstream in bench.upstreams.values()
    )
    assert crash_count <= count, f'{crash_count} upstreams crashed'
