"""Plan a service while this process holds the planner's lease."""

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from random import Random

import msgspec
from lacewing_common.audit import Action
from lacewing_common.bundle import Service
from lacewing_common.bundle import ServiceKind
from lacewing_common.document import Document
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.plan import Plan
from lacewing_common.plan import read_plan
from lacewing_common.settings import PlacementSettings
from lacewing_common.store import StoreError
from lacewing_common.verdict import Refusal
from lacewing_common.wait_event import wait_event

from lacewing_daemon.lease import Lease
from lacewing_daemon.lease import LeaseHeld
from lacewing_daemon.placement._members import ServiceMembers
from lacewing_daemon.placement._plan_store import PlanStore
from lacewing_daemon.placement._planner import make_plan
from lacewing_daemon.placement._planner import PlanInput
from lacewing_daemon.placement._planner import PlanRules
from lacewing_daemon.placement._report_book import ReportBook
from lacewing_daemon.runtime import AuditSink
from lacewing_daemon.runtime import BundleSource

_RENEWALS = 3.0
_FIRST_REPORTS = 3.0
# Changes come in bursts: when a bundle is rolled all workers report.
_LEAST_PAUSE_S = 0.2
_RELEASE_S = 1.0
_FIGURES_S = 60.0
_FIGURES_MOVED = 0.1

_log = get_log(Part.PLACEMENT)


@dataclass(frozen=True)
class PlannerParts:
    """Hold what a planner works with.

    ``hold`` takes a plan read or made as this process's replica.
    """

    service: str
    lease: Lease
    plans: PlanStore
    members: ServiceMembers
    book: ReportBook
    bundles: BundleSource
    hold: Callable[[Document], None]
    audit: AuditSink


class Planner:
    """Contend for the lease; as its holder publish plans that differ.

    In an outage of the platform the lease runs out and no plan is made:
    the last one holds.
    """

    def __init__(
        self, parts: PlannerParts, settings: PlacementSettings, rng: Random
    ) -> None:
        self._parts = parts
        self._settings = settings
        self._rng = rng
        self._plan: Plan | None = None
        self._published: Plan | None = None
        self._held_since_s = 0.0
        self._holding = False
        self._renewed_s = 0.0
        self._soon = asyncio.Event()
        parts.book.on_news(self.plan_soon)

    @property
    def planning(self) -> bool:
        """Tell whether this process plans the service now."""
        return self._holding and self._parts.lease.is_held

    def plan_soon(self) -> None:
        """Plan at once: something changed."""
        self._soon.set()

    async def run(self) -> None:
        """Plan until cancelled; then let another do it at once."""
        try:
            while True:
                self._soon.clear()
                await self.step()
                await self._pause()
        finally:
            with suppress(TimeoutError):
                async with asyncio.timeout(_RELEASE_S):
                    await self._parts.lease.release()

    async def step(self) -> None:
        """Renew the lease if due, and publish a plan if it changed."""
        service = self._service()
        contenders = self._parts.members.contenders()
        if service is None or self._parts.members.me not in contenders:
            self._holding = False
            await self._parts.lease.release()
            return
        if not await self._hold_lease():
            return
        if self._has_reports():
            await self._plan_once(service)

    async def _pause(self) -> None:
        await asyncio.sleep(_LEAST_PAUSE_S)
        period_s = self._settings.lease_s / _RENEWALS
        wait_s = period_s * self._rng.uniform(0.7, 1.0)
        await wait_event(self._soon, wait_s)

    def _service(self) -> Service | None:
        bundle = self._parts.bundles.current.bundle
        for service in bundle.services:
            if service.name == self._parts.service:
                if service.kind is ServiceKind.MODEL:
                    return service
        return None

    async def _hold_lease(self) -> bool:
        lease = self._parts.lease
        now_s = time.monotonic()
        due_s = self._settings.lease_s / _RENEWALS / 2
        if self.planning and now_s - self._renewed_s < due_s:
            return True
        had = self.planning
        answer = await lease.acquire()
        if isinstance(answer, LeaseHeld):
            self._renewed_s = now_s
        if not lease.is_held:
            self._holding = False
            return False
        if had:
            return True
        if not await self._begin():
            return False
        self._held_since_s = time.monotonic()
        self._holding = True
        self._parts.audit.report(
            Action.LEASE,
            f'planner-{self._parts.service}',
            after=str(lease.fence),
        )
        _log.info('Plans.', service=self._parts.service, fence=lease.fence)
        return True

    async def _begin(self) -> bool:
        """Read the plan in force: what is placed is to be kept."""
        found = await self._parts.plans.read()
        if isinstance(found, StoreError):
            _log.warning('Plan not read.', error=found.message)
            return False
        self._plan = None
        self._published = None
        if found is None:
            return True
        plan = read_plan(found)
        if isinstance(plan, Refusal):
            _log.warning('Plan malformed.', error=plan.message)
            return True
        # Since when a copy could be spared is not known for the meantime.
        self._plan = msgspec.structs.replace(plan, models=())
        self._published = plan
        self._parts.hold(found)
        return True

    def _has_reports(self) -> bool:
        """Wait for the reports of all members, or for three rounds."""
        heard = {report.worker for report in self._parts.book.fresh()}
        alive = {each.process_id for each in self._parts.members.alive()}
        if heard and alive <= heard:
            return True
        waited_s = time.monotonic() - self._held_since_s
        return bool(heard) and (
            waited_s > _FIRST_REPORTS * self._settings.report_s
        )

    async def _plan_once(self, service: Service) -> None:
        members = self._parts.members
        alive = frozenset(each.process_id for each in members.alive())
        reports = self._parts.book.fresh()
        given = PlanInput(
            service,
            self._parts.bundles.current.bundle.models,
            tuple(each for each in reports if each.worker in alive),
            alive,
            self._plan,
            time.time(),
            PlanRules(
                shrink_after_s=self._settings.shrink_after_s,
                shrink_step_s=self._settings.shrink_step_s,
            ),
        )
        plan = make_plan(given, members.me.process_id, members.me.address)
        if not _differs(plan, self._published):
            self._plan = plan
            return
        await self._publish(plan)

    async def _publish(self, plan: Plan) -> None:
        # Each plan has a fencing number of its own: the version that a
        # renewal gives the lease.
        answer = await self._parts.lease.acquire()
        if not isinstance(answer, LeaseHeld):
            return
        self._renewed_s = time.monotonic()
        plan = msgspec.structs.replace(plan, fence=answer.fence)
        before = 0 if self._published is None else self._published.fence
        published = await self._parts.plans.publish(plan)
        if isinstance(published, StoreError):
            _log.warning('Plan not published.', error=published.message)
            self._holding = False
            return
        self._plan = plan
        self._published = plan
        self._parts.hold(published)
        self._parts.audit.report(
            Action.PLAN,
            plan.service,
            before=str(before),
            after=f'{plan.fence} {published.head.parts[0]}',
        )


def _differs(plan: Plan, published: Plan | None) -> bool:
    """Tell whether a plan is worth telling the fleet.

    Each one goes to every process. Figures of use alone, which operators
    look at, go out only when they moved far, and once a minute at most.
    """
    if published is None or plan.workers != published.workers:
        return True
    if plan.planner != published.planner:
        return True
    if plan.planner_address != published.planner_address:
        return True
    if plan.made_at_s - published.made_at_s < _FIGURES_S:
        return False
    before = {note.model: note.utilisation for note in published.models}
    for note in plan.models:
        moved = abs(note.utilisation - before.get(note.model, 0.0))
        if moved > _FIGURES_MOVED:
            return True
    return False
