"""Serve one request: admit, place, send, retry by verdict, answer."""

import asyncio
import time
from dataclasses import dataclass
from functools import partial
from random import Random

from lacewing_common.log_lines import Try
from lacewing_common.verdict import may_have_run
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_common.verdict import Verdict
from tornado.httputil import HTTPHeaders

from lacewing_daemon.direct._admission import admit
from lacewing_daemon.direct._admission import Admitted
from lacewing_daemon.direct._admission import confirm_key
from lacewing_daemon.direct._answer_end import is_event_stream
from lacewing_daemon.direct._attempt import AttemptEnd
from lacewing_daemon.direct._attempt import Contact
from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._caller_reply import CallerGoneError
from lacewing_daemon.direct._caller_reply import CallerReply
from lacewing_daemon.direct._choice import NoCapacity
from lacewing_daemon.direct._fleet import Fleet
from lacewing_daemon.direct._metrics import CONTINUATIONS_REFUSED
from lacewing_daemon.direct._metrics import REQUESTS
from lacewing_daemon.direct._next_target import BUDGET_RETRY_AFTER_S
from lacewing_daemon.direct._next_target import MAX_SENDS
from lacewing_daemon.direct._next_target import RequestProgress
from lacewing_daemon.direct._next_target import TargetChooser
from lacewing_daemon.direct._placing import Placer
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._refusal_status import BAD_REQUEST
from lacewing_daemon.direct._refusal_status import status_of
from lacewing_daemon.direct._refusal_status import UNAVAILABLE
from lacewing_daemon.direct._request_log import RequestLog
from lacewing_daemon.direct._request_outcome import describe_outcome
from lacewing_daemon.direct._send import Send
from lacewing_daemon.direct._send import SendResult
from lacewing_daemon.direct._site import Wire
from lacewing_daemon.direct._stream_relay import StreamRelay
from lacewing_daemon.direct._take_up import place_stream
from lacewing_daemon.direct._target import Target
from lacewing_daemon.direct.crashes._detector import COLLECT_WINDOW_S
from lacewing_daemon.direct.crashes._fingerprint import identify
from lacewing_daemon.direct.crashes._fingerprint import RequestSubjects
from lacewing_daemon.direct.limits import Charge
from lacewing_daemon.refusals import Refusals

# An answer that arrives this long before the caller's deadline still reaches
# the caller in time.
RETURN_MARGIN_S = 0.02
# A started stream checks for capacity at this interval.
CAPACITY_CHECK_INTERVAL_S = 0.03
# Used when all upstreams that were tried refused: some of them will have a
# free slot within the duration of a few requests.
REFUSED_RETRY_AFTER_S = 0.2
# A crash is detected once a connection is refused, some ms after the
# interrupted runs of the upstream were collected.
CRASH_DETECTION_S = 2 * COLLECT_WINDOW_S

_ROUTER_NOT_READY = frozenset((Reason.NOT_READY, Reason.PLATFORM_UNAVAILABLE))
_SUCCESS = range(200, 300)
_RETRIED_LATER = (429, UNAVAILABLE)
# Logged as the status if the caller disconnected or its answer was aborted.
_NO_STATUS = 0


@dataclass(frozen=True)
class ServingContext:
    """Hold the objects that all requests of a router share."""

    fleet: Fleet
    wire: Wire
    placer: Placer
    policy: LoadPolicy
    random: Random
    log: RequestLog


