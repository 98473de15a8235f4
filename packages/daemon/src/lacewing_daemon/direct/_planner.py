"""Order engines to load released weights, under a lease."""

import asyncio
from collections.abc import Callable
from random import Random
from weakref import WeakKeyDictionary

from lacewing_common.backoff import Backoff
from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.background import keep_running
from lacewing_daemon.background import TaskSet
from lacewing_daemon.direct._clock import boot_s
from lacewing_daemon.direct._cluster_state import ClusterState
from lacewing_daemon.direct._loading import EngineWeights
from lacewing_daemon.direct._loading import next_loads
from lacewing_daemon.direct._loading import ORDER_RETRY_S
from lacewing_daemon.direct._metrics import LEASE_HELD
from lacewing_daemon.direct._metrics import LOAD_ORDERS
from lacewing_daemon.direct._site import LoadOrder
from lacewing_daemon.direct._site import OrderVerdict
from lacewing_daemon.direct._site import UpstreamControl
from lacewing_daemon.direct._site import UpstreamReport
from lacewing_daemon.direct._upstream import ReleasedWeights
from lacewing_daemon.direct._upstream import Upstream
from lacewing_daemon.direct._upstream_state import UpstreamState
from lacewing_daemon.lease import Lease
from lacewing_daemon.lease import LeaseHeld

# How often the holder checks for outdated engines, and renews its lease.
CHECK_INTERVAL_S = 0.1
RENEW_INTERVAL_S = 0.7
# How often the other routers check whether the lease has lapsed.
STANDBY_INTERVAL_S = 0.8
# The holder considers its lease valid for this long after it sent the renewal.
# Orders that it sends until then arrive within the timeout of a call to an
# engine; its successor waits for both and for the bound between two holders.
LEASE_S = 1.8
LEASE_MARGIN_S = 0.4
LEASE_NAME = 'weights'
ORDER_TIMEOUT_S = 0.6
# Interval of the reports that are requested until an engine has loaded.
LOAD_CHECK_INTERVAL_S = 0.15
# How long a stop waits for an open call to the store.
STOP_TIMEOUT_S = 1.2
# Fields of a report that are logged with an order that it refuses as busy.
_USAGE_FIELDS = (
    'queued',
    'running',
    'kv_used',
    'kv_total',
    'first_queued_tokens',
)

_log = get_log(Part.PLACEMENT)


