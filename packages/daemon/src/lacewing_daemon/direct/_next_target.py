"""Decide where a request is sent next, or that it is refused."""

import time
from functools import partial
from math import isinf

from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_common.verdict import Verdict

from lacewing_daemon.direct._admission import Admitted
from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._caller_reply import CallerReply
from lacewing_daemon.direct._choice import NoCapacity
from lacewing_daemon.direct._fleet import Fleet
from lacewing_daemon.direct._metrics import REPEATS_DENIED
from lacewing_daemon.direct._placing import Placer
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._progress import RequestProgress
from lacewing_daemon.direct._target import Target
from lacewing_daemon.direct._upstream_state import UpstreamState
from lacewing_daemon.direct.crashes._fingerprint import RequestSubjects
from lacewing_daemon.direct.limits import Charge
from lacewing_daemon.direct.limits import Denial
from lacewing_daemon.direct.queueing import Cause
from lacewing_daemon.direct.queueing import QueueStay
from lacewing_daemon.direct.queueing import QueueTurn

_MS = 1000.0
# A started stream that all upstreams have refused is sent again at this
# interval: fewer than ten sends per second.
RESEND_INTERVAL_S = 0.125
# Refused sends after which a request of a contended service waits in the
# queue: engines that refuse are full or load, and the next ones are as likely
# to, a few ms later.
MAX_REFUSALS_AT_ONCE = 2
# A started stream waits for capacity for this fraction of the time after which
# its caller abandons it. The silence before the move has used up the rest.
CAPACITY_WAIT_FRACTION = 0.35
BUDGET_RETRY_AFTER_S = 1.0
# A started stream waits for the retry budget until this fraction of the time
# after which its caller abandons it has passed since its last event. The rest
# is for the first event of the next upstream.
BUDGET_WAIT_FRACTION = 0.85
# An upstream of the software that began a stream may start again.
NO_SOFTWARE_RETRY_S = 1.0


