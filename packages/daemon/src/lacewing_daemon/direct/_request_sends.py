"""Send one request to upstreams until one has answered it."""

import asyncio
import time
from dataclasses import dataclass
from functools import partial

from lacewing_common.log_lines import Try
from lacewing_common.verdict import may_have_run
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_common.verdict import Verdict

from lacewing_daemon.direct._admission import Admitted
from lacewing_daemon.direct._admission import confirm_key
from lacewing_daemon.direct._answer_end import is_event_stream
from lacewing_daemon.direct._attempt import AttemptEnd
from lacewing_daemon.direct._attempt import Contact
from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._caller_reply import CallerReply
from lacewing_daemon.direct._choice import NoCapacity
from lacewing_daemon.direct._crash_checks import CrashChecks
from lacewing_daemon.direct._handover import Handover
from lacewing_daemon.direct._handover import NoSuccessor
from lacewing_daemon.direct._handover import SuccessorRelay
from lacewing_daemon.direct._metrics import CONTINUATIONS_REFUSED
from lacewing_daemon.direct._next_target import TargetChooser
from lacewing_daemon.direct._progress import MAX_SENDS
from lacewing_daemon.direct._progress import RequestProgress
from lacewing_daemon.direct._send import Send
from lacewing_daemon.direct._send import SendResult
from lacewing_daemon.direct._serving_context import ServingContext
from lacewing_daemon.direct._stream_relay import StreamRelay
from lacewing_daemon.direct._target import Target
from lacewing_daemon.direct._try_entry import GivenUp
from lacewing_daemon.direct.crashes._fingerprint import RequestSubjects
from lacewing_daemon.direct.queueing import QueueStay
from lacewing_daemon.refusals import Refusals

_SUCCESS = range(200, 300)
# A started stream checks for capacity at this interval.
CAPACITY_CHECK_INTERVAL_S = 0.03
# Used when all upstreams that were tried refused: some of them will have a
# free slot within the duration of a few requests.
REFUSED_RETRY_AFTER_S = 0.2


@dataclass(frozen=True)
class OpenSend:
    """Hold a send that is under way; ``handover`` None if it has none."""

    target: Target
    send: Send
    handover: 'Handover[EndedSend] | None'


@dataclass(frozen=True)
class EndedSend:
    """Hold how a send ended."""

    opened: OpenSend
    result: SendResult

    @property
    def end(self) -> AttemptEnd:
        """Return how the attempt ended."""
        return self.result.end


