"""Roll bundles on a fleet of real processes and count what it took."""

import asyncio
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec
import psutil
from lacewing_common.bundle import Bundle
from lacewing_common.settings import PeerSettings
from lacewing_common.store import VmState
from msgspec.structs import replace

from lacewing_bench.fleet import Fleet
from lacewing_bench.fleet import FleetOptions
from lacewing_bench.fleet import MORAVIA
from lacewing_bench.fleet._bundle import make_bundle
from lacewing_bench.rollout._times import percentile
from lacewing_bench.rollout._times import Spread
from lacewing_bench.rollout._times import wait_in_force
from lacewing_bench.rollout._times import wait_noted

_PATIENCE_S = 30.0
_SETTLE_S = 8.0
_IDLE_S = 15.0
_MODEL_WORKERS = 2
_MB = 1e6
# What the platform does in each phase; ``down`` only once the roll has been
# accepted, until it is in force.
SLOW: Mapping[str, Any] = {'slow_s': 1.0}
DOWN: Mapping[str, Any] = {'down': 'refuse'}


@dataclass(frozen=True)
class Phase:
    """Hold the rolls of one condition of the platform.

    ``reads_per_roll`` counts the fleet's reads of objects, watches among
    them, from just before the roll until it is in force everywhere.
    """

    name: str
    rolls: int
    spread: Spread
    reads_per_roll: float

    def row(self) -> list[str]:
        """Return the figures for a table."""
        seconds = self.spread.seconds
        return [
            self.name,
            str(self.rolls),
            f'{percentile(seconds, 0.5):.2f}',
            f'{percentile(seconds, 0.99):.2f}',
            f'{max(seconds, default=float("nan")):.2f}',
            str(self.spread.missing),
            f'{self.reads_per_roll:.1f}',
        ]


@dataclass(frozen=True)
class Idle:
    """Hold what each process used in a second while nothing was rolled.

    ``cpu_share`` is of one core; ``message_bytes`` those of exchanges sent
    and received as caller; the platform's figures are of the whole fleet.
    """

    cpu_share: float
    memory_mb: float
    exchanges: float
    message_bytes: float
    watches: int
    vm_list_reads: float


class Rollout:
    """Hold a fleet whose bundle is rolled again and again."""

    def __init__(self, processes: int, peers: PeerSettings) -> None:
        routers = max(1, processes // 4)
        agents = processes - routers
        models = min(_MODEL_WORKERS, agents)
        deployment = MORAVIA.sized(routers, models, agents - models)
        self._fleet = Fleet(deployment, FleetOptions(signed=True, peers=peers))
        self._bundle = make_bundle(deployment)
        self._changes = 0

    @property
    def fleet(self) -> Fleet:
        """Return the fleet."""
        return self._fleet

    async def settle(self) -> None:
        """Wait until the readers are the few that they have to be."""
        await asyncio.sleep(_SETTLE_S)

    async def phase(
        self,
        name: str,
        rolls: int,
        before: Mapping[str, Any],
        after: Mapping[str, Any],
        hand_over: bool,
    ) -> Phase:
        """Roll several times; the platform changes after acceptance."""
        seconds: list[float] = []
        missing = 0
        reads = 0
        for _ in range(rolls):
            await self._fleet.set_platform_faults(before)
            await self._reset_counts()
            own_reads = self._fleet.roller_reads
            rolled = await self._fleet.roll(self._next_bundle())
            own_reads -= self._fleet.roller_reads
            await self._fleet.set_platform_faults(after)
            if hand_over:
                await self._fleet.hand_over(rolled.document)
            spread = await wait_in_force(
                self._fleet, rolled.number, rolled.accepted_at, _PATIENCE_S
            )
            reads += await self._object_reads() + own_reads
            await self._fleet.set_platform_faults({})
            seconds.extend(spread.seconds)
            missing += spread.missing
            await asyncio.sleep(1.0)
        total = Spread(tuple(seconds), missing)
        return Phase(name, rolls, total, reads / rolls)

    async def leaving(self, agents: int) -> Phase:
        """List VMs as leaving, one after the other, with no lag."""
        await self._fleet.set_platform_faults({'vm_lag_s': 0.0})
        seconds: list[float] = []
        missing = 0
        for name in self._fleet.agent_names[:agents]:
            address = self._fleet.daemon(name).addresses.peers
            listed_at = time.time()
            await self._fleet.list_vm(name, VmState.LEAVING)
            spread = await wait_noted(
                self._fleet, address, listed_at, _PATIENCE_S
            )
            seconds.extend(spread.seconds)
            missing += spread.missing
        total = Spread(tuple(seconds), missing)
        return Phase('VM leaving', agents, total, 0.0)

    async def idle(self) -> Idle:
        """Measure a while in which nothing is rolled."""
        names = self._fleet.router_names + self._fleet.agent_names
        running = [
            psutil.Process(self._fleet.process(name).pid) for name in names
        ]
        await self._reset_counts()
        before = [sum(each.cpu_times()[:2]) for each in running]
        counted = [await self._counted(name) for name in names]
        await asyncio.sleep(_IDLE_S)
        after = [sum(each.cpu_times()[:2]) for each in running]
        counted_after = [await self._counted(name) for name in names]
        counts = await self._counts()
        number = len(names)
        cpu_s = sum(after) - sum(before)
        resident = sum(each.memory_info().rss for each in running)
        exchanges = sum(each[0] for each in counted_after)
        exchanges -= sum(each[0] for each in counted)
        size = sum(each[1] for each in counted_after)
        size -= sum(each[1] for each in counted)
        vm_list_reads = sum(counts['calls'].get('vms', {}).values())
        return Idle(
            cpu_share=cpu_s / _IDLE_S / number,
            memory_mb=resident / number / _MB,
            exchanges=exchanges / _IDLE_S / number,
            message_bytes=size / _IDLE_S / number,
            watches=counts['waiting_watches'],
            vm_list_reads=vm_list_reads / _IDLE_S,
        )

    def _next_bundle(self) -> Bundle:
        self._changes += 1
        first, *rest = self._bundle.teams
        changed = replace(first, share=1.0 + self._changes)
        return replace(self._bundle, teams=(changed, *rest))

    async def _reset_counts(self) -> None:
        await self._fleet.post_platform('/counts/reset', {})

    async def _counts(self) -> dict[str, Any]:
        raw = await self._fleet.read(f'{self._fleet.platform_url}/counts')
        counts: dict[str, Any] = msgspec.json.decode(raw)
        return counts

    async def _object_reads(self) -> int:
        calls = (await self._counts())['calls']
        reads = sum(calls.get('get', {}).values())
        reads += sum(calls.get('watch', {}).values())
        return int(reads)

    async def _counted(self, name: str) -> tuple[float, float]:
        text = (await self._fleet.ask(name, '/metrics')).body.decode()
        exchanges = _metric(text, 'lacewing_peer_exchanges_total')
        size = _metric(text, 'lacewing_peer_message_bytes_total')
        return exchanges, size


def _metric(text: str, name: str) -> float:
    total = 0.0
    for line in text.splitlines():
        if line.startswith(name):
            total += float(line.rsplit(' ', 1)[1])
    return total