class WeightsPlanner:
    """Order engines to load weights while this process holds the lease.

    Two processes that order at once would make engines load twice and, by a
    late order, return to older weights. The lease ensures that there is one
    holder at a time; a new holder waits for the bound between two holders,
    so that the orders of the previous one have ended.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        control: UpstreamControl,
        lease: Lease,
        holder: str,
        clock: Callable[[], float] = boot_s,
    ) -> None:
        self._clock = clock
        self._policy = cluster_state.policy
        self._cluster_state = cluster_state
        self._control = control
        self._lease = lease
        self._holder = holder
        self._holds_lease = False
        self._orders_from_s = 0.0
        self._renewed_s = float('-inf')
        # The time of each model's last order, by engine incarnation: an order
        # to an earlier incarnation must not count as pending.
        self._ordered_s: WeakKeyDictionary[UpstreamState, dict[str, float]] = (
            WeakKeyDictionary()
        )
        self._busy: set[UpstreamState] = set()
        self._orders = TaskSet('load order')
        self._load_checks = TaskSet('load check')
        self._planning: asyncio.Task[None] | None = None
        self._stopping = False
        self._backoff = Backoff(
            STANDBY_INTERVAL_S / 2, STANDBY_INTERVAL_S, Random()
        )

    def start(self) -> None:
        """Start the planning task."""
        self._planning = asyncio.create_task(keep_running('planner', self.run))

    async def run(self) -> None:
        """Plan until stopped."""
        # Another router may hold the lease by now.
        self._holds_lease = False
        LEASE_HELD.set(0)
        while not self._stopping:
            await self.step()
            if not self._holds_lease:
                await asyncio.sleep(
                    STANDBY_INTERVAL_S / 2 + self._backoff.next_s()
                )
                continue
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def step(self) -> None:
        """Acquire or renew the lease; as its holder, send due orders."""
        await self._keep_lease()
        if self._holds_lease:
            await self._order_due()

    async def stop(self) -> None:
        """Cancel pending orders and release the lease.

        A pending write of the lease is awaited. If it were abandoned, the
        lease would be at a version that this process does not know: the
        release would fail with a conflict, and all other routers would wait
        for the lease to lapse and then for orders that nobody sent.
        """
        self._stopping = True
        self._orders.cancel()
        self._load_checks.cancel()
        if self._planning is not None:
            await asyncio.wait((self._planning,), timeout=STOP_TIMEOUT_S)
            self._planning.cancel()
        await self._lease.release()

    def close(self) -> None:
        """Stop at once, without releasing the lease."""
        self._stopping = True
        self._load_checks.cancel()
        if self._planning is not None:
            self._planning.cancel()

    async def _keep_lease(self) -> None:
        now_s = self._clock()
        if self._lease.is_held and now_s - self._renewed_s < RENEW_INTERVAL_S:
            return
        was_held = self._holds_lease and self._lease.is_held
        result = await self._lease.acquire()
        self._holds_lease = isinstance(result, LeaseHeld)
        LEASE_HELD.set(int(self._holds_lease))
        if not self._holds_lease:
            if was_held:
                _log.warning('Lost the lease for weights.')
            return
        self._renewed_s = now_s
        # Also after a renewal: one that took long may have acquired the lease
        # from another holder.
        wait_s = self._cluster_state.bounds.lease_s + ORDER_TIMEOUT_S
        wait_s = max(0.0, wait_s - self._lease.other_acted_ago_s)
        self._orders_from_s = self._clock() + wait_s
        if was_held:
            return
        _log.info(
            'Holds the lease for weights.',
            fence=self._lease.fence,
            orders_in_s=round(wait_s, 2),
        )

    async def _order_due(self) -> None:
        if self._stopping or self._clock() < self._orders_from_s:
            return
        due = self._due()
        if not due:
            if not self._orders:
                self._lease.end_acting()
            return
        if not await self._lease.begin_acting():
            return
        self._renewed_s = self._clock()
        for state, released in due:
            self._busy.add(state)
            self._orders.start(
                self._load(state, released.model, released.version)
            )

    def _due(self) -> list[tuple[UpstreamState, ReleasedWeights]]:
        """Return the engines to order now, with the weights to load."""
        due = []
        for released in self._cluster_state.released_weights:
            engines = self._engines(released.model)
            chosen = next_loads(engines, released.version, self._policy)
            for upstream_id in chosen:
                state = self._cluster_state.upstream(upstream_id)
                if state is None or state in self._busy:
                    continue
                due.append((state, released))
        return due

    def _engines(self, model: str) -> list[EngineWeights]:
        engines = []
        age_s = self._cluster_state.current_release(model).age_s
        schedule = self._cluster_state.load_schedule(model)
        for upstream_id, state in self._cluster_state.upstreams.items():
            version = state.weights(model)
            if version is None or not self._cluster_state.is_routed(
                state.upstream
            ):
                continue
            ordered = self._ordered_s.get(state, {})
            ordered_s = ordered.get(model, float('-inf'))
            engines.append(
                EngineWeights(
                    upstream_id,
                    version,
                    self._clock() - ordered_s,
                    state.in_flight,
                    schedule.get(upstream_id, 0.0) - age_s,
                    self._cluster_state.nearly_overdue_in_s(model, version),
                )
            )
        return engines

    async def _load(
        self, state: UpstreamState, model: str, version: int
    ) -> None:
        upstream = state.upstream
        ordered = self._ordered_s.setdefault(state, {})
        ordered[model] = self._clock()
        try:
            report = await self._control.report(upstream)
            verdict = await self._send_order(
                state, upstream, report, model, version
            )
            LOAD_ORDERS.labels(verdict.value).inc()
            _log.info(
                'Ordered weights.',
                upstream=upstream.upstream_id,
                model=model,
                version=version,
                fence=self._lease.fence,
                verdict=verdict.value,
                **_usage(verdict, report),
            )
            if verdict is OrderVerdict.ALREADY_LOADED:
                state.update_weights(model, version)
            if verdict is OrderVerdict.ACCEPTED:
                self._load_checks.start(
                    self._check_load(state, model, version)
                )
            if verdict in (OrderVerdict.BUSY, OrderVerdict.OTHER_INCARNATION):
                # The engine carries out another order, or one side does not
                # know the new incarnation yet; ordered again at the next
                # check.
                ordered[model] = float('-inf')
        finally:
            self._busy.discard(state)

    async def _check_load(
        self, state: UpstreamState, model: str, version: int
    ) -> None:
        """Request reports until an engine has loaded, or is ordered again.

        Its entry tells seconds later, and the next engine waits for that.
        """
        end_s = self._clock() + ORDER_RETRY_S
        while self._clock() < end_s:
            await asyncio.sleep(LOAD_CHECK_INTERVAL_S)
            if (state.weights(model) or 0) >= version or not state.is_listed:
                return
            report = await self._control.report(state.upstream)
            if report is not None:
                self._cluster_state.apply_report(state, report)

    async def _send_order(
        self,
        state: UpstreamState,
        upstream: Upstream,
        report: UpstreamReport | None,
        model: str,
        version: int,
    ) -> OrderVerdict:
        if report is None:
            return OrderVerdict.UNKNOWN
        if not self._cluster_state.apply_report(state, report):
            return OrderVerdict.OTHER_INCARNATION
        if report.weights.get(model, 0) >= version:
            return OrderVerdict.ALREADY_LOADED
        if report.busy:
            return OrderVerdict.BUSY
        # Checked last: nothing is awaited between this and the sending.
        if not self._lease.is_acting or not state.takes_requests:
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


def _usage(
    verdict: OrderVerdict, report: UpstreamReport | None
) -> dict[str, int]:
    """Return what an upstream that is busy reported of its load."""
    usage: dict[str, int] = {}
    if verdict is not OrderVerdict.BUSY or report is None:
        return usage
    for name in _USAGE_FIELDS:
        figure = getattr(report, name)
        if figure is not None:
            usage[name] = figure
    return usage
