"""Run routers that order one engine, on simulated clocks and faults."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import Any

from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault
from lacewing_daemon.direct import LoadOrder
from lacewing_daemon.direct import OrderVerdict
from lacewing_daemon.direct import ReleasedWeights
from lacewing_daemon.direct import Upstream
from lacewing_daemon.direct import UpstreamReport
from lacewing_daemon.direct._cluster_state import ClusterState
from lacewing_daemon.direct._planner import LEASE_MARGIN_S
from lacewing_daemon.direct._planner import LEASE_NAME
from lacewing_daemon.direct._planner import LEASE_S
from lacewing_daemon.direct._planner import ORDER_TIMEOUT_S
from lacewing_daemon.direct._planner import WeightsPlanner
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._settings import Bounds
from lacewing_daemon.lease import Lease
from lacewing_daemon.lease import LEASES
from support.direct_bench import MODEL
from support.returning_store import RestorableStore

BOUNDS = Bounds(
    drain_s=4.0,
    revoke_s=2.0,
    lease_s=3.0,
    weights_s=8.0,
    repeat_ratio=0.2,
    repeat_slack=40.0,
    repeat_window_s=10.0,
)
# A holder that has waited this long may order.
MAX_WAIT_S = BOUNDS.lease_s + ORDER_TIMEOUT_S
# A lease whose holder died is taken over after this time.
EXPIRY_S = LEASE_S + LEASE_MARGIN_S
TICK_S = 0.1
ENGINE = 'eng-1'
_STARTED_MS = 1_700_000_000_000
_SETTLE_STEPS = 16


class WriteFault(Enum):
    """Name what happens to the next write of a machine."""

    LOST = 'is lost'
    DONE_UNANSWERED = 'takes effect without an answer'
    LATE = 'arrives after the machine was answered by an error'
    SUSPENDED_BEFORE = 'arrives when the machine resumes'
    SUSPENDED_AFTER = 'is answered when the machine resumes'


@dataclass(frozen=True)
class ArrivedOrder:
    """Hold an order as the engine received it."""

    arrived_s: float
    holder: str
    fence: int


@dataclass
class LateWrite:
    """Hold a write that has not reached the store yet."""

    kind: str
    name: str
    value: bytes
    expect: int


class Connection:
    """Pass calls of one machine to the store, with faults."""

    def __init__(self, fleet: 'LeaseFleet') -> None:
        self.fault: WriteFault | None = None
        self.resumed = asyncio.Event()
        self._fleet = fleet

    async def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object."""
        return await self._fleet.store.get(kind, name)

    async def put(
        self, kind: str, name: str, value: bytes, expect: int
    ) -> StoredObject | StoreError:
        """Write with the fault that is set, once."""
        fault, self.fault = self.fault, None
        store = self._fleet.store
        if fault is WriteFault.SUSPENDED_BEFORE:
            self.resumed.clear()
            await self.resumed.wait()
        if fault is WriteFault.LATE:
            late = LateWrite(kind, name, value, expect)
            self._fleet.late_writes.append(late)
        if fault in (WriteFault.LATE, WriteFault.LOST):
            return StoreError(StoreFault.UNKNOWN, 'no answer')
        answer = await store.put(kind, name, value, expect)
        if fault is WriteFault.SUSPENDED_AFTER:
            self.resumed.clear()
            await self.resumed.wait()
        if fault is WriteFault.DONE_UNANSWERED:
            return StoreError(StoreFault.UNKNOWN, 'no answer')
        return answer


class EngineControl:
    """Report the weights that a scenario sets, and record orders."""

    def __init__(self, fleet: 'LeaseFleet') -> None:
        self.answers_reports = asyncio.Event()
        self.answers_reports.set()
        self.order_delay_s = 0.0
        self.weights = 1
        self._fleet = fleet

    async def report(self, upstream: Upstream) -> UpstreamReport | None:
        """Return a report once reports are answered."""
        await self.answers_reports.wait()
        return UpstreamReport(0, False, {MODEL: self.weights}, _STARTED_MS)

    async def load(self, upstream: Upstream, order: LoadOrder) -> OrderVerdict:
        """Record when the order arrives."""
        arrived_s = self._fleet.now_s + self.order_delay_s
        self._fleet.orders.append(
            ArrivedOrder(arrived_s, order.holder, order.fence)
        )
        return OrderVerdict.REFUSED


