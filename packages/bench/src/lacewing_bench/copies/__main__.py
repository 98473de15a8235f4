"""Count copies and first-token times: ``python -m lacewing_bench.copies``."""

import asyncio

import fire
import msgspec
from lacewing_common.settings import PlacementSettings
from tabulate import tabulate

from lacewing_bench.fleet import Fleet
from lacewing_bench.fleet import FleetOptions
from lacewing_bench.load._profile import loaded_deployment
from lacewing_bench.load._profile import profile_named
from lacewing_bench.load._run import LoadRun
from lacewing_bench.load._workload import Workload
from lacewing_bench.load._workload import WorkloadOptions

_STANDIN_PROCESSES = 2
_SAMPLE_S = 1.0
# Hours of quiet don't fit into a row: copies are spared after seconds.
_QUICK = PlacementSettings(
    enabled=True,
    lease_s=6.0,
    margin_s=1.0,
    report_s=1.0,
    shrink_after_s=6.0,
    shrink_step_s=2.0,
)


class CopiesRow(msgspec.Struct, frozen=True):
    """Hold one row; ``copies`` is the mean number after the warm-up."""

    placement: str
    copies: float
    least: int
    most: int
    requests: int
    refused: int
    faults: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    hit_rate: float
    worker_busy: float
    client_lag_p99_ms: float


class _Models(msgspec.Struct, frozen=True):
    data: tuple[msgspec.Raw, ...]


async def _count(fleet: Fleet) -> int:
    prefix = f'{fleet.deployment.model_service}-'
    copies = 0
    for name, url in fleet.worker_urls.items():
        if name.startswith(prefix):
            answer = await fleet.read(f'{url}/v1/models')
            copies += len(msgspec.json.decode(answer, type=_Models).data)
    return copies


async def _sample(fleet: Fleet, warm_s: float, found: list[int]) -> None:
    await asyncio.sleep(warm_s)
    while True:
        found.append(await _count(fleet))
        await asyncio.sleep(_SAMPLE_S)


async def _measure(
    name: str, placed: bool, seconds: float, warm_s: float, rate: float
) -> CopiesRow:
    profile = profile_named(name)
    deployment = loaded_deployment(profile)
    workload = Workload(
        deployment, profile, WorkloadOptions(1, seconds, None, rate)
    )
    options = FleetOptions(
        standin_processes=_STANDIN_PROCESSES,
        placement=_QUICK if placed else PlacementSettings(),
    )
    found: list[int] = []
    async with Fleet(deployment, options) as fleet:
        run = LoadRun(fleet, workload.requests(), seconds, warm_s)
        sampling = asyncio.create_task(_sample(fleet, warm_s, found))
        result = await run.run(False)
        sampling.cancel()
    summary = result.summary
    faults = summary.lost + summary.duplicated + summary.crossed
    return CopiesRow(
        'planned' if placed else 'everywhere',
        round(sum(found) / len(found), 2),
        min(found),
        max(found),
        summary.requests,
        summary.refused,
        faults + summary.incomplete + summary.false_refusals,
        round(summary.first_token.p50_ms, 1),
        round(summary.first_token.p95_ms, 1),
        round(summary.first_token.p99_ms, 1),
        round(result.hit_rate, 4),
        round(result.worker_busy, 3),
        round(summary.client_lag.p99_ms, 1),
    )


def copies(
    deployment: str = 'moravia',
    seconds: float = 70.0,
    warm_s: float = 40.0,
    rate_factor: float = 0.3,
) -> None:
    """Run a deployment with every copy, then with planned copies.

    Args:
        deployment: lahore or moravia.
        seconds: length of each row.
        warm_s: seconds at its start that are left out.
        rate_factor: multiplies the deployment's rate of requests.
    """
    rows: list[CopiesRow] = []
    for placed in (False, True):
        rows.append(
            asyncio.run(
                _measure(deployment, placed, seconds, warm_s, rate_factor)
            )
        )
    table = [list(msgspec.structs.astuple(row)) for row in rows]
    print(tabulate(table, headers=CopiesRow.__struct_fields__))


if __name__ == '__main__':
    fire.Fire(copies)
