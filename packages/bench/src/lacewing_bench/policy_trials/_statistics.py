"""Compute paired differences between two arms."""

from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from statistics import mean
from statistics import stdev

from lacewing_bench.policy_trials._results import Result

# Half-widths of 95% confidence intervals in standard errors (Student's t).
# Each entry applies up to its number of pairs.
_T_QUANTILES = (
    (2, 12.71),
    (3, 4.30),
    (4, 3.18),
    (5, 2.78),
    (6, 2.57),
    (8, 2.36),
    (12, 2.20),
    (20, 2.09),
    (40, 2.02),
)
_NORMAL_QUANTILE = 1.96


@dataclass(frozen=True)
class Difference:
    """Hold the mean of paired differences and its 95% interval.

    ``half_width`` is infinite for a single pair.
    """

    pairs: int
    mean: float
    half_width: float

    @property
    def is_significant(self) -> bool:
        """Return whether the interval excludes zero."""
        return abs(self.mean) > self.half_width


def figures(result: Result) -> Mapping[str, float]:
    """Return all figures of a result by name."""
    found = {
        'worth': result.worth,
        'served': result.served,
        'refused': result.refused,
        'failed': result.failed,
        'worst windows': result.worst_windows,
        'worst class': result.worst_class,
    }
    for name, value in result.prices.items():
        found[f'price: {name}'] = value
    return found


def compare(
    pairs: Sequence[tuple[Result, Result]],
) -> Mapping[str, Difference]:
    """Return, by figure, the mean increase from first to second result."""
    differences: dict[str, list[float]] = {}
    for before, after in pairs:
        was = figures(before)
        now = figures(after)
        for name in was.keys() | now.keys():
            difference = now.get(name, 0.0) - was.get(name, 0.0)
            differences.setdefault(name, []).append(difference)
    found = {}
    for name, values in differences.items():
        # A price missing from a play counts as zero there.
        values.extend([0.0] * (len(pairs) - len(values)))
        found[name] = _summarize(values)
    return found


def _summarize(values: Sequence[float]) -> Difference:
    count = len(values)
    if count < 2:
        return Difference(count, mean(values), float('inf'))
    error = stdev(values) / count**0.5
    return Difference(count, mean(values), _quantile(count) * error)


def _quantile(count: int) -> float:
    for max_count, quantile in _T_QUANTILES:
        if count <= max_count:
            return quantile
    return _NORMAL_QUANTILE
