"""Simulate workers under plans, and run agents that place models."""

import asyncio
from collections.abc import Callable
from random import Random

from behave.runner import Context
from lacewing_bench.fake_agent import until
from lacewing_bench.fake_runtime import FakeBundles
from lacewing_bench.fake_runtime import FakeMembers
from lacewing_bench.fakes import FakeStore
from lacewing_bench.loop_thread import LoopThread
from lacewing_bench.platform import Down
from lacewing_bench.platform import FaultSwitches
from lacewing_bench.platform import PlatformServer
from lacewing_bench.platform import PlatformSettings
from lacewing_bench.standins import Engine
from lacewing_bench.standins import EngineConfig
from lacewing_bench.standins import LoadedModel
from lacewing_common.bundle import Bundle
from lacewing_common.bundle import Model
from lacewing_common.bundle import Pin
from lacewing_common.bundle import Service
from lacewing_common.bundle import ServiceKind
from lacewing_common.document import DocumentKind
from lacewing_common.identity import new_incarnation
from lacewing_common.identity import Place
from lacewing_common.identity import ProcessName
from lacewing_common.identity import Role
from lacewing_common.plan import HeldModel
from lacewing_common.plan import Plan
from lacewing_common.plan import plan_name
from lacewing_common.plan import read_plan
from lacewing_common.plan import validate_plan
from lacewing_common.settings import PeerSettings
from lacewing_common.settings import PlacementSettings
from lacewing_common.settings import Settings
from lacewing_common.settings import WorkerSettings
from lacewing_common.verdict import Refusal
from lacewing_daemon.agent._agent import Agent
from lacewing_daemon.peers import PeerNode
from lacewing_daemon.placement import make_plan
from lacewing_daemon.placement import ModelDemand
from lacewing_daemon.placement import PlanInput
from lacewing_daemon.placement import WorkerReport
from lacewing_daemon.runtime import Runtime

STEP_S = 10.0
SLOTS = 32
LOAD_STEPS = 2
_QUICK_PEERS = PeerSettings(
    exchange_s=0.05, probe_s=0.3, suspect_s=0.6, vm_list_s=0.05, readers=1
)
LEASE_S = 0.9
_QUICK = PlacementSettings(
    enabled=True,
    lease_s=LEASE_S,
    margin_s=0.1,
    report_s=0.1,
    shrink_after_s=0.3,
    shrink_step_s=0.1,
)


class PlannedWorker:
    """Carry a plan out step by step, without its old copy while loading."""

    def __init__(self, zone: str, held: dict[str, str]) -> None:
        self.zone = zone
        self.held = held
        self.loading: dict[str, int] = {}
        self.loads = 0

    def follow(self, models: tuple[HeldModel, ...]) -> None:
        """Unload what is not planned, and begin loads."""
        wanted = {each.model: each.weights for each in models}
        for model in list(self.held):
            if model not in wanted or self.held[model] != wanted[model]:
                del self.held[model]
        for model, weights in wanted.items():
            if model in self.held:
                continue
            steps = self.loading.get(model, 0)
            if not steps:
                self.loads += 1
            self.loading[model] = steps + 1
            if self.loading[model] > LOAD_STEPS:
                del self.loading[model]
                self.held[model] = weights


class PlannerCase:
    """Plan a simulated service step by step."""

    def __init__(self) -> None:
        self.workers: dict[str, PlannedWorker] = {}
        self.weights = {'m': 'v1'}
        self.busy: dict[str, float] = {}
        self.wait_ms = 0.0
        self.loads_at_once = 2
        self.pins: tuple[Pin, ...] = ()
        self.plan: Plan | None = None
        self.now_s = 1_000_000.0
        self.most_loading = 0
        self.fewest_serving = 99

    def copies(self, model: str) -> list[str]:
        """Return the workers that hold a model now."""
        return [
            name
            for name, worker in self.workers.items()
            if model in worker.held
        ]

    def zones(self, model: str) -> list[str]:
        """Return the zone of each copy."""
        return [self.workers[name].zone for name in self.copies(model)]

    def step(self) -> None:
        """Make one plan and let the workers follow it for one step."""
        plan = make_plan(self._given(), 'p', '127.0.0.1:1')
        self.plan = plan
        loading = 0
        for each in plan.workers:
            self.workers[each.worker].follow(each.models)
            loading += len(self.workers[each.worker].loading)
        self.most_loading = max(self.most_loading, loading)
        for model in self.weights:
            serving = len(self.copies(model))
            self.fewest_serving = min(self.fewest_serving, serving)
        self.now_s += STEP_S

    def _given(self) -> PlanInput:
        service = Service(
            name='s',
            kind=ServiceKind.MODEL,
            models=tuple(self.weights),
            loads_at_once=self.loads_at_once,
            pins=self.pins,
        )
        models: list[Model] = []
        for name, weights in self.weights.items():
            models.append(Model(name=name, weights=weights))
        reports = [self._report(name) for name in self.workers]
        return PlanInput(
            service,
            tuple(models),
            tuple(reports),
            frozenset(self.workers),
            self.plan,
            self.now_s,
        )

    def _report(self, name: str) -> WorkerReport:
        worker = self.workers[name]
        demand: list[ModelDemand] = []
        held: list[HeldModel] = []
        for model, weights in worker.held.items():
            held.append(HeldModel(model, weights))
            share = self.busy.get(model, 0.0) / len(self.copies(model))
            demand.append(ModelDemand(model, '', share))
        return WorkerReport(
            's',
            name,
            worker.zone,
            SLOTS,
            self.wait_ms,
            tuple(held),
            tuple(demand),
        )


