"""Report this worker's demand to the process that plans its service."""

import asyncio
from collections.abc import Callable
from random import Random

from lacewing_common.plan import Plan
from lacewing_common.wait_event import wait_event
from lacewing_common.wire_peers import MemberRecord

from lacewing_daemon.peers import Channels
from lacewing_daemon.placement._members import ServiceMembers
from lacewing_daemon.placement._report_book import ReportBook
from lacewing_daemon.placement._reports import DEMAND_METHOD
from lacewing_daemon.placement._reports import ReportTaken
from lacewing_daemon.placement._reports import WorkerReport

_CALL_S = 3.0
_JITTER = 0.2


class Reporter:
    """Send a report at intervals, and at once after a change."""

    def __init__(
        self,
        members: ServiceMembers,
        channels: Channels,
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

    def follow(self, plan: Plan) -> None:
        """Report to the process that made a plan."""
        if plan.planner != self._planner:
            self._planner = plan.planner
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
            await self._tell()
            if self._stopped:
                return
            wait_s = self._report_s * self._rng.uniform(
                1 - _JITTER, 1 + _JITTER
            )
            await wait_event(self._soon, wait_s)

    async def _tell(self) -> None:
        """Tell the planner; those that may become it when it is not there."""
        report = self._report()
        for member in self._members.alive():
            if member.process_id != self._planner:
                continue
            if await self._send(member, report):
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
