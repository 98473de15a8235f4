"""Compare two arms play by play."""

from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from statistics import mean
from statistics import stdev

from lacewing_bench.policy_trials._results import Result

# Half-widths of 95% intervals in standard errors, by the number of pairs up to
# which they are used (Student's t).
_WIDTHS = (
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
_WIDTH_OF_MANY = 1.96


@dataclass(frozen=True)
class Difference:
    """Hold the mean of paired differences and its 95% interval.

    ``half_width`` is infinite for a single pair.
    """

    pairs: int
    mean: float
    half_width: float

    @property
    def told_apart(self) -> bool:
        """Tell whether the interval leaves zero out."""
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
    """Return by figure by how much the second of each pair is higher."""
    differences: dict[str, list[float]] = {}
    for before, after in pairs:
        was = figures(before)
        now = figures(after)
        for name in was.keys() | now.keys():
            difference = now.get(name, 0.0) - was.get(name, 0.0)
            differences.setdefault(name, []).append(difference)
    found = {}
    for name, values in differences.items():
        # A price that a play does not name was not paid there.
        values.extend([0.0] * (len(pairs) - len(values)))
        found[name] = _difference(values)
    return found


def _difference(values: Sequence[float]) -> Difference:
    count = len(values)
    if count < 2:
        return Difference(count, mean(values), float('inf'))
    error = stdev(values) / count**0.5
    return Difference(count, mean(values), _width(count) * error)


def _width(count: int) -> float:
    for most, width in _WIDTHS:
        if count <= most:
            return width
    return _WIDTH_OF_MANY
