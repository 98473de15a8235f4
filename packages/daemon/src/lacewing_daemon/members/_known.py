"""Know the agents from the settings' seeds and the platform's VM list."""

from collections.abc import Iterable

from lacewing_common.store import Vm
from lacewing_common.store import VmState


class KnownMembers:
    """Merge the seeds with the last VM list that could be read.

    The list lags and the platform may be down. Both are harmless: a stale
    address costs a refused connection, and an agent tells its own routers
    when it leaves.
    """

    def __init__(self, seeds: Iterable[str]) -> None:
        self._seeds = tuple(seeds)
        self._listed: dict[str, VmState] = {}

    def agent_addresses(self) -> tuple[str, ...]:
        """Return ``ip:port`` of each agent not known to have left."""
        known = dict.fromkeys(self._seeds)
        known.update(dict.fromkeys(self._listed))
        return tuple(known)

    def leaving(self, address: str) -> bool:
        """Tell whether the platform says that an agent's VM is leaving."""
        return self._listed.get(address) is VmState.LEAVING

    def take_list(self, vms: Iterable[Vm]) -> None:
        """Take a newly read VM list in place of the last."""
        self._listed = {vm.address: vm.state for vm in vms}
