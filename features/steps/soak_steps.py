"""Run the soak seeds, and single faults on router processes."""

import asyncio
import gc
import http.client
import signal
import tempfile
import tomllib
from importlib import resources
from pathlib import Path
from typing import Any

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.loop_thread import LoopThread
from lacewing_platform_testing import free_ports
from lacewing_platform_testing.soak import run_seed
from lacewing_platform_testing.soak import SoakReport
from lacewing_platform_testing.soak import Theme
from lacewing_platform_testing.soak._callers import ObservedAnswer
from lacewing_platform_testing.soak._callers import send_request
from lacewing_platform_testing.soak._routers import RouterProcess
from lacewing_platform_testing.soak._run import is_serving
from lacewing_platform_testing.soak._site import KEYS
from lacewing_platform_testing.soak._site import SoakSite

# Bounds the file descriptors and processes that the seeds take together.
_SEEDS_AT_ONCE = 7


class _SingleRouter:
    """Run a site, one router process and a slow request."""

    def __init__(self) -> None:
        self.loop = LoopThread()
        self.site = SoakSite()
        directory = Path(tempfile.mkdtemp(prefix='soak-one-'))
        self.loop.call(self.site.start())
        self.router = RouterProcess(
            'router-0', directory, free_ports(), self.site.store.address
        )
        self.loop.call(self._start())

    def start_slow_request(self) -> 'asyncio.Task[ObservedAnswer]':
        """Send a request that its upstream delays until resumed."""
        task: asyncio.Task[ObservedAnswer] = self.loop.call(
            self._start_slow_request()
        )
        return task

    def wait_answer(
        self, task: 'asyncio.Task[ObservedAnswer]'
    ) -> ObservedAnswer:
        """Wait for the answer to a slow request."""
        return self.loop.call(_await_task(task))

    def signal_twice(self) -> None:
        """Send the stop signal twice, then resume the upstreams."""
        self.loop.call(self._signal_twice())

    def wait_exit(self) -> int:
        """Wait for the first exit of the process; return its exit code."""
        return self.loop.call(self._wait_exit())

    def close(self) -> None:
        """Stop the router and the site."""
        self.loop.call(self._close())
        self.loop.close()

    async def _start(self) -> None:
        self.router.start()
        assert await is_serving([self.router.address], 20.0)

    async def _start_slow_request(self) -> 'asyncio.Task[ObservedAnswer]':
        for upstream in self.site.upstreams:
            upstream.hold.clear()
        previous_runs = len(self._runs())
        connection = http.client.HTTPConnection(
            self.router.address, timeout=10.0
        )
        task = asyncio.create_task(
            asyncio.to_thread(
                send_request, connection, 'slow', '/certificates/1', KEYS[0]
            )
        )
        while len(self._runs()) == previous_runs:
            await asyncio.sleep(0.01)
        return task

    async def _signal_twice(self) -> None:
        self.router.signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        self.router.signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        for upstream in self.site.upstreams:
            upstream.hold.set()

    async def _wait_exit(self) -> int:
        while not self.router.exits:
            await asyncio.sleep(0.01)
        return self.router.exits[0]

    async def _close(self) -> None:
        await self.router.terminate()
        self.site.close()

    def _runs(self) -> list[str]:
        ran = []
        for upstream in self.site.upstreams:
            ran.extend(upstream.ran)
        return ran


async def _await_task(task: 'asyncio.Task[ObservedAnswer]') -> ObservedAnswer:
    return await task


@given('a router process with a request under way')
def step_router_process(context: Context) -> None:
    """Start one router and a request that is not answered yet."""
    context.single_router = _SingleRouter()
    context.resources.callback(context.single_router.close)
    context.slow_request = context.single_router.start_slow_request()


@when('the process gets two stop signals and the upstreams resume')
def step_signal_twice(context: Context) -> None:
    """Repeat the stop signal while the router drains."""
    context.single_router.signal_twice()


@then('the request is answered and the process exits by itself')
def step_answered(context: Context) -> None:
    """Check the answer and the exit code."""
    answer = context.single_router.wait_answer(context.slow_request)
    assert answer.status == 200, answer
    assert answer.body == b'slow', answer
    assert context.single_router.wait_exit() == 0


@when('a router is terminated while its output is unread')
def step_terminate_unread(context: Context) -> None:
    """Read on after the process has ended; collect errors of tasks."""
    directory = context.resources.enter_context(tempfile.TemporaryDirectory())
    context.errors = asyncio.run(_terminate_unread(Path(directory)))


@then('no task of the soak fails')
def step_no_errors(context: Context) -> None:
    """Check that the loop saw no error."""
    assert not context.errors, context.errors


async def _terminate_unread(directory: Path) -> list[Any]:
    errors: list[Any] = []
    asyncio.get_running_loop().set_exception_handler(
        lambda _loop, found: errors.append(found.get('exception'))
    )
    site = SoakSite()
    await site.start()
    router = RouterProcess(
        'router-0', directory, free_ports(), site.store.address
    )
    router.read_output.clear()
    router.start()
    assert await is_serving([router.address], 20.0)
    await router.terminate()
    router.read_output.set()
    await asyncio.sleep(0.3)
    # The error of a task that nobody awaits shows once the task is collected.
    del router
    gc.collect()
    await asyncio.sleep(0)
    site.close()
    return errors


@when('every seed that ever failed is run')
def step_seeds(context: Context) -> None:
    """Run the listed seeds concurrently, except those with crashes."""
    seeds = [
        one for one in _read_seeds() if one['theme'] != Theme.CRASHES.value
    ]
    context.reports = asyncio.run(_run_all(seeds))


@when('every seed with crashes that ever failed is run')
def step_crash_seeds(context: Context) -> None:
    """Run the listed seeds with crashes concurrently."""
    seeds = [
        one for one in _read_seeds() if one['theme'] == Theme.CRASHES.value
    ]
    context.reports = asyncio.run(_run_all(seeds))


def _read_seeds() -> list[dict[str, Any]]:
    document = tomllib.loads(
        resources.files('lacewing_platform_testing.soak')
        .joinpath('seeds.toml')
        .read_text()
    )
    seeds: list[dict[str, Any]] = document['seed']
    return seeds


async def _run_all(seeds: list[dict[str, Any]]) -> list[SoakReport]:
    slots = asyncio.Semaphore(_SEEDS_AT_ONCE)

    async def run_one(one: dict[str, Any]) -> SoakReport:
        async with slots:
            return await run_seed(
                one['number'], one['seconds'], Theme(one['theme'])
            )

    return await asyncio.gather(*(run_one(one) for one in seeds))


@then('no promise is broken')
def step_none_broken(context: Context) -> None:
    """Print all reports with a broken promise, with their seeds and faults."""
    broken_seeds = []
    for report in context.reports:
        if report.broken or not report.requests:
            print(f'soak: {report}')
            broken_seeds.append(report.seed)
    assert not broken_seeds, broken_seeds
