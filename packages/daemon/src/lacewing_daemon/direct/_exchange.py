"""Serve one request: admit, place, send, send again by verdict, answer."""

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
from lacewing_daemon.direct._attempt import AttemptEnd
from lacewing_daemon.direct._attempt import Contact
from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._caller_reply import CallerGoneError
from lacewing_daemon.direct._caller_reply import CallerReply
from lacewing_daemon.direct._choice import NoCapacity
from lacewing_daemon.direct._fleet import Fleet
from lacewing_daemon.direct._metrics import REPEATS_DENIED
from lacewing_daemon.direct._metrics import REQUESTS
from lacewing_daemon.direct._placing import Placer
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._request_log import RequestLog
from lacewing_daemon.direct._request_log import RequestOutcome
from lacewing_daemon.direct._send import Send
from lacewing_daemon.direct._send import SendResult
from lacewing_daemon.direct._site import Wire
from lacewing_daemon.direct._stream_relay import StreamRelay
from lacewing_daemon.direct._target import Target
from lacewing_daemon.direct.crashes._detector import COLLECT_WINDOW_S
from lacewing_daemon.direct.crashes._fingerprint import fingerprint
from lacewing_daemon.refusals import Refusals

_MS = 1000.0
# Sends of one request, refused ones included: beyond it the fleet is full.
MAX_SENDS = 4
# An answer that arrives this much before the caller's deadline reaches it.
RETURN_WAY_S = 0.02
# When all upstreams that were tried refused: some of them have a slot free
# within a few requests' time.
REFUSED_RETRY_S = 0.2
# A stream that has begun looks for room this often, for so much of the time
# after which its caller leaves: what the silence before has left of it.
ROOM_LOOK_S = 0.03
ROOM_PART = 0.35
BUDGET_RETRY_S = 1.0
# A crash is known once a connection was refused, some ms after the runs there
# were gathered.
HEARS_S = 2 * COLLECT_WINDOW_S

_STATUS = {
    Reason.BAD_KEY: 401,
    Reason.UNKNOWN_PATH: 404,
    Reason.TOO_LARGE: 413,
}
_ELSEWHERE = frozenset((Reason.NOT_READY, Reason.PLATFORM_UNAVAILABLE))
_SUCCESS = range(200, 300)
_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_TIMED_OUT = 504
# What is logged as the status where the caller left or its answer was cut.
_NO_STATUS = 0


