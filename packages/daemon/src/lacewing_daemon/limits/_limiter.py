"""Admit requests within the teams' limits at one router."""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from lacewing_common.bundle import Team
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_common.wire import Allotments
from lacewing_common.wire import Demands
from lacewing_common.wire_limits import TeamDemand

from lacewing_daemon.limits._holder import NO_LIMITS
from lacewing_daemon.limits._shares import BUCKETS
from lacewing_daemon.limits._shares import team_bucket
from lacewing_daemon.limits._team import QUIET_REPORT_S
from lacewing_daemon.limits._team import TeamUse
from lacewing_daemon.limits._team import TIGHT_REPORT_S

STEP_S = 0.25
_ASK_GAP_S = 0.05
_ASK_WAIT_S = 0.1
_ROUTERS_AT_FIRST = 3


class DemandSender(Protocol):
    """Send demand to the agent that holds a bucket of teams."""

    def __call__(self, bucket: int, demands: Demands) -> bool:
        """Send; false when no agent can be reached."""


class TeamLimiter:
    """Admit within this router's part, and ask for another part in time.

    The part comes from the holder of the team's bucket. While no holder can
    be reached, an even part of the limit is used: the limits hold, but a
    team whose load all comes to one router gets only that part.
    """

    def __init__(
        self,
        send: DemandSender,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._send = send
        self._clock = clock
        self._teams: dict[str, TeamUse] = {}
        self._routers = _ROUTERS_AT_FIRST
        self._asked_at_s: dict[int, float] = {}
        self._heard: dict[str, asyncio.Event] = {}
        self._sent_at_s = _spread(clock())

    async def admit(self, team: Team, tokens: float) -> Refusal | None:
        """Open a request of a team, or refuse it as not run.

        ``tokens`` is the expected number of tokens, prompt and answer.
        """
        if team.limits == NO_LIMITS:
            return None
        use = self._use(team)
        use.ask(tokens, self._clock())
        if use.lapsed(self._clock()):
            use.fall_back(self._routers, self._clock())
        if use.wait_s(tokens, self._clock()) > 0:
            # Load that moved here has a part of the limit at the router it
            # came from. Asking at once gets it within a round trip, where
            # waiting for the next report would refuse for half a second.
            if use.lapsed(self._clock()) or use.grown(self._clock()):
                await self._ask_now(team.name, use)
        wait_s = use.wait_s(tokens, self._clock())
        if wait_s > 0:
            return not_run(
                Reason.TEAM_LIMIT,
                f'team {team.name!r} is at its limit; repeat the request'
                f' in {wait_s:.2f} s',
                retry_after_s=max(wait_s, _ASK_GAP_S),
            )
        use.open(tokens, self._clock())
        return None

    def ended(self, team: Team, expected: float, used: float) -> None:
        """Close an admitted request that used so many tokens."""
        use = self._teams.get(team.name)
        if use is None or team.limits == NO_LIMITS:
            return
        use.end(used - expected, self._clock())

    def take(self, allotments: Allotments) -> None:
        """Use the parts that a holder gave."""
        now = self._clock()
        self._routers = max(1, allotments.routers)
        for part in allotments.teams:
            use = self._teams.get(part.team)
            if use is not None:
                use.allot(part, now)
            heard = self._heard.pop(part.team, None)
            if heard is not None:
                heard.set()

    async def run(self) -> None:
        """Report what is due until cancelled."""
        while True:
            self.report_due()
            await asyncio.sleep(STEP_S)

    def report_due(self) -> None:
        """Send the demand of the teams whose report is due."""
        now = self._clock()
        due: dict[int, list[str]] = {}
        for team, use in self._teams.items():
            if use.report_at_s <= now:
                due.setdefault(team_bucket(team), []).append(team)
        for bucket, teams in due.items():
            if self._may_send(bucket, teams, now):
                self._report(bucket, teams, now)

    def _may_send(self, bucket: int, teams: list[str], now: float) -> bool:
        # Quiet teams wait for each other, so that one message carries the
        # demand of many and their number follows time and not requests.
        if now - self._sent_at_s[bucket] >= QUIET_REPORT_S:
            return True
        return any(self._teams[team].tight for team in teams)

    def _report(self, bucket: int, teams: list[str], now: float) -> None:
        self._sent_at_s[bucket] = now
        demands: list[TeamDemand] = []
        for team in teams:
            use = self._teams[team]
            demands.append(use.demand(now))
            use.reported(now, QUIET_REPORT_S)
            if use.idle:
                del self._teams[team]
        self._send(bucket, Demands(tuple(demands)))

    async def _ask_now(self, team: str, use: TeamUse) -> None:
        heard = self._heard.get(team)
        if heard is None:
            heard = self._ask(team, use)
        if heard is None:
            return
        waiting = asyncio.ensure_future(heard.wait())
        await asyncio.wait([waiting], timeout=_ASK_WAIT_S)
        waiting.cancel()
        # A holder that knows of no limit, or none at all, never answers:
        # the next request must not wait for that again.
        if not heard.is_set() and self._heard.get(team) is heard:
            del self._heard[team]

    def _ask(self, team: str, use: TeamUse) -> asyncio.Event | None:
        now = self._clock()
        bucket = team_bucket(team)
        # A flood must not turn into a message for each refused request.
        if now - self._asked_at_s.get(bucket, 0.0) < _ASK_GAP_S:
            return None
        self._asked_at_s[bucket] = now
        heard = asyncio.Event()
        self._heard[team] = heard
        if not self._send(bucket, Demands((use.demand(now),))):
            del self._heard[team]
            return None
        use.reported(now, TIGHT_REPORT_S)
        return heard

    def _use(self, team: Team) -> TeamUse:
        use = self._teams.get(team.name)
        if use is None or use.limits != team.limits:
            open_requests = 0 if use is None else use.open_requests
            use = TeamUse(
                team.name,
                team.limits,
                self._routers,
                self._clock(),
                self._sent_at_s[team_bucket(team.name)],
                open_requests,
            )
            self._teams[team.name] = use
        return use


def _spread(now: float) -> list[float]:
    """Spread the buckets' first reports over one interval."""
    step_s = QUIET_REPORT_S / BUCKETS
    return [now - step_s * bucket for bucket in range(BUCKETS)]
