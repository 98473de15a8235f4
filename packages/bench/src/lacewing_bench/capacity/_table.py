"""Hold the costs of one role and their limit."""

from collections.abc import Mapping

import msgspec

from lacewing_bench.capacity._series import Series

Found = Mapping[str, Series]


class Row(msgspec.Struct, frozen=True):
    """Hold one cost of a role at the target size."""

    what: str
    value: float
    worked_out: str
    source: str
    mechanism: str


class Table(msgspec.Struct, frozen=True):
    """Hold the rows of one resource of a role, with its limit."""

    role: str
    resource: str
    unit: str
    limit: float
    rows: tuple[Row, ...]

    @property
    def total(self) -> float:
        """Return the sum of the rows."""
        return sum(row.value for row in self.rows)

    @property
    def kept(self) -> bool:
        """Tell whether the sum is within the limit."""
        return self.total <= self.limit
