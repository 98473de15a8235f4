"""Print both kinds of errors by rule and load: ``make crash-errors``."""

from collections.abc import Mapping
from dataclasses import fields

from fire import Fire
from tabulate import tabulate

from lacewing_bench.crash_errors._model import Load
from lacewing_bench.crash_errors._model import Outcome
from lacewing_bench.crash_errors._model import play
from lacewing_bench.crash_errors._rules import COUNTED_2
from lacewing_bench.crash_errors._rules import COUNTED_3
from lacewing_bench.crash_errors._rules import EXPLAINED_2
from lacewing_bench.crash_errors._rules import EXPLAINED_4
from lacewing_bench.crash_errors._rules import NO_BLOCKING
from lacewing_bench.crash_errors._rules import Rule
from lacewing_bench.crash_errors._rules import USED

LOADS: Mapping[str, Load] = {
    'one culprit': Load(),
    'one, all resumable': Load(resumable=1.0),
    'one, 22 engines': Load(engines=22, rate=130.0),
    'four culprits': Load(crash_callers=4, resumable=1.0),
    'none, stray crashes': Load(
        crash_callers=0, resumable=1.0, stray_crash_interval_s=1.0
    ),
}
RULES = (NO_BLOCKING, COUNTED_2, COUNTED_3, EXPLAINED_2, USED, EXPLAINED_4)
COUNTS = tuple(one.name for one in fields(Outcome))


def mean(load: Load, rule: Rule, seeds: int) -> tuple[float, ...]:
    """Return the mean of each count over simulations with different seeds."""
    sums = [0.0] * len(COUNTS)
    for seed in range(seeds):
        outcome = play(load, rule, seed)
        for index, name in enumerate(COUNTS):
            sums[index] += getattr(outcome, name)
    return tuple(total / seeds for total in sums)


def main(seeds: int = 40) -> None:
    """Print a table of means over ``seeds`` simulations for each load."""
    for name, load in LOADS.items():
        print(f'\n{name}: means of {seeds} plays of {load.duration_s:g} s')
        rows = []
        for rule in RULES:
            rows.append((rule.name, *mean(load, rule, seeds)))
        print(tabulate(rows, ('rule', *COUNTS), floatfmt='.2f'))


if __name__ == '__main__':
    Fire(main)
