"""Keep to the limits that upstreams name, over all routers together.

Load pattern: an upstream in need names a few requests a second. The routers
that have its answers send it whatever their callers ask for, and what one of
them may send is less than one request in a second.
"""

import asyncio
import time
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import replace
from random import Random

from lacewing_daemon.background import keep_all_running
from lacewing_daemon.direct._metrics import LIMIT_MESSAGES
from lacewing_daemon.direct._metrics import UPSTREAM_CHARGES
from lacewing_daemon.direct._site import Unstated
from lacewing_daemon.direct._upstream import Upstream
from lacewing_daemon.direct.limits._allowance import WindowBounds
from lacewing_daemon.direct.limits._ledger import LimitTerms
from lacewing_daemon.direct.limits._limiter import Charge
from lacewing_daemon.direct.limits._limiter import Denial
from lacewing_daemon.direct.limits._limiter import RateLimiter
from lacewing_daemon.direct.limits._limiter import SETTLE_TIMEOUT_S
from lacewing_daemon.direct.limits._limiter import TokenCarrier
from lacewing_daemon.direct.limits._messages import StatedLimit
from lacewing_daemon.direct.limits._messages import TokenReply
from lacewing_daemon.direct.limits._messages import TokenRequest
from lacewing_daemon.direct.limits._named import NamedLimit
from lacewing_daemon.direct.limits._named import NamedLimits

# Half of what an upstream bears beyond its limit in a window, so that there is
# room for routers that count each other late.
BOUNDS = WindowBounds(window_s=4.0, overage=0.25, slack=5.0)
# For how long placement leaves out an upstream that takes nothing now.
MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 1.0
# A router that reaches no keeper asks an upstream this often at the most
# whether its limit is still in force.
MIN_PROBE_INTERVAL_S = 10.0
# Routers tell each other after this time that a limit is still in force.
CONFIRM_INTERVAL_S = 10.0
# Changes of this time are announced together.
ANNOUNCE_DELAY_S = 0.05


