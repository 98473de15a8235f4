"""Provide the platform simulator, its clock and a store for steps."""

import asyncio
import json
import subprocess
from asyncio import Runner
from asyncio import Task
from collections.abc import Callable
from typing import Any
from urllib.error import HTTPError
from urllib.request import Request
from urllib.request import urlopen

import msgspec
from lacewing_bench.fakes import FakeStore
from lacewing_bench.platform import FaultSwitches
from lacewing_bench.platform import ObjectKey
from lacewing_bench.platform import PlatformServer
from lacewing_bench.platform import PlatformService
from lacewing_bench.platform import PlatformSettings
from lacewing_bench.platform import WeightSettings
from lacewing_common.platform_client import ClientOptions
from lacewing_common.platform_client import PlatformClient
from lacewing_common.resolved_put import put_with_resolution
from lacewing_common.store import MUST_NOT_EXIST
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault
from tornado.httpclient import AsyncHTTPClient

TIMEOUT_S = 20.0
SHORT_TIMEOUT_S = 0.2
POLL_INTERVAL_S = 0.01
Result = StoredObject | StoreError | None


class ManualClock:
    """Return a time that advances only when a step sets it."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now_s


class InterruptedStore:
    """Call back after the first write and after a number of reads."""

    def __init__(
        self,
        store: PlatformClient | FakeStore,
        after_write: Callable[[], None],
        after_reads: Callable[[], None],
        reads: int,
    ) -> None:
        self._store = store
        self._after_write = after_write
        self._after_reads = after_reads
        self._reads_left = reads
        self._has_written = False
        self.list_names = store.list_names
        self.watch = store.watch
        self.vms = store.vms
        self.delete = store.delete

    async def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read, then call back if it is the last of the reads."""
        result = await self._store.get(kind, name)
        self._reads_left -= 1
        if self._reads_left == 0:
            self._after_reads()
        return result

    async def put(
        self, kind: str, name: str, value: bytes, expect: int
    ) -> StoredObject | StoreError:
        """Write, then call back if it is the first write."""
        result = await self._store.put(kind, name, value, expect)
        if not self._has_written:
            self._has_written = True
            self._after_write()
        return result


