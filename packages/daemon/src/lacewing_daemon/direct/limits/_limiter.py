"""Charge requests to limits that hold over all routers together."""

import asyncio
import time
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

from lacewing_common.log import get_log
from lacewing_common.log import Part
from msgspec import structs

from lacewing_daemon.direct._metrics import LIMIT_MESSAGES
from lacewing_daemon.direct.limits._account import LimitAccount
from lacewing_daemon.direct.limits._keepers import Keepers
from lacewing_daemon.direct.limits._ledger import LimitTerms
from lacewing_daemon.direct.limits._ledger import Settlement
from lacewing_daemon.direct.limits._ledger import TokenLedger
from lacewing_daemon.direct.limits._messages import StatedLimit
from lacewing_daemon.direct.limits._messages import TokenReply
from lacewing_daemon.direct.limits._messages import TokenRequest

# Intervals of settlements: while all pools are full, while one takes deposits,
# and while one needs them at once.
SETTLE_INTERVAL_S = 1.0
LACKING_SETTLE_INTERVAL_S = 0.4
SHORT_SETTLE_INTERVAL_S = 0.25
# A request waits for the keeper's answer and has a part of its latency target
# left after this. Tokens that are settled are lost without an answer, and
# nobody waits for it.
ASK_TIMEOUT_S = 0.1
SETTLE_TIMEOUT_S = 0.4
# A request is held for a wait this short, in place of refusing it: its caller
# would need longer to come back.
MAX_HOLD_S = 0.25
# How often a request asks for tokens, also of the next keeper.
MAX_ASKS = 3
# After a denial, further requests are denied without asking for at most this
# long.
MAX_DENIAL_S = 0.1
# Used while no router that keeps the pool can be reached.
UNREACHABLE_RETRY_AFTER_S = 0.2

_log = get_log(Part.LIMITS)


@dataclass(frozen=True)
class Charge:
    """Hold what was charged for a request to a limit, and when."""

    key: str
    cost: float
    charged_s: float


@dataclass(frozen=True)
class Denial:
    """Report that a request does not fit now.

    ``wait_s``: when it is expected to. ``is_final``: it exceeds the limit by
    itself. ``is_answered``: some keeper of the limit's pool could be asked.
    """

    wait_s: float
    is_final: bool = False
    is_answered: bool = True


@dataclass(frozen=True)
class _LastDenial:
    """Hold when the next request would fit, on the limiter's clock."""

    fits_s: float
    asks_again_s: float


_UNREACHABLE = Denial(UNREACHABLE_RETRY_AFTER_S, is_answered=False)


class TokenCarrier(Protocol):
    """Carry a message about tokens to another router."""

    async def move(
        self, address: str, request: TokenRequest, timeout_s: float
    ) -> TokenReply | None:
        """Return the reply, None if there was none in time."""


class LimitExchange(Protocol):
    """Exchange what routers know of limits that are not configured."""

    def outgoing(self, keys: Iterable[str]) -> dict[str, StatedLimit] | None:
        """Return what is known of some limits."""

    def incoming(self, stated: Mapping[str, StatedLimit]) -> None:
        """Apply what another router knows."""

    def unknown_to(
        self, stated: Mapping[str, StatedLimit] | None
    ) -> dict[str, StatedLimit]:
        """Return what another router does not know, by what it has sent."""


class _NoExchange:
    """Exchange nothing: all limits are configured."""

    def outgoing(self, _keys: Iterable[str]) -> dict[str, StatedLimit] | None:
        return None

    def incoming(self, stated: Mapping[str, StatedLimit]) -> None:
        """Ignore what another router sends."""

    def unknown_to(
        self, _stated: Mapping[str, StatedLimit] | None
    ) -> dict[str, StatedLimit]:
        return {}


