"""Hold one router's tokens of a limit."""

from lacewing_daemon.demand_meter import DemandMeter
from lacewing_daemon.direct.limits._allowance import Allowance
from lacewing_daemon.rate_bucket import RateBucket

# A request that is refused this soon after it was charged gets everything
# back. Later on the routers have received new tokens in place of those, and
# more could run in a window than its limit: what came in is not given back.
REFUND_S = 0.2
# How much a process that starts may claim, in capacities of a router. The
# pools are empty if all routers start, so all claims fit into the reserve.
MAX_CLAIM = 2.0


class LimitAccount:
    """Charge requests to a limit at one router; ``now`` is in seconds.

    Tokens come in at the router's share of the limit, or from its pool.
    They are only ever moved, so the sum over all routers stays within the
    limit also if messages are lost, late, or cut off by a partition.
    """

    def __init__(self, allowance: Allowance, now: float) -> None:
        self._allowance = allowance
        # A process that starts does not know what was run before, so it
        # begins without tokens.
        self._bucket = RateBucket(
            allowance.router_rate_per_s,
            now,
            allowance.router_capacity,
            tokens=0.0,
        )
        self._meter: DemandMeter | None = None
        self._demand_per_s = 0.0

    @property
    def allowance(self) -> Allowance:
        """Return the limit and the router's share of it."""
        return self._allowance

    def tokens(self, now: float) -> float:
        """Return the tokens held."""
        return self._bucket.tokens(now)

    def set_allowance(self, allowance: Allowance, now: float) -> None:
        """Change the limit or the router's share."""
        if allowance == self._allowance:
            return
        self._allowance = allowance
        self._bucket.set_rate(
            allowance.router_rate_per_s, now, allowance.router_capacity
        )

    def claim(self, unclaimed_s: float, now: float) -> None:
        """Add what came in while no process had the router's share.

        Otherwise, after all routers were killed at once, callers that come
        back are refused until enough has come in.
        """
        tokens = self._allowance.router_rate_per_s * unclaimed_s
        max_tokens = self._allowance.router_capacity * MAX_CLAIM
        self._bucket.move(min(tokens, max_tokens), now)

    def count_demand(self, cost: float, now: float) -> None:
        """Count a request, whether it is admitted or not."""
        if self._meter is None:
            self._meter = DemandMeter(now, now)
        self._meter.add(1, cost, now)

    def charge(self, cost: float, now: float) -> bool:
        """Take what a request counts; false if the account lacks it."""
        if self._bucket.tokens(now) < cost:
            return False
        self._bucket.move(-cost, now)
        return True

    def withdraw(self, cost: float, now: float) -> float:
        """Take up to an amount; return how much was taken."""
        taken = max(0.0, min(cost, self._bucket.tokens(now)))
        self._bucket.move(-taken, now)
        return taken

    def deposit(self, tokens: float, now: float) -> None:
        """Add tokens that were moved here."""
        self._bucket.move(tokens, now)

    def refund(self, cost: float, charged_s: float, now: float) -> None:
        """Give back what was charged for a request that never ran."""
        late_s = max(0.0, now - charged_s - REFUND_S)
        replaced = self._allowance.rate_per_s * late_s
        self._bucket.move(max(0.0, cost - replaced), now)

    def measure_demand(self, now: float) -> None:
        """Measure the demand since the last call."""
        if self._meter is not None:
            self._demand_per_s = self._meter.measure(now).tokens_s

    def surplus(self, ahead_s: float, now: float) -> float:
        """Return the tokens that are not needed in the next seconds."""
        coming = self._allowance.router_rate_per_s * ahead_s
        room = max(0.0, self._allowance.router_capacity - coming)
        reserve = min(room, self._demand_per_s * ahead_s)
        return max(0.0, self._bucket.tokens(now) - reserve)

    def excess(self, now: float) -> float:
        """Return the tokens beyond the router's capacity."""
        held = self._bucket.tokens(now)
        return max(0.0, held - self._allowance.router_capacity)

    def shortfall(self, ahead_s: float, now: float) -> float:
        """Return the tokens that the next seconds are expected to lack."""
        rate_per_s = self._demand_per_s - self._allowance.router_rate_per_s
        missing = rate_per_s * ahead_s - self._bucket.tokens(now)
        return min(max(0.0, missing), self._allowance.pool_capacity)
