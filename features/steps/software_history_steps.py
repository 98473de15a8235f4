"""Check when a software version counts as the only one of a service."""

from math import inf

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct._upstream import Software
from lacewing_daemon.direct._upstream import UnknownSoftware
from lacewing_daemon.direct._upstream import Upstream
from lacewing_daemon.direct.origins._history import SoftwareHistory

NOW_S = 100.0
SERVICE = 'models'
UNKNOWN = 'unknown'
FIRST_START = ', first start'


class _Site:
    """Hold the upstreams that are present, and the time."""

    def __init__(self, first_start: bool) -> None:
        self.now_s = 0.0
        self.present: list[Upstream] = []
        self.history = SoftwareHistory(
            lambda _service: self.present, lambda: self.now_s, first_start
        )

    def confirm(self, at_s: float, age_s: float = 0.0) -> None:
        """Confirm the list at a time."""
        self.now_s = at_s
        self.history.confirm(age_s)

    def leave(self, software: Software, ago_s: float) -> None:
        """Remove an upstream of a version some time ago."""
        self.now_s = NOW_S - ago_s
        self.history.replaced(_upstream(software))


def _upstream(software: Software) -> Upstream:
    return Upstream(
        'eng', SERVICE, '127.0.0.1:1', 'east', 4, False, {}, 0, software
    )


@given('a list of upstreams that is {observed}')
def step_observed(context: Context, observed: str) -> None:
    """Confirm the list as the words say."""
    first_start = observed.endswith(FIRST_START)
    observed = observed.removesuffix(FIRST_START)
    site = context.software_site = _Site(first_start)
    if observed == 'confirmed for 20 s':
        site.confirm(NOW_S - 20.0)
    elif observed == 'confirmed for 9 s':
        site.confirm(NOW_S - 9.0)
    elif observed == 'confirmed for 1 s':
        site.confirm(NOW_S - 1.0)
    elif observed == 'late for 30 s, then 1 s':
        site.confirm(NOW_S - 31.0, inf)
        site.confirm(NOW_S - 1.0)
    elif observed == 'old at first, then 1 s':
        site.confirm(NOW_S - 5.0, 4.0)
        site.confirm(NOW_S - 1.0)
    elif observed == 'confirmed again for 20 s':
        site.confirm(NOW_S - 40.0)
        site.confirm(NOW_S - 30.0, 4.0)
        site.confirm(NOW_S - 20.0)
    elif observed == 'unconfirmed for 4 s':
        site.confirm(NOW_S - 20.0)
        site.confirm(NOW_S, 4.0)
    else:
        assert observed == 'confirmed again for 9 s', observed
        site.confirm(NOW_S - 20.0)
        site.confirm(NOW_S - 10.0, 4.0)
        site.confirm(NOW_S - 9.0)


@given('it has had {upstreams}')
def step_upstreams(context: Context, upstreams: str) -> None:
    """Add upstreams that are there or have left."""
    site = context.software_site
    if upstreams == 'none':
        return
    site.present.append(_upstream('v1'))
    if upstreams == 'v1 and v2':
        site.present.append(_upstream('v2'))
    elif upstreams == 'v1 and one not known':
        site.present.append(_upstream(UnknownSoftware.NO_ENTRY))
    elif upstreams == 'v1, one renamed to v2 9 s ago':
        site.leave('v1', 9.0)
        site.present.append(_upstream('v2'))
    elif upstreams.startswith('v1, and v2 until '):
        site.leave('v2', float(upstreams.split()[4]))
    else:
        assert upstreams == 'v1 only', upstreams


@when('a stream of the last {seconds:d} s is taken up without a name')
def step_ask(context: Context, seconds: int) -> None:
    """Ask for the only version."""
    site = context.software_site
    site.now_s = NOW_S
    context.only = site.history.only_software(SERVICE, float(seconds))


@then('the only version is {version}')
def step_only(context: Context, version: str) -> None:
    """Compare."""
    expected = None if version == UNKNOWN else version
    assert context.only == expected, context.only
