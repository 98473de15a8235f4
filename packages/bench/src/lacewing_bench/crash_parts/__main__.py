"""Print what each rule loses, by load: ``make crash-parts``."""

from fire import Fire
from tabulate import tabulate

from lacewing_bench.crash_parts._load import Load
from lacewing_bench.crash_parts._loads import LOADS
from lacewing_bench.crash_parts._loads import WAVE_LOADS
from lacewing_bench.crash_parts._rules import MOMENT_RULES
from lacewing_bench.crash_parts._rules import Rule
from lacewing_bench.crash_parts._rules import RULES
from lacewing_bench.crash_parts._simulation import play

HEADERS = ('rule', 'lost', 'most', 'sends', 'begun', 'blocked', 'broken')


def measure(load: Load, rule: Rule, seeds: int) -> tuple[float | str, ...]:
    """Return means and maxima over simulations with different seeds."""
    outcomes = [play(load, rule, seed) for seed in range(seeds)]
    sound = sum(one.sound for one in outcomes)
    return (
        rule.name,
        sum(one.lost for one in outcomes) / seeds,
        max(one.lost for one in outcomes),
        max(one.sends for one in outcomes),
        sum(one.begun for one in outcomes) / max(1, sound),
        sum(len(one.blocked) for one in outcomes) / seeds,
        sum(one.broken for one in outcomes) / seeds,
    )


def main(seeds: int = 20, only: str = '', large: int = 3) -> None:
    """Print a table for each load, or for those whose names hold ``only``."""
    for name, load in {**LOADS, **WAVE_LOADS}.items():
        if str(only) not in name:
            continue
        plays = seeds if load.upstreams < 100 else large
        print(f'\n{name}: {plays} plays of {load.duration_s:g} s')
        rules = MOMENT_RULES if name in WAVE_LOADS else RULES
        rows = [measure(load, rule, plays) for rule in rules]
        print(tabulate(rows, HEADERS, floatfmt='.3f'))


if __name__ == '__main__':
    Fire(main)