class PlacedAgent:
    """Run an agent with placement beside an engine."""

    def __init__(self, site: 'PlacementSite', number: int) -> None:
        self.name = f'agent-{number}'
        self._site = site
        self._zone = f'z{number % 2 + 1}'
        self.engine = Engine(
            EngineConfig(
                name=f'engine-{number}',
                models=(LoadedModel(id='m', weights='v1'),),
                platform=site.platform.url,
                honours_fencing=site.checks_fence,
            )
        )

    @property
    def plan(self) -> Plan | None:
        """Return the plan that it holds."""
        held = self.node.documents.get(plan_name('s'))
        if held is None:
            return None
        plan = read_plan(held)
        return None if isinstance(plan, Refusal) else plan

    async def start(self) -> None:
        """Start engine and agent."""
        address = await self.engine.start()
        worker = WorkerSettings(url=f'http://{address}', service='s')
        settings = Settings(
            role=Role.AGENT,
            process_id=self.name,
            place=Place('r1', self._zone),
            worker=worker,
            peers=_QUICK_PEERS,
            placement=_QUICK,
        )
        name = ProcessName(self.name, new_incarnation())
        contacts = self._site.contacts
        self.node = PeerNode(
            name,
            settings,
            {DocumentKind.PLAN: validate_plan},
            lambda: tuple(contacts),
            Random(int(self.name[-1])),
        )
        runtime = Runtime(
            name,
            settings,
            self._site.bundles,
            FakeMembers(),
            asyncio.Event(),
            store=self._site.store,
            peer_services=(self.node.service,),
            node=self.node,
        )
        self.agent = Agent(runtime, worker)
        await self.agent.start()
        contacts.append(self.agent.peers_address)
        await self.node.discover()
        self.node.start(self.agent.peers_address)

    async def close(self) -> None:
        """Close the agent and its engine."""
        await self.node.close()
        await self.agent.close()
        await self.engine.close()

    def holds(self, weights: str = '') -> bool:
        """Tell whether the engine holds the model, in a version."""
        found = self.engine.models.find('m', '')
        return found is not None and weights in ('', found.weights)


class PlacementSite:
    """Hold agents, engines, a weight store and a platform."""

    def __init__(self, checks_fence: bool) -> None:
        self.checks_fence = checks_fence
        self.thread = LoopThread()
        self.platform = PlatformServer(PlatformSettings())
        self.store = FakeStore()
        self.bundles = FakeBundles()
        self.contacts: list[str] = []
        self.agents: list[PlacedAgent] = []

    def start(self, count: int) -> None:
        """Start the agents, each engine holding the model."""
        self.roll('v1')
        self.thread.call(self._start(count))

    async def _start(self, count: int) -> None:
        await self.platform.start()
        for number in range(count):
            agent = PlacedAgent(self, number + 1)
            await agent.start()
            self.agents.append(agent)

    def roll(self, weights: str) -> None:
        """Put a bundle in force."""
        service = Service(
            name='s',
            kind=ServiceKind.MODEL,
            models=('m',),
            loads_at_once=2,
            fencing_honoured=self.checks_fence,
        )
        model = Model(name='m', weights=weights)
        self.bundles.roll(Bundle(services=(service,), models=(model,)))

    def set_outage(self, down: bool) -> None:
        """Let the platform go or come back."""
        state = Down.REFUSE if down else Down.NO
        self.store.set_faults(FaultSwitches(down=state))

    def wait(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        self.thread.call(until(condition, 30.0))

    def holding(self, weights: str = '') -> int:
        """Count the engines that hold the model."""
        return sum(agent.holds(weights) for agent in self.agents)

    def close(self) -> None:
        """Close all."""
        self.thread.call(self._close())
        self.thread.close()

    async def _close(self) -> None:
        for agent in self.agents:
            await agent.close()
        await self.platform.close()


def case_of(context: Context) -> PlannerCase:
    """Return the scenario's planner case, made at its first use."""
    if not hasattr(context, 'planner_case'):
        context.planner_case = PlannerCase()
    case: PlannerCase = context.planner_case
    return case
