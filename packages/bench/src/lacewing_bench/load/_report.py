"""Sum up a run."""

from collections import Counter
from collections.abc import Mapping
from collections.abc import Sequence

import msgspec
from hdrh.histogram import HdrHistogram

from lacewing_bench.load._client import Outcome
from lacewing_bench.load._judge import Finding

_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_DIGITS = 3
_US_PER_MS = 1000.0


class Percentiles(msgspec.Struct, frozen=True):
    """Hold percentiles in milliseconds; 0 for no value at all."""

    p50_ms: float
    p95_ms: float
    p99_ms: float


class Summary(msgspec.Struct, frozen=True):
    """Sum up the outcomes of a run.

    ``retried``: requests sent more than once. ``refused``: given up after
    a not-run; ``false_refusals``: of them, calls that ran all the same.
    ``duplicated`` counts doubled answers and doubled executions.
    """

    requests: int
    streamed: int
    right: int
    refused: int
    false_refusals: int
    retried: int
    lost: int
    duplicated: int
    crossed: int
    incomplete: int
    first_token: Percentiles
    client_lag: Percentiles


def percentiles(values_ms: Sequence[float]) -> Percentiles:
    """Return the percentiles by an HDR histogram of 3 digits."""
    histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
    for value_ms in values_ms:
        histogram.record_value(max(int(value_ms * _US_PER_MS), _LOWEST_US))
    found: list[float] = []
    for percentile in (50, 95, 99):
        value_us = histogram.get_value_at_percentile(percentile)
        found.append(value_us / _US_PER_MS)
    return Percentiles(*found)


def summarize(
    outcomes: Sequence[Outcome],
    executions: Mapping[str, int],
    by_key: Mapping[str, int],
) -> Summary:
    """Sum up outcomes and the executions, by attempt and by key."""
    doubled = _doubled(executions) + _doubled(by_key)
    findings = Counter(outcome.finding for outcome in outcomes)
    first = [o.first_ms for o in outcomes if o.first_ms is not None]
    return Summary(
        requests=len(outcomes),
        streamed=len(first),
        right=findings[Finding.RIGHT],
        refused=findings[Finding.REFUSED],
        false_refusals=_false_refusals(outcomes, by_key),
        retried=sum(1 for outcome in outcomes if outcome.tries > 1),
        lost=findings[Finding.LOST],
        duplicated=findings[Finding.DUPLICATED] + doubled,
        crossed=findings[Finding.CROSSED],
        incomplete=findings[Finding.INCOMPLETE],
        first_token=percentiles(first),
        client_lag=percentiles([outcome.lag_ms for outcome in outcomes]),
    )


def is_faulty(summary: Summary) -> bool:
    """Tell whether some answer broke a promise."""
    faults = summary.lost + summary.duplicated + summary.crossed
    return faults + summary.incomplete + summary.false_refusals > 0


def _doubled(executions: Mapping[str, int]) -> int:
    return sum(times - 1 for times in executions.values())


def _false_refusals(
    outcomes: Sequence[Outcome], by_key: Mapping[str, int]
) -> int:
    count = 0
    for outcome in outcomes:
        if outcome.finding is not Finding.REFUSED:
            continue
        if by_key.get(outcome.request.idempotency_key or '', 0):
            count += 1
    return count
