"""Bring engines to the weights that operators named, under a lease."""

import asyncio
from random import Random
from weakref import WeakKeyDictionary

from lacewing_common.backoff import Backoff
from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.direct._clock import boot_s
from lacewing_daemon.direct._cluster_state import ClusterState
from lacewing_daemon.direct._loading import EngineWeights
from lacewing_daemon.direct._loading import next_loads
from lacewing_daemon.direct._metrics import LEASE_HELD
from lacewing_daemon.direct._metrics import LOAD_ORDERS
from lacewing_daemon.direct._site import LoadOrder
from lacewing_daemon.direct._site import OrderVerdict
from lacewing_daemon.direct._site import UpstreamControl
from lacewing_daemon.direct._upstream import ReleasedWeights
from lacewing_daemon.direct._upstream import Upstream
from lacewing_daemon.direct._upstream_state import UpstreamState
from lacewing_daemon.lease import Lease
from lacewing_daemon.lease import LeaseHeld

# How often the holder looks for engines behind, and renews its lease.
LOOK_S = 0.1
RENEW_S = 0.7
# How often the others look whether the lease has lapsed.
STANDBY_S = 0.8
# The holder believes its lease for this long after it sent the renewal. The
# orders it gives until then arrive within the timeout of a call to an
# engine; its successor waits out both and the bound between two holders.
LEASE_S = 1.8
LEASE_MARGIN_S = 0.4
LEASE_NAME = 'weights'
ORDER_WAY_S = 0.6
# How long a stop waits for a call to the store that is under way.
STOP_S = 1.2

_log = get_log(Part.PLACEMENT)


