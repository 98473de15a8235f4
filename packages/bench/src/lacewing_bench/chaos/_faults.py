"""Bring each fault to a fleet and take it back."""

import asyncio
import random
import signal
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from typing import Protocol

from lacewing_common.exits import Exit
from lacewing_common.store import VmState

from lacewing_bench.chaos._bundles import BundleWatch
from lacewing_bench.chaos._kinds import FaultKind
from lacewing_bench.chaos._plan import PlannedFault
from lacewing_bench.fleet import Fleet
from lacewing_bench.fleet import FleetError

_DRAIN_S = 40.0
_HERD_SPREAD_S = 0.5
_LEAVING_S = 5.0
_SAME_ADDRESS_SHARE = 0.7


class Fault(Protocol):
    """Disturb a fleet for a time."""

    async def begin(self, fleet: Fleet) -> None:
        """Bring the fault."""

    async def end(self, fleet: Fleet) -> str:
        """Take it back; return what went wrong meanwhile, '' for nothing."""


@dataclass(frozen=True)
class WorkerSwitches:
    """Set the fault switches of a stand-in worker."""

    worker: str
    switches: Mapping[str, Any]

    async def begin(self, fleet: Fleet) -> None:
        """Set them."""
        await fleet.set_worker_faults(self.worker, self.switches)

    async def end(self, fleet: Fleet) -> str:
        """Clear them."""
        await fleet.set_worker_faults(self.worker, {})
        return ''


@dataclass(frozen=True)
class PlatformSwitches:
    """Set the fault switches of the platform."""

    switches: Mapping[str, Any]

    async def begin(self, fleet: Fleet) -> None:
        """Set them."""
        await fleet.set_platform_faults(self.switches)

    async def end(self, fleet: Fleet) -> str:
        """Clear them."""
        await fleet.set_platform_faults({})
        return ''


@dataclass(frozen=True)
class Freeze:
    """Stop a process, unaware of it, and let it go on."""

    name: str

    async def begin(self, fleet: Fleet) -> None:
        """Stop it."""
        fleet.freeze(self.name)

    async def end(self, fleet: Fleet) -> str:
        """Let it go on."""
        fleet.thaw(self.name)
        return ''


async def start_again(fleet: Fleet, name: str, same_address: bool) -> None:
    """Start a daemon that has ended, with a new address if need be.

    Ports are the system's choice, so that another process may have got one
    while its owner was away.
    """
    if same_address:
        try:
            await fleet.restart(name)
            return
        except FleetError:
            if fleet.process(name).exit_code != Exit.ADDRESS_IN_USE:
                raise
    await fleet.restart(name, same_address=False)


@dataclass(frozen=True)
class Kill:
    """Kill a daemon and start it again, or another in its place."""

    name: str
    same_address: bool

    async def begin(self, fleet: Fleet) -> None:
        """Kill it."""
        await fleet.kill(self.name)

    async def end(self, fleet: Fleet) -> str:
        """Start it."""
        await start_again(fleet, self.name, self.same_address)
        return ''


@dataclass(frozen=True)
class Drain:
    """End a daemon with SIGTERM and start it again, or another."""

    name: str
    same_address: bool

    async def begin(self, fleet: Fleet) -> None:
        """Ask it to end."""
        fleet.process(self.name).send(signal.SIGTERM)

    async def end(self, fleet: Fleet) -> str:
        """Wait for its end, then start it."""
        code = await fleet.process(self.name).ended(_DRAIN_S)
        await start_again(fleet, self.name, self.same_address)
        if code == Exit.OK:
            return ''
        return f'{self.name} drained with exit code {code}, expected 0'


@dataclass(frozen=True)
class Leave:
    """List a VM as leaving, end its agent, bring another in its place."""

    agent: str
    same_address: bool

    async def begin(self, fleet: Fleet) -> None:
        """List it."""
        await fleet.list_vm(self.agent, VmState.LEAVING)

    async def end(self, fleet: Fleet) -> str:
        """Give it time to leave, then end and start it."""
        await asyncio.sleep(_LEAVING_S)
        fleet.process(self.agent).send(signal.SIGTERM)
        return await Drain(self.agent, self.same_address).end(fleet)


@dataclass(frozen=True)
class Herd:
    """Kill all routers at once and start them nearly at once."""

    seed: int

    async def begin(self, fleet: Fleet) -> None:
        """Kill them."""
        await asyncio.gather(*[fleet.kill(n) for n in fleet.router_names])

    async def end(self, fleet: Fleet) -> str:
        """Start them."""
        spread = random.Random(self.seed)
        waits = [spread.uniform(0, _HERD_SPREAD_S) for _ in fleet.router_names]

        async def start(name: str, wait_s: float) -> None:
            await asyncio.sleep(wait_s)
            await start_again(fleet, name, same_address=True)

        await asyncio.gather(*map(start, fleet.router_names, waits))
        return ''


