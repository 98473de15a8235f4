"""Keep one router's accounts, and the pools that it keeps for all routers."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

from lacewing_daemon.direct._routing_config import Quota
from lacewing_daemon.direct.limits._account import TeamAccount
from lacewing_daemon.direct.limits._allowance import Allowance
from lacewing_daemon.direct.limits._allowance import allowance
from lacewing_daemon.direct.limits._allowance import WindowBounds
from lacewing_daemon.direct.limits._messages import TokenReply
from lacewing_daemon.direct.limits._messages import TokenRequest
from lacewing_daemon.direct.limits._pool import Denied
from lacewing_daemon.direct.limits._pool import TeamPool

# Limits how long a reply is; further teams are named once these have enough.
MAX_LACKING_TEAMS = 128
# Retry interval if the keeper does not know the team's limit yet.
UNKNOWN_TEAM_WAIT_S = 0.5
# A router that has not settled for this long settles elsewhere, or has ended.
SETTLING_TIMEOUT_S = 3.0
# Smaller amounts are not worth a message.
_MIN_MOVED = 0.01


@dataclass(frozen=True)
class LimitTerms:
    """Hold the limits in force and the router's share of them, 0 to 1.

    ``routers``: how many routers share them. ``unclaimed_s``: for how long
    nobody has used the share of this router, as its predecessor had ended.
    """

    quotas: Mapping[str, Quota]
    bounds: WindowBounds
    share: float
    routers: int = 1
    unclaimed_s: float = 0.0

    def is_same(self, other: 'LimitTerms') -> bool:
        """Return whether nothing has changed; each change is a new mapping."""
        return (
            self.quotas is other.quotas
            and self.share == other.share
            and self.routers == other.routers
            and self.bounds == other.bounds
        )


@dataclass(frozen=True)
class Settlement:
    """Hold what a router moves to and from one keeper."""

    deposits: dict[str, float]
    wishes: dict[str, float]


class TokenLedger:
    """Hold accounts and pools; all amounts leave one before they enter one.

    Makes no calls: whoever carries a message out deposits what came back.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._terms = LimitTerms({}, WindowBounds(0.0, 0.0, 0.0), 0.0)
        self._accounts: dict[str, TeamAccount] = {}
        self._pools: dict[str, TeamPool] = {}
        self._active: set[str] = set()
        self._settled_s: dict[str, float] = {}
        self._has_claimed = False

    @property
    def teams(self) -> Iterable[str]:
        """Return the teams that have a limit."""
        return self._accounts

    def apply(self, terms: LimitTerms) -> None:
        """Bring limits and the share into force; lower ones at once."""
        if terms.is_same(self._terms):
            return
        claims = (
            terms.share > 0 and bool(terms.quotas) and not self._has_claimed
        )
        self._has_claimed |= claims
        self._terms = terms
        now = self._clock()
        for team in tuple(self._accounts):
            if team not in terms.quotas:
                del self._accounts[team]
                self._pools.pop(team, None)
        for team in terms.quotas:
            in_force = self._allowance(team)
            if team not in self._accounts:
                self._accounts[team] = TeamAccount(in_force, now)
            self._accounts[team].set_allowance(in_force, now)
            if claims:
                self._accounts[team].claim(terms.unclaimed_s, now)
        self._update_pools()

    def account(self, team: str) -> TeamAccount | None:
        """Return the account of a team, None if it has no limit."""
        return self._accounts.get(team)

    def count_demand(self, team: str, cost: float) -> None:
        """Count a request of a team as demand at this router."""
        self._active.add(team)
        self._accounts[team].count_demand(cost, self._clock())

    def pool_tokens(self, team: str) -> float:
        """Return the tokens of a pool that this router keeps."""
        pool = self._pools.get(team)
        return 0.0 if pool is None else pool.tokens

    def serve(self, request: TokenRequest) -> TokenReply:
        """Move tokens for a router, as the keeper of pools."""
        self._record_settlement(request.sender)
        granted: dict[str, float] = {}
        waits: dict[str, float] = {}
        for team, tokens in request.deposits.items():
            if team in self._accounts:
                self._pool(team).deposit(tokens)
        for team, need in request.needs.items():
            if team not in self._accounts:
                waits[team] = UNKNOWN_TEAM_WAIT_S
                continue
            result = self._pool(team).grant(need, self._clock())
            if isinstance(result, Denied):
                waits[team] = result.wait_s
                continue
            granted[team] = result.tokens
        for team, wish in request.wishes.items():
            if team not in self._accounts:
                continue
            tokens = self._pool(team).grant_in_advance(wish)
            if tokens > _MIN_MOVED:
                granted[team] = granted.get(team, 0.0) + tokens
        is_short = any(pool.is_short for pool in self._pools.values())
        return TokenReply(granted, waits, self._lacking_teams(), is_short)

    def keep_pools(self, teams: Iterable[str]) -> None:
        """Keep the pools of these teams, which begin empty."""
        for team in teams:
            if team in self._accounts:
                self._pool(team)

    def settle(
        self,
        keeper_of: Callable[[str], str | None],
        own_address: str,
        lacking: Mapping[str, frozenset[str]],
        ahead_s: float,
    ) -> dict[str, Settlement]:
        """Take what other routers can use; return it by keeper.

        ``lacking`` names, by keeper, the teams that it takes tokens of.
        ``ahead_s`` is the time until the next settlement.
        """
        now = self._clock()
        settlements: dict[str, Settlement] = {}
        for team in self._teams_to_settle(lacking):
            account = self._accounts[team]
            account.measure_demand(now)
            keeper = keeper_of(team)
            if keeper is None:
                continue
            settlement = settlements.setdefault(keeper, Settlement({}, {}))
            deposit = account.excess(now)
            if team in lacking.get(keeper, ()):
                deposit = account.surplus(ahead_s, now)
            deposit = account.withdraw(deposit, now)
            if keeper != own_address and team in self._pools:
                deposit += self._pools[team].withdraw_all()
            if deposit > _MIN_MOVED:
                settlement.deposits[team] = deposit
            wish = account.shortfall(ahead_s, now)
            if wish > _MIN_MOVED:
                settlement.wishes[team] = wish
        return settlements

    def _teams_to_settle(
        self, lacking: Mapping[str, frozenset[str]]
    ) -> list[str]:
        teams = self._active | self._pools.keys()
        for named in lacking.values():
            teams |= named
        self._active.clear()
        return [team for team in teams if team in self._accounts]

    def _lacking_teams(self) -> tuple[str, ...]:
        lacking = []
        for team, pool in self._pools.items():
            if pool.is_full:
                continue
            lacking.append(team)
            if len(lacking) == MAX_LACKING_TEAMS:
                break
        return tuple(lacking)

    def _pool(self, team: str) -> TeamPool:
        pool = self._pools.get(team)
        if pool is None:
            pool = TeamPool(self._allowance(team), self._clock())
            self._pools[team] = pool
            pool.set_allowance(
                self._allowance(team), self._settling_fraction()
            )
        return pool

    def _record_settlement(self, sender: str) -> None:
        """Count a router among those whose tokens the pools hold."""
        now = self._clock()
        is_new = sender not in self._settled_s
        self._settled_s[sender] = now
        for address, settled_s in tuple(self._settled_s.items()):
            if now - settled_s > SETTLING_TIMEOUT_S:
                del self._settled_s[address]
                is_new = True
        if is_new:
            self._update_pools()

    def _settling_fraction(self) -> float:
        return min(1.0, len(self._settled_s) / max(1, self._terms.routers))

    def _update_pools(self) -> None:
        fraction = self._settling_fraction()
        for team, pool in self._pools.items():
            pool.set_allowance(self._allowance(team), fraction)

    def _allowance(self, team: str) -> Allowance:
        terms = self._terms
        return allowance(terms.quotas[team], terms.bounds, terms.share)