class WeightsPlanner:
    """Order engines to load weights while this process holds the lease.

    Two processes that order at once would load engines twice and, after a
    late order, back to older weights. One holder at a time is ensured by
    the lease; that its orders have ended, by waiting out the bound between
    two holders after taking over.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        control: UpstreamControl,
        lease: Lease,
        holder: str,
    ) -> None:
        self._policy = cluster_state.policy
        self._knowledge = cluster_state
        self._control = control
        self._lease = lease
        self._holder = holder
        self._holds_lease = False
        self._orders_from_s = 0.0
        self._renewed_s = float('-inf')
        # Of each start of an engine, the time of each model's last order. An
        # order to the start before must not count as one that is under way.
        self._ordered: WeakKeyDictionary[UpstreamState, dict[str, float]] = (
            WeakKeyDictionary()
        )
        self._busy: set[UpstreamState] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._running: asyncio.Task[None] | None = None
        self._stopping = False
        self._backoff = Backoff(STANDBY_S / 2, STANDBY_S, Random())

    def start(self) -> None:
        """Begin to plan."""
        self._running = asyncio.create_task(self.run())

    async def run(self) -> None:
        """Plan until stopped."""
        while not self._stopping:
            await self._keep_lease()
            if not self._holds_lease:
                await asyncio.sleep(STANDBY_S / 2 + self._backoff.next_s())
                continue
            await self._order()
            await asyncio.sleep(LOOK_S)

    async def stop(self) -> None:
        """End orders under way and hand the lease over.

        A write of the lease that is under way is waited for. Given up on, it
        would leave the lease at a version that this process does not know:
        the release would meet a conflict, and all others would wait for the
        lease to lapse and then for orders that nobody gave.
        """
        self._stopping = True
        for task in self._tasks:
            task.cancel()
        if self._running is not None:
            await asyncio.wait((self._running,), timeout=STOP_S)
            self._running.cancel()
        await self._lease.release()

    def close(self) -> None:
        """End at once, without a word to the others."""
        self._stopping = True
        if self._running is not None:
            self._running.cancel()

    async def _keep_lease(self) -> None:
        now_s = boot_s()
        if self._lease.is_held and now_s - self._renewed_s < RENEW_S:
            return
        was_held = self._holds_lease and self._lease.is_held
        answer = await self._lease.acquire()
        self._holds_lease = isinstance(answer, LeaseHeld)
        LEASE_HELD.set(int(self._holds_lease))
        if not self._holds_lease:
            if was_held:
                _log.warning('Lost the lease for weights.')
            return
        self._renewed_s = now_s
        if was_held:
            return
        wait_s = self._knowledge.bounds.lease_s + ORDER_WAY_S
        wait_s = max(0.0, wait_s - self._lease.other_acted_ago_s)
        self._orders_from_s = boot_s() + wait_s
        _log.info(
            'Holds the lease for weights.',
            fence=self._lease.fence,
            orders_in_s=round(wait_s, 2),
        )

    async def _order(self) -> None:
        if self._stopping or boot_s() < self._orders_from_s:
            return
        due = self._due()
        if not due:
            if not self._tasks:
                self._lease.end_acting()
            return
        if not await self._lease.begin_acting():
            return
        self._renewed_s = boot_s()
        for state, named in due:
            self._busy.add(state)
            task = asyncio.create_task(
                self._load(state, named.model, named.version)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _due(self) -> list[tuple[UpstreamState, ReleasedWeights]]:
        """Return the engines to order now."""
        due = []
        for named in self._knowledge.released_weights:
            engines = self._engines(named.model)
            chosen = next_loads(engines, named.version, self._policy)
            for upstream_id in chosen:
                state = self._knowledge.upstream(upstream_id)
                if state is None or state in self._busy:
                    continue
                due.append((state, named))
        return due

    def _engines(self, model: str) -> list[EngineWeights]:
        engines = []
        age_s = self._knowledge.current_release(model).age_s
        times = self._knowledge.load_schedule(model)
        for upstream_id, state in self._knowledge.upstreams.items():
            version = state.weights(model)
            if version is None or not self._knowledge.is_routed(
                state.upstream
            ):
                continue
            ordered = self._ordered.get(state, {})
            at_s = ordered.get(model, float('-inf'))
            engines.append(
                EngineWeights(
                    upstream_id,
                    version,
                    boot_s() - at_s,
                    state.in_flight,
                    times.get(upstream_id, 0.0) - age_s,
                    self._knowledge.nearly_overdue_in_s(model, version),
                )
            )
        return engines

    async def _load(
        self, state: UpstreamState, model: str, version: int
    ) -> None:
        upstream = state.upstream
        ordered = self._ordered.setdefault(state, {})
        ordered[model] = boot_s()
        try:
            verdict = await self._order_one(state, upstream, model, version)
            LOAD_ORDERS.labels(verdict.value).inc()
            _log.info(
                'Ordered weights.',
                upstream=upstream.upstream_id,
                model=model,
                version=version,
                fence=self._lease.fence,
                verdict=verdict.value,
            )
            if verdict is OrderVerdict.ALREADY_LOADED:
                state.update_weights(model, version)
            if verdict in (OrderVerdict.BUSY, OrderVerdict.OTHER_INCARNATION):
                # It carries out another order, or a new start is not known
                # yet on one side; asked again at the next look.
                ordered[model] = float('-inf')
        finally:
            self._busy.discard(state)

    async def _order_one(
        self,
        state: UpstreamState,
        upstream: Upstream,
        model: str,
        version: int,
    ) -> OrderVerdict:
        report = await self._control.report(upstream)
        if report is None:
            return OrderVerdict.UNKNOWN
        if not self._knowledge.apply_report(state, report):
            return OrderVerdict.OTHER_INCARNATION
        if report.weights.get(model, 0) >= version:
            return OrderVerdict.ALREADY_LOADED
        if report.busy:
            return OrderVerdict.BUSY
        # Looked at last: between this and the sending nothing is awaited.
        if not self._lease.is_acting:
            return OrderVerdict.REFUSED
        self._lease.record_action()
        return await self._control.load(
            upstream,
            LoadOrder(
                model,
                version,
                self._holder,
                self._lease.fence,
                report.accepted_orders,
                self._policy.switch_mode,
            ),
        )
