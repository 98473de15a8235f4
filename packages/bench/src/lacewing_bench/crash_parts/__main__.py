"""Print what each rule loses, by load: ``make crash-parts``."""

from collections.abc import Mapping

from fire import Fire
from tabulate import tabulate

from lacewing_bench.crash_parts._load import Load
from lacewing_bench.crash_parts._rules import Rule
from lacewing_bench.crash_parts._rules import RULES
from lacewing_bench.crash_parts._simulation import play

LOADS: Mapping[str, Load] = {
    'one router, 5 upstreams': Load(routers=1),
    '4 routers, 5 upstreams': Load(),
    'the first part': Load(middle=False),
    'as many sound ones': Load(ratio=1.0),
    '50 times as many': Load(ratio=50.0),
    'two such parts': Load(culprits=(('part-bad',), ('part-worse',))),
    'two together': Load(culprits=(('part-bad', 'part-worse'),)),
    'crashes by themselves': Load(culprits=(), stray_crash_s=1.0),
    'and a rare part': Load(rare_s=4.0, stray_crash_s=2.0),
    'rare': Load(rare_s=5.0, duration_s=60.0),
    'killed routers': Load(killed_s=0.5),
    '22 routers, 22 upstreams': Load(routers=22, upstreams=22),
    '330 routers, 890 upstreams': Load(
        routers=330, upstreams=890, duration_s=8.0, ratio=50.0
    ),
}
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
    for name, load in LOADS.items():
        if str(only) not in name:
            continue
        plays = seeds if load.upstreams < 100 else large
        print(f'\n{name}: {plays} plays of {load.duration_s:g} s')
        rows = [measure(load, rule, plays) for rule in RULES]
        print(tabulate(rows, HEADERS, floatfmt='.3f'))


if __name__ == '__main__':
    Fire(main)
