"""Print expected against observed first events: ``make calibration``."""

import sys
from dataclasses import astuple
from pathlib import Path

from fire import Fire
from tabulate import tabulate

from lacewing_bench.calibration._sends import calibrate
from lacewing_bench.calibration._sends import EXPECTED_MS
from lacewing_bench.calibration._sends import LATE_MS
from lacewing_bench.calibration._sends import MAX_LATE
from lacewing_bench.calibration._sends import MAX_MEAN_MS
from lacewing_bench.calibration._sends import MIN_SENDS
from lacewing_bench.calibration._sends import read_sends

_ENGINE_HEADERS = ('engine', 'sends', 'mean ms', '0.1', '0.5', '0.9', 'target')
_GROUP_HEADERS = ('expected from ms', 'to ms', 'sends', 'observed 0.5', '0.9')


def main(logs: str) -> None:
    """Compare the sends of request logs, files separated by spaces.

    Exits with 1 if a target is missed, and with 2 without sends.
    """
    sends = list(read_sends(Path(name) for name in str(logs).split()))
    if not sends:
        print('no sends with an expected and an observed first event')
        sys.exit(2)
    result = calibrate(sends)
    rows = []
    for engine in result.engines:
        target = 'missed' if engine.misses_target else ''
        rows.append((*astuple(engine), target))
    print('observed minus expected first event, by engine')
    print(tabulate(rows, _ENGINE_HEADERS, floatfmt='.0f'))
    print('\nobserved first event, by what was expected')
    print(tabulate([astuple(row) for row in result.groups], _GROUP_HEADERS))
    print(
        f'\n{result.sends} sends; {result.late:.3f} came after {LATE_MS} ms'
        f' though expected within {EXPECTED_MS} ms (target: {MAX_LATE});'
        f' mean errors under {MAX_MEAN_MS:.0f} ms are wanted for engines with'
        f' {MIN_SENDS} sends'
    )
    if not result.meets_targets:
        sys.exit(1)


if __name__ == '__main__':
    Fire(main)
