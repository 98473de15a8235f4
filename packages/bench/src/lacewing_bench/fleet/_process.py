"""Control one process of the fleet by its id."""

import asyncio
import ctypes
import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec
from lacewing_common.exits import SIGNAL_BASE

_POLL_S = 0.02
_START_S = 30.0
_STOP_S = 10.0
_SET_PARENT_DEATH_SIGNAL = 1
_LOG_TAIL_BYTES = 2000
_LIBC = ctypes.CDLL(None)


class FleetError(Exception):
    """Report a process that did not start or stop as it should."""


class Line(msgspec.Struct, frozen=True):
    """Hold what the launcher reads of a line that a process prints."""

    event: str = ''
    name: str = ''
    address: str = ''
    peers: str = ''
    callers: str = ''
    operators: str = ''


def _die_with_parent() -> None:
    """Have the kernel end the child when the launcher is killed.

    A launcher ended by SIGKILL closes nothing, and its children would go
    on loading the machine; one would notice them only in a list of
    processes.
    """
    _LIBC.prctl(_SET_PARENT_DEATH_SIGNAL, signal.SIGKILL)


class FleetProcess:
    """Run one Python module; its output goes to a file."""

    def __init__(
        self, name: str, module: str, arguments: Sequence[str], directory: Path
    ) -> None:
        self._name = name
        self._command = [sys.executable, '-m', module, *arguments]
        self._log_path = directory / f'{name}.log'
        self._read_from = 0
        self._child: subprocess.Popen[bytes] | None = None

    @property
    def name(self) -> str:
        """Return the name of the process in the fleet."""
        return self._name

    @property
    def pid(self) -> int:
        """Return the process id; raise FleetError before the start."""
        return self._running().pid

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, 128 + n after signal n; None: it runs."""
        code = self._running().poll()
        if code is not None and code < 0:
            return SIGNAL_BASE - code
        return code

    def start(self) -> None:
        """Start the process; its output is appended to the log."""
        with self._log_path.open('ab') as log:
            self._read_from = log.tell()
            self._child = subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                preexec_fn=_die_with_parent,
            )

    async def lines(self, event: str, count: int = 1) -> tuple[Line, ...]:
        """Wait for so many lines of one event since the last start."""
        deadline = asyncio.get_running_loop().time() + _START_S
        while True:
            found = self._lines_now(event)
            if len(found) >= count:
                return tuple(found)
            self._check_alive(event)
            if asyncio.get_running_loop().time() > deadline:
                raise FleetError(
                    f'{self._name}: expected {count} lines {event!r} within'
                    f' {_START_S} s, got {len(found)}; {self._log_tail()}'
                )
            await asyncio.sleep(_POLL_S)

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        child = self._running()
        if child.poll() is None:
            child.send_signal(number)

    async def ended(self, within_s: float = _STOP_S) -> int:
        """Wait for the end; return the exit code or raise FleetError."""
        deadline = asyncio.get_running_loop().time() + within_s
        while True:
            code = self.exit_code
            if code is not None:
                return code
            if asyncio.get_running_loop().time() > deadline:
                raise FleetError(
                    f'{self._name}: expected its end within {within_s} s;'
                    f' {self._log_tail()}'
                )
            await asyncio.sleep(_POLL_S)

    async def close(self, within_s: float) -> None:
        """End the process: SIGTERM, then SIGKILL."""
        if self._child is None:
            return
        # A stopped process would not see SIGTERM.
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            await self.ended(within_s)
        except FleetError:
            self.send(signal.SIGKILL)
            await self.ended()

    def kill_now(self) -> None:
        """End the process without waiting for anything."""
        if self._child is None:
            return
        self.send(signal.SIGKILL)
        self._child.wait()

    def output(self) -> str:
        """Return all that the process printed, over all starts."""
        return self._log_path.read_text(errors='replace')

    def _running(self) -> subprocess.Popen[bytes]:
        if self._child is None:
            raise FleetError(f'{self._name}: expected a start before')
        return self._child

    def _lines_now(self, event: str) -> list[Line]:
        with self._log_path.open('rb') as log:
            log.seek(self._read_from)
            text = log.read()
        found: list[Line] = []
        for raw in text.splitlines(keepends=True):
            if not raw.endswith(b'\n'):
                continue
            line = _parse(raw)
            if line.event == event:
                found.append(line)
        return found

    def _check_alive(self, event: str) -> None:
        code = self.exit_code
        if code is None:
            return
        raise FleetError(
            f'{self._name}: expected {event!r}, ended with code {code};'
            f' {self._log_tail()}'
        )

    def _log_tail(self) -> str:
        tail = self.output()[-_LOG_TAIL_BYTES:]
        return f'the end of its output:\n{tail}'


def _parse(raw: bytes) -> Line:
    try:
        return msgspec.json.decode(raw, type=Line)
    except msgspec.DecodeError:
        # Not a line of the log, for example a traceback.
        return Line()