class RequestExchange:
    """Serve one request to its end."""

    def __init__(
        self,
        context: ServingContext,
        request: CallerRequest,
        reply: CallerReply,
    ) -> None:
        self._context = context
        self._fleet = context.fleet
        self._request = request
        self._reply = reply
        self._admitted: Admitted | None = None
        self._subjects = RequestSubjects('')
        self._refusals = Refusals()
        self._try_log: list[Try] = []
        self._current_send: Send | None = None
        self._progress = RequestProgress()
        self._chooser = TargetChooser(
            context.fleet,
            context.placer,
            context.policy,
            request,
            reply,
            self._progress,
        )
        self._charge_made: Charge | None = None
        self._has_logged_refusals = False

    async def run(self) -> None:
        """Serve the request; cancelled when the caller disconnects."""
        admitted = admit(
            self._request,
            self._fleet.cluster_state.routing_config,
            self._fleet.keys_confirmed,
            self._context.random,
        )
        if isinstance(admitted, Refusal):
            self._refuse(admitted)
            return
        self._admitted = admitted
        self._subjects = identify(self._request, admitted.team_name)
        end_s = self._request.received_s + self._time_limit_s(admitted)
        try:
            async with asyncio.timeout(end_s - time.monotonic()):
                refusal = await self._send_until_answered(admitted, end_s)
        except TimeoutError:
            refusal = self._deadline_refusal()
        except (CallerGoneError, asyncio.CancelledError):
            if not self._progress.sends:
                self._refund()
            self._record_outcome(_NO_STATUS, self._interrupted_refusal())
            self._reply.abort()
            raise
        if refusal is not None:
            self._refuse(self._refusals.final_refusal(refusal))

    def _time_limit_s(self, admitted: Admitted) -> float:
        limit_s = admitted.route.timeout_s
        if self._request.deadline_s is not None:
            limit_s = min(limit_s, self._request.deadline_s)
        return max(0.0, limit_s - RETURN_MARGIN_S)

    async def _send_until_answered(
        self, admitted: Admitted, end_s: float
    ) -> Refusal | None:
        """Return why the request failed, None once it is answered."""
        placed = await place_stream(
            self._request,
            admitted,
            self._fleet.cluster_state.routing_config,
            self._fleet.stream_origins,
        )
        if isinstance(placed, Refusal):
            return placed
        admitted = self._admitted = placed.admitted
        self._progress.software = placed.software
        budget = self._fleet.cluster_state.retry_budget(admitted.service)
        budget.count_request(time.monotonic())
        refusal = await self._charge(admitted)
        if refusal is not None:
            return refusal
        relay = StreamRelay(self._reply, self._request.after_event)
        while True:
            if self._is_blocked():
                return self._blocked_refusal()
            was_blocked = self._fleet.crash_guard.is_blocked(self._subjects)
            queued_s = self._chooser.stay.queued_s
            target = await self._chooser.choose(
                admitted, self._subjects, end_s
            )
            if isinstance(target, Target):
                if self._chooser.stay.queued_s > queued_s:
                    refusal = self._check_after_wait(admitted, was_blocked)
                    if refusal is not None:
                        self._chooser.give_back(admitted)
                        return refusal
            if isinstance(target, NoCapacity):
                # When an engine is lost, all its streams move at the same
                # time. The first ones fill the queues of the other engines,
                # and refusing the rest would abort streams although live
                # engines remain. Capacity is free again within a few first
                # events.
                await asyncio.sleep(CAPACITY_CHECK_INTERVAL_S)
                continue
            if isinstance(target, Refusal):
                return target
            self._progress.sends += 1
            self._current_send = Send(
                self._fleet,
                self._context.wire,
                self._context.placer,
                self._request,
                admitted,
                target,
                partial(self._chooser.can_move, admitted, target, end_s),
                self._subjects,
            )
            result = await self._current_send.run(relay, end_s)
            self._current_send = None
            self._try_log.append(result.log_entry)
            if relay.has_started and self._progress.software is None:
                self._progress.software = target.state.upstream.software
            if result.end.contact is Contact.CONNECTED:
                self._progress.has_reached_upstream = True
            else:
                self._chooser.refund()
            if self._is_answer(result.end):
                await self._deliver(relay, result.end)
                return None
            refusal = self._process_failure(admitted, target, result)
            if self._chooser.returns_to_queue(
                admitted, target, result.end.verdict
            ):
                refusal = None
            if refusal is None and not relay.can_go_on:
                refusal = may_have_run(
                    Reason.STREAM_BROKEN, 'its events have no ids'
                )
            if refusal is not None:
                return refusal
            if result.end.connection_broken:
                await self._await_crash_detection()

    async def _charge(self, admitted: Admitted) -> Refusal | None:
        """Charge the request to its team's limit."""
        if admitted.team is None or admitted.team.quota is None:
            return None
        charge = await self._fleet.team_limiter.admit(
            admitted.team.name,
            admitted.team.quota,
            self._request.stated_tokens,
        )
        if isinstance(charge, Refusal):
            return charge
        self._charge_made = charge
        return None

    def _refund(self) -> None:
        """Give back what was charged, as the request has not run."""
        if self._charge_made is not None:
            self._fleet.team_limiter.refund(self._charge_made)
            self._charge_made = None

    def _is_blocked(self) -> bool:
        guard = self._fleet.crash_guard
        if not guard.is_blocked(self._subjects):
            return False
        # A retry is never a probe: the request may have caused the newest
        # crash on an earlier attempt.
        return self._progress.sends > 0 or not guard.admits_probe(
            self._subjects
        )

    def _check_after_wait(
        self, admitted: Admitted, was_blocked: bool
    ) -> Refusal | None:
        """Return why a request that has waited must not be sent any more.

        Without this, requests that waited while others like them crashed
        upstreams would crash more, and a key that was taken away would be
        used until the deadlines of the requests with it. A request that
        ``was_blocked`` before it waited is a probe.
        """
        if not was_blocked:
            if self._fleet.crash_guard.is_blocked(self._subjects):
                return self._blocked_refusal()
        return confirm_key(
            self._request,
            admitted,
            self._fleet.cluster_state.routing_config,
            self._fleet.keys_confirmed,
        )

    def _blocked_refusal(self) -> Refusal:
        guard = self._fleet.crash_guard
        return not_run(
            Reason.WORKERS_CRASHED,
            guard.describe_block(self._subjects),
            guard.retry_after_s(self._subjects),
        )

    async def _await_crash_detection(self) -> None:
        """Wait until a further crash of an upstream would be detected.

        Retried immediately, a request that has crashed one upstream before
        could crash a third one while this router is still checking the
        second.
        """
        if self._fleet.crash_guard.is_suspected(self._subjects):
            await asyncio.sleep(CRASH_DETECTION_S)

    def _process_failure(
        self, admitted: Admitted, target: Target, result: SendResult
    ) -> Refusal | None:
        """Return why no further send is made, None to send again."""
        state = target.state
        end = result.end
        if end.verdict is Verdict.NOT_RUN and target.is_continuation:
            # The upstream has no copy of the run. The run has started, so
            # the request must not be sent to any other upstream.
            return may_have_run(Reason.STREAM_BROKEN, 'no copy of the run')
        if end.verdict is Verdict.NOT_RUN:
            self._progress.refusals += 1
            if (
                not result.has_newer_weights
                or self._progress.sends >= MAX_SENDS
            ):
                self._progress.add_refusal(state.upstream.upstream_id)
            refusal = not_run(
                end.reason, 'the upstream refused', REFUSED_RETRY_AFTER_S
            )
            self._refusals.add(refusal)
            if self._reply.has_started:
                self._record_refused_rest(admitted)
            return None if self._may_send_again else refusal
        self._progress.add_run(state.upstream.upstream_id)
        interruption = may_have_run(end.reason, 'the upstream broke off')
        self._refusals.add(interruption)
        if not admitted.route.can_retry:
            return self._continue_run(target, interruption)
        if (
            self._progress.runs >= admitted.route.max_runs
            or not self._may_send_again
        ):
            return interruption
        return None

    @property
    def _may_send_again(self) -> bool:
        return self._progress.may_send(self._reply.has_started)

    def _record_refused_rest(self, admitted: Admitted) -> None:
        """Record that an upstream refused the rest of a started stream."""
        service = admitted.service.name
        CONTINUATIONS_REFUSED.labels(service).inc()
        if self._progress.sends < MAX_SENDS or self._has_logged_refusals:
            return
        self._has_logged_refusals = True
        self._context.log.log_refused_rest(
            self._request.request_id,
            service,
            self._progress.refusals,
            time.monotonic(),
        )

    def _continue_run(
        self, target: Target, interruption: Refusal
    ) -> Refusal | None:
        """Continue an interrupted run from its copy, if there is one.

        This is no second run: the engine continues after the last event
        that the caller has, from the KV cache that was copied to it.
        """
        if not self._reply.has_started or not self._may_send_again:
            return interruption
        self._progress.continuation = self._context.placer.continuation(target)
        return interruption if self._progress.continuation is None else None

    def _is_answer(self, end: AttemptEnd) -> bool:
        """Return whether the answer of an attempt completes the request.

        Once a stream has started, only a successful continuation does. An
        error response or a document of the next upstream would otherwise be
        taken for the end of the stream, although events are missing.
        """
        if end.verdict is not Verdict.RAN or end.head is None:
            return False
        if not self._reply.has_started:
            return True
        return end.head.status in _SUCCESS and is_event_stream(
            end.head.headers
        )

    async def _deliver(self, relay: StreamRelay, end: AttemptEnd) -> None:
        assert end.head is not None
        if self._reply.has_started:
            await relay.end(end.body)
        else:
            headers = HTTPHeaders(end.head.headers)
            self._reply.send_complete(end.head.status, headers, end.body)
        self._record_outcome(end.head.status, None)

    def _deadline_refusal(self) -> Refusal:
        waited_again = (
            self._chooser.stay.ahead >= 0
            and self._current_send is None
            and not self._progress.runs
        )
        if self._progress.sends and not waited_again:
            return may_have_run(Reason.DEADLINE, 'no answer in time')
        return not_run(
            Reason.DEADLINE, 'no answer in time', BUDGET_RETRY_AFTER_S
        )

    def _interrupted_refusal(self) -> Refusal:
        if self._reply.stopped:
            return may_have_run(
                Reason.DRAINING, 'the time to stop was over before the answer'
            )
        return may_have_run(Reason.CALLER_GONE, 'the caller left')

    def _refuse(self, refusal: Refusal) -> None:
        status = status_of(refusal)
        if refusal.verdict is Verdict.NOT_RUN:
            self._refund()
        if self._reply.has_started:
            # The caller has a part of the answer. Aborting it keeps the
            # caller from taking that part for the complete answer.
            self._reply.abort()
            self._record_outcome(_NO_STATUS, refusal)
            return
        retry_after_s = None
        if status in _RETRIED_LATER:
            retry_after_s = refusal.retry_after_s
        if refusal.reason in _ROUTER_NOT_READY:
            # This router would refuse the caller's next request as well; a
            # new connection is routed to a router that is ready.
            self._reply.announce_close()
        body = b''
        if status == BAD_REQUEST:
            body = refusal.message.encode()
        headers = self._context.wire.refusal(
            self._request.request_id, retry_after_s, status == BAD_REQUEST
        )
        self._reply.send_complete(status, headers, body)
        self._record_outcome(status, refusal)

    def _record_outcome(self, status: int, refusal: Refusal | None) -> None:
        if self._current_send is not None and refusal is not None:
            self._try_log.append(self._current_send.unfinished(refusal.reason))
        now_s = time.monotonic()
        outcome = describe_outcome(
            self._request,
            self._admitted,
            self._fleet,
            status,
            refusal,
            tuple(self._try_log),
            self._subjects,
            now_s,
            self._chooser.stay,
        )
        REQUESTS.labels(outcome.service, str(status), outcome.reason).inc()
        self._context.log.log_outcome(outcome, now_s)
