"""Write the rows of the bench as tables, plots and JSON."""

from collections.abc import Sequence
from pathlib import Path

import matplotlib
import msgspec
from matplotlib import pyplot
from matplotlib.axes import Axes
from tabulate import tabulate

from lacewing_bench.bench._compare import compare
from lacewing_bench.bench._compare import Measure
from lacewing_bench.bench._compare import MEASURES
from lacewing_bench.bench._row import Row

_SHOWN = (
    'deployment',
    'scenario',
    'policy',
    'requests',
    'hit_rate',
    'wasted_tokens',
    'ttft_p50_ms',
    'ttft_p95_ms',
    'ttft_p99_ms',
    'worker_busy',
    'lost',
    'duplicated',
    'crossed',
    'incomplete',
    'refused',
    'retried',
    'client_lag_p99_ms',
)
_COMPARED = (
    'deployment',
    'scenario',
    'measure',
    'ours',
    'best baseline',
    'its value',
    'ours/baseline',
    'ours/oracle',
)
_BAR_WIDTH = 0.13
_FIGURE_INCHES = (12.0, 10.0)


def write_json(rows: Sequence[Row], path: Path) -> None:
    """Write the rows as a JSON list."""
    encoded = msgspec.json.encode(list(rows))
    path.write_bytes(msgspec.json.format(encoded, indent=1))


def rows_table(rows: Sequence[Row]) -> str:
    """Return the rows as a table; a rejected row is marked with ``!``."""
    cells: list[list[object]] = []
    for row in rows:
        line = [getattr(row, name) for name in _SHOWN]
        if row.rejected:
            line[2] = f'{row.policy} !'
        cells.append(line)
    return tabulate(cells, headers=_SHOWN)


def comparison_table(rows: Sequence[Row]) -> str:
    """Return ours against the best baseline and the oracle, as ratios."""
    cells: list[list[object]] = []
    for found in compare(rows):
        cells.append(
            [
                found.deployment,
                found.scenario,
                found.measure,
                found.ours,
                found.best_baseline,
                found.baseline,
                found.to_baseline,
                found.to_oracle,
            ]
        )
    return tabulate(cells, headers=_COMPARED, floatfmt='.3f', missingval='-')


def plot(rows: Sequence[Row], directory: Path) -> list[Path]:
    """Draw each deployment's measures; return the files."""
    matplotlib.use('agg')
    written: list[Path] = []
    for deployment in _distinct([row.deployment for row in rows]):
        chosen = [row for row in rows if row.deployment == deployment]
        figure, axes = pyplot.subplots(
            len(MEASURES), 1, figsize=_FIGURE_INCHES, layout='constrained'
        )
        for axis, measure in zip(axes, MEASURES, strict=True):
            _bars(axis, chosen, measure)
        axes[0].legend(ncols=3)
        figure.suptitle(deployment)
        path = directory / f'bench-{deployment}.png'
        figure.savefig(path)
        pyplot.close(figure)
        written.append(path)
    return written


def _bars(axis: Axes, rows: Sequence[Row], measure: Measure) -> None:
    scenarios = _distinct([row.scenario for row in rows])
    policies = _distinct([row.policy for row in rows])
    for number, policy in enumerate(policies):
        places: list[float] = []
        values: list[float] = []
        for row in rows:
            if row.policy != policy:
                continue
            place = scenarios.index(row.scenario)
            places.append(place + number * _BAR_WIDTH)
            values.append(measure.value(row))
        axis.bar(places, values, _BAR_WIDTH, label=policy)
    middle = _BAR_WIDTH * (len(policies) - 1) / 2
    axis.set_xticks([n + middle for n in range(len(scenarios))], scenarios)
    axis.set_ylabel(measure.name)


def _distinct(names: list[str]) -> list[str]:
    return list(dict.fromkeys(names))
