"""Print how requests fare under each rule: ``make queueing``."""

from collections.abc import Mapping
from dataclasses import replace

from fire import Fire
from tabulate import tabulate

from lacewing_bench.queueing._load import BURST
from lacewing_bench.queueing._load import FLOOD
from lacewing_bench.queueing._load import Load
from lacewing_bench.queueing._load import STARVING
from lacewing_bench.queueing._simulation import Outcome
from lacewing_bench.queueing._simulation import play
from lacewing_bench.queueing._simulation import Rule

LOADS: Mapping[str, Load] = {
    'burst': BURST,
    'burst, 22 routers': replace(BURST, routers=22, age_s=0.2),
    'flood': FLOOD,
    'flood, 22 routers': replace(FLOOD, routers=22, age_s=0.2),
    'starving': STARVING,
}
HEADERS = ('rule', 'kind', 'in time', 'served', 'refused', 'others in time')


def rows(load: Load, rule: Rule, seeds: int) -> list[tuple[str | float, ...]]:
    """Return means of the shares by kind; others: teams without flood."""
    plays = [play(load, rule, seed) for seed in range(seeds)]
    usual = frozenset(
        f'team-{number}' for number in range(load.flooding, load.teams)
    )

    def mean(shares: list[float]) -> float:
        return sum(shares) / len(shares)

    found: list[tuple[str | float, ...]] = []
    for kind in load.kinds:
        name = kind.name
        shares = [_shares(one, name, usual) for one in plays]
        columns = [mean(list(column)) for column in zip(*shares, strict=True)]
        found.append((rule.value, name, *columns))
    return found


def _shares(
    outcome: Outcome, name: str, usual: frozenset[str]
) -> tuple[float, ...]:
    return (
        outcome.share(name, lambda job: job.in_time),
        outcome.share(name, lambda job: job.served),
        outcome.share(name, lambda job: job.refused_s >= 0),
        outcome.share(name, lambda job: job.in_time, usual),
    )


def main(seeds: int = 5, only: str = '') -> None:
    """Print a table for each load, or for those whose names hold ``only``."""
    for name, load in LOADS.items():
        if str(only) not in name:
            continue
        print(f'\n{name}: {seeds} plays, {load.engines} engines')
        table = []
        for rule in Rule:
            table += rows(load, rule, seeds)
        print(tabulate(table, HEADERS, floatfmt='.3f'))


if __name__ == '__main__':
    Fire(main)
