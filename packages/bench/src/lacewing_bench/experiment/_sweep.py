"""Vary the engines of a deployment, so that limits of one size show."""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace

from lacewing_bench.experiment._site import Deployment

# Times what the deployment has; a third to three times.
FACTORS = (0.33, 0.5, 1.0, 2.0, 3.0)


@dataclass(frozen=True)
class Changed:
    """Hold a deployment with one thing changed, and its name in a table."""

    name: str
    site: Deployment


def changed(site: Deployment) -> Iterator[Changed]:
    """Yield the deployment with other speeds, slots and counts of engines."""
    for factor in FACTORS:
        yield Changed(f'speed x{factor:g}', with_speed(site, factor))
    for factor in FACTORS:
        yield Changed(f'slots x{factor:g}', with_slots(site, factor))
    for factor in FACTORS:
        yield Changed(f'count x{factor:g}', with_count(site, factor))


def with_speed(site: Deployment, factor: float) -> Deployment:
    """Let engines read and step so many times as fast, under as much load.

    Whoever runs slower engines allows for longer times; faster ones alone
    make nobody ask for shorter ones.
    """
    longer = max(1.0, 1.0 / factor)
    kinds = []
    for kind in site.kinds:
        kinds.append(
            replace(
                kind,
                rate=kind.rate * factor,
                target_ms=kind.target_ms * longer,
                pause_ms=kind.pause_ms * longer,
            )
        )
    engine = replace(
        site.engine,
        step_ms=site.engine.step_ms / factor,
        step_ms_a_run=site.engine.step_ms_a_run / factor,
        step_ms_a_kilotoken=site.engine.step_ms_a_kilotoken / factor,
        prefill_tokens_per_ms=site.engine.prefill_tokens_per_ms * factor,
    )
    return replace(site, engine=engine, kinds=tuple(kinds))


def with_slots(site: Deployment, factor: float) -> Deployment:
    """Let engines run so many times as many requests, in as much memory."""
    slots = max(1, round(site.engine.slots * factor))
    return replace(site, engine=replace(site.engine, slots=slots))


def with_count(site: Deployment, factor: float) -> Deployment:
    """Have so many times as many engines, each under the same load."""
    count = max(2, round(site.engines * factor))
    kinds = []
    for kind in site.kinds:
        kinds.append(replace(kind, rate=kind.rate * count / site.engines))
    return replace(site, engines=count, kinds=tuple(kinds))
