"""Summarize how well first events were expected."""

from collections.abc import Sequence
from dataclasses import dataclass

from lacewing_bench.engine_speeds._simulation import Observation

# A first event after LATE_MS that was expected within IN_TIME_MS: 0.8 of a
# latency target of 400 ms.
LATE_MS = 400.0
IN_TIME_MS = 320.0


@dataclass(frozen=True)
class Outcome:
    """Hold the errors of expected first events, in ms.

    ``median_ms``, ``tail_ms``: median and 0.9 quantile of observed minus
    expected. ``worst_mean_ms``: largest mean error of an engine, regardless
    of sign. ``late``: fraction that came late though expected in time;
    ``in_vain``: fraction expected out of time that came in time.
    """

    median_ms: float
    tail_ms: float
    worst_mean_ms: float
    late: float
    in_vain: float


def mean_errors(observations: Sequence[Observation]) -> dict[int, float]:
    """Return the mean error by engine."""
    errors: dict[int, list[float]] = {}
    for one in observations:
        errors.setdefault(one.engine, []).append(one.error_ms)
    return {
        engine: sum(values) / len(values) for engine, values in errors.items()
    }


def outcome_of(observations: Sequence[Observation]) -> Outcome:
    """Return the summary of at least one first event."""
    errors = sorted(one.error_ms for one in observations)
    late = in_vain = 0
    for one in observations:
        is_expected = one.expected_ms <= IN_TIME_MS
        if is_expected and one.took_ms > LATE_MS:
            late += 1
        if not is_expected and one.took_ms <= IN_TIME_MS:
            in_vain += 1
    means = mean_errors(observations).values()
    return Outcome(
        errors[len(errors) // 2],
        errors[len(errors) * 9 // 10],
        max(abs(mean) for mean in means),
        late / len(errors),
        in_vain / len(errors),
    )
