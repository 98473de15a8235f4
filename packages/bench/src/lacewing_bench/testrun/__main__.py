"""Run behave on all features: ``python -m lacewing_bench.testrun``."""

import signal
import sys
from pathlib import Path

from behave.configuration import Configuration
from behave.runner import Runner

from lacewing_bench.testrun._counts import count
from lacewing_bench.testrun._counts import Counts
from lacewing_bench.testrun._known_red import KnownRedError
from lacewing_bench.testrun._known_red import read_known_red
from lacewing_bench.testrun._verdict import passes
from lacewing_bench.testrun._verdict import report

_KNOWN_RED = Path('KNOWN-RED.txt')
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
    # Without this a time limit would end the run before the scenario under
    # way has ended its processes.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    runner = Runner(Configuration(_BEHAVE + sys.argv[1:]))
    broken = runner.run()
    counts = count(runner.features)
    if broken and not counts.failed:
        # A hook outside of any scenario failed: no scenario shows it.
        counts = Counts(
            counts.passed, ('behave: a hook or a feature',), counts.skipped
        )
    for line in report(counts, known):
        print(line)
    return 0 if passes(counts, known) else 1


if __name__ == '__main__':
    sys.exit(main())
