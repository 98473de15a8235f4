"""Vary a deployment's engines to find limits that suit only one size."""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace

from lacewing_bench.experiment._site import Deployment

# Multiples of the deployment's own values, a third to three times.
FACTORS = (0.33, 0.5, 1.0, 2.0, 3.0)


@dataclass(frozen=True)
class SweepCase:
    """Hold a deployment with one changed value, and its name in a table."""

    name: str
    site: Deployment


def sweep_cases(site: Deployment) -> Iterator[SweepCase]:
    """Yield variations of the speed, slots and number of engines."""
    for factor in FACTORS:
        yield SweepCase(f'speed x{factor:g}', with_speed(site, factor))
    for factor in FACTORS:
        yield SweepCase(f'slots x{factor:g}', with_slots(site, factor))
    for factor in FACTORS:
        yield SweepCase(f'count x{factor:g}', with_count(site, factor))


def with_speed(site: Deployment, factor: float) -> Deployment:
    """Scale the engines' prefill and step speed and the load by a factor.

    Latency targets and allowed pauses grow with slower engines, as their
    operators allow for longer times. Faster engines alone don't make anybody
    ask for shorter ones.
    """
    time_factor = max(1.0, 1.0 / factor)
    kinds = []
    for kind in site.kinds:
        kinds.append(
            replace(
                kind,
                rate=kind.rate * factor,
                target_ms=kind.target_ms * time_factor,
                max_event_gap_ms=kind.max_event_gap_ms * time_factor,
            )
        )
    engine = replace(
        site.engine,
        step_ms=site.engine.step_ms / factor,
        step_ms_per_run=site.engine.step_ms_per_run / factor,
        step_ms_per_kilotoken=site.engine.step_ms_per_kilotoken / factor,
        prefill_tokens_per_ms=site.engine.prefill_tokens_per_ms * factor,
    )
    return replace(site, engine=engine, kinds=tuple(kinds))


def with_slots(site: Deployment, factor: float) -> Deployment:
    """Scale the slots of each engine; its memory stays the same."""
    slots = max(1, round(site.engine.slots * factor))
    return replace(site, engine=replace(site.engine, slots=slots))


def with_count(site: Deployment, factor: float) -> Deployment:
    """Scale the number of engines; the load per engine stays the same."""
    count = max(2, round(site.engines * factor))
    kinds = []
    for kind in site.kinds:
        kinds.append(replace(kind, rate=kind.rate * count / site.engines))
    return replace(site, engines=count, kinds=tuple(kinds))
