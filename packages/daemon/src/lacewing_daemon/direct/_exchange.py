"""Serve one request: admit, place, send, send again by verdict, answer."""

import asyncio
import time
from dataclasses import dataclass
from random import Random

from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.verdict import may_have_run
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_common.verdict import Verdict
from tornado.httputil import HTTPHeaders

from lacewing_daemon.direct._admission import admit
from lacewing_daemon.direct._admission import Admitted
from lacewing_daemon.direct._attempt import Attempt
from lacewing_daemon.direct._attempt import AttemptEnd
from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._caller_reply import CallerGoneError
from lacewing_daemon.direct._caller_reply import CallerReply
from lacewing_daemon.direct._choice import NoRoom
from lacewing_daemon.direct._fleet import Fleet
from lacewing_daemon.direct._fleet import ROUTERS_ASSUMED
from lacewing_daemon.direct._placing import Placer
from lacewing_daemon.direct._placing import Target
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._site import Dispatch
from lacewing_daemon.direct._site import ReplyHead
from lacewing_daemon.direct._site import Wire
from lacewing_daemon.direct._stream_relay import StreamRelay
from lacewing_daemon.refusals import Refusals

_MS = 1000.0
# Sends of one request, refused ones included: beyond it the fleet is full.
MAX_SENDS = 4
# An engine that refuses is full or loads weights (0.4 s); others are tried
# meanwhile.
REFUSED_PAUSE_S = 0.15
# Callers leave a stream after 2 s without an event. One that can be resumed
# is moved before that, when its upstream has been silent for so long.
STREAM_SILENT_S = 1.4
# A plain upstream answers in some tens of ms, 0.25 s at its slowest; one
# that is silent for so long is tried elsewhere if the request may repeat.
PLAIN_SILENT_S = 0.45
# An answer that arrives this much before the caller's deadline reaches it.
RETURN_WAY_S = 0.02

_STATUS = {
    Reason.BAD_KEY: 401,
    Reason.UNKNOWN_PATH: 404,
    Reason.TOO_LARGE: 413,
}
_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_TIMED_OUT = 504

_log = get_log(Part.ATTEMPT)


@dataclass(frozen=True)
class Serving:
    """Hold what all requests of a router share."""

    fleet: Fleet
    wire: Wire
    placer: Placer
    policy: LoadPolicy
    random: Random


