"""Check that parts of prompts that crash upstreams are blocked."""

import json
import time
from dataclasses import dataclass
from functools import partial
from threading import Thread

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct._call import PromptPart
from lacewing_daemon.direct.crashes import CrashRecord
from lacewing_daemon.direct.crashes import Suspect
from lacewing_daemon.direct.crashes import UpstreamIncarnation
from lacewing_daemon.direct.crashes._fingerprint import part_fingerprint
from lacewing_daemon.direct.crashes._fingerprint import RequestSubjects
from lacewing_platform_testing import PROCESS_START_MS
from support.direct_bench import Answer
from support.direct_bench import direct_bench
from support.direct_bench import DirectBench
from support.direct_bench import KEY
from support.direct_bench import MODEL
from support.direct_bench import PREFIX

PART_TOKENS = 100
PATH = '/chat/1'
# Its prompts are not sent to another upstream once they have run.
ONE_RUN_PATH = '/talk/1'
RESTART_WAIT_S = 0.6
CRASHED = 'link: An upstream crashed.'
MAX_LOST = 5
CRASH_COUNT = 3
# A report reaches all routers in some tens of ms.
GOSSIP_S = 0.5


@dataclass(frozen=True)
class TimedAnswer:
    """Hold an answer and when it was asked for, from the start of the load."""

    sent_s: float
    answer: Answer


def ask_prompt(
    bench: DirectBench, parts: str, number: int, path: str = PATH
) -> Answer:
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
        return bench.ask_on(connection, path, KEY, 'POST', body, **headers)
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


@when(
    '{count:d} upstreams crash in turn, each under a different one of'
    ' "{parts}"'
)
def step_crash_under(context: Context, count: int, parts: str) -> None:
    """Crash each upstream that a prompt has reached and left unanswered."""
    bench = direct_bench(context)
    upstreams = tuple(bench.upstreams.values())
    for number in range(count):
        for upstream in upstreams:
            upstream.hold.clear()
        received = len(bench.received())
        caller = Thread(
            target=ask_prompt, args=(bench, parts, -number, ONE_RUN_PATH)
        )
        caller.start()
        bench.until(
            lambda: len(bench.received()) > received, 'a prompt at an upstream'
        )
        for upstream in upstreams:
            if upstream.ran and upstream.ran[-1] == bench.last_request:
                bench.on_loop(upstream.crash)
        caller.join()
    for upstream in upstreams:
        bench.on_loop(upstream.hold.set)


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


@when(
    'different prompts "{crashing}" come for {seconds:d} seconds, beside sound'
    ' ones "{sound}"'
)
def step_load(
    context: Context, crashing: str, seconds: int, sound: str
) -> None:
    """Send both kinds to all routers, from two callers at once."""
    bench = direct_bench(context)
    context.sound = []
    context.crashing = []
    start_s = time.monotonic()
    end_s = start_s + seconds

    def send(parts: str, answers: list[TimedAnswer], pause_s: float) -> None:
        number = 0
        while time.monotonic() < end_s:
            sent_s = time.monotonic() - start_s
            answer = ask_prompt(bench, parts, number)
            answers.append(TimedAnswer(sent_s, answer))
            number += 1
            time.sleep(pause_s)

    callers = (
        Thread(target=send, args=(crashing, context.crashing, 0.25)),
        Thread(target=send, args=(sound, context.sound, 0.02)),
    )
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()


@then('at most {count:d} upstreams have crashed')
def step_crashes(context: Context, count: int) -> None:
    """Count the crashes of all upstreams."""
    crashes = _crash_count(direct_bench(context))
    assert 0 < crashes <= count, f'{crashes} crashes'


@then(
    'at most {count:d} prompts with it reach upstreams after the fifth crash'
)
def step_sends(context: Context, count: int) -> None:
    """Count what upstreams received beyond five prompts that crash."""
    received = 0
    for upstream in direct_bench(context).upstreams.values():
        for one in upstream.received:
            received += upstream.crashes_under(one)
    assert received <= MAX_LOST + count, f'{received} received'


@then('refused prompts with it have not run and may come back later')
def step_refused(context: Context) -> None:
    """Check the refusals after the crashes."""
    statuses = [one.answer.status for one in context.crashing]
    assert statuses[-1] == 503, statuses
    last: Answer = context.crashing[-1].answer
    assert float(last.headers['Retry-After']) > 0, last


@then(
    '{percent:d} percent of the sound ones begin once {after:d} seconds have'
    ' passed'
)
def step_sound(context: Context, percent: int, after: int) -> None:
    """Count the sound prompts that are answered at their first attempt."""
    late = [one for one in context.sound if one.sent_s >= after]
    served = [one for one in late if one.answer.status == 200]
    assert len(served) * 100 >= percent * len(late), (len(served), len(late))


def _crash_count(bench: DirectBench) -> int:
    return sum(one.crashes for one in bench.upstreams.values())


@when('a router detects {count:d} crash under different prompts with "{name}"')
@when(
    'a router detects {count:d} crashes under different prompts with "{name}"'
)
def step_detects(context: Context, count: int, name: str) -> None:
    """Report crashes as the first router's detector does."""
    bench = direct_bench(context)
    guard = bench.routers[0]._fleet.crash_guard
    for number in range(count):
        start = UpstreamIncarnation(f'{name}-{number}', PROCESS_START_MS)
        subjects = _subjects(name, number)
        suspect = Suspect(subjects.request, False, subjects.parts)
        record = CrashRecord(start, (suspect,), gone=True)
        bench.on_loop(partial(guard._record_own, record))


@when('both routers block prompts with "{name}"')
def step_all_block(context: Context, name: str) -> None:
    """Wait until all routers have merged the records."""
    bench = direct_bench(context)
    bench.until(
        lambda: _blocking(bench, name) == len(bench.routers), 'a block'
    )


@when('a prompt with "{name}" {ends} at that router')
def step_ends(context: Context, name: str, ends: str) -> None:
    """End a run at the first router, with or without success."""
    bench = direct_bench(context)
    guard = bench.routers[0]._fleet.crash_guard
    has_succeeded = ends == 'completes'
    subjects = _subjects(name, CRASH_COUNT)
    bench.on_loop(lambda: guard.run_completed(subjects, has_succeeded))
    time.sleep(GOSSIP_S)


@then('{count:d} routers still block prompts with "{name}"')
def step_still_block(context: Context, count: int, name: str) -> None:
    """Count the routers that block."""
    blocking = _blocking(direct_bench(context), name)
    assert blocking == count, blocking


@then('both routers suspect only prompts with "{name}"')
def step_suspect(context: Context, name: str) -> None:
    """Compare the suspected parts of each router."""
    bench = direct_bench(context)
    time.sleep(GOSSIP_S)
    for router in bench.routers:
        registry = router._fleet.crash_guard._registry
        suspected = bench.on_loop(lambda: registry.suspected_parts)
        assert suspected == set(_subjects(name, 0).parts), suspected


def _blocking(bench: DirectBench, name: str) -> int:
    subjects = _subjects(name, CRASH_COUNT)

    def count() -> int:
        return sum(
            router._fleet.crash_guard.is_blocked(subjects)
            for router in bench.routers
        )

    return int(bench.on_loop(count))


def _subjects(name: str, number: int) -> RequestSubjects:
    part = part_fingerprint(PromptPart(name, PART_TOKENS))
    return RequestSubjects(f'{name} {number}', (part,))
