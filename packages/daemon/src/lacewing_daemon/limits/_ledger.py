"""Hold the routers' demand for one team and divide its limits."""

from dataclasses import dataclass

from lacewing_common.bundle import TeamLimits
from lacewing_common.wire_limits import TeamDemand

from lacewing_daemon.limits._shares import divide
from lacewing_daemon.limits._shares import divide_slots


@dataclass(frozen=True)
class _Report:
    demand: TeamDemand
    until_s: float


class TeamLedger:
    """Keep each router's last demand, and the sums over all routers."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._requests_s = 0.0
        self._tokens_s = 0.0
        self._concurrency = 0

    @property
    def routers(self) -> int:
        """Return the number of routers with demand."""
        return len(self._reports)

    def demand(self, router: str) -> TeamDemand:
        """Return the last demand of a router."""
        return self._reports[router].demand

    def enter(self, router: str, demand: TeamDemand, until_s: float) -> None:
        """Replace a router's demand, good until ``until_s``."""
        self.remove(router)
        self._reports[router] = _Report(demand, until_s)
        self._requests_s += demand.requests_s
        self._tokens_s += demand.tokens_s
        self._concurrency += demand.concurrency

    def remove(self, router: str) -> None:
        """Take a router's demand out."""
        earlier = self._reports.pop(router, None)
        if earlier is None:
            return
        self._requests_s -= earlier.demand.requests_s
        self._tokens_s -= earlier.demand.tokens_s
        self._concurrency -= earlier.demand.concurrency

    def expire(self, now: float) -> None:
        """Take out the demand of routers that stopped reporting."""
        for router in list(self._reports):
            if self._reports[router].until_s < now:
                self.remove(router)

    def use(self, limits: TeamLimits) -> float:
        """Return the largest share of a limit that is asked for."""
        return max(
            _share(self._requests_s, limits.requests_per_s),
            _share(self._tokens_s, limits.tokens_per_s),
            _share(self._concurrency, limits.concurrency),
        )

    def requests_part(self, router: str, limit: float) -> float:
        """Return a router's part of the requests a second."""
        if limit <= 0:
            return 0.0
        demands = {
            name: one.demand.requests_s for name, one in self._reports.items()
        }
        return divide(limit, demands)[router]

    def tokens_part(self, router: str, limit: float) -> float:
        """Return a router's part of the tokens a second."""
        if limit <= 0:
            return 0.0
        demands = {
            name: one.demand.tokens_s for name, one in self._reports.items()
        }
        return divide(limit, demands)[router]

    def slots_part(self, router: str, limit: int) -> int:
        """Return a router's part of the requests open at once."""
        if limit <= 0:
            return 0
        demands = {
            name: one.demand.concurrency for name, one in self._reports.items()
        }
        return divide_slots(limit, demands)[router]


def _share(demand: float, limit: float) -> float:
    if limit <= 0:
        return 0.0
    return demand / limit
