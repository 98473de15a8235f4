"""Know addresses from the settings' seeds and the platform's VM list."""

from collections.abc import Iterable

from lacewing_common.store import Vm


class KnownMembers:
    """Merge the seeds with the last VM list that could be read.

    The list lags and the platform may be down. Both are harmless: a stale
    address costs a refused connection.
    """

    def __init__(self, seeds: Iterable[str]) -> None:
        self._seeds = tuple(seeds)
        self._listed: tuple[str, ...] = ()

    def addresses(self) -> tuple[str, ...]:
        """Return ``ip:port`` of each seed and each VM listed."""
        return tuple(dict.fromkeys((*self._seeds, *self._listed)))

    def take_list(self, vms: Iterable[Vm]) -> None:
        """Take a newly read VM list in place of the last."""
        self._listed = tuple(vm.address for vm in vms)