class UpstreamLimiter:
    """Charge requests to the limits that upstreams name.

    Routers tell each other when a limit begins, changes or ends: the one that
    sees it in an answer tells the keeper of the limit's pool, which tells all
    others. Whoever has missed that learns it with the next settlement, so a
    router that sends an upstream nothing does not hold a limit that has ended.
    A router that reaches no keeper sends a probe now and then, which no token
    pays for: its answer tells. ``terms`` returns the share of this router.
    """

    def __init__(
        self,
        address: str,
        terms: Callable[[], LimitTerms],
        peer_addresses: Callable[[], Sequence[str]],
        random: Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._address = address
        self._share_terms = terms
        self._peer_addresses = peer_addresses
        self._clock = clock
        self._named = NamedLimits(clock)
        self._limiter = RateLimiter(
            address, self._terms, peer_addresses, random, clock, self
        )
        self._carrier: TokenCarrier | None = None
        self._probed_s: dict[str, float] = {}
        self._unannounced: set[str] = set()
        self._has_changed = asyncio.Event()

    @property
    def named(self) -> NamedLimits:
        """Return what upstreams have said."""
        return self._named

    @property
    def limiter(self) -> RateLimiter:
        """Return the limiter that holds the tokens."""
        return self._limiter

    def connect(self, carrier: TokenCarrier) -> None:
        """Use a carrier from now on; until then no peer is called."""
        self._carrier = carrier
        self._limiter.connect(carrier)

    def is_limited(self, upstream: Upstream) -> bool:
        """Return whether an upstream names a limit."""
        return self._named.rate_per_s(upstream.incarnation) is not None

    def record(
        self, upstream: Upstream, stated: float | Unstated, sent_s: float
    ) -> None:
        """Record what an answer says; ``sent_s``: when it was asked for."""
        if self._named.record(upstream, stated, sent_s):
            self._announce(upstream.incarnation)

    async def admit(self, upstream: Upstream) -> Charge | Denial:
        """Charge a request to an upstream before it is sent."""
        key = upstream.incarnation
        charged = await self._limiter.charge(key, 1.0, may_hold=False)
        if isinstance(charged, Charge):
            UPSTREAM_CHARGES.labels('charged').inc()
            return charged
        if not charged.is_answered and self._is_probe_due(key):
            UPSTREAM_CHARGES.labels('probe').inc()
            self._probed_s[key] = self._clock()
            return Charge(key, 0.0, self._clock())
        UPSTREAM_CHARGES.labels('denied').inc()
        wait_s = max(MIN_PAUSE_S, min(charged.wait_s, MAX_PAUSE_S))
        return replace(charged, wait_s=wait_s)

    def refund(self, charge: Charge) -> None:
        """Give back the charge of a request that did not reach anything."""
        self._limiter.refund(charge)

    def forget_old(self) -> None:
        """Remove limits of upstreams that have ended."""
        self._named.forget_old()
        for key in tuple(self._probed_s):
            if key not in self._named.limits:
                del self._probed_s[key]

    async def run(self) -> None:
        """Settle, and announce changes, until cancelled."""
        await keep_all_running(
            {
                'upstream settlement': self._limiter.run,
                'upstream announcements': self._run_announcements,
            }
        )

    def outgoing(self, keys: Iterable[str]) -> dict[str, StatedLimit]:
        """Return what is known of some limits."""
        now = self._clock()
        stated = {}
        for key in keys:
            limit = self._named.limits.get(key)
            if limit is not None:
                stated[key] = StatedLimit(
                    limit.rate_per_s, now - limit.stated_s
                )
        return stated

    def incoming(self, stated: Mapping[str, StatedLimit]) -> None:
        """Apply what another router knows, and announce it as a keeper."""
        now = self._clock()
        for key, limit in stated.items():
            named = NamedLimit(limit.rate_per_s, now - limit.age_s)
            if not self._named.apply(key, named):
                continue
            if self._limiter.keeper(key) == self._address:
                self._announce(key)

    def unknown_to(
        self, stated: Mapping[str, StatedLimit] | None
    ) -> dict[str, StatedLimit]:
        """Return statements that are later than what another router has."""
        if stated is None:
            return {}
        now = self._clock()
        unknown = []
        for key, limit in self._named.limits.items():
            known = stated.get(key)
            if known is None:
                unknown.append(key)
                continue
            newer_s = known.age_s - (now - limit.stated_s)
            has_changed = known.rate_per_s != limit.rate_per_s
            if newer_s > (0.0 if has_changed else CONFIRM_INTERVAL_S):
                unknown.append(key)
        return self.outgoing(unknown)

    def _terms(self) -> LimitTerms:
        return replace(
            self._share_terms(),
            quotas=self._named.quotas,
            bounds=BOUNDS,
            unclaimed_s=0.0,
        )

    def _is_probe_due(self, key: str) -> bool:
        """Return whether this router may ask without a token.

        The probes of all routers together stay within the limit.
        """
        limit = self._named.limits.get(key)
        if limit is None or limit.rate_per_s is None:
            return True
        routers = self._share_terms().routers
        interval_s = max(MIN_PROBE_INTERVAL_S, routers / limit.rate_per_s)
        last_s = max(limit.stated_s, self._probed_s.get(key, 0.0))
        return self._clock() - last_s >= interval_s

    def _announce(self, key: str) -> None:
        self._unannounced.add(key)
        self._has_changed.set()

    async def _run_announcements(self) -> None:
        if self._unannounced:
            self._has_changed.set()
        while True:
            await self._has_changed.wait()
            await asyncio.sleep(ANNOUNCE_DELAY_S)
            self._has_changed.clear()
            by_address: dict[str, list[str]] = {}
            for key in self._unannounced:
                for address in self._informed_by_this_router(key):
                    by_address.setdefault(address, []).append(key)
            self._unannounced.clear()
            calls = []
            for address, keys in by_address.items():
                calls.append(self._tell(address, keys))
            await asyncio.gather(*calls)

    def _informed_by_this_router(self, key: str) -> Sequence[str]:
        keeper = self._limiter.keeper(key)
        if keeper == self._address:
            return self._peer_addresses()
        return () if keeper is None else (keeper,)

    async def _tell(self, address: str, keys: Sequence[str]) -> None:
        if self._carrier is None:
            return
        reply: TokenReply | None = await self._carrier.move(
            address,
            TokenRequest(self._address, stated=self.outgoing(keys)),
            SETTLE_TIMEOUT_S,
        )
        result = 'failed' if reply is None else 'answered'
        LIMIT_MESSAGES.labels(result).inc()
