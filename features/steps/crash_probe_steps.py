"""Check that one router decides who probes a blocked subject."""

import asyncio
from random import Random

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct.crashes._probe_grants import ProbeGrants
from lacewing_daemon.direct.crashes._probes import FIRST_PART_PROBE_INTERVAL_S
from lacewing_daemon.direct.crashes._probes import FIRST_PROBE_INTERVAL_S
from lacewing_daemon.direct.crashes._probes import probe_intervals
from lacewing_daemon.direct.crashes._probes import ProbeSchedule

SUBJECT = 'part-p'
TICK_S = 0.1
INTERVALS_S = {
    'ambiguously': FIRST_PROBE_INTERVAL_S,
    'as its cause': FIRST_PART_PROBE_INTERVAL_S,
}


class _Routers:
    """Hold routers that call each other without delay."""

    def __init__(self, count: int, interval_s: float) -> None:
        self.now_s = 0.0
        self.sent = 0
        self.schedules: dict[str, ProbeSchedule] = {}
        self.grants: dict[str, ProbeGrants] = {}
        for number in range(count):
            address = f'router-{number}:1'
            schedule = ProbeSchedule(Random(number), lambda: self.now_s)
            schedule.update({SUBJECT: interval_s})
            self.schedules[address] = schedule
            grants = ProbeGrants(
                schedule, lambda: tuple(self.schedules), lambda: self.now_s
            )
            grants.connect(address, self)
            self.grants[address] = grants

    async def ask(
        self, address: str, subject: str, timeout_s: float
    ) -> bool | None:
        """Call a router; one that was killed does not answer."""
        if address not in self.grants:
            return None
        return self.schedules[address].admit(subject)

    async def send(self, seconds: int) -> None:
        """Have each router get a request at each tick."""
        for _ in range(round(seconds / TICK_S)):
            self.now_s += TICK_S
            for grants in self.grants.values():
                self.sent += grants.admit(SUBJECT)
            await asyncio.sleep(0)


@given('{count:d} routers that block a part {kind}')
def step_routers(context: Context, count: int, kind: str) -> None:
    """Schedule probes at each router."""
    context.routers = _Routers(count, INTERVALS_S[kind])


@when('each has a request with it ten times a second for {seconds:d} seconds')
def step_requests(context: Context, seconds: int) -> None:
    """Send requests in simulated time."""
    asyncio.run(context.routers.send(seconds))


@when('the router that decides is killed')
def step_killed(context: Context) -> None:
    """Remove the keeper; the others still have its address."""
    routers: _Routers = context.routers
    grants = next(iter(routers.grants.values()))
    keeper = grants._keepers.keeper(
        SUBJECT, tuple(routers.schedules), routers.now_s
    )
    assert keeper is not None
    del routers.grants[keeper]


@then('{least:d} to {most:d} of these are sent, over all routers')
def step_sent(context: Context, least: int, most: int) -> None:
    """Compare the number of probes."""
    assert least <= context.routers.sent <= most, context.routers.sent


@then('"{names}" are probed')
def step_probed(context: Context, names: str) -> None:
    """Compare what each registry would have probed."""
    for registry in context.registries:
        probed = set(probe_intervals(registry))
        assert probed == set(names.split()), probed


@then('"" are probed')
def step_none_probed(context: Context) -> None:
    """Check that nothing is probed."""
    step_probed(context, '')
