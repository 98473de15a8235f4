"""Run features in processes side by side and merge their counts."""

import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from shutil import rmtree

import msgspec

from lacewing_bench.testrun._counts import Counts

# Scenarios mostly wait for conditions; beyond this the processes that they
# start compete for the processor and conditions come late.
AT_ONCE = 4

FeatureRunner = Callable[[Path], Counts]


@dataclass(frozen=True)
class _FeatureFiles:
    """Hold where the process of a feature writes."""

    feature: Path
    counts: Path
    printed: Path


def run_features(
    features: list[Path], run_one: FeatureRunner, at_once: int = AT_ONCE
) -> Counts:
    """Run each feature in a process of its own; print what it printed.

    The processes are forks of this one, so what it has loaded is not loaded
    again. It must have no event loop and no other Python thread. What failed
    is printed last, where it is kept if only the end of the output is.
    """
    passed: list[str] = []
    failed: list[str] = []
    skipped: list[str] = []
    failed_output: list[str] = []
    # Not a TemporaryDirectory: a fork that exits would remove it.
    directory = Path(tempfile.mkdtemp(prefix='testrun-'))
    try:
        for ended in _run_all(features, directory, run_one, at_once):
            counts = _read_counts(ended)
            passed.extend(counts.passed)
            failed.extend(counts.failed)
            skipped.extend(counts.skipped)
            printed = ended.printed.read_text(errors='replace')
            if counts.failed:
                failed_output.append(printed)
                continue
            sys.stdout.write(printed)
            sys.stdout.flush()
    finally:
        rmtree(directory)
    for printed in failed_output:
        sys.stdout.write(printed)
    sys.stdout.flush()
    return Counts(tuple(passed), tuple(failed), tuple(skipped))


def _run_all(
    features: list[Path],
    directory: Path,
    run_one: FeatureRunner,
    at_once: int,
) -> Iterator[_FeatureFiles]:
    """Yield the files of each feature once its process has ended."""
    waiting = list(reversed(features))
    under_way: dict[int, _FeatureFiles] = {}
    try:
        while waiting or under_way:
            while waiting and len(under_way) < at_once:
                files = _files(waiting.pop(), directory)
                under_way[_fork(files, run_one)] = files
            pid, _ = os.wait()
            if pid in under_way:
                yield under_way.pop(pid)
    finally:
        for pid in under_way:
            os.kill(pid, signal.SIGTERM)
        for pid in under_way:
            os.waitpid(pid, 0)


def _files(feature: Path, directory: Path) -> _FeatureFiles:
    return _FeatureFiles(
        feature,
        directory / f'{feature.stem}.json',
        directory / f'{feature.stem}.out',
    )


def _fork(files: _FeatureFiles, run_one: FeatureRunner) -> int:
    """Start the process of a feature; return its id."""
    sys.stdout.flush()
    sys.stderr.flush()
    pid = os.fork()
    if pid:
        return pid
    # The process must not return to the caller's frames.
    try:
        _redirect_output(files.printed)
        counts = run_one(files.feature)
        files.counts.write_bytes(msgspec.json.encode(counts))
    except BaseException:
        traceback.print_exc()
    finally:
        sys.stdout.flush()
        sys.stderr.flush()
        os._exit(0)


def _redirect_output(path: Path) -> None:
    with path.open('wb') as file:
        os.dup2(file.fileno(), sys.stdout.fileno())
        os.dup2(file.fileno(), sys.stderr.fileno())


def _read_counts(files: _FeatureFiles) -> Counts:
    if not files.counts.exists():
        lost = f'{files.feature}: the run ended without counts'
        return Counts((), (lost,), ())
    return msgspec.json.decode(files.counts.read_bytes(), type=Counts)