class TargetChooser:
    """Choose the upstream of each send of one request."""

    def __init__(
        self,
        fleet: Fleet,
        placer: Placer,
        policy: LoadPolicy,
        request: CallerRequest,
        reply: CallerReply,
        progress: RequestProgress,
    ) -> None:
        self._fleet = fleet
        self._placer = placer
        self._policy = policy
        self._request = request
        self._reply = reply
        self._progress = progress
        self._capacity_wait_end_s: float | None = None
        self._resend_s = 0.0
        self._charge: Charge | None = None
        self._turn = QueueTurn(fleet.queues, request)

    @property
    def stay(self) -> QueueStay:
        """Return how the request has waited in the queue."""
        return self._turn.stay

    async def choose(
        self,
        admitted: Admitted,
        subjects: RequestSubjects,
        end_s: float,
        may_wait: bool = True,
    ) -> Target | NoCapacity | Refusal:
        """Return the target, NoCapacity to check again, or a refusal.

        ``may_wait``: a started stream may wait for capacity and retries.
        """
        while True:
            now_s = time.monotonic()
            if may_wait and self._can_wait_for_budget(admitted, now_s):
                return NoCapacity(BUDGET_RETRY_AFTER_S * _MS)
            left_ms = self._first_event_limit_ms(admitted, end_s, now_s)
            uses_queue = self._uses_queue(admitted)
            placed: Target | NoCapacity | Refusal = NoCapacity(0.0)
            if not uses_queue or self._is_first_retry:
                placed = self._place(admitted, subjects, left_ms, now_s)
            if uses_queue and isinstance(placed, NoCapacity):
                placed = await self._wait_in_queue(admitted, subjects, end_s)
            if isinstance(placed, Refusal):
                return placed
            if isinstance(placed, NoCapacity):
                if may_wait and self._can_wait_for_capacity(
                    admitted, placed, now_s
                ):
                    return placed
                return self._refusal(admitted, placed)
            if await self._reserve(placed.state):
                break
        if placed.state.upstream.upstream_id in self._progress.refused_ids:
            self._resend_s = time.monotonic() + RESEND_INTERVAL_S
        # The retry budget bounds the extra load of retries. A request that
        # has reached no upstream has caused no load. When such sends were
        # charged, crashing engines used up the budget and prompts were
        # refused although other engines were idle.
        if self._progress.has_reached_upstream:
            budget = self._fleet.cluster_state.retry_budget(admitted.service)
            if not budget.spend(
                time.monotonic(),
                self._fleet.cluster_state.router_count,
                self._is_for_run,
            ):
                self.refund()
                REPEATS_DENIED.labels(admitted.service.name).inc()
                spent = budget.describe(self._fleet.cluster_state.router_count)
                return not_run(
                    Reason.NO_WORKER,
                    f'the retry budget is used up: {spent}',
                    BUDGET_RETRY_AFTER_S,
                )
        if uses_queue:
            self._turn.record_service(admitted, placed)
        return placed

    def refund(self) -> None:
        """Give back what the last target was charged, as nothing was sent."""
        if self._charge is not None:
            self._fleet.upstream_limiter.refund(self._charge)
            self._charge = None

    def give_back(self, admitted: Admitted) -> None:
        """Give back what the last target counts, as it is not used."""
        self.refund()
        self._turn.take_back_service(admitted)

    def returns_to_queue(
        self, admitted: Admitted, target: Target, verdict: Verdict
    ) -> bool:
        """Return whether a request is queued after a send has ended.

        A send that was refused has not run. The queue sends the request
        again when an upstream is usable.
        """
        if verdict is not Verdict.NOT_RUN or target.is_continuation:
            return False
        if not self._uses_queue(admitted):
            return False
        self._turn.take_back_service(admitted)
        return self._progress.refusals >= MAX_REFUSALS_AT_ONCE

    def can_move(
        self,
        admitted: Admitted,
        target: Target,
        end_s: float,
        other_moves: int,
    ) -> bool:
        """Return whether a run could be finished at another upstream.

        ``other_moves``: runs that are moved at the same moment and spend
        their retries after this check.

        That its upstream is lost is a suspicion. If the request then has no
        run, retry or time left, or no upstream has capacity, asking others
        would cost retries for nothing, and a run that can't go on beside
        another one would be lost. All of these are therefore checked before.
        """
        now_s = time.monotonic()
        budget = self._fleet.cluster_state.retry_budget(admitted.service)
        routers = self._fleet.cluster_state.router_count
        if not self._progress.may_send(self._reply.has_started):
            return False
        if not budget.allows(now_s, routers, True, other_moves):
            return False
        placer = self._placer
        limiter = self._fleet.upstream_limiter
        if not admitted.route.can_retry:
            copy = target.copy_to
            if copy is None or limiter.is_limited(copy.upstream):
                return False
            return self._reply.has_started and placer.copy_is_usable(
                self._request, target, now_s
            )
        if self._progress.runs + 1 >= admitted.route.max_runs:
            return False
        left_ms = (end_s - now_s) * _MS
        if self._request.prompt is not None:
            tokens = self._request.prompt.expected_tokens
            policy = self._fleet.cluster_state.policy_for(
                admitted.service.name
            )
            left_ms -= tokens * policy.step_ms
        excluded = {target.state.upstream.upstream_id}
        for state in self._fleet.cluster_state.upstreams_of(
            admitted.service.name
        ):
            # Whether it takes another request is known only once it is asked.
            if limiter.is_limited(state.upstream):
                excluded.add(state.upstream.upstream_id)
        tried_ids = self._progress.tried_ids
        if self._reply.has_started and now_s >= self._resend_s:
            # Those that refused the rest may have capacity again.
            tried_ids -= self._progress.refused_ids
        placed = placer.place(
            self._request,
            admitted,
            tried_ids | excluded,
            left_ms,
            now_s,
            target.state.upstream.software
            if self._reply.has_started
            else self._progress.software,
        )
        return not isinstance(placed, NoCapacity)

    @property
    def _is_for_run(self) -> bool:
        """Return whether the next send is for a run that may be lost."""
        return self._progress.runs > 0 or self._reply.has_started

    @property
    def _is_first_retry(self) -> bool:
        """Return whether another upstream is tried without waiting."""
        progress = self._progress
        return 0 < progress.sends and progress.refusals < MAX_REFUSALS_AT_ONCE

    def _uses_queue(self, admitted: Admitted) -> bool:
        """Return whether the request waits in the queue of its service.

        A started stream waits on its own: its caller abandons it within a
        few seconds, whatever else waits.
        """
        if self._reply.has_started or self._progress.continuation is not None:
            return False
        return self._fleet.cluster_state.is_contended(admitted.service.name)

    async def _wait_in_queue(
        self, admitted: Admitted, subjects: RequestSubjects, end_s: float
    ) -> Target | Refusal:
        """Return the target once it is the request's turn, or a refusal.

        Upstreams that refused it may have capacity by then.
        """
        self._progress.tried_ids -= self._progress.refused_ids
        self._progress.refused_ids = frozenset()
        placed = await self._turn.wait(
            admitted,
            self._fleet.cluster_state.policy_for(admitted.service.name),
            end_s,
            partial(self._place, admitted, subjects),
        )
        if isinstance(placed, Target):
            return placed
        if isinf(placed.retry_s):
            return self._refusal(admitted, NoCapacity(placed.retry_s))
        if placed.cause is Cause.DRAINING:
            text = 'the router stops, and the request still waited'
            return not_run(Reason.DRAINING, text, placed.retry_s)
        text = self._describe_missing(admitted)
        return not_run(
            Reason.NO_WORKER,
            f'{text}; waiting: {placed.cause.value}',
            placed.retry_s,
        )

    def _place(
        self,
        admitted: Admitted,
        subjects: RequestSubjects,
        left_ms: float,
        now_s: float,
    ) -> Target | NoCapacity:
        continuation = self._progress.continuation
        if continuation is not None:
            # A pause for failures holds nothing back: the copy is nowhere
            # else.
            pause_s = continuation.state.wanted_in_s(now_s)
            return NoCapacity(pause_s * _MS) if pause_s > 0 else continuation
        tried_ids = self._progress.tried_ids
        placed = self._place_apart(
            tried_ids, admitted, subjects, left_ms, now_s
        )
        if not isinstance(placed, NoCapacity):
            return placed
        if not self._reply.has_started or now_s < self._resend_s:
            return placed
        # All usable upstreams have been tried. Those that refused the rest
        # of the stream may have capacity once their pause is over.
        refused_ids = self._progress.refused_ids
        if not refused_ids:
            return placed
        return self._place_apart(
            tried_ids - refused_ids, admitted, subjects, left_ms, now_s
        )

    def _place_apart(
        self,
        tried_ids: frozenset[str],
        admitted: Admitted,
        subjects: RequestSubjects,
        left_ms: float,
        now_s: float,
    ) -> Target | NoCapacity:
        """Place it away from other requests while parts are suspected."""
        apart = self._kept_apart(tried_ids, admitted, subjects, now_s)
        placed = self._place_outside(
            tried_ids | apart, admitted, left_ms, now_s
        )
        if not apart or not isinstance(placed, NoCapacity):
            return placed
        if not self._fleet.crash_guard.isolation.may_mix(subjects):
            return placed
        return self._place_outside(tried_ids, admitted, left_ms, now_s)

    def _place_outside(
        self,
        excluded: frozenset[str],
        admitted: Admitted,
        left_ms: float,
        now_s: float,
    ) -> Target | NoCapacity:
        return self._placer.place(
            self._request,
            admitted,
            excluded,
            left_ms,
            now_s,
            self._progress.software,
        )

    def _kept_apart(
        self,
        tried_ids: frozenset[str],
        admitted: Admitted,
        subjects: RequestSubjects,
        now_s: float,
    ) -> frozenset[str]:
        """Return where it should not be sent while parts are suspected."""
        isolation = self._fleet.crash_guard.isolation
        if not isolation.is_active:
            return frozenset()
        service = admitted.service.name
        usable = []
        for state in self._fleet.cluster_state.upstreams_of(service):
            upstream_id = state.upstream.upstream_id
            if upstream_id in tried_ids:
                continue
            if state.is_usable(now_s) and not state.is_silent(now_s):
                usable.append(upstream_id)
        return isolation.excluded(subjects, service, usable)

    def _refusal(self, admitted: Admitted, missing: NoCapacity) -> Refusal:
        if isinf(missing.retry_after_ms):
            return not_run(
                Reason.NO_WORKER,
                f'no upstream of software {self._progress.software!r},'
                ' which began the stream, is left',
                NO_SOFTWARE_RETRY_S,
            )
        return not_run(
            Reason.NO_WORKER,
            self._describe_missing(admitted),
            missing.retry_after_ms / _MS,
        )

    def _describe_missing(self, admitted: Admitted) -> str:
        """Say why no upstream was chosen."""
        states = self._fleet.cluster_state.upstreams_of(admitted.service.name)
        stated = self._fleet.statements.describe(states)
        text = 'no upstream can answer in time'
        return f'{text}; {stated}' if stated else text

    async def _reserve(self, state: UpstreamState) -> bool:
        """Charge a send to an upstream's limit; false if it can't be sent."""
        self._charge = None
        limiter = self._fleet.upstream_limiter
        if not limiter.is_limited(state.upstream):
            return True
        charged = await limiter.admit(state.upstream)
        now_s = time.monotonic()
        if isinstance(charged, Denial):
            state.limit_for(now_s, charged.wait_s)
            return False
        self._charge = charged
        if state.wanted_in_s(now_s) <= 0:
            return True
        self.refund()
        return False

    def _can_wait_for_capacity(
        self, admitted: Admitted, missing: NoCapacity, now_s: float
    ) -> bool:
        """Return whether a started stream still waits for capacity."""
        if not self._reply.has_started or isinf(missing.retry_after_ms):
            return False
        if self._capacity_wait_end_s is None:
            wait_s = admitted.route.abandon_after_s * CAPACITY_WAIT_FRACTION
            self._capacity_wait_end_s = now_s + wait_s
        return now_s < self._capacity_wait_end_s

    def _can_wait_for_budget(self, admitted: Admitted, now_s: float) -> bool:
        """Return whether a started stream waits until a retry is left.

        Each router has an equal part of the fleet's budget, and one refusal
        may use it up, while the caller waits for the stream for seconds.
        """
        if not self._reply.has_started:
            return False
        wait_s = admitted.route.abandon_after_s * BUDGET_WAIT_FRACTION
        if now_s >= self._reply.written_s + wait_s:
            return False
        cluster_state = self._fleet.cluster_state
        return not cluster_state.retry_budget(admitted.service).allows(
            now_s, cluster_state.router_count, True
        )

    def _first_event_limit_ms(
        self, admitted: Admitted, end_s: float, now_s: float
    ) -> float:
        """Return the time within which a first event must be expected.

        A request that has reached an upstream is completed even if that
        misses the latency target. An interrupted stream would otherwise
        not be continued.
        """
        if self._progress.has_reached_upstream:
            return (end_s - now_s) * _MS
        first_event_limit_s = (
            admitted.route.latency_target_s * self._policy.patience
        )
        return (self._request.received_s + first_event_limit_s - now_s) * _MS
