"""Do what the platform does, with the faults that are switched on.

The HTTP stand-in and the in-memory fake are both thin faces of this.
"""

import asyncio
import time
from enum import Enum

from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault
from lacewing_common.store import Vm

from lacewing_bench.platform._counts import Counts
from lacewing_bench.platform._counts import CountsReport
from lacewing_bench.platform._counts import Method
from lacewing_bench.platform._counts import Refused
from lacewing_bench.platform._counts import WRITES
from lacewing_bench.platform._objects import ObjectKey
from lacewing_bench.platform._objects import ObjectTable
from lacewing_bench.platform._rates import Clock
from lacewing_bench.platform._rates import TokenBucket
from lacewing_bench.platform._settings import PlatformSettings
from lacewing_bench.platform._switches import Down
from lacewing_bench.platform._switches import FaultSwitches
from lacewing_bench.platform._switches import SwitchBoard
from lacewing_bench.platform._vms import VmTable
from lacewing_bench.platform._weights import WeightStore

RETRY_AFTER_S = 1.0
_REFUSALS = {
    StoreFault.CONFLICT: Refused.CONFLICT,
    StoreFault.TOO_LARGE: Refused.TOO_LARGE,
}


class Admission(Enum):
    """Tell what becomes of a call before its effect."""

    PASS = 'pass'
    LIMITED = 'limited'
    UNAVAILABLE = 'unavailable'
    DROPPED = 'dropped'


class PlatformService:
    """Stand in for the platform in memory."""

    def __init__(
        self, settings: PlatformSettings, clock: Clock = time.monotonic
    ) -> None:
        self._settings = settings
        self._switches = SwitchBoard()
        self._reads = TokenBucket(clock)
        self._writes = TokenBucket(clock)
        self._counts = Counts()
        self._vms = VmTable(settings.vms, clock)
        self.objects = ObjectTable()
        self.weights = WeightStore(settings.weights)

    @property
    def faults(self) -> FaultSwitches:
        """Return the fault switches now in force."""
        return self._switches.faults

    @property
    def counts(self) -> CountsReport:
        """Return the counts since the last reset."""
        calls = {
            method.value: dict(kinds)
            for method, kinds in self._counts.calls.items()
        }
        refused = {
            reason.value: count
            for reason, count in self._counts.refused.items()
        }
        return CountsReport(
            calls=calls,
            refused=refused,
            effects=self._counts.effects,
            lost_answers=self._counts.lost_answers,
            waiting_watches=self._counts.waiting_watches,
            peak_waiting_watches=self._counts.peak_waiting_watches,
            weight_loads=self.weights.loads,
            weight_loads_peak=self.weights.peak_at_once,
        )

    def set_faults(self, faults: FaultSwitches) -> None:
        """Replace all fault switches; an outage ends waiting watches."""
        limits_change = (faults.writes_per_s, faults.reads_per_s) != (
            self.faults.writes_per_s,
            self.faults.reads_per_s,
        )
        self._switches.set(faults)
        if limits_change:
            self._reads.reset()
            self._writes.reset()
        if faults.down is not Down.NO:
            self.objects.wake_all()

    def reset_counts(self) -> None:
        """Start counting anew."""
        self._counts.reset()
        self.weights.reset_counts()

    async def admit(self, method: Method, kind: str) -> Admission:
        """Count a call; wait, refuse or drop it as the switches say."""
        self._counts.call(method, kind)
        delay_s = self._switches.take_delay_s()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        outage = self.outage()
        if outage is not Admission.PASS:
            self._counts.refused[Refused.DOWN] += 1
            return outage
        if not self._within_rate(method):
            self._counts.refused[Refused.RATE] += 1
            return Admission.LIMITED
        return Admission.PASS

    def outage(self) -> Admission:
        """Return how an outage shows now, or PASS."""
        if self.faults.down is Down.REFUSE:
            return Admission.UNAVAILABLE
        if self.faults.down is Down.DROP:
            return Admission.DROPPED
        return Admission.PASS

    def put(
        self, key: ObjectKey, value: bytes, expect: int
    ) -> StoredObject | StoreError:
        """Write an object and count the effect or the refusal."""
        result = self.objects.put(key, value, expect)
        self._count_write(result)
        return result

    def delete(self, key: ObjectKey, expect: int) -> None | StoreError:
        """Delete an object and count the effect or the refusal."""
        result = self.objects.delete(key, expect)
        self._count_write(result)
        return result

    def lose_answer(self) -> bool:
        """Draw whether the answer of a write just done gets lost."""
        lost = self._switches.take_loss()
        if lost:
            self._counts.lost_answers += 1
        return lost

    async def wait_change(
        self, key: ObjectKey, after: int, wait_s: float
    ) -> bool:
        """Wait for a change above a version; tell whether there is one."""
        self._counts.watch_begins()
        try:
            async with asyncio.timeout(wait_s):
                await self.objects.change_after(key, after)
        except TimeoutError:
            return False
        finally:
            self._counts.watch_ends()
        return self.objects.version(key) > after

    def put_vm(self, vm: Vm) -> None:
        """Register or replace a VM, shown after the lag."""
        self._vms.put(vm)

    def remove_vm(self, vm_id: str) -> None:
        """Remove a VM, shown after the lag."""
        self._vms.remove(vm_id)

    def shown_vms(self) -> tuple[Vm, ...]:
        """Return the lagging VM list."""
        lag_s = self.faults.vm_lag_s
        if lag_s is None:
            lag_s = self._settings.vm_lag_s
        return self._vms.show(lag_s)

    def _within_rate(self, method: Method) -> bool:
        if method in WRITES:
            rate = self.faults.writes_per_s
            if rate is None:
                rate = self._settings.writes_per_s
            return self._writes.take(rate)
        rate = self.faults.reads_per_s
        if rate is None:
            rate = self._settings.reads_per_s
        # Each waiting watch takes one read from every second it waits.
        return self._reads.take(max(0.0, rate - self._counts.waiting_watches))

    def _count_write(self, result: StoredObject | None | StoreError) -> None:
        if not isinstance(result, StoreError):
            self._counts.effects += 1
            return
        refused = _REFUSALS.get(result.fault)
        if refused is not None:
            self._counts.refused[refused] += 1
