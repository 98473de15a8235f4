"""Admit requests of teams within their limits."""

from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal

from lacewing_daemon.direct._metrics import LIMIT_DEMAND
from lacewing_daemon.direct._metrics import LIMIT_SETTLED_AGE_SECONDS
from lacewing_daemon.direct._metrics import LIMIT_SHARE
from lacewing_daemon.direct._metrics import LIMIT_TOKENS
from lacewing_daemon.direct._routing_config import Quota
from lacewing_daemon.direct.limits._limiter import Charge
from lacewing_daemon.direct.limits._limiter import Denial
from lacewing_daemon.direct.limits._limiter import RateLimiter

MIN_RETRY_AFTER_S = 0.05
# Delays a caller by up to this fraction more, so that callers that were
# refused together do not return together.
RETRY_SPREAD = 0.5


class TeamLimiter(RateLimiter):
    """Charge requests to the limits of their teams, or refuse them."""

    async def admit(
        self, team: str, quota: Quota, stated_tokens: int | None
    ) -> Charge | Refusal:
        """Charge a request, or refuse it as not run."""
        cost = quota.cost(stated_tokens)
        charged = await self.charge(team, cost)
        if isinstance(charged, Charge):
            if charged.cost:
                LIMIT_DEMAND.labels(team, 'admitted').inc(cost)
            return charged
        LIMIT_DEMAND.labels(team, 'refused').inc(cost)
        if charged.is_final:
            return not_run(
                Reason.TEAM_LIMIT,
                f'counts {cost:g}, more than the limit of {team} ever allows',
            )
        return not_run(
            Reason.TEAM_LIMIT,
            f'over the limit of {quota.rate_per_s:g} {quota.unit.value} a'
            f' second: counts {cost:g}, this router holds'
            f' {self.tokens(team):.0f}',
            self._retry_after_s(charged),
        )

    def update_metrics(self) -> None:
        """Update the metrics of shares and tokens."""
        LIMIT_SHARE.set(self._terms().share)
        LIMIT_SETTLED_AGE_SECONDS.set(self.settled_age_s)
        for team in self.keys:
            LIMIT_TOKENS.labels(team, 'router').set(self.tokens(team))
            LIMIT_TOKENS.labels(team, 'pool').set(self.pool_tokens(team))

    def _retry_after_s(self, denial: Denial) -> float:
        wait_s = max(MIN_RETRY_AFTER_S, denial.wait_s)
        return wait_s * (1.0 + RETRY_SPREAD * self._random.random())
