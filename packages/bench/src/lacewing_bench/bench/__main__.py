"""Run the bench: ``python -m lacewing_bench.bench``."""

import asyncio
import os
import signal
import sys
from pathlib import Path

import fire
from lacewing_common.bundle import PolicyName
from lacewing_common.exits import Exit
from tqdm import tqdm

from lacewing_bench.bench._matrix import Matrix
from lacewing_bench.bench._matrix import title
from lacewing_bench.bench._row import Row
from lacewing_bench.bench._row import RowSpec
from lacewing_bench.bench._scenarios import Scenario
from lacewing_bench.bench._show import comparison_table
from lacewing_bench.bench._show import plot
from lacewing_bench.bench._show import rows_table
from lacewing_bench.bench._show import write_json
from lacewing_bench.load._names import listed

_CORES_PER_ROW = 3
_MOST_JOBS = 4
_DEPLOYMENTS = 'lahore,moravia'
_QUICK_SCENARIOS = (Scenario.STEADY, Scenario.CRASH)
_POLICIES = (
    PolicyName.RANDOM,
    PolicyName.ROUND_ROBIN,
    PolicyName.LEAST_LOAD,
    PolicyName.PREFIX_HASH,
    PolicyName.EXPECTED_COST,
    PolicyName.ORACLE,
)
_FULL_S = 40.0
_FULL_WARM_S = 10.0
_QUICK_S = 15.0
_QUICK_WARM_S = 5.0
# No row is begun later, so that a quick run ends within 4 minutes.
_QUICK_LIMIT_S = 205.0


def main(
    deployment: str = _DEPLOYMENTS,
    scenario: str = '',
    policy: str = '',
    seconds: float = 0.0,
    warm_s: float = 0.0,
    seed: int = 1,
    rate_factor: float = 1.0,
    quick: bool = False,
    jobs: int = 0,
    output: str = 'build/bench',
) -> None:
    """Measure routing policies on whole fleets, all in one run.

    Args:
        deployment: lahore, moravia or both, with a comma.
        scenario: names with commas; all, or steady and crash when quick.
        policy: names with commas; all.
        seconds: length of a row; 40, or 15 when quick.
        warm_s: its first seconds, left out of the figures; 10, or 5.
        seed: of the workload, the same for all policies.
        rate_factor: multiplies the rate of requests.
        quick: fewer and shorter rows.
        jobs: rows measured side by side; one for each 3 idle cores, 4 at most.
        output: directory of bench.json and the plots.
    """
    scenarios = _QUICK_SCENARIOS if quick else tuple(Scenario)
    try:
        chosen = [Scenario(name) for name in listed(scenario)]
        policies = [PolicyName(name) for name in listed(policy)]
    except ValueError as error:
        print(f'bench: {error}', file=sys.stderr)
        sys.exit(Exit.USAGE)
    specs: list[RowSpec] = []
    for where in listed(deployment):
        for weather in chosen or scenarios:
            for name in policies or _POLICIES:
                spec = RowSpec(
                    deployment=where,
                    scenario=weather,
                    policy=name,
                    seconds=seconds or (_QUICK_S if quick else _FULL_S),
                    warm_s=warm_s
                    or (_QUICK_WARM_S if quick else _FULL_WARM_S),
                    seed=seed,
                    rate_factor=rate_factor,
                )
                specs.append(spec)
    limit_s = _QUICK_LIMIT_S if quick else 0.0
    # Without this a SIGTERM would leave the rows under way to themselves.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    _measure(specs, jobs or _default_jobs(), limit_s, Path(output))


def _measure(
    specs: list[RowSpec], jobs: int, limit_s: float, directory: Path
) -> None:
    directory.mkdir(parents=True, exist_ok=True)
    with tqdm(total=len(specs), unit='row') as progress:

        def ended(rows: list[Row]) -> None:
            write_json(rows, directory / 'bench.json')
            progress.n = len(rows)
            progress.refresh()

        matrix = Matrix(jobs, limit_s, ended)
        asyncio.run(matrix.run(specs))
    _report(matrix, directory)


def _report(matrix: Matrix, directory: Path) -> None:
    rows = matrix.rows
    print(rows_table(rows))
    print()
    print(comparison_table(rows))
    for path in plot(rows, directory):
        print(f'plot: {path}')
    wrong = list(matrix.failures)
    for spec in matrix.not_run:
        wrong.append(f'not run: {title(spec)}')
    for row in rows:
        if row.rejected:
            name = f'{row.deployment}, {row.scenario}, {row.policy}'
            wrong.append(f'rejected: {name}: {row.rejected}')
    for line in wrong:
        print(line)
    sys.exit(Exit.FAILED if wrong else Exit.OK)


def _default_jobs() -> int:
    # On a machine that is busy with other work more rows would only make
    # the clients late, and be rejected.
    idle = (os.cpu_count() or 1) - os.getloadavg()[0]
    return max(1, min(_MOST_JOBS, int(idle / _CORES_PER_ROW)))


if __name__ == '__main__':
    fire.Fire(main, name='bench')
