"""Check that parts of prompts that crash upstreams are blocked."""

import json
import time

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from support.direct_bench import Answer
from support.direct_bench import direct_bench
from support.direct_bench import DirectBench
from support.direct_bench import KEY
from support.direct_bench import MODEL
from support.direct_bench import PREFIX

PART_TOKENS = 100
PATH = '/chat/1'
RESTART_WAIT_S = 0.6
CRASHED = 'link: An upstream crashed.'


def ask_prompt(bench: DirectBench, parts: str, number: int) -> Answer:
    """Send a prompt of named parts and an own last one."""
    names = [*parts.split(',')[:-1], f'last-{number}']
    sized = ','.join(f'{name}:{PART_TOKENS}' for name in names)
    headers = {
        PREFIX + 'Model': MODEL,
        PREFIX + 'Token-Usage': f'{PART_TOKENS * len(names)},20',
        PREFIX + 'Prompt-Prefix': sized,
    }
    body = f'{parts} {number}'.encode()
    at = number % max(1, len(bench.routers))
    connection = bench.connect(at)
    try:
        return bench.ask_on(connection, PATH, KEY, 'POST', body, **headers)
    finally:
        connection.close()


@given('the part "{name}" of prompts crashes upstreams')
def step_part(context: Context, name: str) -> None:
    """Let all upstreams crash under prompts that share the part."""
    for upstream in direct_bench(context).upstreams.values():
        upstream.crash_parts.add(name)


@when('{count:d} different prompts "{parts}" come, one after the other')
def step_prompts(context: Context, count: int, parts: str) -> None:
    """Send each once the upstreams have started again."""
    bench = direct_bench(context)
    for number in range(count):
        ask_prompt(bench, parts, number)
        time.sleep(RESTART_WAIT_S)


@then(
    'the crashes in its log have {requests:d} requests and {parts:d} parts in'
    ' common'
)
def step_log(context: Context, requests: int, parts: int) -> None:
    """Read what all crashes interrupted."""
    runs = []
    for line in context.log.read_text().splitlines():
        fields = json.loads(line[line.index('{') :])
        if fields['event'] == CRASHED:
            runs.extend(fields['runs'])
    assert len({run['same'] for run in runs}) == requests, runs
    common = set.intersection(*(set(run['parts']) for run in runs))
    assert len(common) == parts, runs
