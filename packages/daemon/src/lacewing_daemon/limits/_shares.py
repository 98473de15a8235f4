"""Divide a limit between routers by their demand."""

from collections.abc import Mapping

import xxhash

# Teams are grouped so that one message carries the demand of many: a router
# at target size serves 23 requests a second of as many teams, and a holder
# for each team would mean a message for each request.
BUCKETS = 32

# Demand is given a little room above what was seen, or a router could never
# show that it has more.
_HEADROOM = 1.1
# What every reporting router gets of the unused part, whatever its demand.
_EVEN_PART = 0.02


def team_bucket(team: str) -> int:
    """Return the bucket of a team, 0 to BUCKETS - 1."""
    return xxhash.xxh64_intdigest(team.encode()) % BUCKETS


def divide(limit: float, demands: Mapping[str, float]) -> dict[str, float]:
    """Divide a limit; the parts add up to the limit.

    Under it, what is unused is spread by demand; above it the smaller
    demands are met first (max-min fairness).
    """
    wanted = {name: demand * _HEADROOM for name, demand in demands.items()}
    total = sum(wanted.values())
    if total <= limit:
        return _with_unused(limit, wanted, total)
    return _max_min(limit, wanted)


def _with_unused(
    limit: float, wanted: Mapping[str, float], total: float
) -> dict[str, float]:
    unused = limit - total
    even = limit * _EVEN_PART
    weights = total + even * len(wanted)
    parts: dict[str, float] = {}
    for name, demand in wanted.items():
        parts[name] = demand + unused * (demand + even) / weights
    return parts


def _max_min(limit: float, wanted: Mapping[str, float]) -> dict[str, float]:
    parts: dict[str, float] = {}
    left = limit
    waiting = sorted(wanted.items(), key=lambda item: item[1])
    for index, (name, demand) in enumerate(waiting):
        part = min(demand, left / (len(waiting) - index))
        parts[name] = part
        left -= part
    return parts


def divide_slots(limit: int, demands: Mapping[str, int]) -> dict[str, int]:
    """Divide whole slots; the parts add up to at most the limit."""
    exact = divide(limit, {name: float(n) for name, n in demands.items()})
    parts = {name: int(part) for name, part in exact.items()}
    left = limit - sum(parts.values())
    neediest = sorted(exact, key=lambda name: parts[name] - exact[name])
    for name in neediest[:left]:
        parts[name] += 1
    return parts
