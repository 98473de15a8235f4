"""Report this worker's demand to the process that plans its service."""

import asyncio
from collections.abc import Callable
from random import Random

from lacewing_common.plan import Plan
from lacewing_common.wait_event import wait_event
from lacewing_common.wire_peers import MemberRecord

from lacewing_daemon.peers import PeerChannels
from lacewing_daemon.placement._members import ServiceMembers
from lacewing_daemon.placement._report_book import ReportBook
from lacewing_daemon.placement._reports import DEMAND_METHOD
from lacewing_daemon.placement._reports import ReportTaken
from lacewing_daemon.placement._reports import WorkerReport

_CALL_S = 3.0
_JITTER = 0.2
# At 148 agents a report each 10 s from each took 1.7% of the planner's core
# (measured), above what control may take; most say what the last one said.
_MOST_SKIPPED = 1
_MOVED_SHARE = 0.15
_MOVED_BUSY = 1.0
_MOVED_WAIT_MS = 100.0


class Reporter:
    """Send a report at intervals if it says more, and after a change.

    One that says the same as the last is left out once, then sent: the
    planner forgets workers that stay silent.
    """

    def __init__(
        self,
        members: ServiceMembers,
        channels: PeerChannels,
        book: ReportBook,
        report: Callable[[], WorkerReport],
        report_s: float,
        rng: Random,
    ) -> None:
        self._members = members
        self._channels = channels
        self._book = book
        self._report = report
        self._report_s = report_s
        self._rng = rng
        self._planner = ''
        self._soon = asyncio.Event()
        self._stopped = False
        self._told: WorkerReport | None = None
        self._skipped = 0

    def follow(self, plan: Plan) -> None:
        """Report to the process that made a plan."""
        if plan.planner != self._planner:
            self._planner = plan.planner
            self._told = None
            self._soon.set()

    def report_soon(self) -> None:
        """Report at once: what the worker holds has changed."""
        self._soon.set()

    def stop(self) -> None:
        """End ``run`` after the report under way.

        A cancel alone may be lost: when a connection breaks at the same
        moment, grpclib raises its own error in place of the cancel. The
        agent then hangs at its end, with this task waiting for its turn.
        """
        self._stopped = True
        self._soon.set()

    async def run(self) -> None:
        """Report until stopped or cancelled."""
        while not self._stopped:
            self._soon.clear()
            await self.tell()
            if self._stopped:
                return
            wait_s = self._report_s * self._rng.uniform(
                1 - _JITTER, 1 + _JITTER
            )
            await wait_event(self._soon, wait_s)

    async def tell(self) -> None:
        """Tell the planner; those that may become it when it is not there."""
        report = self._report()
        if self._told is not None and not _moved(report, self._told):
            self._skipped += 1
            if self._skipped <= _MOST_SKIPPED:
                return
        self._skipped = 0
        self._told = None
        for member in self._members.alive():
            if member.process_id != self._planner:
                continue
            if await self._send(member, report):
                self._told = report
                return
        for member in self._members.contenders():
            if member.process_id != self._planner:
                await self._send(member, report)

    async def _send(self, member: MemberRecord, report: WorkerReport) -> bool:
        if member.process_id == self._members.me.process_id:
            return self._book.take(report)
        if not member.address:
            return False
        answer = await self._channels.call(
            member.address, DEMAND_METHOD, report, ReportTaken, _CALL_S
        )
        return isinstance(answer, ReportTaken) and answer.taken


def _moved(report: WorkerReport, told: WorkerReport) -> bool:
    """Tell whether a report says more than the one told last."""
    if (report.models, report.failed) != (told.models, told.failed):
        return True
    if abs(report.wait_ms - told.wait_ms) > _MOVED_WAIT_MS:
        return True
    before = {(each.model, each.adapter): each.busy for each in told.demand}
    for demand in report.demand:
        busy = before.pop((demand.model, demand.adapter), 0.0)
        if abs(demand.busy - busy) > _MOVED_BUSY + _MOVED_SHARE * busy:
            return True
    return any(busy > _MOVED_BUSY for busy in before.values())
