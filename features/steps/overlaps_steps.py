"""Check that a run is at work at one upstream at a time."""

from behave import given
from behave import then
from behave.runner import Context
from lacewing_platform_testing import overlaps
from support.direct_bench import direct_bench


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
