"""Check how often an agent reports its demand."""

import asyncio
from random import Random

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.identity import Place
from lacewing_common.identity import ProcessName
from lacewing_common.identity import Role
from lacewing_common.plan import Plan
from lacewing_common.settings import Settings
from lacewing_common.settings import WorkerSettings
from lacewing_daemon.peers import PeerChannels
from lacewing_daemon.peers import PeerNode
from lacewing_daemon.placement import ModelDemand
from lacewing_daemon.placement import ReportBook
from lacewing_daemon.placement import Reporter
from lacewing_daemon.placement import ServiceMembers
from lacewing_daemon.placement import WorkerReport


class LoneReporter:
    """Report to a book of its own."""

    def __init__(self) -> None:
        self.busy = 3.0
        self.taken = 0
        settings = Settings(
            role=Role.AGENT,
            process_id='a',
            place=Place('r', 'z'),
            worker=WorkerSettings(url='http://127.0.0.1:1', service='s'),
        )
        node = PeerNode(
            ProcessName('a', 1), settings, {}, lambda: (), Random(1)
        )
        self.reporter = Reporter(
            ServiceMembers(node, 's'),
            PeerChannels(None),
            ReportBook('s', 10.0, self._count),
            self._report,
            10.0,
            Random(1),
        )
        self.reporter.follow(
            Plan(
                service='s',
                fence=1,
                planner='a',
                planner_address='',
                made_at_s=0.0,
                workers=(),
            )
        )

    def _count(self) -> bool:
        self.taken += 1
        return True

    def _report(self) -> WorkerReport:
        demand = (ModelDemand('m', '', self.busy),)
        return WorkerReport('s', 'a', 'z', 32, 0.0, (), demand)


@given('an agent alone that reports its demand')
def given_reporter(context: Context) -> None:
    context.lone_reporter = LoneReporter()


@when('it comes to report {count:d} times with the same demand')
def when_same(context: Context, count: int) -> None:
    for _ in range(count):
        asyncio.run(context.lone_reporter.reporter.tell())


@when('its demand changes and it comes to report')
def when_changes(context: Context) -> None:
    context.lone_reporter.busy = 9.0
    asyncio.run(context.lone_reporter.reporter.tell())


@then('{count:d} reports were taken')
def then_taken(context: Context, count: int) -> None:
    assert context.lone_reporter.taken == count, context.lone_reporter.taken
