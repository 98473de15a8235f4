"""Run the routers of a small deployment against stand-ins on loopback."""

import asyncio
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path
from random import SystemRandom
from typing import Any

from lacewing_platform_testing import FakeStore

ROOT = Path(__file__).resolve().parents[2]
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
LIMIT_S = 110.0
READY_TIMEOUT_S = 20.0
RESTART_DELAY_S = 0.5
BEAT_S = 1.2
HOST = 'review.example'
PREFIX = 'X-Lacewingstack-'
# The figures of a small deployment, as its sheet has them.
FIELDS: dict[str, Any] = {
    'Zone': 'zone-a',
    'Region': 'region-a',
    'ActiveContracts': [
        'base',
        'drain',
        'config',
        'cost',
        'retry',
        'recover',
        'kvcache',
        'stream',
        'engine',
        'tenants',
        'platform',
    ],
    'Bootstrap': True,
    'Bounds': {
        'StabilityWindowMs': 3000,
        'DrainTimeoutMs': 2000,
        'GracePeriodS': 8,
        'ConfigApplyMs': 2000,
        'RevokeFailClosed': True,
        'RevocationMs': 5000,
        'RetryBudgetRatio': 0.2,
        'BudgetWindowS': 10,
        'RetryBudgetSlack': 54,
        'LeaseDurationMs': 3000,
        'VersionMs': 8000,
    },
}
_SECTION = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
_VALUE = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template of settings as the platform does."""

    def section(found: re.Match[str]) -> str:
        return found.group(2) if _look_up(fields, found.group(1)) else ''

    def value(found: re.Match[str]) -> str:
        looked_up = _look_up(fields, found.group(1))
        if found.group(2):
            return json.dumps(looked_up)
        return '' if looked_up is None else str(looked_up)

    return _VALUE.sub(value, _SECTION.sub(section, template))


def _look_up(fields: Any, path: str) -> Any:
    for name in path.split('.'):
        if isinstance(fields, list):
            fields = fields[int(name)]
        elif isinstance(fields, dict):
            fields = fields.get(name)
        else:
            return None
    return fields


class Record:
    """Write what was sent, answered and run to a file."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._start_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        at_s = time.monotonic() - self._start_s
        self._file.write(f'{at_s:8.3f} {text}\n')
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Router:
    """Run one router process; start it again once it has ended."""

    def __init__(
        self,
        name: str,
        ip: str,
        store_address: str,
        folder: Path,
        record: Record,
        memory_mb: int = 0,
    ) -> None:
        self.name = name
        self.ip = ip
        self.starts = 0
        self.own_ends = 0
        self.peak_mb = 0.0
        self._memory_mb = memory_mb
        self._record = record
        self._folder = folder
        ports = _free_ports(ip, 4)
        self.callers = (ip, ports[0])
        self.ready = (ip, ports[1])
        self._fields = {
            **FIELDS,
            'NodeName': name,
            'IpAddress': ip,
            'InternalPortRange': [ports[2], ports[2]],
            'ListenAddresses': {
                'Frontend': f'{ip}:{ports[0]}',
                'Ready': f'{ip}:{ports[1]}',
            },
            'PlatformSettings': {'Address': store_address},
        }
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['router']
        self._command = role['run'].split()
        self._template = (ROOT / role['template']).read_text()
        self._settings = folder / f'{name}.json'
        self._process: asyncio.subprocess.Process | None = None
        self._killed = False
        self._task: asyncio.Task[None] | None = None

    @property
    def pid(self) -> int:
        """Return the id of the process, 0 if it does not run."""
        process = self._process
        if process is None or process.returncode is not None:
            return 0
        return process.pid

    def start(self) -> None:
        """Start the process."""
        self._task = asyncio.create_task(self._run())

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if not self.pid:
            return
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._killed = True
        self._record.write(f'{self.name} gets {number.name}')
        os.kill(self.pid, number)

    async def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> bool:
        """Wait until the router answers 200 to the question for it."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self) -> bool:
        """Return whether the router says that it is ready."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b'GET /readiness HTTP/1.1\r\nHost: r\r\n\r\n')
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line

    async def stop(self) -> None:
        """Kill the process for good."""
        if self._task is not None:
            self._task.cancel()
        if self.pid:
            os.kill(self.pid, signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def _run(self) -> None:
        bootstrap = True
        log_path = self._folder / f'{self.name}.log'
        with log_path.open('ab') as log:
            while True:
                fields = {**self._fields, 'Bootstrap': bootstrap}
                self._settings.write_text(render(self._template, fields))
                bootstrap = False
                self._killed = False
                self._process = await asyncio.create_subprocess_exec(
                    *self._command,
                    cwd=ROOT,
                    env={
                        'PATH': os.environ['PATH'],
                        'HOME': os.environ.get('HOME', '/'),
                        'PYTHONPATH': str(ROOT / 'target/deps'),
                        'LACEWINGSTACK_NODE_FILE': str(self._settings),
                    },
                    stdout=log,
                    stderr=log,
                )
                self.starts += 1
                self._record.write(f'{self.name} starts, pid {self.pid}')
                watch = asyncio.create_task(self._watch_memory())
                try:
                    code = await self._process.wait()
                finally:
                    watch.cancel()
                if not self._killed:
                    self.own_ends += 1
                self._record.write(f'{self.name} has ended with {code}')
                await asyncio.sleep(RESTART_DELAY_S)

    async def _watch_memory(self) -> None:
        """End the process once it holds more than its machine has."""
        while True:
            await asyncio.sleep(0.01)
            held_mb = _resident_mb(self.pid)
            self.peak_mb = max(self.peak_mb, held_mb)
            if self._memory_mb and held_mb > self._memory_mb:
                self._record.write(
                    f'{self.name} holds {held_mb:.1f} MB of'
                    f' {self._memory_mb}: the platform ends it'
                )
                os.kill(self.pid, signal.SIGKILL)
                return


class Deployment:
    """Hold the store, the routers and what keeps the entries fresh."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.store = FakeStore()
        self.store.server.start()
        self.routers: list[Router] = []
        self.entries: dict[str, Callable[[], dict[str, Any]]] = {}
        self._sequence = 0
        self._network = SystemRandom().randrange(2, 250)
        self._tasks: list[asyncio.Task[None]] = []

    def add_router(self, memory_mb: int = 0) -> Router:
        """Add a router with an address of its own, and start it."""
        number = len(self.routers) + 1
        router = Router(
            f'frontend-{number}',
            f'127.{self._network}.{SystemRandom().randrange(1, 250)}.{number}',
            self.store.address,
            self.folder,
            self.record,
            memory_mb,
        )
        self.routers.append(router)
        router.start()
        return router

    def start_beats(self) -> None:
        """Write the entries of all workers at each heartbeat."""
        self._tasks.append(asyncio.create_task(self._beat()))

    def write_entries(self) -> None:
        """Write the entry of each worker."""
        self._sequence += 1
        for name, entry in tuple(self.entries.items()):
            self.store.put(
                'servers', name, {**entry(), 'Sequence': self._sequence}
            )

    async def wait_ready(self) -> None:
        """Wait until all routers are ready."""
        for router in self.routers:
            if not await router.wait_ready():
                raise CouldNotRunError(f'{router.name} is not ready')

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for task in self._tasks:
            task.cancel()
        for router in self.routers:
            await router.stop()
        self.store.server.close()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT_S)
            self.write_entries()


class CouldNotRunError(Exception):
    """Report that a case can't be judged."""


def route(
    path: str, kind: str, service: str, **fields: object
) -> dict[str, object]:
    """Return a route of a configuration."""
    return {
        'Name': path.strip('/'),
        'Hostname': HOST,
        'PathPrefix': path,
        'RouteKind': kind,
        'TimeoutMs': 5000,
        'TargetLatencyMs': 400,
        'MaxAttempts': 2,
        'Service': service,
        **fields,
    }


def main(
    play: Callable[[Deployment, bool], Awaitable[bool]], record_path: Path
) -> None:
    """Play a case; exit with 1 if the rule was broken, 0 if it held."""
    sys.exit(asyncio.run(_play(play, record_path)))


async def _play(
    play: Callable[[Deployment, bool], Awaitable[bool]], record_path: Path
) -> int:
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(record_path)
    record.write(f'trouble: {has_trouble}')
    code = COULD_NOT_RUN
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(record, Path(folder))
        try:
            async with asyncio.timeout(LIMIT_S):
                held = await play(deployment, has_trouble)
            code = HELD if held else BROKEN
        except (CouldNotRunError, TimeoutError, OSError) as error:
            record.write(f'could not run: {error!r}')
        finally:
            await deployment.stop()
            if os.environ.get('KEEP_LOGS'):
                for path in Path(folder).glob('*.log'):
                    target = Path(os.environ['KEEP_LOGS']) / path.name
                    target.write_bytes(path.read_bytes())
    record.write(f'exits with {code}')
    record.close()
    return code


def _free_ports(ip: str, count: int) -> list[int]:
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((ip, 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def _resident_mb(pid: int) -> float:
    if not pid:
        return 0.0
    try:
        text = Path(f'/proc/{pid}/statm').read_text()
    except OSError:
        return 0.0
    fields = text.split()
    if len(fields) < 2:
        return 0.0
    return int(fields[1]) * os.sysconf('SC_PAGE_SIZE') / 1_000_000
