"""Measure routing decisions against the number of workers."""

from lacewing_common.bundle import PolicyName

from lacewing_bench.capacity._series import fit
from lacewing_bench.capacity._series import Series
from lacewing_bench.decision_cost._measure import measure

_SIZES = (200, 500, 890)
_DECISIONS = 2000


def measure_decisions() -> tuple[Series, ...]:
    """Time the product's policy, in microseconds a decision."""
    points: list[tuple[float, float]] = []
    for workers in _SIZES:
        cost = measure(PolicyName.EXPECTED_COST, workers, _DECISIONS)
        points.append((workers, cost.mean_us))
    return (fit('decision', 'us', 'worker', points),)
