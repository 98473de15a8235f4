"""Run features in processes side by side and merge their counts."""

import asyncio
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

import msgspec

from lacewing_bench.testrun._counts import Counts

# Scenarios mostly wait for conditions; beyond this the processes that they
# start compete for the processor and conditions come late.
AT_ONCE = 4
COUNTS_OPTION = '--counts='


@dataclass(frozen=True)
class _FeatureRun:
    """Hold the counts of one feature and what its run printed."""

    counts: Counts
    printed: str


def write_counts(path: Path, counts: Counts) -> None:
    """Write counts for the process that merges them."""
    path.write_bytes(msgspec.json.encode(counts))


def run_features(features: list[Path]) -> Counts:
    """Run each feature in a process of its own; print what it printed.

    What failed comes last, where it is kept if only the end of the output is.
    """
    runs = asyncio.run(_run_all(features))
    passed: list[str] = []
    failed: list[str] = []
    skipped: list[str] = []
    for run in runs:
        passed.extend(run.counts.passed)
        failed.extend(run.counts.failed)
        skipped.extend(run.counts.skipped)
        if run.counts.failed:
            sys.stdout.write(run.printed)
    sys.stdout.flush()
    return Counts(tuple(passed), tuple(failed), tuple(skipped))


async def _run_all(features: list[Path]) -> list[_FeatureRun]:
    slots = asyncio.Semaphore(AT_ONCE)
    with tempfile.TemporaryDirectory() as directory:
        return await asyncio.gather(
            *(_run_one(one, Path(directory), slots) for one in features)
        )


async def _run_one(
    feature: Path, directory: Path, slots: asyncio.Semaphore
) -> _FeatureRun:
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
    if path.exists():
        counts = msgspec.json.decode(path.read_bytes(), type=Counts)
    else:
        counts = Counts((), (f'{feature}: the run ended without counts',), ())
    run = _FeatureRun(counts, printed.decode(errors='replace'))
    if not counts.failed:
        sys.stdout.write(run.printed)
        sys.stdout.flush()
    return run
