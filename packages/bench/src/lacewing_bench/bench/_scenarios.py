"""Bring the faults that policies are compared under."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from lacewing_bench.fleet import Fleet
from lacewing_bench.load._run import Disturb

_LOST_SHARE = 0.1
_LATE_LOAD_MS = 2000
_REFUSE_S = 1.0


class Scenario(Enum):
    """Name what happens during a row."""

    STEADY = 'steady'
    SHIFT = 'shift'
    CRASH = 'crash'
    LOST_EVENTS = 'lost-events'
    LATE_LOAD = 'late-load'
    HERD = 'herd'


@dataclass(frozen=True)
class Timing:
    """Hold a row's lengths: all of it, and its warm-up."""

    seconds: float
    warm_s: float

    @property
    def middle_s(self) -> float:
        """Return when a sudden fault comes, from the row's start."""
        return self.warm_s + (self.seconds - self.warm_s) / 3


def shift_at_s(scenario: Scenario, timing: Timing) -> float | None:
    """Return when the hot prefixes shift; None when they don't."""
    return timing.middle_s if scenario is Scenario.SHIFT else None


def disturbance(scenario: Scenario, timing: Timing) -> Disturb | None:
    """Return what to start after the warm-up; None for nothing."""
    wait_s = timing.middle_s - timing.warm_s

    async def crash(fleet: Fleet) -> None:
        await asyncio.sleep(wait_s)
        worker = f'{fleet.deployment.model_service}-1'
        await fleet.set_worker_faults(
            worker, {'crash': {'refuse_s': _REFUSE_S}}
        )

    async def herd(fleet: Fleet) -> None:
        await asyncio.sleep(wait_s)
        # One router stays, for the balancer needs somewhere to send callers
        # to; it follows as soon as the others are back.
        first, *others = fleet.router_names
        await asyncio.gather(*[_restart(fleet, name) for name in others])
        await _restart(fleet, first)

    if scenario is Scenario.CRASH:
        return crash
    if scenario is Scenario.HERD:
        return herd
    return None


async def prepare(scenario: Scenario, fleet: Fleet) -> None:
    """Set the faults that last for the whole row."""
    faults: Mapping[str, Any] = {}
    if scenario is Scenario.LOST_EVENTS:
        faults = {'lose_events': {'share': _LOST_SHARE, 'seed': 1}}
    if scenario is Scenario.LATE_LOAD:
        faults = {'load_lag_ms': _LATE_LOAD_MS}
    if not faults:
        return
    prefix = f'{fleet.deployment.model_service}-'
    for name in fleet.worker_urls:
        if name.startswith(prefix):
            await fleet.set_worker_faults(name, faults)


async def _restart(fleet: Fleet, name: str) -> None:
    await fleet.terminate(name)
    await fleet.restart(name)
    await fleet.until_ready(name)
