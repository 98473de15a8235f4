"""Serve one request: admit, charge, send, answer."""

import asyncio
import time

from lacewing_common.log_lines import Try
from lacewing_common.verdict import may_have_run
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_common.verdict import Verdict
from tornado.httputil import HTTPHeaders

from lacewing_daemon.direct._admission import admit
from lacewing_daemon.direct._admission import Admitted
from lacewing_daemon.direct._attempt import AttemptEnd
from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._caller_reply import AnswerNotHeldError
from lacewing_daemon.direct._caller_reply import CallerGoneError
from lacewing_daemon.direct._caller_reply import CallerReply
from lacewing_daemon.direct._metrics import REQUESTS
from lacewing_daemon.direct._next_target import BUDGET_RETRY_AFTER_S
from lacewing_daemon.direct._refusal_status import BAD_REQUEST
from lacewing_daemon.direct._refusal_status import status_of
from lacewing_daemon.direct._refusal_status import UNAVAILABLE
from lacewing_daemon.direct._request_outcome import describe_outcome
from lacewing_daemon.direct._request_sends import RequestSends
from lacewing_daemon.direct._serving_context import ServingContext
from lacewing_daemon.direct._stop_window import STOP_RETRY_S
from lacewing_daemon.direct._stream_relay import StreamRelay
from lacewing_daemon.direct._take_up import place_stream
from lacewing_daemon.direct.crashes._fingerprint import identify
from lacewing_daemon.direct.crashes._fingerprint import RequestSubjects
from lacewing_daemon.direct.limits import Charge
from lacewing_daemon.direct.queueing import QueueStay

# An answer that arrives this long before the caller's deadline still reaches
# the caller in time.
RETURN_MARGIN_S = 0.02

_ROUTER_NOT_READY = frozenset(
    (Reason.NOT_READY, Reason.PLATFORM_UNAVAILABLE, Reason.DRAINING)
)
_RETRIED_LATER = (429, UNAVAILABLE)
# Logged as the status if the caller disconnected or its answer was aborted.
_NO_STATUS = 0


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
        self._sends: RequestSends | None = None
        self._charge_made: Charge | None = None
        self._no_send = ''
        self._origin = ''
        self._was_served = False

    async def run(self) -> None:
        """Serve the request; cancelled when the caller disconnects.

        At the end of a stop it is cancelled too, and answered if no part of
        its answer was sent.
        """
        if self._context.stop_window.has_ended:
            self._refuse(self._stopped_refusal())
            return
        if self._request.receive_refusal is not None:
            self._reply.announce_close()
            self._refuse(self._request.receive_refusal)
            return
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
        now_s = time.monotonic()
        end_s = self._request.received_s + self._time_limit_s(admitted)
        route = admitted.route.name
        stops = self._context.stop_window.refusal(route, end_s, now_s)
        if stops is not None:
            self._refuse(stops)
            return
        self._context.answer_times.begin(route, self, now_s)
        try:
            await self._serve(admitted, end_s)
        finally:
            self._context.answer_times.end(
                route, self, time.monotonic(), self._was_served
            )
            if self._sends is not None:
                self._sends.forget()

    async def _serve(self, admitted: Admitted, end_s: float) -> None:
        try:
            async with asyncio.timeout(end_s - time.monotonic()):
                refusal = await self._send_until_answered(admitted, end_s)
        except TimeoutError:
            refusal = self._deadline_refusal()
        except AnswerNotHeldError as error:
            refusal = may_have_run(Reason.ANSWER_NOT_KEPT, str(error))
        except (CallerGoneError, asyncio.CancelledError):
            if self._reply.stopped:
                self._refuse(self._stopped_refusal())
                return
            if self._sends is None or not self._sends.has_sent:
                self._refund()
            self._record_outcome(
                _NO_STATUS,
                may_have_run(Reason.CALLER_GONE, 'the caller left'),
            )
            self._reply.abort()
            raise
        finally:
            if self._sends is not None:
                self._sends.close()
        if refusal is None:
            return
        if self._sends is not None:
            final = self._sends.final_refusal(refusal)
            if final.message != refusal.message:
                self._no_send = refusal.message
            refusal = final
        self._refuse(refusal)

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
        if placed.software is not None:
            self._origin = 'inferred' if placed.is_inferred else 'recorded'
        budget = self._fleet.cluster_state.retry_budget(admitted.service)
        budget.count_request(time.monotonic())
        refusal = await self._charge(admitted)
        if refusal is not None:
            return refusal
        self._sends = RequestSends(
            self._context,
            self._request,
            self._reply,
            admitted,
            self._subjects,
            end_s,
        )
        end = await self._sends.run(placed.software)
        if isinstance(end, Refusal):
            return end
        await self._deliver(self._sends.relay, end)
        return None

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

    async def _deliver(self, relay: StreamRelay, end: AttemptEnd) -> None:
        assert end.head is not None
        self._was_served = True
        if self._reply.has_started:
            await relay.end(end.body)
        else:
            headers = HTTPHeaders(end.head.headers)
            self._reply.send_complete(end.head.status, headers, end.body)
        self._record_outcome(end.head.status, None)

    def _deadline_refusal(self) -> Refusal:
        sends = self._sends
        if sends is not None and sends.has_sent and not sends.waits_again:
            return may_have_run(Reason.DEADLINE, 'no answer in time')
        return not_run(
            Reason.DEADLINE, 'no answer in time', BUDGET_RETRY_AFTER_S
        )

    def _stopped_refusal(self) -> Refusal:
        text = 'the time to stop was over before the answer'
        if self._sends is not None and self._sends.may_have_run:
            return may_have_run(Reason.DRAINING, text)
        return not_run(Reason.DRAINING, text, STOP_RETRY_S)

    def _refuse(self, refusal: Refusal) -> None:
        status = status_of(refusal)
        if refusal.verdict is Verdict.NOT_RUN:
            self._refund()
        if not self._reply.can_answer:
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
        tries: tuple[Try, ...] = ()
        stay = QueueStay()
        if self._sends is not None:
            stay = self._sends.stay
            tries = self._sends.try_log(
                None if refusal is None else refusal.reason
            )
        now_s = time.monotonic()
        outcome = describe_outcome(
            self._request,
            self._admitted,
            self._fleet,
            status,
            refusal,
            tries,
            self._subjects,
            now_s,
            stay,
            self._no_send,
            self._origin,
        )
        REQUESTS.labels(outcome.service, str(status), outcome.reason).inc()
        self._context.log.log_outcome(outcome, now_s)
