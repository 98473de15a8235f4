"""Run behave on all features: ``python -m lacewing_bench.testrun``."""

import gc
import signal
import sys
from pathlib import Path

from behave.configuration import Configuration
from behave.runner import Runner

from lacewing_bench.testrun._counts import count
from lacewing_bench.testrun._counts import Counts
from lacewing_bench.testrun._known_red import KnownRedError
from lacewing_bench.testrun._known_red import read_known_red
from lacewing_bench.testrun._side_by_side import run_features
from lacewing_bench.testrun._verdict import passes
from lacewing_bench.testrun._verdict import report

_KNOWN_RED = Path('KNOWN-RED.txt')
_FEATURES = Path('features')
_SLOW_TAG = '@slow'
# Features that measure a process run beside nothing else.
_ALONE_TAG = '@alone'
_BEHAVE = [
    '--format=progress3',
    '--no-capture',
    '--no-skipped',
    '--show-timings',
]


def main() -> int:
    """Run the features named as arguments, or all; return the exit code."""
    try:
        known = read_known_red(_KNOWN_RED)
    except KnownRedError as error:
        print(f'testrun: {error}')
        print('0 passed, 1 failed')
        return 1
    # Without this a time limit would end the run before the scenarios under
    # way have ended their processes.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    if len(sys.argv) > 1:
        counts = _run_here(sys.argv[1:])
    else:
        _load_steps()
        features = _all_features()
        beside = [one for one in features if not _runs_alone(one)]
        alone = [one for one in features if _runs_alone(one)]
        counts = run_features(beside, _run_feature)
        counts = counts + run_features(alone, _run_feature, at_once=1)
    for line in report(counts, known):
        print(line)
    return 0 if passes(counts, known) else 1


def _all_features() -> list[Path]:
    """Return all features; those that take longest start first.

    They are the ones with the tag ``@slow``, then the largest.
    """
    found = sorted(_FEATURES.glob('*.feature'))
    return sorted(found, key=_rank, reverse=True)


def _rank(path: Path) -> tuple[bool, int]:
    return path.read_text().startswith(_SLOW_TAG), path.stat().st_size


def _runs_alone(path: Path) -> bool:
    return path.read_text().startswith(_ALONE_TAG)


def _load_steps() -> None:
    """Load the steps of all features, for the processes that run them."""
    runner = Runner(Configuration([*_BEHAVE, str(_FEATURES)]))
    with runner.path_manager:
        runner.setup_paths()
        runner.load_hooks()
        runner.load_step_definitions()
    # Objects that a collection moves would be copied for each process.
    gc.collect()
    gc.freeze()


def _run_feature(feature: Path) -> Counts:
    counts = _run_here([str(feature)], has_steps=True)
    for line in report(counts, ()):
        print(line)
    return counts


def _run_here(arguments: list[str], has_steps: bool = False) -> Counts:
    """Run behave in this process, which may have the steps loaded."""
    runner = Runner(Configuration(_BEHAVE + arguments))
    if has_steps:
        runner.load_step_definitions = _keep_steps
    broken = runner.run()
    counts = count(runner.features)
    if broken and not counts.failed:
        # A hook outside of any scenario failed: no scenario shows it.
        counts = Counts(
            counts.passed, ('behave: a hook or a feature',), counts.skipped
        )
    return counts


def _keep_steps() -> None:
    """Load no steps."""


if __name__ == '__main__':
    sys.exit(main())
