"""Bring the planned faults to a fleet at their times."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import replace

import msgspec

from lacewing_bench.chaos._bundles import BundleWatch
from lacewing_bench.chaos._faults import make_fault
from lacewing_bench.chaos._kinds import FaultKind
from lacewing_bench.chaos._leaving import LeavingWatch
from lacewing_bench.chaos._plan import PlannedFault
from lacewing_bench.chaos._plan import ROUTERS
from lacewing_bench.chaos._timeline import Happening
from lacewing_bench.fleet import Fleet
from lacewing_bench.load._work import WorkerCounts

_CRASHES = (FaultKind.ENGINE_CRASH, FaultKind.PLAIN_CRASH)
_LEAVES = (FaultKind.VM_LEAVING, FaultKind.AGENT_TERM)


class Injector:
    """Run each fault in a task of its own."""

    def __init__(
        self, fleet: Fleet, vm_lag_s: float, bundles: BundleWatch
    ) -> None:
        self._fleet = fleet
        self._bundles = bundles
        self._busy: set[str] = set()
        self._vm_lag_s = vm_lag_s

    async def run(
        self, faults: Sequence[PlannedFault], started_s: float
    ) -> list[Happening]:
        """Return what came, once all faults are over."""
        tasks: list[asyncio.Task[Happening | None]] = []
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                wait_s = started_s + fault.at_s - time.monotonic()
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                tasks.append(group.create_task(self._bring(fault)))
        happenings: list[Happening] = []
        for task in tasks:
            happening = task.result()
            if happening is not None:
                happenings.append(happening)
        return happenings

    async def _bring(self, planned: PlannedFault) -> Happening | None:
        """Bring a fault, unless its target is still in another's hands.

        A drain lasts as long as its requests, which no plan can foresee.
        """
        hit = {planned.target}
        if planned.target == ROUTERS:
            hit = set(self._fleet.router_names)
        if hit & self._busy:
            return None
        self._busy |= hit
        try:
            return await self._bring_now(planned)
        finally:
            self._busy -= hit

    async def _bring_now(self, planned: PlannedFault) -> Happening:
        calls = await self._calls_before(planned)
        fault = make_fault(planned, self._bundles)
        begun_s = time.monotonic()
        await fault.begin(self._fleet)
        watch = self._watch(planned)
        await asyncio.sleep(planned.lasts_s)
        trouble = await fault.end(self._fleet)
        ended_s = time.monotonic()
        happening = Happening(
            planned.kind, planned.target, begun_s, ended_s, calls, trouble
        )
        if watch is None:
            return happening
        seen = await watch.watched()
        return replace(happening, stopped_s=seen.stopped_s, late=seen.late)

    def _watch(self, planned: PlannedFault) -> LeavingWatch | None:
        if planned.kind not in _LEAVES:
            return None
        notice_s = 0.0
        if planned.kind is FaultKind.VM_LEAVING:
            # Nobody can know before the platform's list shows it.
            notice_s = self._vm_lag_s
        return LeavingWatch(self._fleet, planned.target, notice_s)

    async def _calls_before(self, planned: PlannedFault) -> frozenset[str]:
        if planned.kind not in _CRASHES:
            return frozenset()
        url = self._fleet.worker_urls[planned.target]
        answer = await self._fleet.read(f'{url}/counts')
        counts = msgspec.json.decode(answer, type=WorkerCounts)
        return frozenset(counts.by_call)