class RateLimiter:
    """Charge requests at this router; move tokens to and from others.

    ``address`` is where this router takes calls of its peers. ``terms``
    returns the limits in force and this router's share of them.
    """

    def __init__(
        self,
        address: str,
        terms: Callable[[], LimitTerms],
        peer_addresses: Callable[[], Sequence[str]],
        random: Random,
        clock: Callable[[], float] = time.monotonic,
        exchange: LimitExchange | None = None,
    ) -> None:
        self._address = address
        self._exchange = exchange or _NoExchange()
        self._terms = terms
        self._peer_addresses = peer_addresses
        self._random = random
        self._clock = clock
        self._ledger = TokenLedger(clock)
        self._keepers = Keepers()
        self._carrier: TokenCarrier | None = None
        self._lacking: dict[str, frozenset[str]] = {}
        self._short_keepers: set[str] = set()
        self._denials: dict[str, _LastDenial] = {}
        self._settled_s = clock()

    @property
    def keys(self) -> Iterable[str]:
        """Return the names of the limits in force."""
        return self._ledger.keys

    @property
    def settled_age_s(self) -> float:
        """Return the time since a keeper of pools answered."""
        return self._clock() - self._settled_s

    def connect(self, carrier: TokenCarrier) -> None:
        """Use a carrier from now on; until then no peer is called."""
        self._carrier = carrier

    def tokens(self, key: str) -> float:
        """Return the tokens of a limit that this router holds."""
        account = self._ledger.account(key)
        return 0.0 if account is None else account.tokens(self._clock())

    def keeper(self, key: str) -> str | None:
        """Return the router that keeps a limit's pool, None for none."""
        return self._keepers.keeper(key, self._candidates(), self._clock())

    async def charge(
        self, key: str, cost: float, may_hold: bool = True
    ) -> Charge | Denial:
        """Charge a request; without such a limit it costs nothing.

        ``may_hold``: a request that fits within a moment waits for that.
        """
        self._ledger.apply(self._terms())
        account = self._ledger.account(key)
        if account is None:
            return Charge(key, 0.0, self._clock())
        self._ledger.count_demand(key, cost)
        if cost > account.allowance.max_cost:
            return Denial(0.0, is_final=True)
        denial = await self._charge(key, account, cost, may_hold)
        if denial is not None:
            return denial
        return Charge(key, cost, self._clock())

    def refund(self, charge: Charge) -> None:
        """Give back the charge of a request that never ran."""
        account = self._ledger.account(charge.key)
        if account is not None:
            account.refund(charge.cost, charge.charged_s, self._clock())

    def serve(self, request: TokenRequest) -> TokenReply:
        """Serve a peer as the keeper of pools."""
        if request.stated:
            self._exchange.incoming(request.stated)
        self._ledger.apply(self._terms())
        reply = self._ledger.serve(request)
        unknown = self._exchange.unknown_to(request.stated)
        return structs.replace(reply, stated=unknown) if unknown else reply

    def pool_tokens(self, key: str) -> float:
        """Return the tokens of a pool that this router keeps."""
        return self._ledger.pool_tokens(key)

    async def run(self) -> None:
        """Settle with the keepers of pools until cancelled."""
        while True:
            interval_s = self._settle_interval_s()
            await asyncio.sleep(interval_s * self._random.uniform(0.75, 1.25))
            await self._settle(interval_s)

    async def _charge(
        self, key: str, account: LimitAccount, cost: float, may_hold: bool
    ) -> Denial | None:
        """Return None once charged, or why not."""
        if account.charge(cost, self._clock()):
            return None
        last = self._denials.get(key)
        if last is not None and self._clock() < last.asks_again_s:
            return Denial(max(0.0, last.fits_s - self._clock()))
        # Taken before the call: what the account holds must not count for
        # two requests that ask at once.
        own = account.withdraw(cost, self._clock())
        denial: Denial | None = _UNREACHABLE
        try:
            denial = await self._ask(key, cost - own, may_hold)
        finally:
            if denial is not None:
                account.deposit(own, self._clock())
        if denial is None:
            return None
        now = self._clock()
        self._denials[key] = _LastDenial(
            now + denial.wait_s, now + min(denial.wait_s, MAX_DENIAL_S)
        )
        return denial

    async def _ask(
        self, key: str, need: float, may_hold: bool
    ) -> Denial | None:
        """Ask for tokens; None once granted."""
        denial = _UNREACHABLE
        for _ in range(MAX_ASKS):
            keeper = self.keeper(key)
            if keeper is None:
                return denial
            reply = await self._move(
                keeper,
                TokenRequest(
                    self._address,
                    needs={key: need},
                    stated=self._exchange.outgoing((key,)),
                ),
                ASK_TIMEOUT_S,
            )
            if reply is None:
                continue
            if key in reply.granted:
                return None
            denial = Denial(reply.waits.get(key, denial.wait_s))
            if not may_hold or denial.wait_s > MAX_HOLD_S:
                return denial
            may_hold = False
            await asyncio.sleep(denial.wait_s)
        return denial

    def _settle_interval_s(self) -> float:
        terms = self._terms()
        self._ledger.apply(terms)
        if terms.share > 0 and not self._ledger.keys:
            return SETTLE_INTERVAL_S
        if self._short_keepers or not self._lacking:
            # Without a reply yet, the pools are taken to be empty, as after
            # all routers have started.
            return SHORT_SETTLE_INTERVAL_S
        if any(self._lacking.values()):
            return LACKING_SETTLE_INTERVAL_S
        return SETTLE_INTERVAL_S

    async def _settle(self, interval_s: float) -> None:
        self._ledger.apply(self._terms())
        if not self._ledger.keys:
            return
        now = self._clock()
        self._keepers.forget_expired(now)
        # Chosen once for all limits: with thousands of them the choice would
        # block the event loop.
        keeper_of = self._keepers.among(self._candidates(), now)
        by_keeper: dict[str, list[str]] = {}
        for key in self._ledger.keys:
            keeper = keeper_of(key)
            if keeper is not None:
                by_keeper.setdefault(keeper, []).append(key)
        self._ledger.keep_pools(by_keeper.get(self._address, ()))
        settlements = self._ledger.settle(
            keeper_of,
            self._address,
            self._lacking,
            interval_s,
        )
        self._lacking = {
            keeper: keys
            for keeper, keys in self._lacking.items()
            if keeper in by_keeper
        }
        self._short_keepers &= by_keeper.keys()
        moves = []
        for keeper, keys in by_keeper.items():
            settlement = settlements.get(keeper, Settlement({}, {}))
            request = TokenRequest(
                self._address,
                settlement.deposits,
                {},
                settlement.wishes,
                self._exchange.outgoing(keys),
            )
            move = self._move_settlement(keeper, request)
            if keeper != self._address:
                moves.append(move)
                continue
            # Not in a task: requests that are charged before the task runs
            # would find these tokens neither in the account nor in the pool.
            await move
        await asyncio.gather(*moves)

    async def _move_settlement(
        self, keeper: str, request: TokenRequest
    ) -> None:
        reply = await self._move(keeper, request, SETTLE_TIMEOUT_S)
        if reply is None:
            return
        self._settled_s = self._clock()
        for key, tokens in reply.granted.items():
            account = self._ledger.account(key)
            if account is not None:
                account.deposit(tokens, self._clock())

    async def _move(
        self, keeper: str, request: TokenRequest, timeout_s: float
    ) -> TokenReply | None:
        """Move tokens at this router itself or by a call.

        What a call carries is lost if there is no reply: it may have arrived.
        """
        if keeper == self._address:
            reply: TokenReply | None = self.serve(request)
        elif self._carrier is None:
            return None
        else:
            reply = await self._carrier.move(keeper, request, timeout_s)
            result = 'failed' if reply is None else 'answered'
            LIMIT_MESSAGES.labels(result).inc()
        if reply is not None:
            self._keepers.trust(keeper)
        if reply is None:
            self._lacking.pop(keeper, None)
            self._short_keepers.discard(keeper)
            self._keepers.suspect(keeper, self._clock())
            _log.debug('A keeper of limits did not answer.', peer=keeper)
            return None
        if reply.stated:
            self._exchange.incoming(reply.stated)
        self._lacking[keeper] = frozenset(reply.lacking)
        self._short_keepers.discard(keeper)
        if reply.is_short:
            self._short_keepers.add(keeper)
        return reply

    def _candidates(self) -> list[str]:
        """Return the routers that may keep pools.

        Others do not know this one before they count it.
        """
        addresses: list[str] = []
        if self._carrier is not None:
            addresses.extend(self._peer_addresses())
        if self._terms().share > 0 and self._address not in addresses:
            addresses.append(self._address)
        return addresses
