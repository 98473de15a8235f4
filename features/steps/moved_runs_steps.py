"""Check runs that move from one upstream to another, in every way."""

import asyncio
import time
from collections import deque
from functools import partial
from typing import Any
from unittest.mock import patch

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct import _pool
from lacewing_daemon.direct._connection import connect
from lacewing_platform import PlatformWire
from lacewing_platform_testing import Behaviour
from lacewing_platform_testing import overlaps
from lacewing_platform_testing import Work
from lacewing_platform_testing._server import reset_on_close
from steps.direct_steps import name_weights
from support.direct_bench import direct_bench
from support.direct_bench import DirectBench
from support.direct_bench import PREFIX
from support.direct_bench import sleep
from support.moved_streams import engine_config
from support.moved_streams import EVENTS
from support.moved_streams import most_at_once
from support.moved_streams import MovedStreams
from tornado.httputil import HTTPHeaders

# Until work is looked at once more.
MARGIN_S = 0.1
# An answer is not read if the router has waited for this long to send more.
BLOCKED_S = 0.2
# For a close that crosses the next request, and the fakes' polling.
CLOSE_SLACK_S = 0.05
_KINDS = {'go on from a copy': '/talk/1', 'are resumed': '/chat/1'}
_LEAVING = PlatformWire().read_reply(
    200,
    HTTPHeaders(
        {'Server-Leaving': '1', PREFIX + 'Response-Signature': 'signed'}
    ),
)


@given('{count:d} engines with streams that {kind}')
def step_engines(context: Context, count: int, kind: str) -> None:
    """Start engines and a router."""
    bench = direct_bench(context)
    has_copies = kind == 'go on from a copy'
    bench.configure(**engine_config(bench.config, has_copies))
    name_weights(context, 1)
    for number in range(count):
        bench.add_upstream(f'eng-{number + 1}', 'models')
    bench.start_router()
    bench.until_ready()
    router = bench.routers[0]
    bench.until(lambda: len(router.upstream_ids) == count, 'all engines')
    context.streams = MovedStreams(bench, _KINDS[kind], has_copies)


@given('engines go on with runs after {gap_s:g} s')
@when('engines go on with runs after {gap_s:g} s')
def step_gap(context: Context, gap_s: float) -> None:
    """Delay the first events of runs that go on."""
    for engine in direct_bench(context).upstreams.values():
        engine.first_gap_s = gap_s


@given('engines answer runs that are to go on with "{behaviour}"')
def step_takes_over(context: Context, behaviour: str) -> None:
    """Script how engines handle runs of others."""
    for engine in direct_bench(context).upstreams.values():
        engine.takes_over = Behaviour(behaviour)


@given('engines refuse runs that are to go on, after {gap_s:g} s')
def step_refuse(context: Context, gap_s: float) -> None:
    """Have engines refuse runs of others."""
    step_takes_over(context, Behaviour.SHED.value)
    for engine in direct_bench(context).upstreams.values():
        engine.refusal_gap_s = gap_s


@given('the first stream stalls')
def step_stalls(context: Context) -> None:
    """Script the first stream; its engine goes on with others."""
    script = deque((Behaviour.STALLS,))
    for engine in direct_bench(context).upstreams.values():
        engine.script = script


@given('events of {size:d} bytes')
def step_size(context: Context, size: int) -> None:
    """Pad the events, so that callers that do not read hold them up."""
    for engine in direct_bench(context).upstreams.values():
        engine.event_padding = b'.' * size


@given('streams at an engine and others elsewhere')
def step_streams(context: Context) -> None:
    """Open the streams."""
    _streams(context).open()


@given('connections to engines take {delay_s:g} s from now on')
def step_slow_connections(context: Context, delay_s: float) -> None:
    """Delay each new connection of the router."""
    context.connects = []

    async def connect_late(address: str, *arguments: Any) -> Any:
        context.connects.append(address)
        await asyncio.sleep(delay_s)
        return await connect(address, *arguments)

    context.resources.enter_context(
        patch.object(_pool, 'connect', connect_late)
    )


@given('the other engines accept no connections')
def step_no_connections(context: Context) -> None:
    """Close the listeners; open connections stay."""
    for engine in _streams(context).others:
        direct_bench(context).on_loop(engine.server.stop_listening)


