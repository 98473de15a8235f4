"""Run the fault soak, and single faults on router processes."""

import asyncio
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


class _OneRouter:
    """Hold a site, one router process and a request under way."""

    def __init__(self) -> None:
        self.loop = LoopThread()
        self.site = SoakSite()
        directory = Path(tempfile.mkdtemp(prefix='soak-one-'))
        self.loop.call(self.site.start())
        self.router = RouterProcess(
            'router-0', directory, free_ports(), self.site.store.address
        )
        self.loop.call(self._start())

    def ask_slowly(self) -> 'asyncio.Task[ObservedAnswer]':
        """Send a request that its upstream holds."""
        task: asyncio.Task[ObservedAnswer] = self.loop.call(self._ask())
        return task

    def wait(self, task: 'asyncio.Task[ObservedAnswer]') -> ObservedAnswer:
        """Return the answer."""
        return self.loop.call(_result(task))

    def signal_twice(self) -> None:
        """Send the stop signal twice, then let the answers go on."""
        self.loop.call(self._signal_twice())

    def until_ended(self) -> int:
        """Return the exit code of the process's first life."""
        return self.loop.call(self._until_ended())

    def close(self) -> None:
        """Stop everything."""
        self.loop.call(self._close())
        self.loop.close()

    async def _start(self) -> None:
        self.router.start()
        assert await is_serving([self.router.address], 20.0)

    async def _ask(self) -> 'asyncio.Task[ObservedAnswer]':
        for upstream in self.site.upstreams:
            upstream.hold.clear()
        before = len(self._ran())
        connection = http.client.HTTPConnection(
            self.router.address, timeout=10.0
        )
        task = asyncio.create_task(
            asyncio.to_thread(
                send_request, connection, 'slow', '/certificates/1', KEYS[0]
            )
        )
        while len(self._ran()) == before:
            await asyncio.sleep(0.01)
        return task

    async def _signal_twice(self) -> None:
        self.router.signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        self.router.signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        for upstream in self.site.upstreams:
            upstream.hold.set()

    async def _until_ended(self) -> int:
        while not self.router.exits:
            await asyncio.sleep(0.01)
        return self.router.exits[0]

    async def _close(self) -> None:
        await self.router.terminate()
        self.site.close()

    def _ran(self) -> list[str]:
        ran = []
        for upstream in self.site.upstreams:
            ran.extend(upstream.ran)
        return ran


async def _result(task: 'asyncio.Task[ObservedAnswer]') -> ObservedAnswer:
    return await task


@given('a router process with a request under way')
def step_one(context: Context) -> None:
    """Start one router and a request that is not answered yet."""
    context.one = _OneRouter()
    context.resources.callback(context.one.close)
    context.asked = context.one.ask_slowly()


@when('the process gets two stop signals and the answers go on')
def step_twice(context: Context) -> None:
    """Repeat the stop signal."""
    context.one.signal_twice()


@then('the request is answered and the process ends by itself')
def step_answered(context: Context) -> None:
    """Check the answer and the exit code."""
    seen = context.one.wait(context.asked)
    assert seen.status == 200, seen
    assert seen.body == b'slow', seen
    assert context.one.until_ended() == 0


@when('every seed that ever failed is run')
def step_seeds(context: Context) -> None:
    """Run the listed seeds side by side, but those with crashes."""
    seeds = [one for one in _listed() if one['theme'] != Theme.CRASHES.value]
    context.reports = asyncio.run(_run_all(seeds))


@when('every seed with crashes that ever failed is run')
def step_crash_seeds(context: Context) -> None:
    """Run these side by side."""
    seeds = [one for one in _listed() if one['theme'] == Theme.CRASHES.value]
    context.reports = asyncio.run(_run_all(seeds))


def _listed() -> list[dict[str, Any]]:
    listed = tomllib.loads(
        resources.files('lacewing_platform_testing.soak')
        .joinpath('seeds.toml')
        .read_text()
    )
    seeds: list[dict[str, Any]] = listed['seed']
    return seeds


async def _run_all(seeds: list[dict[str, Any]]) -> list[SoakReport]:
    return await asyncio.gather(
        *(
            run_seed(one['number'], one['seconds'], Theme(one['theme']))
            for one in seeds
        )
    )


@then('no promise is broken')
def step_none_broken(context: Context) -> None:
    """Check each report."""
    for report in context.reports:
        assert report.requests > 0, report
        assert not report.broken, report
