"""Start the project's routers as the deploy file does."""

import asyncio
import json
import os
import random
import signal
import socket
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
READY_TIMEOUT_S = 20.0
BOUNDS = {
    'drain_s': 8,
    'revoke_s': 5.0,
    'lease_s': 3.0,
    'weights_s': 8.0,
    'repeat_ratio': 0.2,
    'repeat_slack': 54,
    'repeat_window_s': 10,
}
CONTRACTS = (
    'base drain config cost retry recover kvcache stream engine tenants'
    ' platform'
)


def loopback_address() -> str:
    """Return a loopback address that no other run is likely to use."""
    draw = random.SystemRandom()
    numbers = [str(draw.randrange(1, 255)) for _ in range(3)]
    return '.'.join(('127', *numbers))


def free_port(host: str) -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


class Router:
    """Run one router process."""

    def __init__(self, name: str, host: str, store: str, folder: Path) -> None:
        self.name = name
        self.host = host
        self.port = free_port(host)
        self._ready_port = free_port(host)
        self._path = folder / f'{name}.json'
        self._log = folder / f'{name}.log'
        settings = {
            'process_id': name,
            'availability_zone': 'gulberg',
            'callers': f'{host}:{self.port}',
            'ready': f'{host}:{self._ready_port}',
            'peers': f'{host}:{free_port(host)}',
            'metrics': f'{host}:{free_port(host)}',
            'platform': store,
            'contracts': CONTRACTS.split(),
            'first_start': True,
            'bounds': BOUNDS,
        }
        self._path.write_text(json.dumps(settings))
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        environment = {
            'LACEWINGSTACK_NODE_FILE': str(self._path),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
        }
        for name in ('PATH', 'HOME', 'LANG'):
            if name in os.environ:
                environment[name] = os.environ[name]
        with self._log.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                'python3',
                '-m',
                'lacewing_platform',
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._is_ready():
                await asyncio.sleep(0.1)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self._ready_port
            )
            writer.write(b'GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n')
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b' 200 ' in line

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    async def stop(self) -> None:
        """Kill the process if it still runs."""
        process = self._process
        if process is None or process.returncode is not None:
            return
        process.kill()
        await process.wait()