@when('that engine falls silent')
def step_silent(context: Context) -> None:
    """Stop its events."""
    _streams(context).fall_silent()


@when('that engine falls silent and others are asked to go on')
def step_asked(context: Context) -> None:
    """Stop its events, and wait until others are asked for its streams."""
    streams = _streams(context)
    streams.fall_silent()
    streams.await_asked()


@when('others are asked to go on with the first stream')
def step_first_asked(context: Context) -> None:
    """Wait until the engine of the first stream is left for another one."""
    streams = _streams(context)
    streams.moved = streams.callers[:1]
    streams.await_asked()


@when('engines go on with what they are asked after {wait_s:g} s')
def step_take_over(context: Context, wait_s: float) -> None:
    """Let engines go on with runs of others from then on."""
    time.sleep(wait_s)
    step_takes_over(context, Behaviour.GOOD.value)


@when('the caller of one of its streams reads no more')
def step_read_no_more(context: Context) -> None:
    """Stop reading, and wait until the router can't send more."""
    bench = direct_bench(context)
    _streams(context).moved[0].reads.clear()
    bench.until(
        lambda: bool(bench.on_loop(lambda: _is_blocked(bench))),
        'an answer that its caller does not read',
    )


def _is_blocked(bench: DirectBench) -> bool:
    for reply in tuple(bench.routers[0]._caller_server._open.values()):
        if not reply._connection.stream.writing():
            continue
        return reply.written_s < time.monotonic() - BLOCKED_S
    return False


@when('the router connects to others')
def step_connects(context: Context) -> None:
    """Wait for the connections to other engines."""
    addresses = {one.server.address for one in _streams(context).others}
    moved = len(_streams(context).moved)
    direct_bench(context).until(
        lambda: sum(one in addresses for one in context.connects) >= moved,
        'connections to other engines',
    )


@when('that engine goes on after {wait_s:g} s more')
def step_goes_on(context: Context, wait_s: float) -> None:
    """Let it send events again."""
    time.sleep(wait_s)
    _streams(context).speak(_streams(context).before)


@when('that engine completes its streams after {wait_s:g} s more')
def step_completes(context: Context, wait_s: float) -> None:
    """Let it send all that is left at once."""
    time.sleep(wait_s)
    streams = _streams(context)
    streams.before.event_count = EVENTS
    streams.before.pause_s = 0.0
    direct_bench(context).on_loop(streams.before.speaks.set)


@when('the connections of that engine are {broken}')
def step_broken(context: Context, broken: str) -> None:
    """Close or reset all connections to it."""
    server = _streams(context).before.server

    def break_off() -> None:
        for stream in tuple(server._streams):
            if broken == 'reset' and not stream.closed():
                reset_on_close(stream)
        server.reset_all()

    direct_bench(context).on_loop(break_off)


@when('the entry of that engine is {change}')
def step_entry(context: Context, change: str) -> None:
    """Change or remove its entry, and wait until the router knows."""
    bench = direct_bench(context)
    name = _streams(context).before.upstream_id
    states = bench.routers[0]._fleet.cluster_state.upstreams
    state = states[name]
    if change == 'removed':
        bench.on_loop(lambda: bench.store.remove('servers', name))
    else:
        bench.register(name, change)
    bench.until(lambda: not state.takes_requests, f'an entry {change}')


@when('the entries of the other engines are removed')
def step_others_removed(context: Context) -> None:
    """Remove them, and wait until the router knows."""
    bench = direct_bench(context)
    router = bench.routers[0]
    for engine in _streams(context).others:
        name = engine.upstream_id
        bench.on_loop(partial(bench.store.remove, 'servers', name))
        bench.until(lambda: name not in router.upstream_ids, 'a removed entry')


@when('that engine says that it leaves')
def step_says(context: Context) -> None:
    """Record the head of an answer that says so."""
    bench = direct_bench(context)
    fleet = bench.routers[0]._fleet
    state = fleet.cluster_state.upstreams[_streams(context).before.upstream_id]
    bench.on_loop(
        lambda: fleet.statements.record(state, _LEAVING, time.monotonic())
    )
    assert not state.takes_requests, state


