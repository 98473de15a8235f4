"""Fit a line to measured points and keep its error."""

import msgspec
import numpy


class Series(msgspec.Struct, frozen=True):
    """Hold one measured quantity against one size.

    ``slope`` is in ``unit`` for each ``per``; ``error`` is the root mean
    square of the residuals, as a share of the largest value.
    """

    name: str
    unit: str
    per: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    error: float

    @property
    def mean(self) -> float:
        """Return the mean value, for what does not grow with the size."""
        return sum(self.values) / len(self.values)

    def at(self, size: float) -> float:
        """Return the fitted value at a size, not below 0."""
        return max(0.0, self.intercept + self.slope * size)


def fit(
    name: str, unit: str, per: str, points: list[tuple[float, float]]
) -> Series:
    """Fit a line by least squares; at least three points."""
    if len(points) < 3:
        raise ValueError(f'expected three points of {name}, got {points}')
    sizes = numpy.array([point[0] for point in points])
    values = numpy.array([point[1] for point in points])
    slope, intercept = numpy.polyfit(sizes, values, 1)
    residuals = values - (slope * sizes + intercept)
    largest = float(numpy.abs(values).max())
    error = float(numpy.sqrt((residuals**2).mean()))
    return Series(
        name,
        unit,
        per,
        tuple(sizes.tolist()),
        tuple(values.tolist()),
        float(slope),
        float(intercept),
        error / largest if largest else 0.0,
    )
