"""Run features in processes side by side and merge their counts."""

import asyncio
import sys
import tempfile
from pathlib import Path

import msgspec

from lacewing_bench.testrun._counts import Counts

# Scenarios mostly wait for conditions; beyond this the processes that they
# start compete for the processor and conditions come late.
AT_ONCE = 4
COUNTS_OPTION = '--counts='


def write_counts(path: Path, counts: Counts) -> None:
    """Write counts for the process that merges them."""
    path.write_bytes(msgspec.json.encode(counts))


def run_features(features: list[Path]) -> Counts:
    """Run each feature in a process of its own; print what it printed."""
    return asyncio.run(_run_all(features))


async def _run_all(features: list[Path]) -> Counts:
    slots = asyncio.Semaphore(AT_ONCE)
    with tempfile.TemporaryDirectory() as directory:
        found = await asyncio.gather(
            *(_run_one(one, Path(directory), slots) for one in features)
        )
    passed: list[str] = []
    failed: list[str] = []
    skipped: list[str] = []
    for counts in found:
        passed.extend(counts.passed)
        failed.extend(counts.failed)
        skipped.extend(counts.skipped)
    return Counts(tuple(passed), tuple(failed), tuple(skipped))


async def _run_one(
    feature: Path, directory: Path, slots: asyncio.Semaphore
) -> Counts:
    path = directory / f'{feature.stem}.json'
    async with slots:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'lacewing_bench.testrun',
            f'{COUNTS_OPTION}{path}',
            str(feature),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        try:
            printed, _ = await process.communicate()
        except asyncio.CancelledError:
            process.terminate()
            await process.wait()
            raise
    sys.stdout.write(printed.decode(errors='replace'))
    sys.stdout.flush()
    if not path.exists():
        return Counts((), (f'{feature}: the run ended without counts',), ())
    return msgspec.json.decode(path.read_bytes(), type=Counts)
