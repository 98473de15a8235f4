"""Check that a run is at work at one upstream at a time."""

import threading
import time
from unittest.mock import patch

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct import _send
from lacewing_platform_testing import overlaps
from support.direct_bench import direct_bench
from support.direct_bench import PREFIX

# The next event of the stream comes within this time of the last asking.
CANCELLED_AFTER_S = 0.3


@given(
    'engines that go on with a run send their first event after {gap_s:g} s'
)
def step_first_gap(context: Context, gap_s: float) -> None:
    """Delay the first events of runs that go on."""
    for upstream in direct_bench(context).upstreams.values():
        upstream.first_gap_s = gap_s


@given('engines that pause for {silence_s:g} s')
def step_silence(context: Context, silence_s: float) -> None:
    """Set how long engines pause that are scripted to."""
    for upstream in direct_bench(context).upstreams.values():
        upstream.silence_s = silence_s


@given('engines that send an event every {gap_s:g} s')
def step_event_gap(context: Context, gap_s: float) -> None:
    """Set the time from one event to the next."""
    for upstream in direct_bench(context).upstreams.values():
        upstream.pause_s = gap_s


@given('streams that are moved after {silent_s:g} s without an event')
def step_silent_after(context: Context, silent_s: float) -> None:
    """Shorten the time after which a stream is moved."""
    context.resources.enter_context(
        patch.object(_send, 'STREAM_SILENT_S', silent_s)
    )


@given('each engine has served a stream')
def step_served(context: Context) -> None:
    """Request streams until each engine has an idle connection."""
    bench = direct_bench(context)
    number = 0
    while not all(upstream.ran for upstream in bench.upstreams.values()):
        callers = []
        for _ in bench.upstreams:
            number += 1
            part = {PREFIX + 'Prompt-Prefix': f'part{number}:300'}
            callers.append(
                threading.Thread(
                    target=bench.ask_model, args=('/talk/1',), kwargs=part
                )
            )
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()


@then('the run that was to go on had a connection of its own')
def step_own_connection(context: Context) -> None:
    """Check that nothing else was sent on its connection."""
    received = direct_bench(context).received()
    streams = [one.stream for one in received]
    asked = [one for one in received if 'Kv-From' in one.headers]
    assert len(asked) == 1, asked
    assert streams.count(asked[0].stream) == 1


@when(
    'a non-resumable stream breaks off after {count:d} askings that sent'
    ' nothing'
)
def step_break_off(context: Context, count: int) -> None:
    """Reset the connection once other engines were not reached in time."""
    bench = direct_bench(context)
    caller = threading.Thread(target=bench.ask_model, args=('/talk/1',))
    caller.start()
    bench.until(lambda: len(context.connects) > count, 'connections')
    time.sleep(CANCELLED_AFTER_S)
    for upstream in bench.upstreams.values():
        if upstream.ran:
            bench.on_loop(upstream.server.reset_all)
    caller.join()


@then(
    'no run was at work at an earlier upstream {allowed_s:g} s after it went'
    ' on'
)
def step_no_overlap(context: Context, allowed_s: float) -> None:
    """Check when each upstream worked, and that a run went on."""
    works = []
    for upstream in direct_bench(context).upstreams.values():
        works.extend(upstream.work.entries)
    assert any(work.goes_on for work in works), 'expected a run that went on'
    found = overlaps(works, allowed_s)
    assert not found, [f'{one} for {one.lasted_s:.2f} s' for one in found]
