"""Check how the soak judges runs at work at two upstreams."""

import time

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_platform_testing import Work
from lacewing_platform_testing.soak._disturbances import Disturbances
from lacewing_platform_testing.soak._disturbances import restarts_of
from lacewing_platform_testing.soak._disturbances import SOAK_PROCESS
from lacewing_platform_testing.soak._overlaps import OverlapChecks
from lacewing_platform_testing.soak._upstream import SoakUpstream

_REQUEST = 'request-1'
_ROUTER = 'router-0'
_SUBJECTS = {
    'another router': 'router-1',
    'its router': _ROUTER,
    'its stops': restarts_of(_ROUTER),
    'the soak': SOAK_PROCESS,
}


@given(
    'an upstream that works on a run {seconds:f} s after it went on elsewhere'
)
def step_run(context: Context, seconds: float) -> None:
    """Record the work of two upstreams on one request."""
    now_s = time.monotonic()
    before = SoakUpstream('up-1', 'models')
    before.work.entries.append(
        Work(_REQUEST, 'up-1', False, now_s - 1.0, now_s + seconds)
    )
    after = SoakUpstream('up-2', 'models')
    after.work.entries.append(Work(_REQUEST, 'up-2', True, now_s, now_s + 2.0))
    context.upstreams = [before, after]
    context.disturbances = Disturbances()


@given('a disturbance of {subject} while it went on')
def step_disturbance(context: Context, subject: str) -> None:
    """Record a disturbance of a subject, unless it is nothing."""
    if subject != 'nothing':
        context.disturbances.record_instant(_SUBJECTS[subject])


@when('the soak checks for how long upstreams worked on it')
def step_check(context: Context) -> None:
    """Check the work of the upstreams."""
    checks = OverlapChecks(
        context.upstreams, context.disturbances, {_REQUEST: _ROUTER}
    )
    context.broken, context.counts = checks.check()


@then('it counts {overlaps:d} overlaps and {excused:d} excused ones')
def step_counts(context: Context, overlaps: int, excused: int) -> None:
    """Compare the broken promises and the counts."""
    assert len(context.broken) == overlaps, context.broken
    assert context.counts.resumed_overlaps == overlaps, context.counts
    assert context.counts.excused == excused, context.counts
    assert context.counts.resumed == 1, context.counts
