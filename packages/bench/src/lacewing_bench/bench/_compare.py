"""Compare our policy with the best baseline and with the oracle."""

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass

from lacewing_common.bundle import PolicyName

from lacewing_bench.bench._row import Row

OURS = PolicyName.EXPECTED_COST.value
ORACLE = PolicyName.ORACLE.value


@dataclass(frozen=True)
class Measure:
    """Name one of the users' measures; ``higher`` tells which way is up."""

    name: str
    value: Callable[[Row], float]
    higher: bool


MEASURES = (
    Measure('hit_rate', lambda row: row.hit_rate, True),
    Measure('wasted_tokens', lambda row: float(row.wasted_tokens), False),
    Measure('ttft_p99_ms', lambda row: row.ttft_p99_ms, False),
)


@dataclass(frozen=True)
class Comparison:
    """Hold ours against others in one scenario, by one measure.

    Ratios are ours over theirs; None where theirs is missing or 0.
    """

    deployment: str
    scenario: str
    measure: str
    ours: float
    best_baseline: str
    baseline: float
    to_baseline: float | None
    to_oracle: float | None


def compare(rows: Sequence[Row]) -> list[Comparison]:
    """Compare within each deployment and scenario that has our row."""
    compared: list[Comparison] = []
    for ours in rows:
        if ours.policy != OURS:
            continue
        peers = [row for row in rows if _same_weather(row, ours)]
        baselines = [r for r in peers if r.policy not in (OURS, ORACLE)]
        if not baselines:
            continue
        oracles = [row for row in peers if row.policy == ORACLE]
        for measure in MEASURES:
            compared.append(_compare(ours, baselines, oracles, measure))
    return compared


def _same_weather(row: Row, other: Row) -> bool:
    if row.deployment != other.deployment:
        return False
    return row.scenario == other.scenario


def _compare(
    ours: Row,
    baselines: Sequence[Row],
    oracles: Sequence[Row],
    measure: Measure,
) -> Comparison:
    pick = max if measure.higher else min
    best = pick(baselines, key=measure.value)
    oracle = measure.value(oracles[0]) if oracles else 0.0
    return Comparison(
        deployment=ours.deployment,
        scenario=ours.scenario,
        measure=measure.name,
        ours=measure.value(ours),
        best_baseline=best.policy,
        baseline=measure.value(best),
        to_baseline=_ratio(measure.value(ours), measure.value(best)),
        to_oracle=_ratio(measure.value(ours), oracle),
    )


def _ratio(ours: float, theirs: float) -> float | None:
    return ours / theirs if theirs else None
