"""Plan which faults come when, the same for the same seed."""

import random
from dataclasses import dataclass

from lacewing_bench.chaos._kinds import FaultKind
from lacewing_bench.chaos._kinds import OF_AGENT
from lacewing_bench.chaos._kinds import OF_ENGINE
from lacewing_bench.chaos._kinds import OF_PLAIN
from lacewing_bench.chaos._kinds import OF_PLATFORM
from lacewing_bench.chaos._kinds import OF_ROUTER

PLATFORM = 'platform'
ROUTERS = 'routers'
TRAFFIC = 'traffic'
OPERATORS = 'operators'
_QUIET_START_S = 3.0
_QUIET_END_S = 12.0
_REST_S = 2.0
_PAIR_SHARE = 0.45
_PAIR_SPREAD_S = 0.3
_SHORTEST_S = 0.3
_LONGEST_S = 6.0
_LEAST_GAP_S = 0.6
_MOST_GAP_S = 2.4
_DRAWS = 20


@dataclass(frozen=True)
class Targets:
    """Name what faults may hit."""

    engines: tuple[str, ...]
    plains: tuple[str, ...]
    agents: tuple[str, ...]
    routers: tuple[str, ...]


@dataclass(frozen=True)
class PlannedFault:
    """Hold a fault; times in seconds from the start of the run."""

    at_s: float
    lasts_s: float
    kind: FaultKind
    target: str
    seed: int


class Planner:
    """Draw single faults and pairs at once, one for a target at a time."""

    def __init__(self, targets: Targets, seed: int) -> None:
        self._targets = targets
        self._random = random.Random(seed)
        self._busy_until: dict[str, float] = {}

    def plan(self, seconds: float) -> tuple[PlannedFault, ...]:
        """Return all faults, each over before the last quiet seconds."""
        planned: list[PlannedFault] = []
        at_s = _QUIET_START_S
        while at_s < seconds - _QUIET_END_S:
            number = 1
            if self._random.random() < _PAIR_SHARE:
                number = 2
            for _ in range(number):
                begin_s = at_s + self._random.uniform(0, _PAIR_SPREAD_S)
                fault = self._draw(begin_s)
                if fault is not None:
                    planned.append(fault)
            at_s += self._random.uniform(_LEAST_GAP_S, _MOST_GAP_S)
        return tuple(sorted(planned, key=lambda fault: fault.at_s))

    def _draw(self, at_s: float) -> PlannedFault | None:
        for _ in range(_DRAWS):
            kind = self._random.choice(tuple(FaultKind))
            target = self._target(kind)
            lasts_s = self._random.uniform(_SHORTEST_S, _LONGEST_S)
            if self._busy_until.get(target, 0.0) > at_s:
                continue
            if target == ROUTERS and self._routers_busy(at_s):
                continue
            self._reserve(target, at_s + lasts_s + _REST_S)
            number = self._random.randrange(1 << 30)
            return PlannedFault(at_s, lasts_s, kind, target, number)
        return None

    def _target(self, kind: FaultKind) -> str:
        targets = self._targets
        if kind in OF_ENGINE:
            return self._random.choice(targets.engines)
        if kind in OF_PLAIN:
            return self._random.choice(targets.plains)
        if kind in OF_AGENT:
            return self._random.choice(targets.agents)
        if kind in OF_ROUTER:
            return self._random.choice(targets.routers)
        if kind in OF_PLATFORM:
            return PLATFORM
        if kind is FaultKind.ROUTER_HERD:
            return ROUTERS
        if kind is FaultKind.BUNDLE_ROLL:
            return OPERATORS
        return TRAFFIC

    def _routers_busy(self, at_s: float) -> bool:
        for router in self._targets.routers:
            if self._busy_until.get(router, 0.0) > at_s:
                return True
        return False

    def _reserve(self, target: str, until_s: float) -> None:
        self._busy_until[target] = until_s
        if target != ROUTERS:
            return
        for router in self._targets.routers:
            self._busy_until[router] = until_s
