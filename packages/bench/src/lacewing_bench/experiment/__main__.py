"""Compare policy variants: ``python -m lacewing_bench.experiment``."""

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
from lacewing_bench.experiment._sweep import sweep_cases

# The product as is, each mechanism disabled alone, and a single router that
# sees all load, the upper bound of what routers could know.
VARIANTS = (
    Variant('as it is'),
    Variant('no refusing', refuse_late=False),
    Variant('no learning of lateness', learn_lateness=False),
    Variant('no learning of speeds', learn_speed=False),
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
    """Simulate all variants on the same load; print a table, write JSON, plot.

    With ``sweep``, simulate the product as is on other speeds, slots and
    numbers of engines instead of the variants.

    Args:
        deployment: lahore, moravia or grown.
        load: multiple of the usual request rate.
        seconds: virtual seconds of each simulation.
        seeds: simulations of each variant.
        named_every_s: interval between weight releases; 0: never.
        crash_every_s: interval between engine crashes; 0: never.
        output: the directory for ``experiment.json`` and ``experiment.png``.
        sweep: vary the engines instead of the policy.
    """
    site = DEPLOYMENTS[deployment]
    pattern = Pattern(load, seconds, named_every_s, crash_every_s)
    rows = []
    figures_by_case: dict[str, list[dict[str, float]]] = {}
    for name, row_site, variant in _cases(site, sweep):
        results = []
        for seed in range(seeds):
            results.append(Simulation(row_site, pattern, variant, seed).run())
        rows.append(_row(name, results))
        figures_by_case[name] = [result.as_dict() for result in results]
    first = 'engines' if sweep else 'variant'
    print(tabulate(rows, (first, *_FIGURES, 'worth +-'), floatfmt='.3f'))
    folder = Path(output)
    folder.mkdir(parents=True, exist_ok=True)
    (folder / 'experiment.json').write_text(
        json.dumps(figures_by_case, indent=1)
    )
    plot_worth(
        figures_by_case,
        f'{deployment}, load {load}',
        folder / 'experiment.png',
    )


def _cases(
    site: Deployment, sweep: bool
) -> Iterator[tuple[str, Deployment, Variant]]:
    if sweep:
        for case in sweep_cases(site):
            yield case.name, case.site, VARIANTS[0]
        return
    for variant in VARIANTS:
        yield variant.name, site, variant


def _row(name: str, results: Sequence[Figures]) -> tuple[object, ...]:
    means = []
    for figure in _FIGURES:
        means.append(mean(getattr(result, figure) for result in results))
    return (name, *means, pstdev(result.worth for result in results))


if __name__ == '__main__':
    fire.Fire(experiment, name='experiment')
