"""Run the bench: ``python -m lacewing_bench.bench``."""

import asyncio
import sys

import fire
import msgspec
from lacewing_common.bundle import PolicyName

from lacewing_bench.bench._row import measure
from lacewing_bench.bench._row import RowSpec
from lacewing_bench.bench._scenarios import Scenario


class Commands:
    """Measure routing policies on whole fleets."""

    def row(
        self,
        deployment: str,
        scenario: str = 'steady',
        policy: str = 'expected-cost',
        seconds: float = 30.0,
        warm_s: float = 8.0,
        seed: int = 1,
        rate_factor: float = 1.0,
    ) -> None:
        """Measure one row and print it as JSON."""
        spec = RowSpec(
            deployment,
            Scenario(scenario),
            PolicyName(policy),
            seconds,
            warm_s,
            seed,
            rate_factor,
        )
        row = asyncio.run(measure(spec, show_progress=sys.stderr.isatty()))
        print(msgspec.json.format(msgspec.json.encode(row)).decode())


if __name__ == '__main__':
    fire.Fire(Commands(), name='bench')
