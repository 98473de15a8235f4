"""Measure many rows, a few side by side, each in a process of its own."""

import asyncio
import sys
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

import msgspec

from lacewing_bench.bench._row import Row
from lacewing_bench.bench._row import RowSpec

# Beside the row's own length: to start a fleet on a busy machine, to answer
# what is still open, and to end it.
_ROW_LIMIT_S = 120.0
_ERROR_TAIL = 800


class RowFailed(Exception):
    """Report a row that gave no figures."""


MeasureRow = Callable[[RowSpec], Awaitable[Row]]


class Matrix:
    """Measure rows; one that is rejected is measured once more, alone.

    No row is begun after ``limit_s`` seconds; 0 sets no limit. ``ended`` is
    called with all rows so far whenever there is another, so that a run
    that is cut short leaves what it measured.
    """

    def __init__(
        self,
        jobs: int,
        limit_s: float,
        ended: Callable[[list[Row]], None],
        measure: MeasureRow | None = None,
    ) -> None:
        self._jobs = jobs
        self._limit_s = limit_s
        self._ended = ended
        self._measure = measure or measure_apart
        self._rows: dict[RowSpec, Row] = {}
        self._failures: list[str] = []
        self._specs: Sequence[RowSpec] = ()
        self._due = 0.0

    @property
    def rows(self) -> list[Row]:
        """Return the rows measured so far, in order."""
        return [self._rows[s] for s in self._specs if s in self._rows]

    @property
    def failures(self) -> list[str]:
        """Return what failed, and why."""
        return self._failures

    @property
    def not_run(self) -> list[RowSpec]:
        """Return the rows without figures."""
        return [spec for spec in self._specs if spec not in self._rows]

    async def run(self, specs: Sequence[RowSpec]) -> None:
        """Measure a row for each specification."""
        self._specs = specs
        self._due = asyncio.get_running_loop().time() + self._limit_s
        turns = asyncio.Semaphore(self._jobs)
        await asyncio.gather(*[self._in_turn(s, turns) for s in specs])
        for spec in specs:
            row = self._rows.get(spec)
            if row is not None and row.rejected and self._has_time():
                await self._take(spec)

    async def _in_turn(self, spec: RowSpec, turns: asyncio.Semaphore) -> None:
        async with turns:
            if self._has_time():
                await self._take(spec)

    async def _take(self, spec: RowSpec) -> None:
        try:
            self._rows[spec] = await self._measure(spec)
        except RowFailed as error:
            self._failures.append(str(error))
            return
        self._ended(self.rows)

    def _has_time(self) -> bool:
        if not self._limit_s:
            return True
        return asyncio.get_running_loop().time() < self._due


async def measure_apart(spec: RowSpec) -> Row:
    """Measure a row in a process of its own; raise RowFailed."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'lacewing_bench.bench.row',
        msgspec.json.encode(spec).decode(),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(spec.seconds + _ROW_LIMIT_S):
            output, errors = await process.communicate()
    except TimeoutError as error:
        raise RowFailed(f'{title(spec)}: no end in time') from error
    finally:
        if process.returncode is None:
            # The row ends its fleet on SIGTERM.
            process.terminate()
            await process.wait()
    if process.returncode:
        raise RowFailed(
            f'{title(spec)}: exit code {process.returncode};'
            f' {errors.decode()[-_ERROR_TAIL:]}'
        )
    return msgspec.json.decode(output, type=Row)


def title(spec: RowSpec) -> str:
    """Name a row for the reader."""
    return f'{spec.deployment}, {spec.scenario.value}, {spec.policy.value}'