@when('new weights are released and engines {mode} their runs')
def step_weights(context: Context, mode: str) -> None:
    """Release weights; engines that cut abort their runs at the order."""
    bench = direct_bench(context)
    name_weights(context, 2)
    bench.until(
        lambda: any(one.orders for one in bench.upstreams.values()),
        'an order',
    )
    if mode == 'keep':
        return
    for engine in bench.upstreams.values():
        if engine.orders:
            bench.on_loop(engine.server.reset_all)


@when('the callers of its streams leave')
def step_leave(context: Context) -> None:
    """Close the connections of all callers of moved streams."""
    for caller in _streams(context).moved:
        caller.leave()


@when('the engine that goes on with most of them falls silent')
def step_second(context: Context) -> None:
    """Silence the successor once its streams have events."""
    streams = _streams(context)
    asked = streams.asked()
    names = [name for name, _ in asked]
    name = max(names, key=names.count)
    context.second_ids = {one for at, one in asked if at == name}
    had = {one.request_id: len(one.numbers) for one in streams.moved}

    def have_events() -> bool:
        return all(
            len(one.numbers) > had[one.request_id] + 1 for one in streams.moved
        )

    direct_bench(context).until(have_events, 'events of successors')
    streams.silence(direct_bench(context).upstreams[name])


@when('other engines are asked for those in turn')
def step_second_asked(context: Context) -> None:
    """Wait until they were asked for twice."""
    streams = _streams(context)

    def asked_twice() -> bool:
        asked = [request_id for _, request_id in streams.asked()]
        return all(asked.count(one) > 1 for one in context.second_ids)

    direct_bench(context).until(asked_twice, 'a second move')


@then('no run is at work at two engines {allowed_s:g} s after it went on')
def step_no_overlap(context: Context, allowed_s: float) -> None:
    """Check when each engine worked, once all callers are done."""
    streams = _streams(context)
    streams.settle(allowed_s + MARGIN_S)
    streams.finish()
    lines = streams.describe()
    print('\n'.join(lines))
    found = overlaps(streams.works(), allowed_s)
    assert not found, lines
    assert most_at_once(streams.works()) <= 2, lines


@then('each caller gets all events once and in order')
def step_whole(context: Context) -> None:
    """Check all answers."""
    streams = _streams(context)
    streams.finish()
    for caller in streams.callers:
        assert caller.is_whole, streams.describe()
        expected = list(range(1, EVENTS + 1))
        assert caller.numbers == expected, streams.describe()


@then('no caller gets an event twice or out of order')
def step_in_order(context: Context) -> None:
    """Check what callers got, whether whole or cut off."""
    streams = _streams(context)
    streams.finish()
    for caller in streams.callers:
        expected = list(range(1, len(caller.numbers) + 1))
        assert caller.numbers == expected, streams.describe()


@then('only the engine before has run the moved streams')
def step_kept(context: Context) -> None:
    """Check that no other engine has worked on them."""
    streams = _streams(context)
    streams.finish()
    moved_ids = {caller.request_id for caller in streams.moved}
    for work in streams.works():
        if work.request_id in moved_ids:
            assert not work.goes_on, streams.describe()


@then('the upstream before was left as the next one was asked')
def step_left_first(context: Context) -> None:
    """Compare when the upstreams worked."""
    direct_bench(context).run(sleep(CLOSE_SLACK_S))
    works: list[Work] = []
    for upstream in direct_bench(context).upstreams.values():
        works.extend(upstream.work.entries)
    before, after = sorted(works, key=lambda work: work.began_s)
    kept_s = before.ended_s - after.began_s
    print(f'the one before was at work for {kept_s:.3f} s more')
    assert kept_s <= CLOSE_SLACK_S, kept_s


@then('no engine works on their streams {allowed_s:g} s later')
def step_gone(context: Context, allowed_s: float) -> None:
    """Check the work of all engines."""
    streams = _streams(context)
    direct_bench(context).run(sleep(allowed_s + MARGIN_S))
    left_s = {one.request_id: one.left_s for one in streams.moved}
    for work in streams.works():
        if work.request_id in left_s:
            lasted_s = work.ended_s - left_s[work.request_id]
            assert lasted_s <= allowed_s, (work, lasted_s)


def _streams(context: Context) -> MovedStreams:
    streams: MovedStreams = context.streams
    return streams
