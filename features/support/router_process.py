"""Run a direct router as a process that logs to a file."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import msgspec
import psutil
from lacewing_common.log_lines import LogLine
from lacewing_daemon.direct._settings import Bounds
from lacewing_platform_testing import free_ports

_SETTINGS_VARIABLE = 'LACEWINGSTACK_NODE_FILE'
_STARTED_MARKER = b'main: Started.'


class _StartedLine(msgspec.Struct, frozen=True):
    callers: str


def peak_bytes(pid: int) -> int:
    """Return the most memory that a process has had resident."""
    status = Path(f'/proc/{pid}/status').read_text()
    for line in status.splitlines():
        name, _, value = line.partition(':')
        if name == 'VmHWM':
            return int(value.split()[0]) * 1024
    raise AssertionError('expected the peak of memory in the status')


class RouterProcess:
    """Control a router process and read its log."""

    def __init__(
        self,
        directory: Path,
        store: str,
        bounds: Bounds,
        peers: str = '',
        changes: dict[str, object] | None = None,
    ) -> None:
        self.log = directory / 'router.log'
        self.ready_address = f'127.0.0.1:{free_ports()}'
        self._settings = settings = directory / 'router.json'
        settings.write_bytes(
            msgspec.json.encode(
                {
                    'process_id': 'router-1',
                    'availability_zone': 'east',
                    'callers': '127.0.0.1:0',
                    'ready': self.ready_address,
                    'platform': store,
                    'bounds': bounds,
                    'peers': peers,
                    **(changes or {}),
                }
            )
        )
        self._process = self._start()

    @property
    def callers_address(self) -> str:
        """Return the callers' address, '' until it is in the log."""
        for line in self.log.read_bytes().splitlines():
            if _STARTED_MARKER in line:
                return msgspec.json.decode(line, type=_StartedLine).callers
        return ''

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, -n after signal n; None while it runs."""
        return self._process.poll()

    @property
    def pid(self) -> int:
        """Return the id of the process."""
        return self._process.pid

    @property
    def descriptors(self) -> int:
        """Return how many descriptors are open."""
        return psutil.Process(self._process.pid).num_fds()

    @property
    def processor_s(self) -> float:
        """Return the processor time that the process has used."""
        times = psutil.Process(self._process.pid).cpu_times()
        return float(times.user + times.system)

    @property
    def peak_bytes(self) -> int:
        """Return the most memory that the process has had resident."""
        return peak_bytes(self._process.pid)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it still runs."""
        self._process.send_signal(number)

    def write_bounds(self, bounds: Bounds) -> None:
        """Change the bounds in the settings file."""
        settings = msgspec.json.decode(self._settings.read_bytes())
        settings['bounds'] = bounds
        self._settings.write_bytes(msgspec.json.encode(settings))

    def told(self, request_id: str) -> bool:
        """Return whether the log has a line of a request."""
        for line in self.log.read_bytes().splitlines():
            if msgspec.json.decode(line, type=LogLine).request == request_id:
                return True
        return False

    def events(self) -> list[LogLine]:
        """Return the lines of the log so far."""
        found = []
        for line in self.log.read_bytes().splitlines():
            found.append(msgspec.json.decode(line, type=LogLine))
        return found

    def restart(self) -> None:
        """Kill the process and start it again with the same log."""
        self.end()
        self._process = self._start()

    def _start(self) -> subprocess.Popen[bytes]:
        with self.log.open('ab') as log:
            return subprocess.Popen(
                [sys.executable, '-m', 'lacewing_platform'],
                env={**os.environ, _SETTINGS_VARIABLE: str(self._settings)},
                stdout=log,
                stderr=log,
            )

    def stop(self) -> None:
        """Send SIGTERM to the process and wait for its end."""
        self._process.terminate()
        self._process.wait()

    def end(self) -> None:
        """Kill the process."""
        self._process.kill()
        self._process.wait()