@dataclass(frozen=True)
class Roll:
    """Roll another bundle, as operators do at any time."""

    seed: int
    bundles: BundleWatch

    async def begin(self, fleet: Fleet) -> None:
        """Give a team another share; an outage may refuse the roll."""
        await self.bundles.roll(random.Random(self.seed).uniform(1.0, 9.0))

    async def end(self, fleet: Fleet) -> str:
        """Do nothing: a roll is never taken back."""
        return ''


@dataclass(frozen=True)
class Shift:
    """Stand for a shift of hot prefixes, which the traffic makes itself."""

    async def begin(self, fleet: Fleet) -> None:
        """Do nothing."""

    async def end(self, fleet: Fleet) -> str:
        """Do nothing."""
        return ''


def make_fault(planned: PlannedFault, bundles: BundleWatch) -> Fault:
    """Return the fault that was planned."""
    target, kind = planned.target, planned.kind
    switches = _worker_switches(planned)
    if switches is not None:
        return WorkerSwitches(target, switches)
    switches = _platform_switches(planned)
    if switches is not None:
        return PlatformSwitches(switches)
    same_address = random.Random(planned.seed).random() < _SAME_ADDRESS_SHARE
    if kind in (FaultKind.AGENT_KILL, FaultKind.ROUTER_KILL):
        return Kill(target, same_address)
    if kind in (FaultKind.AGENT_TERM, FaultKind.ROUTER_DRAIN):
        return Drain(target, same_address)
    if kind is FaultKind.AGENT_FREEZE:
        return Freeze(target)
    if kind is FaultKind.VM_LEAVING:
        return Leave(target, same_address)
    if kind is FaultKind.ROUTER_HERD:
        return Herd(planned.seed)
    if kind is FaultKind.BUNDLE_ROLL:
        return Roll(planned.seed, bundles)
    return Shift()


def _worker_switches(planned: PlannedFault) -> Mapping[str, Any] | None:
    drawn = random.Random(planned.seed)
    few = drawn.randint(1, 4)
    delay_s = drawn.uniform(0.2, 3.0)
    refuse_s = drawn.choice((0.0, min(planned.lasts_s / 2, 3.0)))
    crash = {'crash': {'refuse_s': refuse_s}}
    pause = {'pause_s': planned.lasts_s}
    late = {'late': {'delay_s': delay_s, 'requests': few}}
    share = {'share': drawn.uniform(0.1, 1.0), 'seed': planned.seed}
    cut = {'after_tokens': drawn.randint(1, 20), 'requests': few}
    crossed = {'requests': 2 * few, 'hold_s': 2.0}
    known: dict[FaultKind, Mapping[str, Any]] = {
        FaultKind.ENGINE_CRASH: crash,
        FaultKind.PLAIN_CRASH: crash,
        FaultKind.ENGINE_PAUSE: pause,
        FaultKind.PLAIN_PAUSE: pause,
        FaultKind.ANSWERS_LATE: late,
        FaultKind.PLAIN_LATE: late,
        FaultKind.ENGINE_SLOW: {'slow': drawn.uniform(2.0, 8.0)},
        FaultKind.EVENTS_LOST: {'lose_events': share},
        FaultKind.EVENTS_DELAYED: {'delay_events_s': delay_s},
        FaultKind.STREAMS_CUT: {'cut': cut},
        FaultKind.ANSWERS_CROSSED: {
            'crossed': {**crossed, 'headers': drawn.random() < 0.5}
        },
        # A plain answer carries no id but the header's.
        FaultKind.PLAIN_CROSSED: {'crossed': {**crossed, 'headers': True}},
        FaultKind.LOAD_LATE: {'load_lag_ms': drawn.uniform(500, 5000)},
    }
    return known.get(planned.kind)


def _platform_switches(planned: PlannedFault) -> Mapping[str, Any] | None:
    drawn = random.Random(planned.seed)
    slow_s = drawn.uniform(0.2, 2.5)
    share = drawn.uniform(0.2, 1.0)
    known: dict[FaultKind, Mapping[str, Any]] = {
        FaultKind.PLATFORM_DOWN: {'down': 'refuse'},
        FaultKind.PLATFORM_DROPS: {'down': 'drop'},
        FaultKind.PLATFORM_SLOW: {'slow_s': slow_s},
        FaultKind.PLATFORM_LOSES: {'lose_share': share, 'seed': planned.seed},
    }
    return known.get(planned.kind)
