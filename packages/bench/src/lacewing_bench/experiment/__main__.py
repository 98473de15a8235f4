"""Try variants side by side: ``python -m lacewing_bench.experiment``."""

import json
from collections.abc import Iterator
from collections.abc import Sequence
from pathlib import Path
from statistics import mean
from statistics import pstdev

import fire
from lacewing_daemon.direct._policy import LoadPolicy
from tabulate import tabulate

from lacewing_bench.experiment._outcome import Figures
from lacewing_bench.experiment._plot import plot_worth
from lacewing_bench.experiment._simulation import Pattern
from lacewing_bench.experiment._simulation import Simulation
from lacewing_bench.experiment._simulation import Variant
from lacewing_bench.experiment._site import Deployment
from lacewing_bench.experiment._site import DEPLOYMENTS
from lacewing_bench.experiment._sweep import changed

# The product as it is, each mechanism off alone, and one router that sees
# all load, which is the limit of what routers could know.
VARIANTS = (
    Variant('as it is'),
    Variant('no refusing', refusing=False),
    Variant('no learning of lateness', learning=False),
    Variant('no learning of speeds', estimating=False),
    Variant('all load at once', LoadPolicy(load_early_part=1.0)),
    Variant('no drain before loads', LoadPolicy(lost_run_ms=0.0)),
    Variant('old weights count full', LoadPolicy(old_weights_ms=0.0)),
    Variant('10 waiting', LoadPolicy(max_waiting=10)),
    Variant('own zone only by cost', LoadPolicy(other_zone_ms=0.0)),
    Variant('one router sees all', routers=1),
)
_FIGURES = tuple(Figures.__dataclass_fields__)


def experiment(
    deployment: str = 'lahore',
    load: float = 1.0,
    seconds: float = 30.0,
    seeds: int = 3,
    named_every_s: float = 3.2,
    crash_every_s: float = 0.0,
    output: str = 'build/experiment',
    sweep: bool = False,
) -> None:
    """Play all variants on the same load; print a table, write JSON, plot.

    With ``sweep`` the product as it is, on other speeds, slots and counts of
    engines in place of variants.

    Args:
        deployment: lahore, moravia or grown.
        load: times the usual rate of requests.
        seconds: virtual seconds of each play.
        seeds: plays of each variant.
        named_every_s: new weights are named this often; 0: never.
        crash_every_s: an engine crashes this often; 0: never.
        output: a folder for ``experiment.json`` and ``experiment.png``.
        sweep: vary the engines.
    """
    site = DEPLOYMENTS[deployment]
    pattern = Pattern(load, seconds, named_every_s, crash_every_s)
    rows = []
    played: dict[str, list[dict[str, float]]] = {}
    for name, row_site, variant in _cases(site, sweep):
        plays = []
        for seed in range(seeds):
            plays.append(Simulation(row_site, pattern, variant, seed).run())
        rows.append(_row(name, plays))
        played[name] = [play.as_dict() for play in plays]
    first = 'engines' if sweep else 'variant'
    print(tabulate(rows, (first, *_FIGURES, 'worth +-'), floatfmt='.3f'))
    folder = Path(output)
    folder.mkdir(parents=True, exist_ok=True)
    (folder / 'experiment.json').write_text(json.dumps(played, indent=1))
    plot_worth(played, f'{deployment}, load {load}', folder / 'experiment.png')


def _cases(
    site: Deployment, sweep: bool
) -> Iterator[tuple[str, Deployment, Variant]]:
    if sweep:
        for one in changed(site):
            yield one.name, one.site, VARIANTS[0]
        return
    for variant in VARIANTS:
        yield variant.name, site, variant


def _row(name: str, plays: Sequence[Figures]) -> tuple[object, ...]:
    means = []
    for figure in _FIGURES:
        means.append(mean(getattr(play, figure) for play in plays))
    return (name, *means, pstdev(play.worth for play in plays))


if __name__ == '__main__':
    fire.Fire(experiment, name='experiment')
