"""Run one seed: a fleet, its traffic and its faults."""

import asyncio
import time
from dataclasses import replace
from pathlib import Path

import msgspec
from lacewing_common.bundle import Bundle
from lacewing_common.settings import LogLevel
from tqdm import tqdm

from lacewing_bench.chaos._bundles import BundleWatch
from lacewing_bench.chaos._callers import Callers
from lacewing_bench.chaos._injector import Injector
from lacewing_bench.chaos._invariants import Breach
from lacewing_bench.chaos._invariants import find_breaches
from lacewing_bench.chaos._invariants import Invariant
from lacewing_bench.chaos._kinds import FaultKind
from lacewing_bench.chaos._plan import PlannedFault
from lacewing_bench.chaos._plan import Planner
from lacewing_bench.chaos._plan import Targets
from lacewing_bench.chaos._report import ChaosReport
from lacewing_bench.chaos._report import make_report
from lacewing_bench.chaos._traffic import Traffic
from lacewing_bench.chaos._truth import read_truth
from lacewing_bench.fleet import Deployment
from lacewing_bench.fleet import Fleet
from lacewing_bench.fleet import FleetOptions
from lacewing_bench.fleet import MORAVIA
from lacewing_bench.fleet._bundle import make_bundle
from lacewing_bench.standins import EngineCosts

ROUTERS = 3
ENGINES = 4
PLAINS = 3
RATE = 22.0
_VM_LAG_S = 0.5
_ANSWER_MS = 12_000.0
_SETTLE_S = 2.0
_FIRST_SHARE = 8.0
_COSTS = EngineCosts(
    step_ms=5.0, sequence_ms=0.25, prefill_token_ms=0.1, chunk_tokens=512
)
# grpclib prints this, and a traceback, when a connection breaks while its
# handler is being cancelled.
_LIBRARY_NOTICE = 'Failed to handle cancellation'
_UNFORESEEN = ('Traceback', 'exception was never retrieved')


async def run_seed(
    seed: int, seconds: float, directory: Path, show: bool
) -> ChaosReport:
    """Run one seed and write ``seed-<n>.json`` into a directory.

    The logs of all processes are kept beside it when something broke.
    """
    options = FleetOptions(
        vm_lag_s=_VM_LAG_S, log_level=LogLevel.INFO, signed=True
    )
    async with Fleet(_deployment(), options) as fleet:
        report = await _run(fleet, seed, seconds, show)
        directory.mkdir(parents=True, exist_ok=True)
        path = directory / f'seed-{seed}.json'
        encoded = msgspec.json.encode(report)
        path.write_bytes(msgspec.json.format(encoded, indent=1))
        if report.breaches or report.faults_of_code:
            _keep_logs(fleet, directory / f'seed-{seed}')
    return report


def _deployment() -> Deployment:
    sized = MORAVIA.sized(ROUTERS, ENGINES, PLAINS)
    return replace(sized, costs=_COSTS)


def _bundle(fleet: Fleet) -> Bundle:
    """Have each request end soon, so that a lost one is told from a slow."""
    bundle = make_bundle(fleet.deployment)
    services = tuple(
        msgspec.structs.replace(each, answer_ms=_ANSWER_MS)
        for each in bundle.services
    )
    return msgspec.structs.replace(bundle, services=services)


async def _run(
    fleet: Fleet, seed: int, seconds: float, show: bool
) -> ChaosReport:
    targets = Targets(
        engines=_workers(fleet, fleet.deployment.model_service),
        plains=_workers(fleet, fleet.deployment.plain_service),
        agents=fleet.agent_names,
        routers=fleet.router_names,
    )
    planned = Planner(targets, seed).plan(seconds)
    traffic = Traffic(fleet.deployment, seed, _shifts(planned))
    asks = traffic.draw(seconds, RATE)
    callers = Callers(fleet)
    bundles = BundleWatch(fleet, _bundle(fleet))
    await bundles.roll(_FIRST_SHARE)
    await bundles.until_everywhere()
    injector = Injector(fleet, _VM_LAG_S, bundles)
    watching = asyncio.create_task(bundles.watch())
    progress = tqdm(total=len(asks), unit='request', disable=not show)
    started_s = time.monotonic()
    try:
        with progress:
            async with asyncio.TaskGroup() as group:
                calling = group.create_task(
                    callers.run(asks, started_s, progress.update)
                )
                injecting = group.create_task(injector.run(planned, started_s))
        await bundles.until_everywhere()
    finally:
        watching.cancel()
        callers.close()
    served, happenings = calling.result(), injecting.result()
    took_s = time.monotonic() - started_s
    # What was told as not run must not run later, either.
    await asyncio.sleep(_SETTLE_S)
    truth = await read_truth(fleet)
    breaches = find_breaches(served, happenings, truth)
    breaches.extend(_deaths(fleet))
    for each in bundles.reverted:
        breaches.append(Breach(Invariant.REVERTED, each.at_s, each.what))
    return make_report(
        seed,
        took_s,
        started_s,
        served,
        happenings,
        breaches,
        _faults_of_code(fleet),
    )


def _workers(fleet: Fleet, service: str) -> tuple[str, ...]:
    names = fleet.worker_urls
    return tuple(name for name in names if name.startswith(f'{service}-'))


def _shifts(planned: tuple[PlannedFault, ...]) -> list[float]:
    shifts: list[float] = []
    for fault in planned:
        if fault.kind is FaultKind.HOT_SHIFT:
            shifts.append(fault.at_s)
    return shifts


def _deaths(fleet: Fleet) -> list[Breach]:
    """Find processes that ended though no fault ended them."""
    found: list[Breach] = []
    for name in (*fleet.router_names, *fleet.agent_names):
        code = fleet.process(name).exit_code
        if code is None:
            continue
        what = f'{name} ended with code {code}'
        found.append(Breach(Invariant.DIED, time.monotonic(), what))
    return found


def _faults_of_code(fleet: Fleet) -> list[str]:
    found: list[str] = []
    for name in (*fleet.router_names, *fleet.agent_names):
        before = ''
        for line in fleet.process(name).output().splitlines():
            told = any(word in line for word in _UNFORESEEN)
            if told and before != _LIBRARY_NOTICE:
                found.append(f'{name}: {line[:600]}')
            before = line
    return found


def _keep_logs(fleet: Fleet, directory: Path) -> None:
    directory.mkdir(parents=True, exist_ok=True)
    for name in (*fleet.router_names, *fleet.agent_names, 'platform'):
        text = fleet.process(name).output()
        (directory / f'{name}.log').write_text(text)
