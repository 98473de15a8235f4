"""Offer fault switches, counts and VM changes over HTTP; for tests only."""

import msgspec
from lacewing_common.store import Vm

from lacewing_bench.platform._handlers import PlatformHandler
from lacewing_bench.platform._handlers import VmsHandler
from lacewing_bench.platform._switches import FaultSwitches


class FaultsHandler(PlatformHandler):
    """Show and replace the fault switches."""

    def get(self) -> None:
        """Answer with the switches now in force."""
        self.write_json(self.service.faults)

    def post(self) -> None:
        """Replace all switches; ``{}`` clears them."""
        try:
            faults = msgspec.json.decode(self.request.body, type=FaultSwitches)
        except msgspec.DecodeError as error:
            self.refuse(400, f'fault switches: {error}')
            return
        self.service.set_faults(faults)
        self.write_json(faults)


class CountsHandler(PlatformHandler):
    """Show the counts."""

    def get(self) -> None:
        """Answer with the counts since the last reset."""
        self.write_json(self.service.counts)


class CountsResetHandler(PlatformHandler):
    """Reset the counts."""

    def post(self) -> None:
        """Start counting anew."""
        self.service.reset_counts()
        self.write_json({})


class VmChangesHandler(VmsHandler):
    """Show the VM list and take new rows."""

    def post(self) -> None:
        """Register or replace a row."""
        try:
            vm = msgspec.json.decode(self.request.body, type=Vm)
        except msgspec.DecodeError as error:
            self.refuse(400, f'VM: {error}')
            return
        self.service.put_vm(vm)
        self.write_json(vm)


class VmRemovalHandler(PlatformHandler):
    """Remove a row of the VM list."""

    def delete(self, vm_id: str) -> None:
        """Remove one row; also 200 when absent."""
        self.service.remove_vm(vm_id)
        self.write_json({})
