"""Measure many rows, a few side by side, each in a process of its own."""

import asyncio
import sys
from collections.abc import Callable
from collections.abc import Sequence

import msgspec

from lacewing_bench.bench._row import Row
from lacewing_bench.bench._row import RowSpec

_ROW_LIMIT_S = 120.0
_ERROR_TAIL = 800


class RowFailed(Exception):
    """Report a row that gave no figures."""


class Matrix:
    """Measure rows; one that is rejected is measured once more, alone."""

    def __init__(self, jobs: int, ended: Callable[[], object]) -> None:
        self._jobs = jobs
        self._ended = ended

    async def measure(self, specs: Sequence[RowSpec]) -> list[Row]:
        """Return a row for each specification, in order."""
        turns = asyncio.Semaphore(self._jobs)
        rows = list(
            await asyncio.gather(*[self._in_turn(s, turns) for s in specs])
        )
        for index, row in enumerate(rows):
            if not row.rejected:
                continue
            rows[index] = await measure_apart(specs[index])
        return rows

    async def _in_turn(self, spec: RowSpec, turns: asyncio.Semaphore) -> Row:
        async with turns:
            row = await measure_apart(spec)
            self._ended()
            return row


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
    except BaseException:
        # The row ends its fleet on SIGTERM.
        process.terminate()
        await process.wait()
        raise
    if process.returncode:
        raise RowFailed(
            f'{spec.deployment}, {spec.scenario.value}, {spec.policy.value}:'
            f' exit code {process.returncode};'
            f' {errors.decode()[-_ERROR_TAIL:]}'
        )
    return msgspec.json.decode(output, type=Row)
