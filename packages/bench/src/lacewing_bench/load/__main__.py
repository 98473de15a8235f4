"""Load a fleet: ``python -m lacewing_bench.load``."""

import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import NoReturn

import fire
from lacewing_common.exits import Exit

from lacewing_bench.fleet import Fleet
from lacewing_bench.fleet import FleetError
from lacewing_bench.fleet import FleetOptions
from lacewing_bench.fleet import MODEL_WEIGHTS
from lacewing_bench.fleet._http import ControlClient
from lacewing_bench.load._client import Outcome
from lacewing_bench.load._names import base_urls
from lacewing_bench.load._profile import loaded_deployment
from lacewing_bench.load._profile import profile_named
from lacewing_bench.load._replay import Replay
from lacewing_bench.load._replay import Target
from lacewing_bench.load._report import is_faulty
from lacewing_bench.load._report import Summary
from lacewing_bench.load._request import TimedRequest
from lacewing_bench.load._run import LoadResult
from lacewing_bench.load._run import LoadRun
from lacewing_bench.load._show import LoadReport
from lacewing_bench.load._show import plot
from lacewing_bench.load._show import table
from lacewing_bench.load._show import write_json
from lacewing_bench.load._show import wrong_answers
from lacewing_bench.load._trace import check_teams
from lacewing_bench.load._trace import read_keys
from lacewing_bench.load._trace import read_trace
from lacewing_bench.load._trace import write_trace
from lacewing_bench.load._workload import Workload
from lacewing_bench.load._workload import WorkloadOptions

_STANDIN_PROCESSES = 2
_MIDDLE = 0.5


class Commands:
    """Load a fleet with requests and check each answer.

    Exit codes: 0 all answers were right or refused truly; 1 some were lost,
    duplicated, crossed, incomplete or refused falsely; 2 wrong usage.
    """

    def run(
        self,
        deployment: str = 'lahore',
        seconds: float = 60.0,
        seed: int = 1,
        rate_factor: float = 1.0,
        shift: bool = False,
        output: str = 'build/load',
    ) -> None:
        """Start a fleet, load it and end it.

        Args:
            deployment: lahore or moravia.
            seconds: length of the workload.
            seed: of the workload.
            rate_factor: multiplies the deployment's rate of requests.
            shift: make other prefixes hot halfway.
            output: directory of load.json and load.png.
        """
        try:
            workload = _workload(deployment, seconds, seed, rate_factor, shift)
            result = asyncio.run(_load(deployment, workload, seconds))
        except (ValueError, FleetError) as error:
            _fail(error)
        report = LoadReport(
            result.summary,
            result.hit_rate,
            result.wasted_tokens,
            result.prefilled_tokens,
            result.prompt_tokens,
            result.worker_busy,
        )
        _show(report, result.outcomes, Path(output))

    def trace(
        self,
        file: str,
        deployment: str = 'lahore',
        seconds: float = 60.0,
        seed: int = 1,
        rate_factor: float = 1.0,
        shift: bool = False,
    ) -> None:
        """Write a workload as a trace file.

        Args:
            file: path of the trace.
            deployment: lahore or moravia.
            seconds: length of the workload.
            seed: of the workload.
            rate_factor: multiplies the deployment's rate of requests.
            shift: make other prefixes hot halfway.
        """
        try:
            workload = _workload(deployment, seconds, seed, rate_factor, shift)
        except ValueError as error:
            _fail(error)
        write_trace(workload.requests(), Path(file))

    def replay(
        self,
        trace: str,
        keys: str,
        routers: str,
        workers: str = '',
        weights: str = MODEL_WEIGHTS,
        ca_file: str = '',
        output: str = 'build/load',
    ) -> None:
        """Send a trace to a running fleet.

        Args:
            trace: file of one JSON object a line.
            keys: file of a JSON object, team to key.
            routers: ip:port,... of the routers' callers' listeners.
            workers: ip:port,... of stand-ins, to count executions.
            weights: version of the model's weights.
            ca_file: authority of the routers' certificates; then HTTPS.
            output: directory of load.json and load.png.
        """
        try:
            requests = read_trace(Path(trace), weights)
            target = Target(
                routers=base_urls(routers, secure=bool(ca_file)),
                keys=read_keys(Path(keys)),
                weights=weights,
                workers=base_urls(workers, secure=False),
                ca_file=ca_file or None,
            )
            check_teams(requests, target.keys)
        except ValueError as error:
            _fail(error)
        outcomes, summary = asyncio.run(_replay(target, requests))
        _show(LoadReport(summary), outcomes, Path(output))


def _workload(
    deployment: str, seconds: float, seed: int, rate_factor: float, shift: bool
) -> Workload:
    profile = profile_named(deployment)
    shift_at_s = seconds * _MIDDLE if shift else None
    options = WorkloadOptions(seed, seconds, shift_at_s, rate_factor)
    return Workload(loaded_deployment(profile), profile, options)


async def _load(
    deployment: str, workload: Workload, seconds: float
) -> LoadResult:
    options = FleetOptions(standin_processes=_STANDIN_PROCESSES)
    loaded = loaded_deployment(profile_named(deployment))
    async with Fleet(loaded, options) as fleet:
        run = LoadRun(fleet, workload.requests(), seconds)
        return await run.run()


async def _replay(
    target: Target, requests: Sequence[TimedRequest]
) -> tuple[list[Outcome], Summary]:
    client = ControlClient(None)

    async def read(url: str) -> bytes:
        return (await client.get(url)).body

    try:
        return await Replay(target, read).run(requests, show_progress=True)
    finally:
        client.close()


def _show(
    report: LoadReport, outcomes: Sequence[Outcome], directory: Path
) -> None:
    directory.mkdir(parents=True, exist_ok=True)
    write_json(report, directory / 'load.json')
    plot(outcomes, directory / 'load.png')
    print(table(report))
    for line in wrong_answers(outcomes):
        print(line)
    print(f'written: {directory}/load.json, {directory}/load.png')
    sys.exit(Exit.FAILED if is_faulty(report.summary) else Exit.OK)


def _fail(error: Exception) -> NoReturn:
    print(f'load: {error}', file=sys.stderr)
    sys.exit(Exit.USAGE)


if __name__ == '__main__':
    fire.Fire(Commands(), name='load')
