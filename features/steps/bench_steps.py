"""Run the bench's matrix on rows that cost nothing."""

import asyncio
from dataclasses import dataclass
from dataclasses import field

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.bench._compare import compare
from lacewing_bench.bench._matrix import Matrix
from lacewing_bench.bench._matrix import RowFailed
from lacewing_bench.bench._row import Row
from lacewing_bench.bench._row import RowSpec
from lacewing_bench.bench._scenarios import Scenario
from lacewing_common.bundle import PolicyName

POLICIES = tuple(PolicyName)
PLACES = {'first': 0, 'second': 1, 'third': 2}
NO_TIME_S = -1.0


@dataclass
class FakeRows:
    """Give rows without a fleet; some rejected, some failing."""

    rejections: dict[RowSpec, int] = field(default_factory=dict)
    failing: RowSpec | None = None
    made: int = 0
    open: int = 0
    most_open: int = 0

    async def measure(self, spec: RowSpec) -> Row:
        """Measure nothing."""
        self.made += 1
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        await asyncio.sleep(0)
        self.open -= 1
        if spec == self.failing:
            raise RowFailed(f'{spec.policy.value}: exit code 1')
        left = self.rejections.get(spec, 0)
        self.rejections[spec] = left - 1
        return _row(spec, 'the client was late' if left > 0 else '')


def _row(spec: RowSpec, rejected: str = '') -> Row:
    figures: dict[str, object] = dict.fromkeys(Row.__struct_fields__, 0)
    figures['deployment'] = spec.deployment
    figures['scenario'] = spec.scenario.value
    figures['policy'] = spec.policy.value
    figures['rejected'] = rejected
    return msgspec.convert(figures, Row)


def _spec(policy: PolicyName, scenario: Scenario = Scenario.STEADY) -> RowSpec:
    return RowSpec('lahore', scenario, policy, 1.0, 0.0, 1)


@given('{count:d} rows')
def given_rows(context: Context, count: int) -> None:
    """Plan some rows."""
    context.specs = [_spec(policy) for policy in POLICIES[:count]]
    context.fake = FakeRows()


@given('{count:d} rows of which the {place} is rejected {times} time')
def given_rejected(
    context: Context, count: int, place: str, times: str
) -> None:
    """Plan rows of which one is rejected once or always."""
    given_rows(context, count)
    rejections = {'the first': 1, 'each': 2}[times]
    context.fake.rejections[context.specs[PLACES[place]]] = rejections


@given('{count:d} rows of which the {place} fails')
def given_failing(context: Context, count: int, place: str) -> None:
    """Plan rows of which one fails."""
    given_rows(context, count)
    context.fake.failing = context.specs[PLACES[place]]


@given('measured rows of one deployment in fair weather')
def given_measured(context: Context) -> None:
    """Take rows from the table."""
    context.rows = []
    for line in context.table:
        row = _row(_spec(PolicyName(line['policy'])))
        context.rows.append(
            msgspec.structs.replace(
                row,
                hit_rate=float(line['hit_rate']),
                wasted_tokens=int(line['wasted_tokens']),
                ttft_p99_ms=float(line['ttft_p99_ms']),
            )
        )


@given('a row of {policy} during a crash')
def given_crash_row(context: Context, policy: str) -> None:
    """Add a row of another scenario."""
    context.rows.append(_row(_spec(PolicyName(policy), Scenario.CRASH)))


@when('they are measured {jobs:d} at a time')
def measure_rows(context: Context, jobs: int) -> None:
    """Run the matrix without a limit."""
    _run(context, jobs, 0.0)


@when('they are measured {jobs:d} at a time with no time left')
def measure_late(context: Context, jobs: int) -> None:
    """Run the matrix after its limit."""
    _run(context, jobs, NO_TIME_S)


@when('ours is compared')
def compare_rows(context: Context) -> None:
    """Compare the rows."""
    context.compared = compare(context.rows)


@then('{count:d} rows have figures and none is rejected')
def rows_good(context: Context, count: int) -> None:
    """Check the rows."""
    rows = context.matrix.rows
    assert len(rows) == count, rows
    assert not [row for row in rows if row.rejected], rows


@then('{count:d} rows have figures and the {place} is rejected')
def rows_rejected(context: Context, count: int, place: str) -> None:
    """Check the rows and the rejected one."""
    rows = context.matrix.rows
    assert len(rows) == count, rows
    rejected = [row.policy for row in rows if row.rejected]
    assert rejected == [context.specs[PLACES[place]].policy.value], rejected


@then('{made:d} measurements were made, at most {jobs:d} at once')
def measurements_made(context: Context, made: int, jobs: int) -> None:
    """Check how often and how many at once."""
    assert context.fake.made == made, context.fake.made
    assert context.fake.most_open == jobs, context.fake.most_open


@then('the failure of the {place} is named')
def failure_named(context: Context, place: str) -> None:
    """Check the failures."""
    failures = context.matrix.failures
    assert len(failures) == 1, failures
    assert context.specs[PLACES[place]].policy.value in failures[0]


@then('the {place} is listed as not run')
def listed_not_run(context: Context, place: str) -> None:
    """Check what was left out."""
    assert context.matrix.not_run == [context.specs[PLACES[place]]]


@then('{count:d} rows are listed as not run')
def count_not_run(context: Context, count: int) -> None:
    """Count what was left out."""
    assert len(context.matrix.not_run) == count


@then('the rows were handed on 1, 2, 3 and 4 at a time')
def handed_on(context: Context) -> None:
    """Check that each row came at once."""
    assert context.handed == [1, 2, 3, 4], context.handed


@then('the ratios are')
def ratios_are(context: Context) -> None:
    """Check each comparison."""
    assert len(context.compared) == len(context.table.rows)
    for found, line in zip(context.compared, context.table, strict=True):
        assert found.measure == line['measure'], found
        assert found.best_baseline == line['best baseline'], found
        assert abs(found.to_baseline - float(line['to baseline'])) < 1e-9
        assert abs(found.to_oracle - float(line['to oracle'])) < 1e-9


@then('there is nothing to compare with')
def nothing_compared(context: Context) -> None:
    """Check that no comparison was made."""
    assert context.compared == []


def _run(context: Context, jobs: int, limit_s: float) -> None:
    context.handed = []

    def ended(rows: list[Row]) -> None:
        context.handed.append(len(rows))

    context.matrix = Matrix(jobs, limit_s, ended, context.fake.measure)
    asyncio.run(context.matrix.run(context.specs))
