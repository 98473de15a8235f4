"""Print the cost of claims: ``python -m lacewing_bench.claims_cost``."""

import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path

import fire
import msgspec
from lacewing_common.claim_key import RANGE_COUNT
from lacewing_common.exits import Exit
from lacewing_daemon.claims import ClaimLimits
from tabulate import tabulate

from lacewing_bench.claims_cost._measure import Cost
from lacewing_bench.claims_cost._measure import CostError
from lacewing_bench.claims_cost._measure import max_writes_per_s
from lacewing_bench.claims_cost._measure import measure
from lacewing_bench.claims_cost._measure import Setup
from lacewing_bench.claims_cost._slopes import measure_slopes
from lacewing_bench.claims_cost._slopes import Slopes

RATES = (10.0, 50.0, 200.0)


class Report(msgspec.Struct, frozen=True):
    """Hold all results of one run."""

    costs: list[Cost]
    slopes: Slopes
    most_writes_per_s: float


def main(
    seconds: float = 8.0, seed: int = 1, output: str = 'build/claims-cost'
) -> None:
    """Measure latency and platform calls, then bytes, memory and CPU time.

    Args:
        seconds: duration at each rate, once without and once with claims.
        seed: seed of the random arrivals.
        output: directory to write claims-cost.json to.
    """
    try:
        costs = asyncio.run(measure(Setup(RATES, seconds, seed)))
    except CostError as error:
        print(f'claims-cost: {error}', file=sys.stderr)
        sys.exit(Exit.FAILED)
    report = Report(
        costs,
        measure_slopes(RANGE_COUNT),
        max_writes_per_s(ClaimLimits().pace_s),
    )
    _print_columns(report.costs)
    _print_columns([report.slopes])
    print(f'a service writes at most {report.most_writes_per_s:.0f} times/s')
    directory = Path(output)
    directory.mkdir(parents=True, exist_ok=True)
    encoded = msgspec.json.format(msgspec.json.encode(report))
    (directory / 'claims-cost.json').write_bytes(encoded)


def _print_columns(rows: Sequence[msgspec.Struct]) -> None:
    table: list[list[object]] = []
    for name in rows[0].__struct_fields__:
        table.append([name, *[getattr(row, name) for row in rows]])
    print(tabulate(table, floatfmt='.2f'))


if __name__ == '__main__':
    fire.Fire(main, name='claims-cost')