class RequestSends:
    """Make the sends of one admitted request.

    At most one send goes on at a time, but for a started stream that is
    moved: its run goes on for a moment after its successor was asked.
    """

    def __init__(
        self,
        context: ServingContext,
        request: CallerRequest,
        reply: CallerReply,
        admitted: Admitted,
        subjects: RequestSubjects,
        end_s: float,
    ) -> None:
        self._context = context
        self._fleet = context.fleet
        self._request = request
        self._reply = reply
        self._admitted = admitted
        self._subjects = subjects
        self._end_s = end_s
        self._relay = StreamRelay(reply, request.after_event)
        self._refusals = Refusals()
        self._try_log: list[Try] = []
        self._open_sends: list[OpenSend] = []
        self._handovers: list[Handover[EndedSend]] = []
        self._progress = RequestProgress()
        self._crash_checks = CrashChecks(context.fleet.crash_guard, subjects)
        self._chooser = TargetChooser(
            context.fleet,
            context.placer,
            context.policy,
            request,
            reply,
            self._progress,
        )
        self._has_logged_refusals = False

    @property
    def stay(self) -> QueueStay:
        """Return how the request has waited in the queue."""
        return self._chooser.stay

    @property
    def has_sent(self) -> bool:
        """Return whether the request was sent to any upstream."""
        return self._progress.sends > 0

    @property
    def may_have_run(self) -> bool:
        """Return whether any upstream may have begun to run it."""
        return (
            bool(self._open_sends)
            or self._progress.runs > 0
            or self._reply.has_started
        )

    @property
    def waits_again(self) -> bool:
        """Return whether it is queued and has not run before."""
        return (
            self.stay.ahead >= 0
            and not self._open_sends
            and not self._progress.runs
        )

    @property
    def relay(self) -> StreamRelay:
        """Return the relay of the caller's stream."""
        return self._relay

    def final_refusal(self, refusal: Refusal) -> Refusal:
        """Return the refusal to send to the caller after the last send."""
        return self._refusals.final_refusal(refusal)

    def try_log(self, reason: Reason | None) -> tuple[Try, ...]:
        """Return the log entries; ``reason`` ended what is under way."""
        entries = list(self._try_log)
        if reason is not None:
            for opened in self._open_sends:
                entries.append(opened.send.unfinished(reason))
        return tuple(entries)

    def close(self) -> None:
        """Stop the sends that are not awaited."""
        for handover in self._handovers:
            handover.close()

    def forget(self) -> None:
        """Drop what refers back to this, and with it the request.

        Otherwise its body would stay in memory until a garbage collection.
        """
        self._open_sends.clear()
        self._handovers.clear()

    async def run(self, software: str | None) -> AttemptEnd | Refusal:
        """Return the end of the answer, or why there is none.

        ``software``: the version that the stream must go on at, None for a
        new one. Cancelled when the caller disconnects or at its deadline.
        """
        admitted = self._admitted
        self._progress.software = software
        while True:
            if not self.may_have_run:
                stops = self._context.stop_window.refusal(
                    admitted.route.name, self._end_s, time.monotonic()
                )
                if stops is not None:
                    return stops
            if not self._crash_checks.may_send(self.has_sent):
                return self._crash_checks.refusal()
            was_blocked = self._crash_checks.is_blocked
            queued_s = self._chooser.stay.queued_s
            target = await self._chooser.choose(
                admitted, self._subjects, self._end_s
            )
            if isinstance(target, Target):
                if self._chooser.stay.queued_s > queued_s:
                    refusal = self._check_after_wait(was_blocked)
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
            ended, failure = await self._send(target)
            if failure is None:
                return ended.end
            final = self._next_step(ended, failure)
            if self._chooser.returns_to_queue(
                admitted, ended.opened.target, ended.end.verdict
            ):
                final = None
            if final is None and not self._relay.can_go_on:
                final = may_have_run(
                    Reason.STREAM_BROKEN, 'its events have no ids'
                )
            if final is not None:
                return final
            if ended.end.connection_broken:
                await self._crash_checks.await_detection()

    async def _send(self, target: Target) -> tuple[EndedSend, Refusal | None]:
        """Send to one upstream, and move the stream while that is useful.

        Returns the last send and why it failed, None if it has answered.
        """
        opened = self._open(target)
        result = await opened.send.run(self._relay, self._end_s)
        ended = EndedSend(opened, result)
        while True:
            handover = ended.opened.handover
            if handover is not None:
                handover.run_ended()
            await self._close_send(ended)
            if self._is_answer(ended.end):
                self._end_others()
                return ended, None
            failure = self._record_failure(ended)
            successor = None
            if handover is not None:
                successor = await handover.successor()
            if successor is None:
                return ended, failure
            ended = successor

    def _open(self, target: Target) -> OpenSend:
        self._progress.sends += 1
        handover: Handover[EndedSend] | None = None
        route = self._admitted.route
        has_copy = target.copy_to is not None
        if route.is_streaming and (route.can_retry or has_copy):
            handover = Handover(
                self._admitted.service.name,
                self._relay,
                partial(self._ask_successor, target),
                not route.can_retry,
            )
            self._handovers.append(handover)
        send = Send(
            self._fleet,
            self._context.wire,
            self._context.placer,
            self._request,
            self._admitted,
            target,
            partial(self._can_move, target, handover),
            self._subjects,
            handover,
            self._progress.software,
        )
        opened = OpenSend(target, send, handover)
        self._open_sends.append(opened)
        return opened

    async def _close_send(self, ended: EndedSend) -> None:
        self._open_sends.remove(ended.opened)
        self._try_log.append(ended.result.log_entry)
        if ended.end.contact is Contact.CONNECTED:
            self._progress.has_reached_upstream = True
        else:
            self._chooser.refund()
        if self._relay.has_started and not self._is_answer(ended.end):
            await self._fix_software(ended.opened.send)

    async def _fix_software(self, send: Send | None) -> None:
        """Let a started stream go on at the version that began it."""
        if send is not None and self._progress.software is None:
            self._progress.software = await send.software()

    def _send_to(self, target: Target) -> Send | None:
        """Return the open send to a target, None if it has ended."""
        for opened in self._open_sends:
            if opened.target is target:
                return opened.send
        return None

    def _end_others(self) -> None:
        """End a successor that was asked while the earlier run went on."""
        self.close()
        for opened in self._open_sends:
            self._log_resumed(opened)
        self._open_sends.clear()

    def _can_move(
        self,
        target: Target,
        handover: 'Handover[EndedSend] | None',
        other_moves: int,
    ) -> bool:
        if handover is not None and not handover.can_begin(time.monotonic()):
            return False
        if not self._relay.can_go_on:
            return False
        return self._chooser.can_move(
            self._admitted, target, self._end_s, other_moves
        )

    async def _ask_successor(
        self, left: Target, relay: SuccessorRelay
    ) -> EndedSend | NoSuccessor:
        """Send the rest of a stream while its run goes on at ``left``."""
        self._progress.leave(left.state.upstream.upstream_id)
        await self._fix_software(self._send_to(left))
        if not self._may_ask(left):
            return NoSuccessor.NOBODY
        target = await self._chooser.choose(
            self._admitted, self._subjects, self._end_s, may_wait=False
        )
        if not isinstance(target, Target):
            return NoSuccessor.NOBODY
        opened = self._open(target)
        try:
            result = await opened.send.run(
                relay, self._end_s, relay.record_sending
            )
        except asyncio.CancelledError:
            if opened in self._open_sends and len(self._open_sends) > 1:
                self._open_sends.remove(opened)
                if relay.sent_s is None:
                    self._take_back_send()
                else:
                    self._log_resumed(opened)
            raise
        ended = EndedSend(opened, result)
        if (
            relay.has_taken_over
            or self._is_answer(result.end)
            or _may_have_gone_on(ended)
        ):
            relay.take_over()
            return ended
        self._progress.continuation = None
        await self._close_send(ended)
        self._record_failure(ended)
        return NoSuccessor.FAILED

    def _may_ask(self, left: Target) -> bool:
        """Return whether another upstream may go on with a run that lasts."""
        if not self._may_send_again or self._crash_checks.is_blocked:
            return False
        if not self._relay.can_go_on:
            return False
        route = self._admitted.route
        if route.can_retry:
            return self._progress.runs + 1 < route.max_runs
        continuation = self._context.placer.continuation(
            left, self._progress.software
        )
        self._progress.continuation = continuation
        return continuation is not None

    def _take_back_send(self) -> None:
        """Count a send no more that was given up before it was made."""
        self._progress.sends -= 1
        self._progress.continuation = None
        self._chooser.refund()

    def _log_resumed(self, opened: OpenSend) -> None:
        """Record a successor that was ended, as the earlier run went on."""
        self._progress.leave(opened.target.state.upstream.upstream_id)
        self._progress.continuation = None
        self._try_log.append(
            opened.send.unfinished(Reason.STREAM_BROKEN, GivenUp.RESUMED)
        )

    def _check_after_wait(self, was_blocked: bool) -> Refusal | None:
        """Return why a request that has waited must not be sent any more.

        Without this, requests that waited while others like them crashed
        upstreams would crash more, and a key that was taken away would be
        used until the deadlines of the requests with it. A request that
        ``was_blocked`` before it waited is a probe.
        """
        if not was_blocked and self._crash_checks.is_blocked:
            return self._crash_checks.refusal()
        return confirm_key(
            self._request,
            self._admitted,
            self._fleet.cluster_state.routing_config,
            self._fleet.keys_confirmed,
        )

    def _record_failure(self, ended: EndedSend) -> Refusal:
        """Record a send that did not answer the request."""
        target, end = ended.opened.target, ended.end
        self._reply.release()
        upstream_id = target.state.upstream.upstream_id
        if end.verdict is Verdict.NOT_RUN and target.is_continuation:
            # The upstream has no copy of the run. The run has started, so
            # the request must not be sent to any other upstream.
            return may_have_run(Reason.STREAM_BROKEN, 'no copy of the run')
        if end.verdict is Verdict.NOT_RUN:
            self._progress.refusals += 1
            if (
                not ended.result.has_newer_weights
                or self._progress.sends >= MAX_SENDS
            ):
                self._progress.add_refusal(upstream_id)
            refusal = not_run(
                end.reason, 'the upstream refused', REFUSED_RETRY_AFTER_S
            )
            if self._reply.has_started:
                self._record_refused_rest()
        else:
            self._progress.add_run(upstream_id)
            refusal = may_have_run(end.reason, 'the upstream broke off')
        self._refusals.add(refusal)
        return refusal

    def _next_step(self, ended: EndedSend, failure: Refusal) -> Refusal | None:
        """Return why no further send is made, None to send again."""
        target = ended.opened.target
        route = self._admitted.route
        if ended.end.verdict is Verdict.NOT_RUN:
            if target.is_continuation or not self._may_send_again:
                return failure
            return None
        if not route.can_retry:
            return self._continue_run(target, failure)
        if self._progress.runs >= route.max_runs or not self._may_send_again:
            return failure
        return None

    @property
    def _may_send_again(self) -> bool:
        return self._progress.may_send(self._reply.has_started)

    def _record_refused_rest(self) -> None:
        """Record that an upstream refused the rest of a started stream."""
        service = self._admitted.service.name
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
        self._progress.continuation = self._context.placer.continuation(
            target, self._progress.software
        )
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


def _may_have_gone_on(ended: EndedSend) -> bool:
    """Return whether a run may have gone on from its copy at an upstream."""
    if not ended.opened.target.is_continuation:
        return False
    return ended.end.verdict is not Verdict.NOT_RUN
