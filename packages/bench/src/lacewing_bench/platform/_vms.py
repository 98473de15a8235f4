"""Keep the VM list, which lags behind the truth."""

from dataclasses import dataclass

from lacewing_common.store import Vm

from lacewing_bench.platform._rates import Clock


@dataclass(frozen=True)
class _Change:
    made_at: float
    vm_id: str
    vm: Vm | None


class VmTable:
    """Hold the VM rows and show each change only after a lag."""

    def __init__(self, vms: tuple[Vm, ...], clock: Clock) -> None:
        self._clock = clock
        self._shown = {vm.vm_id: vm for vm in vms}
        self._hidden: list[_Change] = []

    def put(self, vm: Vm) -> None:
        """Register or replace a row."""
        self._hidden.append(_Change(self._clock(), vm.vm_id, vm))

    def remove(self, vm_id: str) -> None:
        """Remove a row."""
        self._hidden.append(_Change(self._clock(), vm_id, None))

    def show(self, lag_s: float) -> tuple[Vm, ...]:
        """Return the rows as they were ``lag_s`` ago."""
        due = self._clock() - lag_s
        while self._hidden and self._hidden[0].made_at <= due:
            self._apply(self._hidden.pop(0))
        return tuple(self._shown.values())

    def _apply(self, change: _Change) -> None:
        if change.vm is None:
            self._shown.pop(change.vm_id, None)
            return
        self._shown[change.vm_id] = change.vm
