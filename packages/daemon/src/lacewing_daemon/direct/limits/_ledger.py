"""Keep one router's accounts, and the pools that it keeps for all routers."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

from lacewing_daemon.direct._routing_config import Quota
from lacewing_daemon.direct.limits._account import LimitAccount
from lacewing_daemon.direct.limits._allowance import Allowance
from lacewing_daemon.direct.limits._allowance import allowance
from lacewing_daemon.direct.limits._allowance import WindowBounds
from lacewing_daemon.direct.limits._messages import TokenReply
from lacewing_daemon.direct.limits._messages import TokenRequest
from lacewing_daemon.direct.limits._pool import Denied
from lacewing_daemon.direct.limits._pool import TokenPool

# Limits how long a reply is; further limits are named once these have enough.
MAX_LACKING_KEYS = 128
# Retry interval if the keeper does not know the limit yet.
UNKNOWN_KEY_WAIT_S = 0.5
# A router that has not settled for this long settles elsewhere, or has ended.
SETTLING_TIMEOUT_S = 3.0
# Smaller fractions of a pool's capacity are not worth a message. The share of
# one of hundreds of routers in a small limit is still above that.
_MIN_MOVED_FRACTION = 1e-5


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
        self._accounts: dict[str, LimitAccount] = {}
        self._pools: dict[str, TokenPool] = {}
        self._active: set[str] = set()
        self._settled_s: dict[str, float] = {}
        self._has_claimed = False

    @property
    def keys(self) -> Iterable[str]:
        """Return the names of the limits in force."""
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
        for key in tuple(self._accounts):
            if key not in terms.quotas:
                del self._accounts[key]
                self._pools.pop(key, None)
        for key in terms.quotas:
            in_force = self._allowance(key)
            if key not in self._accounts:
                self._accounts[key] = LimitAccount(in_force, now)
            self._accounts[key].set_allowance(in_force, now)
            if claims:
                self._accounts[key].claim(terms.unclaimed_s, now)
        self._update_pools()

    def account(self, key: str) -> LimitAccount | None:
        """Return the account of a limit, None if it is not in force."""
        return self._accounts.get(key)

    def count_demand(self, key: str, cost: float) -> None:
        """Count a request as demand for a limit at this router."""
        self._active.add(key)
        self._accounts[key].count_demand(cost, self._clock())

    def pool_tokens(self, key: str) -> float:
        """Return the tokens of a pool that this router keeps."""
        pool = self._pools.get(key)
        return 0.0 if pool is None else pool.tokens

    def serve(self, request: TokenRequest) -> TokenReply:
        """Move tokens for a router, as the keeper of pools."""
        self._record_settlement(request.sender)
        granted: dict[str, float] = {}
        waits: dict[str, float] = {}
        for key, tokens in request.deposits.items():
            if key in self._accounts:
                self._pool(key).deposit(tokens)
        for key, need in request.needs.items():
            if key not in self._accounts:
                waits[key] = UNKNOWN_KEY_WAIT_S
                continue
            result = self._pool(key).grant(need, self._clock())
            if isinstance(result, Denied):
                waits[key] = result.wait_s
                continue
            granted[key] = result.tokens
        for key, wish in request.wishes.items():
            if key not in self._accounts:
                continue
            tokens = self._pool(key).grant_in_advance(wish)
            if tokens > self._min_moved(key):
                granted[key] = granted.get(key, 0.0) + tokens
        is_short = any(pool.is_short for pool in self._pools.values())
        return TokenReply(granted, waits, self._lacking_keys(), is_short)

    def keep_pools(self, keys: Iterable[str]) -> None:
        """Keep the pools of these limits, which begin empty."""
        for key in keys:
            if key in self._accounts:
                self._pool(key)

    def settle(
        self,
        keeper_of: Callable[[str], str | None],
        own_address: str,
        lacking: Mapping[str, frozenset[str]],
        ahead_s: float,
    ) -> dict[str, Settlement]:
        """Take what other routers can use; return it by keeper.

        ``lacking`` names, by keeper, the limits that it takes tokens of.
        ``ahead_s`` is the time until the next settlement.
        """
        now = self._clock()
        settlements: dict[str, Settlement] = {}
        for key in self._keys_to_settle(lacking):
            account = self._accounts[key]
            account.measure_demand(now)
            keeper = keeper_of(key)
            if keeper is None:
                continue
            settlement = settlements.setdefault(keeper, Settlement({}, {}))
            deposit = account.excess(now)
            if key in lacking.get(keeper, ()):
                deposit = account.surplus(ahead_s, now)
            deposit = account.withdraw(deposit, now)
            if keeper != own_address and key in self._pools:
                deposit += self._pools[key].withdraw_all()
            if deposit > self._min_moved(key):
                settlement.deposits[key] = deposit
            wish = account.shortfall(ahead_s, now)
            if wish > self._min_moved(key):
                settlement.wishes[key] = wish
        return settlements

    def _keys_to_settle(
        self, lacking: Mapping[str, frozenset[str]]
    ) -> list[str]:
        keys = self._active | self._pools.keys()
        for named in lacking.values():
            keys |= named
        self._active.clear()
        return [key for key in keys if key in self._accounts]

    def _lacking_keys(self) -> tuple[str, ...]:
        lacking = []
        for key, pool in self._pools.items():
            if pool.is_full:
                continue
            lacking.append(key)
            if len(lacking) == MAX_LACKING_KEYS:
                break
        return tuple(lacking)

    def _pool(self, key: str) -> TokenPool:
        pool = self._pools.get(key)
        if pool is None:
            pool = TokenPool(self._allowance(key), self._clock())
            self._pools[key] = pool
            pool.set_allowance(self._allowance(key), self._settling_fraction())
        return pool

    def _min_moved(self, key: str) -> float:
        account = self._accounts[key]
        return account.allowance.pool_capacity * _MIN_MOVED_FRACTION

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
        for key, pool in self._pools.items():
            pool.set_allowance(self._allowance(key), fraction)

    def _allowance(self, key: str) -> Allowance:
        terms = self._terms
        return allowance(terms.quotas[key], terms.bounds, terms.share)
