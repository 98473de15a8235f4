"""Hold what one router knows and admits of one team."""

import math

from lacewing_common.bundle import TeamLimits
from lacewing_common.wire_limits import TeamAllotment
from lacewing_common.wire_limits import TeamDemand

from lacewing_daemon.demand_meter import DemandMeter
from lacewing_daemon.rate_bucket import RateBucket

# A team far below its limit is reported rarely, one close to it often: the
# messages go where the precision is needed.
QUIET_REPORT_S = 5.0
TIGHT_REPORT_S = 0.25
_NO_SLOT_WAIT_S = 1.0
# Asking again pays only when there is clearly more demand to tell of.
_GROWN = 1.5


class TeamUse:
    """Admit one team's requests within this router's part of its limits.

    Times are readings of ``time.monotonic``, in seconds.
    """

    def __init__(
        self,
        team: str,
        limits: TeamLimits,
        routers: int,
        now: float,
        since: float,
        already_open: int = 0,
    ) -> None:
        self._team = team
        self._limits = limits
        self._requests = RateBucket(limits.requests_per_s / routers, now)
        self._tokens = RateBucket(limits.tokens_per_s / routers, now)
        self._slots = math.ceil(limits.concurrency / routers)
        self._valid_until_s = 0.0
        self._report_at_s = now
        self._meter = DemandMeter(now, since)
        self._told = TeamDemand(team, 0.0, 0.0, 0)
        self._open = already_open
        self._tight = False
        self._most_wanted = 0

    @property
    def limits(self) -> TeamLimits:
        """Return the limits over all routers."""
        return self._limits

    @property
    def report_at_s(self) -> float:
        """Return when to report the team's demand next."""
        return self._report_at_s

    @property
    def open_requests(self) -> int:
        """Return the number of open requests."""
        return self._open

    @property
    def tight(self) -> bool:
        """Tell whether the team is so near its limits that time matters."""
        return self._tight

    @property
    def idle(self) -> bool:
        """Tell whether the team has nothing open and asks for nothing."""
        return self._open == 0 and self._told.requests_s == 0.0

    def lapsed(self, now: float) -> bool:
        """Tell whether the part allotted may no longer be used."""
        return now >= self._valid_until_s

    def wait_s(self, tokens: float, now: float) -> float:
        """Return the seconds until a request could pass; 0: it can now."""
        wait_s = 0.0
        if self._limits.requests_per_s > 0:
            wait_s = self._requests.wait_s(1.0, now)
        if self._limits.tokens_per_s > 0:
            wait_s = max(wait_s, self._tokens.wait_s(tokens, now))
        if 0 < self._limits.concurrency and self._open >= self._slots:
            wait_s = max(wait_s, _NO_SLOT_WAIT_S)
        return wait_s

    def grown(self, now: float) -> bool:
        """Tell whether demand is clearly above what was reported."""
        if self._most_wanted > _GROWN * max(self._told.concurrency, 1):
            return True
        return self._meter.jumped(now)

    def ask(self, tokens: float, now: float) -> None:
        """Count a request as demand, whether or not it passes."""
        self._meter.add(1, tokens, now)
        self._most_wanted = max(self._most_wanted, self._open + 1)

    def open(self, tokens: float, now: float) -> None:
        """Take what a request is expected to use."""
        self._open += 1
        self._requests.take(1.0, now)
        self._tokens.take(tokens, now)

    def end(self, excess_tokens: float, now: float) -> None:
        """Give the slot back and settle the tokens really used."""
        self._open -= 1
        self._tokens.take(excess_tokens, now)
        self._meter.add(0, excess_tokens, now)

    def demand(self, now: float) -> TeamDemand:
        """Measure the demand since the last report, to be reported."""
        rates = self._meter.measure(now)
        self._told = TeamDemand(
            self._team,
            round(rates.requests_s, 2),
            round(rates.tokens_s, 1),
            max(self._most_wanted, self._open),
        )
        self._most_wanted = self._open
        return self._told

    def reported(self, now: float, again_s: float) -> None:
        """Note a report, to be repeated if no answer comes."""
        self._report_at_s = now + again_s

    def allot(self, part: TeamAllotment, now: float) -> None:
        """Use a new part of the limits."""
        self._requests.set_rate(part.requests_s, now)
        self._tokens.set_rate(part.tokens_s, now)
        self._slots = part.concurrency
        self._valid_until_s = now + part.valid_s
        self._report_at_s = now + part.report_s
        self._tight = part.report_s < QUIET_REPORT_S

    def fall_back(self, routers: int, now: float) -> None:
        """Use an even part while nobody shares the limits out."""
        limits = self._limits
        self._requests.set_rate(limits.requests_per_s / routers, now)
        self._tokens.set_rate(limits.tokens_per_s / routers, now)
        self._slots = math.ceil(limits.concurrency / routers)