class Machine:
    """Run the planner of one router, on the clock of this machine."""

    def __init__(
        self, fleet: 'LeaseFleet', name: str, clock_ahead_s: float
    ) -> None:
        self.name = name
        self.connection = Connection(fleet)
        self.control = EngineControl(fleet)

        def clock() -> float:
            return fleet.now_s + clock_ahead_s

        self.cluster_state = ClusterState(BOUNDS, LoadPolicy(), clock)
        self.lease = Lease(
            self.connection, LEASE_NAME, name, LEASE_S, LEASE_MARGIN_S, clock
        )
        self.planner = WeightsPlanner(
            self.cluster_state, self.control, self.lease, name, clock
        )
        self.cluster_state.record_release(ReleasedWeights(MODEL, 1), False)
        self.cluster_state.update_upstream(
            ENGINE,
            Upstream(
                ENGINE,
                'models',
                '127.0.0.1:1',
                'east',
                4,
                False,
                {MODEL: 1},
                _STARTED_MS,
            ),
        )
        self._released = 1
        self._step: asyncio.Task[None] | None = None

    @property
    def is_suspended(self) -> bool:
        """Return whether a step waits for an answer of the store."""
        return self._step is not None and not self._step.done()

    def want_orders(self) -> None:
        """Let orders be due, as after a release of weights."""
        if self._released > self.control.weights:
            return
        self._released += 1
        self.cluster_state.record_release(
            ReleasedWeights(MODEL, self._released), False
        )

    def want_no_orders(self) -> None:
        """Let no order be due, as after a load."""
        state = self.cluster_state.upstream(ENGINE)
        assert state is not None
        self.control.weights = self._released
        state.update_weights(MODEL, self._released)

    async def step(self) -> None:
        """Let the planner act once, unless its last step has not ended."""
        if self.is_suspended:
            return
        self._step = asyncio.create_task(self.planner.step())
        await settle()
        if self._step.done():
            self._step.result()

    async def stop(self) -> None:
        """Stop as after SIGTERM."""
        if self._step is not None:
            await self._step
        await self.planner.stop()

    def kill(self) -> None:
        """Stop at once; a call to the store may still arrive."""
        self.planner.close()
        if self._step is not None:
            self._step.cancel()


@dataclass
class LeaseFleet:
    """Hold the machines, their store and what the engine received."""

    now_s: float = 1000.0
    orders: list[ArrivedOrder] = field(default_factory=list)
    late_writes: list[LateWrite] = field(default_factory=list)
    machines: dict[str, Machine] = field(default_factory=dict)
    store: RestorableStore = field(default_factory=RestorableStore)
    runner: asyncio.Runner = field(default_factory=asyncio.Runner)

    @property
    def holder(self) -> str:
        """Return the router that holds the lease by its clock, or ''."""
        for name, machine in self.machines.items():
            if machine.lease.is_held:
                return name
        return ''

    def run(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine on the loop of the fleet."""
        self.runner.run(coroutine)

    def start(self, name: str, clock_ahead_s: float = 0.0) -> Machine:
        """Start a router on a machine."""

        async def start() -> None:
            self.machines[name] = Machine(self, name, clock_ahead_s)

        self.run(start())
        return self.machines[name]

    def stop(self, name: str) -> None:
        """Stop a router."""
        self.run(self.machines.pop(name).stop())

    def kill(self, name: str) -> None:
        """Kill a router."""

        async def kill() -> None:
            self.machines.pop(name).kill()
            await settle()

        self.run(kill())

    def step(self, name: str) -> None:
        """Let one router act once."""
        self.run(self.machines[name].step())

    def advance(self, duration_s: float) -> None:
        """Let time pass while all routers act."""
        self.run(self._advance(duration_s))

    def resume(self, name: str) -> None:
        """Let a suspended router go on."""

        async def resume() -> None:
            self.machines[name].connection.resumed.set()
            await settle()

        self.run(resume())

    def answer_reports(self, name: str) -> None:
        """Let a report that a router waits for be answered."""

        async def answer() -> None:
            self.machines[name].control.answers_reports.set()
            await settle()

        self.run(answer())

    def deliver_late_writes(self) -> None:
        """Let writes arrive that were delayed in the network."""
        late, self.late_writes = self.late_writes, []

        async def deliver() -> None:
            for write in late:
                await self.store.put(
                    write.kind, write.name, write.value, write.expect
                )

        self.run(deliver())

    def replace_record(self, value: bytes) -> None:
        """Write the record of the lease as another writer would."""

        async def replace() -> None:
            found = await self.store.get(LEASES, LEASE_NAME)
            if isinstance(found, StoredObject):
                await self.store.put(LEASES, LEASE_NAME, value, found.version)

        self.run(replace())

    def close(self) -> None:
        """End all."""
        for name in tuple(self.machines):
            self.kill(name)
        self.runner.close()

    async def _advance(self, duration_s: float) -> None:
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s = min(end_s, self.now_s + TICK_S)
            for machine in tuple(self.machines.values()):
                await machine.step()


async def settle() -> None:
    """Let all tasks run until they wait for time or for an event."""
    for _ in range(_SETTLE_STEPS):
        await asyncio.sleep(0)


def check_turns(orders: list[ArrivedOrder]) -> None:
    """Check that holders did not take turns within the lease's duration."""
    in_order = sorted(orders, key=lambda order: order.arrived_s)
    for index, order in enumerate(in_order):
        for later in in_order[index + 1 :]:
            if order.holder == later.holder:
                continue
            apart_s = later.arrived_s - order.arrived_s
            assert apart_s > BOUNDS.lease_s - 1e-6, (order, later)
            assert order.fence < later.fence, (order, later)