@dataclass(frozen=True)
class ServingContext:
    """Hold what all requests of a router share."""

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
        serving: ServingContext,
        request: CallerRequest,
        reply: CallerReply,
    ) -> None:
        self._serving = serving
        self._fleet = serving.fleet
        self._request = request
        self._reply = reply
        self._admitted: Admitted | None = None
        self._fingerprint = ''
        self._refusals = Refusals()
        self._tried: frozenset[str] = frozenset()
        self._tries: list[Try] = []
        self._sending: Send | None = None
        self._sends = 0
        self._arrived = False
        self._runs = 0
        self._goes_on: Target | None = None
        self._room_until_s: float | None = None

    async def run(self) -> None:
        """Serve the request; cancelled when its caller has left."""
        admitted = admit(
            self._request,
            self._fleet.cluster_state.routing_config,
            self._fleet.keys_confirmed,
            self._serving.random,
        )
        if isinstance(admitted, Refusal):
            self._refuse(admitted)
            return
        self._admitted = admitted
        self._fingerprint = fingerprint(self._request, admitted.team_name)
        budget = self._fleet.cluster_state.retry_budget(admitted.service)
        budget.count_request(time.monotonic())
        end_s = self._request.received_s + self._allowed_s(admitted)
        try:
            async with asyncio.timeout(end_s - time.monotonic()):
                refusal = await self._try_all(admitted, end_s)
        except TimeoutError:
            refusal = self._late()
        except (CallerGoneError, asyncio.CancelledError):
            self._tell(_NO_STATUS, self._gone())
            self._reply.abort()
            raise
        if refusal is not None:
            self._refuse(self._refusals.final_refusal(refusal))

    def _allowed_s(self, admitted: Admitted) -> float:
        allowed_s = admitted.route.timeout_s
        if self._request.deadline_s is not None:
            allowed_s = min(allowed_s, self._request.deadline_s)
        return max(0.0, allowed_s - RETURN_WAY_S)

    async def _try_all(
        self, admitted: Admitted, end_s: float
    ) -> Refusal | None:
        """Return why the request is given up, None once it is answered."""
        relay = StreamRelay(self._reply, self._request.after_event)
        while True:
            if self._is_blocked():
                return self._blocked()
            target = self._place(admitted, end_s)
            if isinstance(target, NoCapacity):
                # Symptom: when an engine is lost, streams of it are cut
                # beside engines that live. They leave together, the first
                # ones fill what may wait at an engine, and the rest was
                # refused. Room comes within a few first events.
                await asyncio.sleep(ROOM_LOOK_S)
                continue
            if isinstance(target, Refusal):
                return target
            self._sends += 1
            self._sending = Send(
                self._fleet,
                self._serving.wire,
                self._serving.placer,
                self._request,
                admitted,
                target,
                partial(self._may_leave, admitted, target, end_s),
                self._fingerprint,
            )
            sent = await self._sending.run(relay, end_s)
            self._sending = None
            self._tries.append(sent.log_entry)
            self._arrived |= sent.end.contact is Contact.CONNECTED
            if self._is_answer(sent.end):
                await self._deliver(relay, sent.end)
                return None
            refusal = self._settle(admitted, target, sent)
            if refusal is not None:
                return refusal
            if sent.end.connection_broken:
                await self._hear_of_crash()
            relay.restart()

    def _is_blocked(self) -> bool:
        guard = self._fleet.crash_guard
        if not guard.is_blocked(self._fingerprint):
            return False
        # A retry is never a probe: the request may have caused the newest
        # crash on an earlier attempt.
        return self._sends > 0 or not guard.admits_probe(self._fingerprint)

    def _blocked(self) -> Refusal:
        return not_run(
            Reason.WORKERS_CRASHED,
            'upstreams crashed under this request',
            self._fleet.crash_guard.retry_after_s(self._fingerprint),
        )

    async def _hear_of_crash(self) -> None:
        """Wait until it is known whether an upstream crashed once more.

        Sent on at once, a request that has crashed one upstream before would
        end another one while this router still looks at the second.
        """
        if self._fleet.crash_guard.is_suspected(self._fingerprint):
            await asyncio.sleep(HEARS_S)

    def _place(
        self, admitted: Admitted, end_s: float
    ) -> Target | NoCapacity | Refusal:
        """Return where to send, NoCapacity to look again, or why not to."""
        now_s = time.monotonic()
        placed: Target | NoCapacity
        if self._goes_on is not None:
            placed = self._goes_on
        else:
            placed = self._serving.placer.place(
                self._request,
                admitted,
                self._tried,
                self._left_ms(admitted, end_s, now_s),
                now_s,
            )
        if isinstance(placed, NoCapacity):
            if self._waits_for_room(admitted, now_s):
                return placed
            return not_run(
                Reason.NO_WORKER,
                'no upstream can answer in time',
                placed.retry_after_ms / _MS,
            )
        if not self._arrived:
            # A repeat is what loads upstreams once more. What reached none
            # has loaded nobody: asked for it, the budget was used up by
            # engines that crash, and prompts were refused beside idle ones.
            return placed
        budget = self._fleet.cluster_state.retry_budget(admitted.service)
        if budget.spend(
            now_s, self._fleet.cluster_state.router_count, self._runs > 0
        ):
            return placed
        REPEATS_DENIED.labels(admitted.service.name).inc()
        return not_run(
            Reason.NO_WORKER, 'the retry budget is used up', BUDGET_RETRY_S
        )

    def _waits_for_room(self, admitted: Admitted, now_s: float) -> bool:
        """Tell whether a stream that has begun waits for room elsewhere."""
        if not self._reply.has_started:
            return False
        if self._room_until_s is None:
            wait_s = admitted.route.abandon_after_s * ROOM_PART
            self._room_until_s = now_s + wait_s
        return now_s < self._room_until_s

    def _may_leave(
        self, admitted: Admitted, target: Target, end_s: float, others: int
    ) -> bool:
        """Tell whether a run could be finished elsewhere if it were left.

        ``others``: runs that are left at the same moment, and spend their
        repeats after this was asked.

        Symptom: a caller's answer is cut in the middle, though its engine
        lives and would have gone on. A stream was broken off on a guess, and
        had no run left, no repeat, no room elsewhere or no time. What is
        known of all these is asked before.
        """
        now_s = time.monotonic()
        budget = self._fleet.cluster_state.retry_budget(admitted.service)
        routers = self._fleet.cluster_state.router_count
        if self._sends >= MAX_SENDS:
            return False
        if not budget.allows(now_s, routers, True, others):
            return False
        placer = self._serving.placer
        if not admitted.route.can_retry:
            return self._reply.has_started and placer.copy_is_usable(
                self._request, target, now_s
            )
        if self._runs + 1 >= admitted.route.max_runs:
            return False
        left_ms = (end_s - now_s) * _MS
        if self._request.prompt is not None:
            tokens = self._request.prompt.expected_tokens
            policy = self._fleet.cluster_state.policy_for(
                admitted.service.name
            )
            left_ms -= tokens * policy.step_ms
        tried = self._tried | {target.state.upstream.upstream_id}
        placed = placer.place(self._request, admitted, tried, left_ms, now_s)
        return not isinstance(placed, NoCapacity)

    def _left_ms(
        self, admitted: Admitted, end_s: float, now_s: float
    ) -> float:
        """Return the time within which a first event must be expected.

        A request that has reached an upstream has begun to be served: it is
        brought to its end, also when that comes late. A stream that broke
        off would otherwise stay broken.
        """
        if self._arrived:
            return (end_s - now_s) * _MS
        wanted_s = (
            admitted.route.latency_target_s * self._serving.policy.patience
        )
        return (self._request.received_s + wanted_s - now_s) * _MS

    def _settle(
        self, admitted: Admitted, target: Target, sent: SendResult
    ) -> Refusal | None:
        """Return why no further send is made, None to send once more."""
        state = target.state
        end = sent.end
        if end.verdict is Verdict.NOT_RUN and target.is_continuation:
            # There is no copy. The run that it was of did begin, so the
            # request must not be sent anywhere else.
            return may_have_run(Reason.STREAM_BROKEN, 'no copy of the run')
        if end.verdict is Verdict.NOT_RUN:
            if not sent.has_newer_weights:
                self._tried |= {state.upstream.upstream_id}
            refusal = not_run(
                end.reason, 'the upstream refused', REFUSED_RETRY_S
            )
            self._refusals.add(refusal)
            return refusal if self._sends >= MAX_SENDS else None
        self._runs += 1
        self._tried |= {state.upstream.upstream_id}
        lost = may_have_run(end.reason, 'the upstream broke off')
        self._refusals.add(lost)
        if not admitted.route.can_retry:
            return self._go_on(target, lost)
        if self._runs >= admitted.route.max_runs or self._sends >= MAX_SENDS:
            return lost
        return None

    def _go_on(self, target: Target, lost: Refusal) -> Refusal | None:
        """Let a run that broke off go on from its copy, if there is one.

        It is the same run: the engine continues after the last event that
        the caller has, from the memory that was copied to it.
        """
        if not self._reply.has_started or self._sends >= MAX_SENDS:
            return lost
        self._goes_on = self._serving.placer.continuation(target)
        return lost if self._goes_on is None else None

    def _is_answer(self, end: AttemptEnd) -> bool:
        """Tell whether an attempt brought what ends the request.

        Once a stream has begun only its rest does. A failure of the
        upstream that was to continue it would pass for its regular end, and
        the caller for one who has all events.
        """
        if end.verdict is not Verdict.RAN or end.head is None:
            return False
        return not self._reply.has_started or end.head.status in _SUCCESS

    async def _deliver(self, relay: StreamRelay, end: AttemptEnd) -> None:
        assert end.head is not None
        if self._reply.has_started:
            await relay.end(end.head)
        else:
            headers = HTTPHeaders(end.head.headers)
            self._reply.send_complete(end.head.status, headers, end.body)
        self._tell(end.head.status, None)

    def _late(self) -> Refusal:
        if self._sends:
            return may_have_run(Reason.DEADLINE, 'no answer in time')
        return not_run(Reason.DEADLINE, 'no answer in time', BUDGET_RETRY_S)

    def _gone(self) -> Refusal:
        if self._reply.stopped:
            return may_have_run(
                Reason.DRAINING, 'the time to stop was over before the answer'
            )
        return may_have_run(Reason.CALLER_GONE, 'the caller left')

    def _refuse(self, refusal: Refusal) -> None:
        status = _status(refusal)
        if self._reply.has_started:
            # The caller has a part of the answer; cut, it can't be taken
            # for the whole.
            self._reply.abort()
            self._tell(_NO_STATUS, refusal)
            return
        retry_after_s = None
        if status == _UNAVAILABLE:
            retry_after_s = refusal.retry_after_s
        if refusal.reason in _ELSEWHERE:
            # The next request of this caller would be refused here as well;
            # a new connection goes to a router that is ready.
            self._reply.announce_close()
        headers = self._serving.wire.refusal(
            self._request.request_id, retry_after_s
        )
        self._reply.send_complete(status, headers, b'')
        self._tell(status, refusal)

    def _tell(self, status: int, refusal: Refusal | None) -> None:
        if self._sending is not None and refusal is not None:
            self._tries.append(self._sending.unfinished(refusal.reason))
        admitted = self._admitted
        directory = self._fleet.cluster_state.routing_config
        now_s = time.monotonic()
        service = '' if admitted is None else admitted.service.name
        team = '' if admitted is None else admitted.team_name
        reason = '' if refusal is None else refusal.reason.value
        verdict = Verdict.RAN if refusal is None else refusal.verdict
        REQUESTS.labels(service, str(status), reason).inc()
        deadline_s = self._request.deadline_s or 0.0
        elapsed_s = now_s - self._request.received_s
        self._serving.log.log_outcome(
            RequestOutcome(
                request_id=self._request.request_id,
                service=service,
                team=team,
                status=status,
                verdict=verdict.value,
                reason=reason,
                message='' if refusal is None else refusal.message,
                ms=int(elapsed_s * _MS),
                left_ms=int((deadline_s - elapsed_s) * _MS),
                config=0 if directory is None else directory.version,
                config_age_ms=int(
                    min(self._fleet.routing_config_age_s, _LONG_S) * _MS
                ),
                upstreams=len(self._fleet.cluster_state.upstreams_of(service)),
                tries=tuple(self._tries),
                fingerprint=self._fingerprint,
            ),
            now_s,
        )


# Ages are cut here for the log; JSON has no infinity.
_LONG_S = 9999.0


def _status(refusal: Refusal) -> int:
    if refusal.verdict is Verdict.NOT_RUN:
        return _STATUS.get(refusal.reason, _UNAVAILABLE)
    if refusal.reason is Reason.DEADLINE:
        return _TIMED_OUT
    return _BAD_GATEWAY
