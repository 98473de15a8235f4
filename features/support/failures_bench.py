"""Call a fleet in the background while faults come, count what ran."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

import msgspec
from behave.runner import Context
from lacewing_bench.caller import Answer
from lacewing_bench.caller import Call
from lacewing_bench.caller import Progress
from lacewing_bench.chaos._judge import Finding
from lacewing_bench.chaos._judge import judge
from lacewing_bench.chaos._truth import read_truth
from lacewing_bench.chaos._truth import Truth
from lacewing_bench.fleet import FleetOptions
from lacewing_bench.load._work import WorkerCounts
from support.fleet_bench import FleetBench
from support.fleet_bench import PATIENCE_S
from support.fleet_bench import small
from tornado.curl_httpclient import CurlError

_STEP_S = 0.05
_WAIT_S = 0.2
_RECALLS = '/services/registry/recalls'
_ASK_AGAIN = (
    Finding.UNSENT,
    Finding.REFUSED,
    Finding.FAILED,
    Finding.BROKEN,
)


@dataclass
class Begun:
    """Hold a call that was begun and the task that reads its answer."""

    call: Call
    progress: Progress
    task: asyncio.Task[Answer]
    findings: list[Finding] = field(default_factory=list)


class FailuresBench(FleetBench):
    """Hold a fleet, the calls that are open and what came of them."""

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self.begun: dict[str, Begun] = {}
        self.before: dict[str, int] = {}

    def start_small(self, routers: int, models: int, plains: int) -> None:
        """Start a fleet whose routers know agents from their settings."""
        options = FleetOptions(signed=True, vm_lag_s=0.2)
        self.start(small(routers, models, plains), options)

    def begin(self, name: str, router: str, call: Call) -> None:
        """Send a call and go on."""
        self.begun[name] = self.run(self._begin_call(router, call))

    def end(self, name: str) -> Finding:
        """Wait for the answer of a begun call and judge it."""
        begun = self.begun[name]
        answer = self.run(_result(begun.task))
        return judge(answer, begun.progress.body, begun.call)

    def ask(self, router: str, call: Call) -> Finding:
        """Send a call and judge its answer."""
        return self.run(self._ask(router, call))

    def ask_until_answered(
        self, routers: Sequence[str], call: Call
    ) -> Finding:
        """Ask again, by one router after the other, while that may help."""
        return self.run(self._ask_until_answered(routers, call))

    def truth(self) -> Truth:
        """Read what all workers ran."""
        return self.run(read_truth(self.fleet))

    def began(self, worker: str) -> int:
        """Count the requests that a worker has begun."""
        return self.run(self._began(worker))

    def has_left_epoch(self, worker: str, epoch: str) -> bool:
        """Tell whether a crashed worker is back."""
        try:
            return self.worker_epoch(worker) != epoch
        except CurlError:
            return False

    def busiest(self) -> str:
        """Return the engine that runs most requests now."""
        return max(self.engines, key=self._running)

    def is_busy(self) -> bool:
        """Tell whether some engine runs a request."""
        return any(self._running(engine) for engine in self.engines)

    def until_ran(self, key: str) -> None:
        """Wait until some worker runs the call of a key."""
        self.until_asked(lambda: bool(self.truth().by_key.get(key)), key)

    def holder_of(self, key: str) -> str:
        """Return the worker that ran the call of a key."""
        for worker in self.plain_workers:
            counts = self.run(self._counts(worker))
            if f'"{key}"' in counts.by_key:
                return worker
        raise AssertionError(f'no worker ran {key!r}')

    @property
    def plain_workers(self) -> list[str]:
        """Return the names of the plain workers."""
        prefix = f'{self.fleet.deployment.plain_service}-'
        return [w for w in self.fleet.worker_urls if w.startswith(prefix)]

    @property
    def engines(self) -> list[str]:
        """Return the names of the engines."""
        prefix = f'{self.fleet.deployment.model_service}-'
        return [w for w in self.fleet.worker_urls if w.startswith(prefix)]

    def _running(self, worker: str) -> int:
        url = f'{self.fleet.worker_urls[worker]}/truth?blocks='
        truth = msgspec.json.decode(self.run(self.fleet.read(url)))
        return int(truth['running']) + int(truth['waiting'])

    async def _begin_call(self, router: str, call: Call) -> Begun:
        progress = Progress()
        url = self.fleet.caller_url(router)
        task = asyncio.create_task(self.caller.send(url, call, progress))
        await asyncio.sleep(0)
        return Begun(call, progress, task)

    async def _ask(self, router: str, call: Call) -> Finding:
        progress = Progress()
        url = self.fleet.caller_url(router)
        answer = await self.caller.send(url, call, progress)
        return judge(answer, progress.body, call)

    async def _ask_until_answered(
        self, routers: Sequence[str], call: Call
    ) -> Finding:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + PATIENCE_S
        while True:
            for router in routers:
                finding = await self._ask(router, call)
                if finding not in _ASK_AGAIN or loop.time() > deadline:
                    return finding
                await asyncio.sleep(_WAIT_S)

    async def _began(self, worker: str) -> int:
        return sum((await self._counts(worker)).executions.values())

    async def _counts(self, worker: str) -> WorkerCounts:
        url = self.fleet.worker_urls[worker]
        answer = await self.fleet.read(f'{url}/counts')
        return msgspec.json.decode(answer, type=WorkerCounts)


async def _result(task: asyncio.Task[Answer]) -> Answer:
    return await task


def recall(key: str) -> Call:
    """Make a call that must run at most once, under a key."""
    return Call(
        title=key,
        team='brno',
        path=f'{_RECALLS}/{key}',
        body={'motor': key},
        idempotency_key=key,
        fresh=True,
    )


def hurried(call: Call, seconds: float) -> Call:
    """Have the caller hang up."""
    return replace(call, timeout_s=seconds)
