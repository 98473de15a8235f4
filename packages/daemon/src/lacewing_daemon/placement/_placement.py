"""Put the parts of placement together for one agent."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from lacewing_common.document import Document
from lacewing_common.document import DocumentKind
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.plan import Plan
from lacewing_common.plan import plan_name
from lacewing_common.plan import read_plan
from lacewing_common.settings import WorkerSettings
from lacewing_common.store import ObjectStore
from lacewing_common.verdict import Refusal

from lacewing_daemon.background import keep_running
from lacewing_daemon.background import Run
from lacewing_daemon.lease import Lease
from lacewing_daemon.peers import PeerNode
from lacewing_daemon.placement._members import ServiceMembers
from lacewing_daemon.placement._order_client import OrderClient
from lacewing_daemon.placement._orders import Orders
from lacewing_daemon.placement._orders import OrderSettings
from lacewing_daemon.placement._orders import ServedModels
from lacewing_daemon.placement._plan_store import PlanStore
from lacewing_daemon.placement._planner_task import Planner
from lacewing_daemon.placement._planner_task import PlannerParts
from lacewing_daemon.placement._report_book import ReportBook
from lacewing_daemon.placement._reporter import Reporter
from lacewing_daemon.placement._reports import WorkerReport
from lacewing_daemon.runtime import Runtime

_RENEWALS = 3.0

_log = get_log(Part.PLACEMENT)


@dataclass(frozen=True)
class AgentSide:
    """Hold what placement needs of its agent.

    ``report`` gets the models whose load failed; ``checks_fence`` tells
    whether the worker refuses old fencing numbers.
    """

    models: ServedModels
    report: Callable[[tuple[str, ...]], WorkerReport]
    checks_fence: Callable[[], bool]


class Placement:
    """Plan if chosen, report, and bring the worker to the plan."""

    def __init__(
        self,
        runtime: Runtime,
        node: PeerNode,
        store: ObjectStore,
        worker: WorkerSettings,
        agent: AgentSide,
    ) -> None:
        settings = runtime.settings.placement
        rng = Random()
        self._node = node
        self._service = worker.service
        self._agent = agent
        members = ServiceMembers(node, worker.service)
        self._book = ReportBook(
            worker.service, settings.report_s, lambda: self._planner.planning
        )

        def lease(name: str) -> Lease:
            return Lease(
                store,
                name,
                str(runtime.name),
                settings.lease_s,
                settings.margin_s,
                random=rng,
            )

        self._planner = Planner(
            PlannerParts(
                worker.service,
                lease(f'planner-{worker.service}'),
                PlanStore(store, worker.service, rng),
                members,
                self._book,
                runtime.bundles,
                self._hold,
                runtime.audit,
            ),
            settings,
            rng,
        )
        self._client = OrderClient(worker.url)
        self._orders = Orders(
            runtime.settings.process_id,
            self._client,
            lease(order_lease_name(worker.url)),
            agent.checks_fence,
            agent.models,
            runtime.audit,
            OrderSettings(
                settings.lease_s / _RENEWALS, settings.lease_s / _RENEWALS
            ),
        )
        self._reporter = Reporter(
            members,
            node.channels,
            self._book,
            self._report,
            settings.report_s,
            rng,
        )
        self._tasks: list[asyncio.Task[None]] = []
        node.documents.on_change(DocumentKind.PLAN, self._plan_changed)

    @property
    def service(self) -> ReportBook:
        """Return what the listener for peers has to serve."""
        return self._book

    def start(self) -> None:
        """Begin to report, to plan if chosen, and to order."""
        held = self._node.documents.get(plan_name(self._service))
        if held is not None:
            self._plan_changed(held)
        self._start('placement planner', self._planner.run)
        self._start('placement reports', self._reporter.run)
        self._start('placement orders', self._orders.run)

    def worker_changed(self) -> None:
        """Report soon what the worker holds now."""
        self._reporter.report_soon()

    def bundle_changed(self) -> None:
        """Plan soon by the new bundle."""
        self._planner.plan_soon()

    async def close(self) -> None:
        """Stop; let another process plan at once."""
        self._reporter.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._client.close()

    def _report(self) -> WorkerReport:
        return self._agent.report(self._orders.failed)

    def _hold(self, document: Document) -> None:
        parts = dict(zip(document.head.parts, document.parts, strict=True))
        self._node.documents.accept(document.head, parts)

    def _plan_changed(self, document: Document) -> None:
        if document.head.document != plan_name(self._service):
            return
        plan = read_plan(document)
        if isinstance(plan, Refusal):
            return
        self._take(plan)

    def _take(self, plan: Plan) -> None:
        self._orders.take(plan)
        self._reporter.follow(plan)

    def _start(self, name: str, run: Run) -> None:
        self._tasks.append(asyncio.create_task(keep_running(name, run)))


def order_lease_name(worker_url: str) -> str:
    """Return the name of the order lease of the worker at a URL."""
    address = worker_url.partition('://')[2].strip('/')
    return 'orders-' + address.replace('/', '-')
