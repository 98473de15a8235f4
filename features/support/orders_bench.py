"""Run order-givers of one worker on clocks that a scenario moves."""

from dataclasses import dataclass
from dataclasses import field

from behave.runner import Context
from lacewing_bench.fakes import FakeStore
from lacewing_bench.loop_thread import LoopThread
from lacewing_bench.standins import Engine
from lacewing_bench.standins import EngineConfig
from lacewing_bench.standins import EngineCosts
from lacewing_bench.standins import LoadedModel
from lacewing_common.audit import Action
from lacewing_common.plan import HeldModel
from lacewing_common.plan import Plan
from lacewing_common.plan import WorkerPlan
from lacewing_daemon.placement import Lease
from lacewing_daemon.placement import OrderClient
from lacewing_daemon.placement import Orders
from lacewing_daemon.placement import OrderSettings

DURATION_S = 15.0
MARGIN_S = 3.0


@dataclass
class ManualClock:
    """Show a time that the scenario sets."""

    now_s: float = 100.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now_s


@dataclass
class FakeModels:
    """Implement ``ServedModels``; let time pass while requests end.

    A request stays open while ``pauses`` holds anything.
    """

    retired: list[str] = field(default_factory=list)
    served: bool = True
    pauses: list[float] = field(default_factory=list)
    paused: bool = False

    def retire(self, model: str) -> None:
        """Note the model."""
        self.served = False
        self.retired.append(model)

    def restore(self) -> None:
        """Serve all again."""
        self.served = True

    def open_requests(self, _model: str) -> int:
        """Report an open request until the pause is over."""
        if not self.pauses:
            return 0
        self.paused = True
        return 1

    async def refresh(self) -> None:
        """Look at nothing."""


@dataclass
class NotedAudit:
    """Keep the reports."""

    results: list[str] = field(default_factory=list)

    def report(
        self,
        action: Action,
        subject: str,
        before: str = '',
        after: str = '',
        result: str = 'done',
    ) -> None:
        """Keep a report's action and result."""
        self.results.append(f'{action.value}: {result}')


class Giver:
    """Hold one agent's order-giver with a clock of its own."""

    def __init__(self, bench: 'OrdersBench', name: str) -> None:
        self.models = FakeModels()
        self.audit = NotedAudit()
        self.client = OrderClient(f'http://{bench.engine.address}')
        self.lease = Lease(
            bench.store,
            'orders-w1',
            name,
            DURATION_S,
            MARGIN_S,
            bench.clock,
        )
        self.orders = Orders(
            'w1',
            self.client,
            self.lease,
            lambda: bench.checks_fence,
            self.models,
            self.audit,
            OrderSettings(look_s=0.02, renew_s=600.0),
        )


class OrdersBench:
    """Hold an engine, a platform and the givers of orders."""

    def __init__(self) -> None:
        self.thread = LoopThread()
        self.clock = ManualClock()
        self.store = FakeStore()
        self.checks_fence = True
        self.givers: dict[str, Giver] = {}
        self.engine = Engine(EngineConfig(name='w1'))

    def start(self, checks_fence: bool) -> None:
        """Start the engine with the model in its first version."""
        self.checks_fence = checks_fence
        self.engine = Engine(
            EngineConfig(
                name='w1',
                models=(LoadedModel(id='m', weights='v1'),),
                honours_fencing=checks_fence,
                costs=EngineCosts(load_ms=1.0),
            )
        )
        self.thread.call(self.engine.start())

    def giver(self, name: str) -> Giver:
        """Return an agent's giver, made at its first use."""
        if name not in self.givers:
            self.givers[name] = self.thread.call(self._make(name))
        return self.givers[name]

    def close(self) -> None:
        """Close all."""
        self.thread.call(self._close())
        self.thread.close()

    async def _make(self, name: str) -> Giver:
        return Giver(self, name)

    async def _close(self) -> None:
        for giver in self.givers.values():
            giver.client.close()
        await self.engine.close()


def plan_of(fence: int, weights: str) -> Plan:
    """Make a plan of one worker that holds one model."""
    worker = WorkerPlan('w1', 'z1', (HeldModel('m', weights),))
    return Plan(
        service='s',
        fence=fence,
        planner='p',
        planner_address='',
        made_at_s=0.0,
        workers=(worker,),
    )


def orders_bench_of(context: Context) -> OrdersBench:
    """Return the scenario's bench, made at its first use."""
    if not hasattr(context, 'orders_bench'):
        context.orders_bench = OrdersBench()
        context.resources.callback(context.orders_bench.close)
    bench: OrdersBench = context.orders_bench
    return bench
