"""Print the errors of expected first events: ``make engine-speeds``."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import replace

from fire import Fire
from tabulate import tabulate

from lacewing_bench.engine_speeds._engine import Slowdown
from lacewing_bench.engine_speeds._outcome import Outcome
from lacewing_bench.engine_speeds._outcome import outcome_of
from lacewing_bench.engine_speeds._routers import EngineRouter
from lacewing_bench.engine_speeds._routers import ModelRouter
from lacewing_bench.engine_speeds._routers import ServiceRouter
from lacewing_bench.engine_speeds._simulation import Load
from lacewing_bench.engine_speeds._simulation import play
from lacewing_bench.engine_speeds._simulation import SpeedChange

LONG = (826, 826, 2890, 9190)
LOADS: Mapping[str, Load] = {
    'screening': Load(),
    'screening, long prompts': Load(lengths=LONG, rate=0.12),
    'slowed for 0.4 s at a time': Load(slowdown=Slowdown(mean_s=0.4)),
    'not slowed': Load(slowdown=Slowdown(part=0.0)),
    'five times slower for 15 s': Load(
        change=SpeedChange(11, 25, 40, 0.2), choices=3
    ),
}
MODELS: Mapping[str, tuple[Callable[[], ModelRouter], float]] = {
    'service': (ServiceRouter, 0.0),
    'engines, alone': (EngineRouter, 0.0),
    'engines, exchange': (EngineRouter, 0.25),
}
HEADERS = (
    'model',
    'median ms',
    '0.9 ms',
    'mean ms, worst engine',
    'late',
    'refused in vain',
)
# Before this, routers learn from the defaults.
WARM_UP_S = 20.0


def measure(
    load: Load, make_router: Callable[[], ModelRouter], seeds: int
) -> Sequence[float]:
    """Return means over simulations with different seeds."""
    outcomes = []
    for seed in range(seeds):
        observations = play(load, make_router, seed)
        settled = [one for one in observations if one.at_s >= WARM_UP_S]
        outcomes.append(outcome_of(settled))
    figures: list[Callable[[Outcome], float]] = [
        lambda one: one.median_ms,
        lambda one: one.tail_ms,
        lambda one: one.worst_mean_ms,
        lambda one: one.late,
        lambda one: one.in_vain,
    ]
    return [sum(get(one) for one in outcomes) / seeds for get in figures]


def main(seeds: int = 3, only: str = '') -> None:
    """Print a table for each load, or for those whose names hold ``only``."""
    for name, load in LOADS.items():
        if str(only) not in name:
            continue
        print(f'\n{name}: {seeds} plays of {load.duration_s:g} s')
        rows = []
        for model, (make_router, message_s) in MODELS.items():
            exchanging = replace(load, message_s=message_s)
            rows.append((model, *measure(exchanging, make_router, seeds)))
        print(tabulate(rows, HEADERS, floatfmt='.3f'))


if __name__ == '__main__':
    Fire(main)
