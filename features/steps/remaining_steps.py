"""Check what the pages of incidents list as remaining."""

import json
import time
from concurrent.futures import ThreadPoolExecutor
from random import Random

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct.origins._history import MAX_HISTORY_S
from lacewing_platform_testing import Behaviour
from lacewing_platform_testing import FakeUpstream
from lacewing_platform_testing._server import ReceivedRequest
from steps.out_of_step_steps import begin_and_leave
from steps.out_of_step_steps import take_up
from steps.software_records_steps import RecordsSite
from support.direct_bench import direct_bench
from support.direct_bench import DirectBench

SEED = 3
SERVICE = 'models'
COME_SHARE = 0.4
# Rounds with one version; later ones have more on record.
ONE_VERSION_ROUNDS = 2
LEAVE_SHARE = 0.5


@given('routers that start again with the settings of the first start')
def step_again(context: Context) -> None:
    """Keep the setting beside a store that has the record of its era."""
    direct_bench(context).first_start = True


@when('"{name}" ends, and its entry lapses')
def step_lapses(context: Context, name: str) -> None:
    """Crash an upstream and remove its entry; no router runs."""
    bench = direct_bench(context)
    bench.on_loop(bench.upstreams[name].crash)
    bench.on_loop(lambda: bench.store.remove('servers', name))


@when('the streams are taken up at the new router')
def step_taken_up(context: Context) -> None:
    """Ask the last router that started for the rest of each stream."""
    bench = direct_bench(context)
    at = len(bench.routers) - 1
    context.answers = []
    for number, stream in enumerate(context.streams):
        context.answers.append(take_up(bench, stream, number, at))


@when('the store returns from a copy in which the record has "{versions}"')
def step_returned(context: Context, versions: str) -> None:
    """Start a new era, and let the router try for 3 s."""
    site = context.records_site
    site.eras.observe(1)
    site.eras.observe(2)
    site.record(versions)
    for _ in range(3):
        site.now_s += 1.0
        site.history.confirm(0.0)
        assert direct_bench(context).run(site.records.update())


@given('recorded versions "{versions}" of a list that has "v1" for long')
def step_observed_long(context: Context, versions: str) -> None:
    """Let a router read the record, and observe its list for 301 s."""
    site = context.records_site = RecordsSite()
    site.record(versions)
    site.history.confirm(0.0)
    site.now_s += 1.0
    assert direct_bench(context).run(site.records.update())
    site.now_s += MAX_HISTORY_S
    site.history.confirm(0.0)


@when('another router records "{versions}" before the next update')
def step_other_records(context: Context, versions: str) -> None:
    """Write the record, and let the router of the list update it."""
    site = context.records_site
    site.record(versions)
    assert direct_bench(context).run(site.records.update())


@when('an engine "{name}" of software "{software}" joins, as router 2 knows')
def step_joins(context: Context, name: str, software: str) -> None:
    """Start an engine; the router that is left knows it."""
    bench = direct_bench(context)
    bench.add_upstream(name, SERVICE, software=software)
    router = bench.routers[1]
    bench.until(lambda: name in router.upstream_ids, 'a known engine')


@when('all routers are killed {count:d} times while versions come and go')
def step_killed_often(context: Context, count: int) -> None:
    """Begin a stream in each round, and take it up at the next router."""
    bench = direct_bench(context)
    random = Random(SEED)
    context.taken_up = []
    _start_router(bench, 'router-0')
    _until_recorded(bench, 'v1')
    for number in range(count):
        comes = random.random() < COME_SHARE
        if comes and number >= ONE_VERSION_ROUNDS:
            _come(bench, number)
        engine = random.choice(sorted(bench.upstreams))
        software = bench.upstreams[engine].software
        stream = _begin_at(bench, engine, number)
        bench.run(bench.routers[-1].close())
        if len(bench.upstreams) > 1 and random.random() < LEAVE_SHARE:
            step_lapses(context, engine)
            del bench.upstreams[engine]
        _start_router(bench, f'router-{number + 1}')
        answer = take_up(bench, stream, number, len(bench.routers) - 1)
        context.taken_up.append((software, answer))


@then('no stream went on at another version, and some went on')
def step_own_versions(context: Context) -> None:
    """Compare the events with the version that began the stream."""
    statuses = set()
    for software, answer in context.taken_up:
        statuses.add(answer.status)
        for line in answer.body.split(b'\n'):
            if line.startswith(b'data:'):
                assert line.split()[-1] == software.encode(), answer
    assert statuses == {200, 503}, context.taken_up


@when('{rate:d} streams a second are asked for during {seconds:d} s')
def step_rate(context: Context, rate: int, seconds: int) -> None:
    """Ask for one after the other, with pauses."""
    bench = direct_bench(context)
    _count_reports(context)
    start_s = time.monotonic()
    for number in range(rate * seconds):
        due_s = start_s + number / rate
        time.sleep(max(0.0, due_s - time.monotonic()))
        assert bench.ask_model().status == 200


@when('{count:d} streams are asked for at once')
def step_at_once(context: Context, count: int) -> None:
    """Ask for all of them on connections of their own."""
    bench = direct_bench(context)
    _count_reports(context)
    with ThreadPoolExecutor(count) as pool:
        for asked in [pool.submit(bench.ask_model) for _ in range(count)]:
            asked.result()


@then('engines were asked for no more reports than connections were opened')
def step_few_reports(context: Context) -> None:
    """Compare with the connections that carried requests."""
    connections = {each.stream for each in direct_bench(context).received()}
    print(f'{len(context.reports)} reports, {len(connections)} connections')
    assert 0 < len(context.reports) <= len(connections), (
        len(context.reports),
        len(connections),
    )


@then('engines were asked for fewer reports than streams')
def step_shared_reports(context: Context) -> None:
    """Compare with the streams that began."""
    streams = len(direct_bench(context).ran())
    print(f'{len(context.reports)} reports for {streams} streams')
    assert 0 < len(context.reports) < streams, (len(context.reports), streams)


def _count_reports(context: Context) -> None:
    context.reports = []
    for upstream in direct_bench(context).upstreams.values():
        _record_reports(upstream, context.reports)


def _record_reports(
    upstream: FakeUpstream, reports: list[ReceivedRequest]
) -> None:
    usual = upstream.server.handle

    async def handle(received: ReceivedRequest) -> None:
        if received.path == '/report':
            reports.append(received)
        await usual(received)

    upstream.server.handle = handle


def _start_router(bench: DirectBench, name: str) -> None:
    router = bench.start_router(name)
    bench.until(lambda: router.ready, 'a ready router')


def _come(bench: DirectBench, number: int) -> None:
    """Start an engine of a new version; wait until it is recorded."""
    software = f'v{number + 2}'
    bench.add_upstream(f'eng-{number + 2}', SERVICE, software=software)
    _until_recorded(bench, software)


def _until_recorded(bench: DirectBench, software: str) -> None:
    def is_recorded() -> bool:
        stored = bench.store.specification('lacewing-software', SERVICE)
        return (
            stored is not None
            and software in json.loads(stored['text'])['versions']
        )

    bench.until(is_recorded, f'{software} in the store')


def _begin_at(bench: DirectBench, engine: str, number: int) -> str:
    """Let all other engines refuse while a stream begins."""
    others = [
        upstream
        for upstream in bench.upstreams.values()
        if upstream.upstream_id != engine
    ]
    for upstream in others:
        upstream.always = Behaviour.SHED
    stream = begin_and_leave(bench, number, len(bench.routers) - 1)
    for upstream in others:
        upstream.always = None
    return stream
