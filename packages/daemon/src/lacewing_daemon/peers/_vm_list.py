"""Poll the platform's VM list, which lags, and record changes."""

from collections.abc import Callable
from collections.abc import Iterable
from random import Random

from lacewing_common.backoff import Backoff
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.store import ObjectReads
from lacewing_common.store import StoreError
from lacewing_common.store import Vm
from lacewing_common.store import VmState

from lacewing_daemon.peers._vm_notes import VmNotes

_JITTER = 0.25
_RETRY_BASE_S = 2.0
_RETRY_CAP_S = 8.0

_log = get_log(Part.MEMBERS)
VmListCallback = Callable[[Iterable[Vm]], None]


class VmListReader:
    """Read the VM list; retain the last one during an outage.

    ``on_list`` is called with each list read. Only changes between two reads
    are recorded: the lists of two readers lag differently, and a reader that
    recorded every state would revert what another has just observed.
    """

    def __init__(
        self,
        platform: ObjectReads,
        notes: VmNotes,
        on_list: VmListCallback,
        period_s: float,
        rng: Random,
    ) -> None:
        self._platform = platform
        self._notes = notes
        self._on_list = on_list
        self._period_s = period_s
        self._rng = rng
        self._backoff = Backoff(_RETRY_BASE_S, _RETRY_CAP_S, rng)
        self._failing = False
        self._states: dict[str, VmState] = {}

    async def read(self) -> None:
        """Read the VM list once."""
        answer = await self._platform.vms()
        if isinstance(answer, StoreError):
            self.log_failure(answer.message)
            return
        if self._failing:
            _log.info('VM list read again.', vms=len(answer))
        self._failing = False
        self._backoff.reset()
        self._on_list(answer)
        for vm in answer:
            self._record_change(vm)
        self._states = {vm.address: vm.state for vm in answer}

    def log_failure(self, message: str) -> None:
        """Log the first of consecutive failures."""
        if not self._failing:
            _log.warning('VM list not read.', error=message)
        self._failing = True

    def pause_s(self) -> float:
        """Return a random time until the next read, longer after failures."""
        pause_s = self._period_s * self._rng.uniform(1 - _JITTER, 1 + _JITTER)
        if self._failing:
            pause_s += self._backoff.next_s()
        return pause_s

    def _record_change(self, vm: Vm) -> None:
        leaving = vm.state is VmState.LEAVING
        before = self._states.get(vm.address)
        if before is None:
            changed = leaving and self._notes.get(vm.address) is None
        else:
            changed = before is not vm.state
        if changed and self._notes.is_leaving(vm.address) is not leaving:
            self._notes.observe(vm.address, leaving)
