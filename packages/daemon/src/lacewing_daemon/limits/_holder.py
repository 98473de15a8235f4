"""Share out the limits of some teams between the routers that report."""

import time
from collections.abc import Callable

from lacewing_common.bundle import TeamLimits
from lacewing_common.wire import Allotments
from lacewing_common.wire_limits import TeamAllotment
from lacewing_common.wire_limits import TeamDemand

from lacewing_daemon.limits._ledger import TeamLedger
from lacewing_daemon.limits._team import QUIET_REPORT_S
from lacewing_daemon.limits._team import TIGHT_REPORT_S

_TIGHT_USE = 0.5
# A router that missed this many reports has gone or has nothing to tell.
_REPORTS_MISSED = 3.0
_SWEEP_S = 5.0
# Reports a second that one tight team may cost its holder.
_TIGHT_REPORTS_S = 100.0
_WORTH_TELLING = 0.5

NO_LIMITS = TeamLimits()


class LimitHolder:
    """Hold the last demand of each router for each team.

    Nothing here is kept elsewhere: after a restart the next reports, at
    most one interval later, bring it all back.
    """

    def __init__(
        self,
        limits_of: Callable[[str], TeamLimits],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._limits_of = limits_of
        self._clock = clock
        self._teams: dict[str, TeamLedger] = {}
        self._swept_at_s = clock()

    @property
    def team_count(self) -> int:
        """Return the number of teams held."""
        return len(self._teams)

    def report(
        self, router: str, demands: tuple[TeamDemand, ...], routers: int
    ) -> Allotments:
        """Take a router's demand and return its part of each limit.

        Teams far below their limits are left out of the answer, unless the
        message names one team: a router that asks for it at once waits.
        """
        now = self._clock()
        self._sweep(now)
        parts: list[TeamAllotment] = []
        for demand in demands:
            limits = self._limits_of(demand.team)
            if limits == NO_LIMITS:
                continue
            ledger = self._enter(router, demand, limits, now)
            tight = ledger.use(limits) >= _TIGHT_USE
            if len(demands) > 1 and not tight:
                if _is_small(demand, limits, routers):
                    continue
            report_s = _interval(ledger) if tight else QUIET_REPORT_S
            parts.append(_part(ledger, router, limits, report_s))
        return Allotments(tuple(parts), routers)

    def router_left(self, router: str) -> None:
        """Give a router's parts back."""
        for ledger in self._teams.values():
            ledger.remove(router)

    def _enter(
        self, router: str, demand: TeamDemand, limits: TeamLimits, now: float
    ) -> TeamLedger:
        ledger = self._teams.get(demand.team)
        if ledger is None:
            ledger = TeamLedger()
            self._teams[demand.team] = ledger
        ledger.enter(router, demand, now + QUIET_REPORT_S * _REPORTS_MISSED)
        if ledger.use(limits) >= _TIGHT_USE:
            until_s = now + _interval(ledger) * _REPORTS_MISSED
            ledger.enter(router, demand, until_s)
            ledger.expire(now)
        return ledger

    def _sweep(self, now: float) -> None:
        if now - self._swept_at_s < _SWEEP_S:
            return
        self._swept_at_s = now
        for team in list(self._teams):
            ledger = self._teams[team]
            ledger.expire(now)
            if not ledger.routers:
                del self._teams[team]


def _interval(ledger: TeamLedger) -> float:
    # A flood that comes through all routers must not drown its holder in
    # reports; spread so wide, its parts hardly change.
    return max(TIGHT_REPORT_S, ledger.routers / _TIGHT_REPORTS_S)


def _part(
    ledger: TeamLedger, router: str, limits: TeamLimits, report_s: float
) -> TeamAllotment:
    return TeamAllotment(
        ledger.demand(router).team,
        ledger.requests_part(router, limits.requests_per_s),
        ledger.tokens_part(router, limits.tokens_per_s),
        ledger.slots_part(router, limits.concurrency),
        report_s * _REPORTS_MISSED,
        report_s,
    )


def _is_small(demand: TeamDemand, limits: TeamLimits, routers: int) -> bool:
    """Tell whether a router can do with the even part, told nothing."""
    share = _WORTH_TELLING / max(1, routers)
    if 0 < limits.requests_per_s * share < demand.requests_s:
        return False
    if 0 < limits.tokens_per_s * share < demand.tokens_s:
        return False
    return not 0 < limits.concurrency * share < demand.concurrency
