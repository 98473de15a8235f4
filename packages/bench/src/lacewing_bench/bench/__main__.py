"""Run the bench: ``python -m lacewing_bench.bench``."""

import asyncio
import os
import sys
from pathlib import Path

import fire
from lacewing_common.bundle import PolicyName
from lacewing_common.exits import Exit
from tqdm import tqdm

from lacewing_bench.bench._matrix import Matrix
from lacewing_bench.bench._matrix import RowFailed
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
_QUICK_S = 18.0
_QUICK_WARM_S = 6.0


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
        seconds: length of a row; 40, or 18 when quick.
        warm_s: its first seconds, left out of the figures; 10, or 6.
        seed: of the workload, the same for all policies.
        rate_factor: multiplies the rate of requests.
        quick: fewer and shorter rows.
        jobs: rows measured side by side; one for each 3 cores, 4 at most.
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
    _measure(specs, jobs or _default_jobs(), Path(output))


def _measure(specs: list[RowSpec], jobs: int, directory: Path) -> None:
    with tqdm(total=len(specs), unit='row') as progress:
        matrix = Matrix(jobs, progress.update)
        try:
            rows = asyncio.run(matrix.measure(specs))
        except RowFailed as error:
            print(f'bench: {error}', file=sys.stderr)
            sys.exit(Exit.FAILED)
    directory.mkdir(parents=True, exist_ok=True)
    write_json(rows, directory / 'bench.json')
    print(rows_table(rows))
    print()
    print(comparison_table(rows))
    for row in rows:
        if row.rejected:
            place = f'{row.deployment}, {row.scenario}, {row.policy}'
            print(f'rejected: {place}: {row.rejected}')
    for path in plot(rows, directory):
        print(f'plot: {path}')
    if any(row.rejected for row in rows):
        sys.exit(Exit.FAILED)


def _default_jobs() -> int:
    cores = os.cpu_count() or 1
    return max(1, min(_MOST_JOBS, cores // _CORES_PER_ROW))


if __name__ == '__main__':
    fire.Fire(main, name='bench')
