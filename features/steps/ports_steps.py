"""Check that test runs beside each other share no ports."""

import subprocess
import sys

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_platform_testing import free_ports

_PORTS_PER_ROUTER = 3
_TIMEOUT_S = 20.0
_CHOOSE = """
import sys
from lacewing_platform_testing import _ports
first = int(sys.argv[1])
_ports._PORT_RANGE = (first, first + 2 * _ports._PORTS_PER_ROUTER)
print(_ports.free_ports())
"""


@given('ports for a router of this test run')
def step_ports(context: Context) -> None:
    """Choose ports at which nothing listens."""
    context.first_port = free_ports()


@when('{count:d} other processes choose ports from a range with these')
def step_choose(context: Context, count: int) -> None:
    """Offer them two sets of ports, of which this one is the first."""
    context.chosen = []
    for _ in range(count):
        done = subprocess.run(
            [sys.executable, '-c', _CHOOSE, str(context.first_port)],
            capture_output=True,
            check=True,
            text=True,
            timeout=_TIMEOUT_S,
        )
        context.chosen.append(int(done.stdout))


@then('none of them chose these')
def step_none(context: Context) -> None:
    """Check the first port of each set."""
    others = context.first_port + _PORTS_PER_ROUTER
    assert set(context.chosen) == {others}, context.chosen
