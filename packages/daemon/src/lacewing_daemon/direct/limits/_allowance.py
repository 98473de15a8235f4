"""Divide a limit into what routers may hold at any moment.

Load pattern: the requests that count reach few of many routers, and which ones
changes within a second. So most of what may be held is held by the routers
for the requests that they receive without asking each other, and a part in
one pool per limit, from which any router can take.
"""

from dataclasses import dataclass

from lacewing_daemon.direct._routing_config import Quota

# Fractions of the reserve, which is what may be held at any moment. The rest
# covers requests that are larger than what the pool holds.
ROUTERS_FRACTION = 0.35
POOL_FRACTION = 0.6
# Fraction of the overage and the slack that is used. The rest covers routers
# that are counted late and requests that run some time after their charge.
TOLERANCE_FRACTION = 0.85
# With less in reserve, what comes in would be lost between two settlements.
MIN_RESERVE_S = 0.25


@dataclass(frozen=True)
class WindowBounds:
    """Hold by how much a limit may be exceeded in any window.

    ``overage`` is a fraction of the limit, ``slack`` is in its unit.
    """

    window_s: float
    overage: float
    slack: float


@dataclass(frozen=True)
class Allowance:
    """Hold what one router may hold of a limit.

    ``rate_per_s`` is the limit at all routers; ``router_rate_per_s``
    comes in at this router, up to ``router_capacity``. A request that counts
    more than ``max_cost`` exceeds the limit by itself.
    """

    rate_per_s: float
    router_rate_per_s: float
    router_capacity: float
    pool_capacity: float
    max_cost: float


def allowance(quota: Quota, bounds: WindowBounds, share: float) -> Allowance:
    """Return the allowance of a router with a share, 0 to 1, of all."""
    of_window = quota.rate_per_s * bounds.window_s + quota.burst
    tolerance = of_window * bounds.overage + bounds.slack
    usable = tolerance * TOLERANCE_FRACTION
    # A window may hold the burst and the tolerance beyond the rate. The larger
    # of them is held in reserve, the other one comes in over the window.
    reserve = max(quota.burst, usable)
    beyond_rate = min(quota.burst, usable)
    min_reserve = quota.rate_per_s * MIN_RESERVE_S
    if reserve < min_reserve:
        beyond_rate -= min_reserve - reserve
        reserve = min_reserve
    rate_per_s = quota.rate_per_s
    if bounds.window_s > 0:
        rate_per_s += beyond_rate / bounds.window_s
    return Allowance(
        rate_per_s,
        rate_per_s * share,
        reserve * ROUTERS_FRACTION * share,
        reserve * POOL_FRACTION,
        of_window + tolerance,
    )
