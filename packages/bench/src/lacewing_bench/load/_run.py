"""Run a workload against a fleet on this machine."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
import psutil
from tqdm import tqdm

from lacewing_bench.caller import Caller
from lacewing_bench.fleet import Fleet
from lacewing_bench.fleet import MODEL_WEIGHTS
from lacewing_bench.load._client import LoadClient
from lacewing_bench.load._client import Outcome
from lacewing_bench.load._report import summarize
from lacewing_bench.load._report import Summary
from lacewing_bench.load._request import TimedRequest
from lacewing_bench.load._work import read_busy
from lacewing_bench.load._work import read_work
from lacewing_bench.load._work import wasted_tokens
from lacewing_bench.load._work import Work

_CALLS_AT_ONCE = 1000
_SETTLE_S = 0.5

Disturb = Callable[[Fleet], Awaitable[None]]


@dataclass(frozen=True)
class LoadResult:
    """Hold what a run measured, of the requests after the warm-up.

    ``hit_rate``: prompt tokens taken from caches over all prompt tokens.
    ``worker_busy``: share of time that engines spent in steps, their mean.
    ``process_cpu``: cores used on average, by process; the client's too.
    """

    outcomes: tuple[Outcome, ...]
    summary: Summary
    hit_rate: float
    prompt_tokens: int
    prefilled_tokens: int
    wasted_tokens: int
    worker_busy: float
    process_cpu: dict[str, float]


class LoadRun:
    """Send a workload to a fleet and read what its workers did.

    ``warm_s`` seconds at the start are checked for right answers and left
    out of all figures. ``disturb`` is started after the warm-up.
    """

    def __init__(
        self,
        fleet: Fleet,
        requests: Sequence[TimedRequest],
        seconds: float,
        warm_s: float = 0.0,
        disturb: Disturb | None = None,
    ) -> None:
        self._fleet = fleet
        self._requests = requests
        self._seconds = seconds
        self._warm_s = warm_s
        self._disturb = disturb
        model_service = fleet.deployment.model_service
        plain_service = fleet.deployment.plain_service
        self._engines = self._workers(model_service)
        self._plain = self._workers(plain_service)

    async def run(self, show_progress: bool = True) -> LoadResult:
        """Run to the last answer."""
        caller = Caller(self._fleet.team_keys, calls_at_once=_CALLS_AT_ONCE)
        client = LoadClient(caller, self._fleet.router_urls, MODEL_WEIGHTS)
        progress = tqdm(
            total=len(self._requests),
            unit='request',
            disable=not show_progress,
        )
        try:
            with progress:
                reading = asyncio.create_task(self._read_window())
                outcomes = await client.run(self._requests, progress.update)
                window = await reading
        finally:
            caller.close()
        # Cancels and ends of attempts may still be on their way.
        await asyncio.sleep(_SETTLE_S)
        return self._result(outcomes, window, await self._work())

    async def _read_window(self) -> '_Window':
        await asyncio.sleep(self._warm_s)
        before = await self._work()
        cpu_before = _cpu_s(self._fleet)
        disturbing: Awaitable[None] | None = None
        if self._disturb is not None:
            disturbing = asyncio.ensure_future(self._disturb(self._fleet))
        await asyncio.sleep(self._seconds - self._warm_s)
        busy_s = await read_busy(self._fleet.read, self._engines)
        cpu_s = _cpu_s(self._fleet)
        if disturbing is not None:
            await disturbing
        used = {}
        length_s = self._seconds - self._warm_s
        for name, seconds in cpu_s.items():
            used[name] = (seconds - cpu_before.get(name, 0.0)) / length_s
        return _Window(before, busy_s, used)

    async def _work(self) -> Work:
        return await read_work(self._fleet.read, self._engines, self._plain)

    def _result(
        self, outcomes: list[Outcome], window: '_Window', after: Work
    ) -> LoadResult:
        before = window.before
        prompts = after.prompt_tokens - before.prompt_tokens
        hits = after.hit_tokens - before.hit_tokens
        length_s = self._seconds - self._warm_s
        busy = [
            (window.busy_s[name] - before.busy_s[name]) / length_s
            for name in window.busy_s
        ]
        measured = [o for o in outcomes if o.request.at_s >= self._warm_s]
        summary = summarize(measured, after.executions, after.by_key)
        whole = summarize(outcomes, after.executions, after.by_key)
        # A wrong answer counts, whenever it came.
        summary = _with_faults_of(summary, whole)
        return LoadResult(
            outcomes=tuple(outcomes),
            summary=summary,
            hit_rate=hits / prompts if prompts else 0.0,
            prompt_tokens=prompts,
            prefilled_tokens=after.prefilled_tokens - before.prefilled_tokens,
            wasted_tokens=wasted_tokens(before, after),
            worker_busy=sum(busy) / len(busy) if busy else 0.0,
            process_cpu=window.process_cpu,
        )

    def _workers(self, service: str) -> dict[str, str]:
        workers: dict[str, str] = {}
        for name, url in self._fleet.worker_urls.items():
            if name.startswith(f'{service}-'):
                workers[name] = url
        return workers


@dataclass(frozen=True)
class _Window:
    before: Work
    busy_s: dict[str, float]
    process_cpu: dict[str, float]


def _with_faults_of(summary: Summary, whole: Summary) -> Summary:
    return msgspec.structs.replace(
        summary,
        false_refusals=whole.false_refusals,
        lost=whole.lost,
        duplicated=whole.duplicated,
        crossed=whole.crossed,
        incomplete=whole.incomplete,
    )


def _cpu_s(fleet: Fleet) -> dict[str, float]:
    used: dict[str, float] = {}
    for name, pid in fleet.pids_by_name.items():
        used[name] = _cpu_of(psutil.Process(pid))
    used['client'] = _cpu_of(psutil.Process())
    return used


def _cpu_of(process: psutil.Process) -> float:
    try:
        times = process.cpu_times()
    except psutil.NoSuchProcess:
        # It was ended by the scenario.
        return 0.0
    return times.user + times.system