class Exchange:
    """Serve one request to its end."""

    def __init__(
        self, serving: Serving, request: CallerRequest, reply: CallerReply
    ) -> None:
        self._serving = serving
        self._fleet = serving.fleet
        self._request = request
        self._reply = reply
        self._refusals = Refusals()
        self._tried: frozenset[str] = frozenset()
        self._sends = 0
        self._runs = 0

    async def run(self) -> None:
        """Serve the request; cancelled when its caller has left."""
        admitted = admit(
            self._request,
            self._fleet.directory,
            self._fleet.keys_confirmed,
            self._serving.random,
        )
        if isinstance(admitted, Refusal):
            self._refuse(admitted)
            return
        budget = self._fleet.budget(admitted.service)
        budget.count_request(time.monotonic())
        end_s = self._request.received_s + self._allowed_s(admitted)
        try:
            async with asyncio.timeout(end_s - time.monotonic()):
                refusal = await self._try_all(admitted, end_s)
        except TimeoutError:
            refusal = self._late()
        except CallerGoneError:
            self._reply.abort()
            return
        if refusal is not None:
            self._refuse(self._refusals.final(refusal))

    def _allowed_s(self, admitted: Admitted) -> float:
        allowed_s = admitted.route.timeout_s
        if self._request.deadline_s is not None:
            allowed_s = min(allowed_s, self._request.deadline_s)
        return max(0.0, allowed_s - RETURN_WAY_S)

    async def _try_all(
        self, admitted: Admitted, end_s: float
    ) -> Refusal | None:
        relay = StreamRelay(self._reply, self._request.after_event)
        while True:
            now_s = time.monotonic()
            target = self._serving.placer.place(
                self._request,
                admitted,
                self._tried,
                self._left_ms(admitted, now_s),
                now_s,
            )
            if isinstance(target, NoRoom):
                return not_run(
                    Reason.NO_WORKER,
                    'no upstream can answer in time',
                    target.room_ms / _MS,
                )
            if self._sends and not self._fleet.budget(admitted.service).spend(
                now_s, ROUTERS_ASSUMED
            ):
                return not_run(
                    Reason.NO_WORKER, 'the retry budget is used up', 1.0
                )
            self._sends += 1
            end = await self._attempt(admitted, target, relay, end_s)
            done = await self._settle(admitted, target, relay, end)
            if done is not None:
                return done if isinstance(done, Refusal) else None

    async def _attempt(
        self,
        admitted: Admitted,
        target: Target,
        relay: StreamRelay,
        end_s: float,
    ) -> AttemptEnd:
        state = target.state
        ticket = state.open(target.read_ms, target.urgency)
        begun = False
        began_s = time.monotonic()

        def begin() -> None:
            nonlocal begun
            if not begun:
                begun = True
                state.began(ticket)

        async def on_piece(head: ReplyHead, piece: bytes) -> None:
            begin()
            await relay.take(head, piece)

        streams = admitted.route.streams
        attempt = Attempt(
            self._request,
            self._serving.wire,
            self._learner(target),
            on_piece if streams else None,
        )
        engine = admitted.service.engine
        if engine is not None and self._request.prompt is not None:
            self._serving.placer.note_sent(
                target, self._request.prompt, engine, began_s
            )
        left_s = end_s - began_s
        silent_s = left_s
        if admitted.route.may_repeat:
            silent_s = STREAM_SILENT_S if streams else PLAIN_SILENT_S
        dispatch = Dispatch(
            state.upstream.upstream_id,
            left_s,
            None if admitted.team is None else admitted.team.name,
            target.wall,
            target.weights,
            target.fetch_from,
            target.save_to,
            target.urgency if target.wall is not None else None,
            after_event=relay.last_event,
        )
        try:
            return await attempt.run(
                self._fleet.pool,
                state.upstream,
                dispatch,
                admitted.route.may_repeat,
                silent_s,
                silent_s,
            )
        finally:
            begin()
            state.closed()

    def _learner(self, target: Target):  # type: ignore[no-untyped-def]
        prompt = self._request.prompt

        def learn(head: ReplyHead) -> None:
            if head.load is not None:
                target.state.learn_load(head.load, time.monotonic())
            if head.weights is not None and prompt is not None:
                target.state.learn_weights(prompt.model, head.weights)

        return learn

    async def _settle(
        self,
        admitted: Admitted,
        target: Target,
        relay: StreamRelay,
        end: AttemptEnd,
    ) -> Refusal | bool | None:
        """Answer the caller, or return None to send once more."""
        now_s = time.monotonic()
        upstream_id = target.state.upstream.upstream_id
        if end.verdict is Verdict.RAN and end.head is not None:
            target.state.succeeded()
            await self._deliver(relay, end, end.head)
            return True
        if end.verdict is Verdict.NOT_RUN:
            self._refused(target, end, now_s)
            refusal = not_run(end.reason, 'the upstream refused', 0.2)
            self._refusals.add(refusal)
            if self._sends >= MAX_SENDS:
                return refusal
            return None
        self._runs += 1
        target.state.failed(now_s)
        self._tried |= {upstream_id}
        lost = may_have_run(end.reason, 'the upstream broke off')
        self._refusals.add(lost)
        if not admitted.route.may_repeat:
            return lost
        if self._runs >= admitted.route.max_runs or self._sends >= MAX_SENDS:
            return lost
        relay.restart()
        return None

    def _refused(self, target: Target, end: AttemptEnd, now_s: float) -> None:
        state = target.state
        if end.reason is Reason.WORKER_UNREACHABLE:
            state.failed(now_s)
            self._tried |= {state.upstream.upstream_id}
            return
        if end.reason is Reason.STALE_WEIGHTS:
            prompt = self._request.prompt
            if prompt is not None:
                if state.weights(prompt.model) != target.weights:
                    # The refusal told the version; the next send names it.
                    return
            self._tried |= {state.upstream.upstream_id}
            return
        state.pause(now_s, REFUSED_PAUSE_S)
        self._tried |= {state.upstream.upstream_id}

    async def _deliver(
        self, relay: StreamRelay, end: AttemptEnd, head: ReplyHead
    ) -> None:
        if self._reply.begun:
            await relay.end(head)
            return
        headers = HTTPHeaders(head.headers)
        self._reply.whole(head.status, headers, end.body)

    def _left_ms(self, admitted: Admitted, now_s: float) -> float:
        """Return the time left to a first event that counts as on time."""
        route = admitted.route
        elapsed_s = now_s - self._request.received_s
        wanted_s = route.target_s * self._serving.policy.patience
        return (wanted_s - elapsed_s) * _MS

    def _late(self) -> Refusal:
        if self._sends:
            return may_have_run(Reason.DEADLINE, 'no answer in time')
        return not_run(Reason.DEADLINE, 'no answer in time', 1.0)

    def _refuse(self, refusal: Refusal) -> None:
        if self._reply.ended:
            return
        status = _status(refusal)
        _log.info(
            'Refused a request.',
            request=self._request.request_id,
            status=status,
            verdict=refusal.verdict.value,
            reason=refusal.reason.value,
            sends=self._sends,
            message=refusal.message,
        )
        if self._reply.begun:
            self._reply.abort()
            return
        retry_after_s = None
        if status == _UNAVAILABLE:
            retry_after_s = refusal.retry_after_s
        headers = self._serving.wire.refusal(
            self._request.request_id, retry_after_s
        )
        self._reply.whole(status, headers, b'')


def _status(refusal: Refusal) -> int:
    if refusal.verdict is Verdict.NOT_RUN:
        return _STATUS.get(refusal.reason, _UNAVAILABLE)
    if refusal.reason is Reason.DEADLINE:
        return _TIMED_OUT
    return _BAD_GATEWAY