class Bench:
    """Hold the state of a scenario."""

    def __init__(self, runner: Runner) -> None:
        self.runner = runner
        self.clock = ManualClock()
        settings = PlatformSettings(
            weights=WeightSettings(load_s=0.05, loads_at_once=2)
        )
        self.service = PlatformService(settings, self.clock)
        self.server = PlatformServer(settings, self.service)
        self.store: PlatformClient | FakeStore | InterruptedStore
        self.client: PlatformClient | None = None
        self.result: Result = None
        self.status = 0
        self.losses: list[bool] = []
        self.changes: asyncio.Queue[StoredObject | StoreError] = (
            asyncio.Queue()
        )
        self.watch_task: Task[None] | None = None
        self.pending_write: Task[Result] | None = None

    def set_faults(self, **switches: object) -> None:
        """Replace all fault switches."""
        self.service.set_faults(msgspec.convert(switches, FaultSwitches))

    def create(self, path: str, value: bytes) -> None:
        """Create an object and store the result."""
        self.write(path, value, MUST_NOT_EXIST)

    def write(self, path: str, value: bytes, expect: int) -> None:
        """Write an object and store the result."""
        kind, name = split(path)
        self.result = self.runner.run(
            self.store.put(kind, name, value, expect)
        )

    def write_resolving(self, path: str, value: bytes, expect: int) -> None:
        """Write an object, resolve a lost response, store the result."""
        kind, name = split(path)
        self.result = self.runner.run(
            put_with_resolution(self.store, kind, name, value, expect)
        )

    def read(self, path: str) -> None:
        """Read an object and store the result."""
        kind, name = split(path)
        self.result = self.runner.run(self.store.get(kind, name))

    def create_many(self, prefix: str, count: int) -> None:
        """Create objects and record which responses were lost."""
        self.losses = []
        for number in range(count):
            self.create(f'{prefix}/{number}', b'x')
            self.losses.append(fault(self.result) is StoreFault.UNKNOWN)

    def next_change(self) -> StoredObject | StoreError:
        """Return the next result of the watch."""
        return self.runner.run(asyncio.wait_for(self.changes.get(), TIMEOUT_S))

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Run the loop until a condition holds; fail on a timeout."""
        self.runner.run(until(condition))

    def close_store(self) -> None:
        """Stop the watch and the pending write; close the client."""
        if self.watch_task is not None:
            self.runner.run(cancel_task(self.watch_task))
            self.watch_task = None
        if self.pending_write is not None:
            self.runner.run(cancel_task(self.pending_write))
            self.pending_write = None
        if self.client is not None:
            self.client.close()
            self.client = None

    def close(self) -> None:
        """Close the store and the server."""
        self.close_store()
        self.runner.run(self.server.close())

    def write_as_another(self, path: str, value: bytes) -> None:
        """Write as another writer, unaffected by faults."""
        key = ObjectKey(*split(path))
        version = self.service.objects.version(key)
        self.service.objects.put(key, value, version)


def split(path: str) -> tuple[str, str]:
    """Split a path into kind and name."""
    kind, _slash, name = path.partition('/')
    return kind, name


def fault(result: Result) -> StoreFault | None:
    """Return the fault of a result, or None."""
    return result.fault if isinstance(result, StoreError) else None


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; raise on a timeout."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(POLL_INTERVAL_S)


async def cancel_task(task: Task[Any]) -> None:
    """Cancel a task and wait until it has ended."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def collect_changes(bench: Bench, path: str, after: int) -> None:
    """Put the results of a watch into the bench's queue."""
    kind, name = split(path)
    async for change in bench.store.watch(kind, name, after):
        bench.changes.put_nowait(change)


async def start_watch_task(bench: Bench, path: str, after: int) -> None:
    """Start a watch."""
    bench.watch_task = asyncio.create_task(collect_changes(bench, path, after))


def fetch(url: str, method: str = 'GET', body: object = None) -> Any:
    """Call a simulator that runs as a process; return the JSON."""
    data = None if body is None else json.dumps(body).encode()
    request = Request(url, data, method=method)
    with urlopen(request, timeout=TIMEOUT_S) as response:
        return json.loads(response.read())


def fetch_failure(
    url: str, method: str = 'GET', body: object = None
) -> tuple[int, str]:
    """Make a call that is refused; return status and text."""
    try:
        fetch(url, method, body)
    except HTTPError as error:
        return error.code, error.read().decode()
    raise AssertionError(f'expected {method} {url} to be refused')


def kill_process(process: 'subprocess.Popen[bytes]') -> None:
    """Kill a process that a scenario started."""
    process.kill()
    process.communicate()


async def load_concurrently(bench: Bench, count: int) -> None:
    """Load weights concurrently."""
    loads = []
    for _number in range(count):
        loads.append(fetch_status(bench, '/weights/tutor/1', 'GET'))
    assert await asyncio.gather(*loads) == [200] * count


async def fetch_status(bench: Bench, path: str, method: str) -> int:
    """Call the simulator of the scenario; return the status."""
    client = AsyncHTTPClient(force_instance=True)
    response = await client.fetch(
        bench.server.url + path,
        method=method,
        body=b'x' if method == 'PUT' else None,
        raise_error=False,
    )
    client.close()
    return response.code


async def new_client(
    bench: Bench, options: ClientOptions, address: str = ''
) -> PlatformClient:
    """Open the HTTP client inside the event loop."""
    return PlatformClient(address or bench.server.address, options)


async def start_write(bench: Bench, path: str) -> Task[Result]:
    """Start a write without waiting for it."""
    kind, name = split(path)
    return asyncio.create_task(
        bench.store.put(kind, name, b'x', MUST_NOT_EXIST)
    )
