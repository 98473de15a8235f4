"""Bring one worker to its plan, one order at a time."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from lacewing_common.audit import Action
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.plan import Plan
from lacewing_common.plan import WorkerPlan
from lacewing_common.wait_event import wait_event

from lacewing_daemon.lease import Lease
from lacewing_daemon.lease import LeaseHeld
from lacewing_daemon.placement._next_order import next_order
from lacewing_daemon.placement._next_order import takes_away
from lacewing_daemon.placement._order_client import Order
from lacewing_daemon.placement._order_client import OrderClient
from lacewing_daemon.placement._order_client import OrderFailed
from lacewing_daemon.placement._order_client import OrderKind
from lacewing_daemon.placement._order_client import OrderState
from lacewing_daemon.placement._order_client import StaleFence
from lacewing_daemon.runtime import AuditSink

_POLL_S = 0.05

_log = get_log(Part.PLACEMENT)


@dataclass(frozen=True)
class OrderSettings:
    """Set the pace: seconds between two looks, and renewals of the lease."""

    look_s: float = 5.0
    renew_s: float = 3.0


class ServedModels(Protocol):
    """Take models out of service before orders take them away."""

    def retire(self, model: str) -> None:
        """Take no new requests for a model, and tell routers."""

    def restore(self) -> None:
        """Take requests for all models again, and tell routers."""

    def open_requests(self, model: str) -> int:
        """Count the requests for a model that have not ended."""

    async def refresh(self) -> None:
        """Look at what the worker serves now."""


class Orders:
    """Compare the worker with the plan and give orders.

    ``lease`` is the order lease of this worker; it is taken only for
    workers that ignore fencing numbers, as ``checks_fence`` tells, and only
    while there are orders to give.
    """

    def __init__(
        self,
        worker: str,
        client: OrderClient,
        lease: Lease,
        checks_fence: Callable[[], bool],
        models: ServedModels,
        audit: AuditSink,
        settings: OrderSettings | None = None,
    ) -> None:
        self._worker = worker
        self._client = client
        self._lease = lease
        self._checks_fence = checks_fence
        self._models = models
        self._audit = audit
        self._settings = settings or OrderSettings()
        self._plan: Plan | None = None
        self._changed = asyncio.Event()
        self._failed: tuple[str, ...] = ()

    @property
    def failed(self) -> tuple[str, ...]:
        """Return the models whose last load failed."""
        return self._failed

    def take(self, plan: Plan) -> None:
        """Follow a newer plan from now on."""
        if self._plan is not None and plan.fence <= self._plan.fence:
            return
        self._plan = plan
        self._changed.set()

    async def run(self) -> None:
        """Give orders until cancelled."""
        while True:
            self._changed.clear()
            if await self.step():
                continue
            await wait_event(self._changed, self._settings.look_s)

    async def step(self) -> bool:
        """Give at most one order; tell whether to look again at once."""
        wanted = self._wanted()
        if wanted is None or self._plan is None:
            return False
        fence = self._plan.fence
        state = await self._client.state()
        if not isinstance(state, OrderState):
            return False
        order = next_order(state, wanted.models, fence)
        if order is None:
            self._failed = ()
            await self._let_go()
            return False
        if not await self._may_order():
            return False
        if not await self._retire(order, state):
            return True
        # An older giver may have ordered until its lease ran out, or since
        # the first look: read again now that no other may.
        state = await self._client.state()
        if not isinstance(state, OrderState):
            self._models.restore()
            return False
        if next_order(state, wanted.models, fence) != order:
            self._models.restore()
            return True
        return await self._give(order, state)

    def _wanted(self) -> WorkerPlan | None:
        if self._plan is None:
            return None
        return self._plan.worker(self._worker)

    async def _may_order(self) -> bool:
        if self._checks_fence():
            return True
        had = self._lease.is_held
        answer = await self._lease.acquire()
        if isinstance(answer, LeaseHeld) and not had:
            self._audit.report(
                Action.LEASE, self._worker, after=str(answer.fence)
            )
        if not self._lease.is_held:
            _log.info('Order lease not held.', worker=self._worker)
        return self._lease.is_held

    async def _let_go(self) -> None:
        if self._lease.is_held:
            await self._lease.release()

    async def _retire(self, order: Order, state: OrderState) -> bool:
        """Let the requests of a model end; false if the plan changed."""
        if not takes_away(order, state):
            return True
        self._models.retire(order.model)
        renew = asyncio.create_task(self._keep_lease())
        try:
            while self._models.open_requests(order.model):
                if self._plan is None or self._plan.fence != order.fence:
                    self._models.restore()
                    return False
                await asyncio.sleep(_POLL_S)
        finally:
            renew.cancel()
        return True

    async def _give(self, order: Order, state: OrderState) -> bool:
        # Paused for long before this line, the agent may have been replaced
        # unaware: a worker that checks no fencing number would obey it, and
        # load what the newer plan took away. Its own clock tells; nothing
        # is awaited between this look and the order.
        if not self._checks_fence() and not self._lease.is_held:
            self._models.restore()
            self._report(order, state, 'not given: the lease ran out')
            return False
        renew = asyncio.create_task(self._keep_lease())
        try:
            answer = await self._client.give(order)
        finally:
            renew.cancel()
        self._note_failure(order, answer)
        after = await self._client.state()
        await self._models.refresh()
        self._models.restore()
        result = _result(answer)
        if isinstance(answer, OrderFailed) and isinstance(after, OrderState):
            result = f'{result}; epoch {after.epoch}'
        self._report(order, state, result)
        return isinstance(answer, OrderState)

    async def _keep_lease(self) -> None:
        """Renew the lease while an order or a drain takes its time."""
        while not self._checks_fence():
            await asyncio.sleep(self._settings.renew_s)
            if self._lease.is_held:
                await self._lease.acquire()

    def _note_failure(
        self, order: Order, answer: OrderState | StaleFence | OrderFailed
    ) -> None:
        if order.order is not OrderKind.LOAD:
            return
        failed = {*self._failed} - {order.model}
        if isinstance(answer, OrderFailed):
            failed.add(order.model)
        self._failed = tuple(sorted(failed))

    def _report(self, order: Order, state: OrderState, result: str) -> None:
        held = [f'{model.id}:{model.weights}' for model in state.models]
        after = f'{order.order.value} {order.model}'
        if order.weights:
            after += f':{order.weights}'
        if order.adapter:
            after += f':{order.adapter}@{order.adapter_version}'
        self._audit.report(
            Action.ORDER,
            self._worker,
            before=', '.join(held),
            after=f'{after}, fence {order.fence}',
            result=result,
        )


def _result(answer: OrderState | StaleFence | OrderFailed) -> str:
    if isinstance(answer, StaleFence):
        return f'refused: the worker has seen fence {answer.fence}'
    if isinstance(answer, OrderFailed):
        return f'failed: {answer.message}'
    return 'done'
