"""Send a request to a chosen upstream and record its load and outcome."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from functools import partial
from typing import Any

from lacewing_common.log_lines import BrokenRun
from lacewing_common.log_lines import Try
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Verdict

from lacewing_daemon.direct._admission import Admitted
from lacewing_daemon.direct._attempt import Attempt
from lacewing_daemon.direct._attempt import AttemptEnd
from lacewing_daemon.direct._attempt import Contact
from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._call import Prompt
from lacewing_daemon.direct._clock import boot_s
from lacewing_daemon.direct._estimates import Estimates
from lacewing_daemon.direct._first_event import record_engine_event
from lacewing_daemon.direct._first_event import record_first_event
from lacewing_daemon.direct._fleet import Fleet
from lacewing_daemon.direct._handover import Handover
from lacewing_daemon.direct._metrics import ANSWERS_UNSIGNED
from lacewing_daemon.direct._metrics import ATTEMPTS
from lacewing_daemon.direct._metrics import BODY_ENDS
from lacewing_daemon.direct._metrics import FIRST_SECONDS
from lacewing_daemon.direct._metrics import MACHINE_SLOWDOWN
from lacewing_daemon.direct._metrics import RUNS_CONTINUED
from lacewing_daemon.direct._metrics import STARTS_UNCONFIRMED
from lacewing_daemon.direct._placing import Placer
from lacewing_daemon.direct._site import Dispatch
from lacewing_daemon.direct._site import ReplyHead
from lacewing_daemon.direct._site import UpstreamLoad
from lacewing_daemon.direct._site import Wire
from lacewing_daemon.direct._stream_relay import EventRelay
from lacewing_daemon.direct._take_up import record_origin
from lacewing_daemon.direct._target import Target
from lacewing_daemon.direct._try_entry import describe_try
from lacewing_daemon.direct._try_entry import GivenUp
from lacewing_daemon.direct._upstream import Software
from lacewing_daemon.direct._upstream import UnknownSoftware
from lacewing_daemon.direct.crashes._fingerprint import RequestSubjects

_MS = 1000.0
_SUCCESS = range(200, 300)
# An upstream at whose address another one answers has terminated; its store
# entry is removed within a few seconds.
MOVED_UPSTREAM_PAUSE_S = 4.0
# An engine that refuses is at capacity or loads weights (0.4 s); other engines
# are tried meanwhile.
REFUSED_PAUSE_S = 0.15
# Callers abandon a stream after at least 2 s without an event. A resumable
# stream is moved before that, once no data has been received from its
# upstream on any stream for this long.
STREAM_SILENT_S = 1.4
# An upstream that sends data on other streams is alive and may be prefilling.
# A stream of it is moved only after this fraction of the time after which its
# caller abandons it.
STREAM_MOVE_FRACTION = 0.7
# A plain upstream answers within some tens of ms, 0.25 s at its slowest. After
# this time without data a request that can be retried is sent to another one.
PLAIN_SILENT_S = 0.45


def _ignore_sending() -> None:
    return


@dataclass(frozen=True)
class SendResult:
    """Hold how a send ended and its entry in the request log.

    ``has_newer_weights``: the upstream refused because it has newer weights,
    and reported their version.
    """

    end: AttemptEnd
    log_entry: Try
    has_newer_weights: bool


class Send:
    """Send one request to one upstream once.

    Counts the load that the request adds until it ends, and updates the
    state of the upstream from the answer. ``can_move`` returns whether the
    request could be finished at another upstream, given the number of other
    requests that move at the same moment. ``subjects`` are what a crash under
    it may be attributed to. ``handover`` moves the stream once it has events;
    without one, its run is ended before another upstream is asked.
    ``required_software``: the version that a started stream must go on at.
    """

    def __init__(
        self,
        fleet: Fleet,
        wire: Wire,
        placer: Placer,
        request: CallerRequest,
        admitted: Admitted,
        target: Target,
        can_move: Callable[[int], bool],
        subjects: RequestSubjects,
        handover: Handover[Any] | None = None,
        required_software: Software | None = None,
    ) -> None:
        self._fleet = fleet
        self._handover = handover
        self._wire = wire
        self._placer = placer
        self._request = request
        self._admitted = admitted
        self._target = target
        self._state = target.state
        self._can_move = can_move
        self._subjects = subjects
        self._required_software = required_software
        self._guard = fleet.crash_guard
        self._start_s = time.monotonic()
        self._first_event_s: float | None = None
        self._slowdown: float | None = None
        self._is_own_answer = True
        self._given_up = GivenUp.NO
        self._has_events = False
        self._relay: EventRelay | None = None
        self._attempt: Attempt | None = None
        self._on_sending: Callable[[], None] = _ignore_sending
        self._sent_s = self._start_s
        self._other_requests = self._state.other_requests(self._start_s)
        self._copy_tokens = 0
        if target.copy_to is not None and request.prompt is not None:
            self._copy_tokens = request.prompt.tokens
            target.copy_to.open_copy(self._copy_tokens)
        self._open_request = self._state.open_request(
            target.prefill_ms,
            target.urgency,
            self._start_s,
            target.prefill_ms * target.tokens_per_ms,
            target.kv_tokens,
        )

    def unfinished(
        self, reason: Reason, given_up: GivenUp = GivenUp.NO
    ) -> Try:
        """Return the log entry of a send that was abandoned."""
        self._given_up = given_up
        end = AttemptEnd(Verdict.MAY_HAVE_RUN, reason)
        if self._attempt is not None:
            end = replace(end, connection_use=self._attempt.connection_use)
        return self._log_entry(end)

    async def software(self) -> Software:
        """Return the version of the software that it reached."""
        checks = self._fleet.restart_checks
        opened_s = 0.0 if self._attempt is None else self._attempt.opened_s
        if checks.software_at(self._state, opened_s) is (
            UnknownSoftware.DOUBTED
        ):
            await checks.resolve(self._state, opened_s)
        return checks.software_at(self._state, opened_s)

    async def run(
        self,
        relay: EventRelay,
        end_s: float,
        on_sending: Callable[[], None] = _ignore_sending,
    ) -> SendResult:
        """Send the request, relay a stream, and return how it ended.

        ``on_sending`` is called right before the request is sent.
        """
        self._record_sent_parts()
        is_streaming = self._admitted.route.is_streaming
        self._relay = relay
        self._on_sending = on_sending

        async def on_events(head: ReplyHead, events: list[bytes]) -> None:
            self._fleet.silence_detector.data_received(
                self._state, time.monotonic()
            )
            if not await self._is_kept():
                return
            if events and not self._has_events:
                self._has_events = True
                is_new = self._can_continue and not relay.has_started
                self._fleet.restart_checks.stream_began(
                    self._state,
                    attempt.opened_s,
                    self._record_origin if is_new else None,
                )
                if self._can_continue:
                    self._watch()
            self._record_first_event()
            await relay.forward(head, events)

        def should_abandon(waited_s: float) -> bool:
            if not self._should_abandon(waited_s, relay.has_started):
                return False
            return self._leave(GivenUp.STALLED)

        attempt = Attempt(
            self._request,
            self._wire,
            self._learn,
            on_events if is_streaming else None,
            relay.hold,
        )
        self._attempt = attempt
        self._abort = attempt.abort
        self._guard.run_opened(self._subjects, self._abort)
        left_s = end_s - self._start_s
        first_wait_s = left_s
        if self._admitted.route.can_retry:
            first_wait_s = STREAM_SILENT_S if is_streaming else PLAIN_SILENT_S
        gap_wait_s = first_wait_s
        if self._target.copy_to is not None:
            gap_wait_s = STREAM_SILENT_S
        try:
            end = await attempt.run(
                self._fleet.pool,
                self._state,
                self._dispatch(left_s, relay.last_event),
                self._admitted.route.can_retry,
                first_wait_s,
                gap_wait_s,
                self._admitted.service.max_idle_connections(
                    self._fleet.cluster_state.router_count
                ),
                should_abandon,
                partial(
                    self._fleet.restart_checks.connection_lost, self._state
                ),
                self._may_send,
            )
        finally:
            self._guard.run_closed(self._subjects, self._abort)
            self._fleet.silence_detector.stream_closed(
                self._state, self._leave_silent
            )
            if self._target.copy_to is not None:
                self._target.copy_to.close_copy(self._copy_tokens)
            self._state.mark_started(self._open_request)
            self._state.close_request(self._open_request)
            self._fleet.queues.capacity_changed(self._admitted.service.name)
        has_newer_weights = self._reported_newer_weights(end)
        if not has_newer_weights:
            self._record_end(end)
        return SendResult(end, self._log_entry(end), has_newer_weights)

    async def _may_send(self, opened_s: float) -> bool:
        """Return whether a connection is to a start that may get the stream.

        A started stream is held back until that is certain. The start that a
        new one is sent to is found out while its first event is awaited.
        """
        checks = self._fleet.restart_checks
        required = self._required_software
        if required is None:
            if self._admitted.route.is_streaming and self._can_continue:
                checks.stream_sent(self._state, opened_s)
            self._record_sending()
            return True
        if await checks.has_software(self._state, opened_s, required):
            self._record_sending()
            return True
        self._given_up = GivenUp.UNCONFIRMED
        STARTS_UNCONFIRMED.labels(self._admitted.service.name).inc()
        return False

    def _record_sending(self) -> None:
        self._sent_s = time.monotonic()
        self._on_sending()

    def _record_origin(self, software: Software) -> None:
        record_origin(
            self._request,
            self._admitted,
            software,
            self._fleet.stream_origins,
        )

    @property
    def _can_continue(self) -> bool:
        """Return whether another upstream could continue the stream."""
        return (
            self._admitted.route.can_retry or self._target.copy_to is not None
        )

    def _watch(self) -> None:
        route = self._admitted.route
        self._fleet.silence_detector.stream_opened(
            self._state,
            self._leave_silent,
            route.can_retry,
            route.max_event_gap_s,
            route.abandon_after_s,
            self._can_move,
        )

    async def _is_kept(self) -> bool:
        """Return whether the run goes on here; a successor is ended then."""
        if self._handover is None or not self._handover.has_begun:
            return True
        return await self._handover.keep_run()

    def _leave_silent(self) -> None:
        self._leave(GivenUp.SILENT)

    def _leave(self, reason: GivenUp) -> bool:
        """Let another upstream go on; return whether the run has ended."""
        if self._handover is None or not self._has_forwarded:
            self._end_run(reason)
            return True
        self._handover.begin(partial(self._end_run, reason))
        return False

    @property
    def _has_forwarded(self) -> bool:
        """Return whether the caller has events of this run."""
        if self._relay is None or not self._has_events:
            return False
        return self._relay.has_started

    def _end_run(self, reason: GivenUp) -> None:
        self._given_up = reason
        if self._attempt is not None:
            self._attempt.abort()

    def _should_abandon(self, waited_s: float, has_started: bool) -> bool:
        """Return whether to abandon an answer on which no data arrives.

        An upstream that prefills long prompts or has preempted a run
        continues seconds later, and plain ones differ in speed. A run that
        can't be finished at another upstream is therefore kept until the
        deadline or until the caller disconnects: abandoning it would lose an
        answer that would have come.
        """
        route = self._admitted.route
        if not self._can_move(0):
            return False
        if not route.is_streaming:
            return True
        if waited_s >= route.abandon_after_s * STREAM_MOVE_FRACTION:
            return True
        return (
            self._state.since_last_data_s(time.monotonic()) >= STREAM_SILENT_S
        )

    def _record_first_event(self) -> None:
        """Record the first event, or the head of an unstreamed answer."""
        if self._first_event_s is not None:
            return
        self._first_event_s = time.monotonic()
        self._guard.run_closed(self._subjects, self._abort)
        self._state.mark_started(self._open_request)
        self._fleet.queues.capacity_changed(self._admitted.service.name)
        prompt = self._request.prompt
        if prompt is None or self._target.is_continuation:
            return
        self._placer.cached_parts.record_prefilled(
            self._target, prompt, self._first_event_s
        )
        elapsed_ms = (self._first_event_s - self._start_s) * _MS
        if self._is_contended:
            self._record_engine_event(prompt, elapsed_ms, self._first_event_s)
        else:
            estimated_ms = (
                self._target.first_event_ms - self._target.lateness_ms
            )
            self._state.record_lateness(
                elapsed_ms - estimated_ms, self._first_event_s
            )
        record_first_event(
            self._estimates, self._target, prompt, elapsed_ms, boot_s()
        )

    def _record_engine_event(
        self, prompt: Prompt, took_ms: float, now_s: float
    ) -> None:
        """Record a first event of a contended service.

        The models keep figures by id, so a first event of another upstream
        or of an incarnation that was replaced or removed is dropped.
        """
        if not self._state.is_listed or not self._is_own_answer:
            return
        service = self._admitted.service.name
        upstream_id = self._state.upstream.upstream_id
        models = self._fleet.cluster_state.engine_models(service)
        record_engine_event(
            models, self._target, prompt, took_ms, self._slowdown, now_s
        )
        self._fleet.speed_reporter.report(
            service,
            upstream_id,
            models.estimate(upstream_id, now_s),
            took_ms - self._target.first_event_ms,
            now_s,
        )

    @property
    def _is_contended(self) -> bool:
        return self._fleet.cluster_state.is_contended(
            self._admitted.service.name
        )

    @property
    def _estimates(self) -> Estimates:
        return self._fleet.cluster_state.estimates(self._admitted.service.name)

    def _record_run(self) -> None:
        """Record a sample of the time per output token from a complete run."""
        prompt = self._request.prompt
        if (
            prompt is None
            or self._first_event_s is None
            or self._target.is_continuation
        ):
            return
        now_s = time.monotonic()
        elapsed_ms = (now_s - self._first_event_s) * _MS
        if self._is_contended and self._state.is_listed:
            self._fleet.cluster_state.engine_models(
                self._admitted.service.name
            ).record_run(
                self._state.upstream.upstream_id,
                prompt.expected_tokens,
                elapsed_ms,
                now_s,
            )
        self._estimates.record_run(
            prompt.expected_tokens, elapsed_ms, boot_s()
        )

    def _record_sent_parts(self) -> None:
        engine = self._admitted.service.engine
        prompt = self._request.prompt
        if engine is None or prompt is None:
            return
        self._placer.record_probe(self._state, self._start_s)
        self._placer.cached_parts.record_sent(
            self._target, prompt, engine, self._start_s
        )

    def _dispatch(self, left_s: float, after_event: str | None) -> Dispatch:
        target = self._target
        team = self._admitted.team
        return Dispatch(
            self._state.upstream.upstream_id,
            left_s,
            None if team is None else team.name,
            target.cache_salt,
            target.weights,
            target.fetch_from,
            target.save_to,
            target.urgency if target.cache_salt is not None else None,
            after_event,
            None
            if target.copy_to is None
            else target.copy_to.upstream.address,
            self._state.upstream.address if target.is_continuation else None,
        )

    def _learn(self, head: ReplyHead) -> None:
        self._fleet.silence_detector.data_received(
            self._state, time.monotonic()
        )
        self._is_own_answer = not self._answered_by_another(head)
        if head.load is not None:
            self._slowdown = head.load.slowdown
        if not self._admitted.route.is_streaming and head.is_signed:
            self._record_first_event()
        if not self._is_own_answer:
            # The load and weights in the answer are those of the other
            # upstream.
            self._state.exclude_for(time.monotonic(), MOVED_UPSTREAM_PAUSE_S)
            return
        if self._state.replaced:
            return
        self._fleet.statements.record(self._state, head, self._start_s)
        if head.load is not None:
            self._state.update_load(head.load, time.monotonic())
            self._record_slowdown(head.load)
        prompt = self._request.prompt
        if head.weights is not None and prompt is not None:
            self._fleet.update_weights(self._state, prompt.model, head.weights)

    def _record_slowdown(self, load: UpstreamLoad) -> None:
        if load.slowdown is None:
            return
        service = self._admitted.service.name
        MACHINE_SLOWDOWN.labels(service).observe(load.slowdown)
        self._fleet.cluster_state.record_shared_machine(service)

    def _answered_by_another(self, head: ReplyHead) -> bool:
        upstream_id = self._state.upstream.upstream_id
        return head.responder_id not in ('', upstream_id)

    def _record_end(self, end: AttemptEnd) -> None:
        """Update metrics and the state of the upstream from the end."""
        service = self._admitted.service.name
        ATTEMPTS.labels(service, end.verdict.value).inc()
        if end.body_end is not None:
            BODY_ENDS.labels(service, end.body_end.value).inc()
        if end.is_unsigned:
            ANSWERS_UNSIGNED.labels(service).inc()
        if self._target.is_continuation:
            RUNS_CONTINUED.labels(service, end.verdict.value).inc()
        now_s = time.monotonic()
        if end.verdict is Verdict.RAN:
            self._state.record_success()
            self._guard.run_completed(
                self._subjects,
                end.head is not None and end.head.status in _SUCCESS,
            )
            self._record_run()
            if self._first_event_s is not None:
                FIRST_SECONDS.labels(service).observe(
                    self._first_event_s - self._request.received_s
                )
            return
        if end.verdict is Verdict.MAY_HAVE_RUN:
            self._state.record_failure(now_s)
            if end.connection_broken:
                self._fleet.restart_checks.run_broken(self._state)
            if end.connection_broken and not self._state.removed:
                self._report_interrupted_run(end)
            return
        if end.contact is Contact.REFUSED:
            self._fleet.restart_checks.connection_lost(self._state)
            self._state.record_refused_connection(now_s)
            return
        if end.contact is Contact.UNREACHABLE:
            self._fleet.restart_checks.connection_lost(self._state)
            self._state.record_unreachable(now_s)
            return
        self._state.exclude_for(now_s, REFUSED_PAUSE_S)

    def _report_interrupted_run(self, end: AttemptEnd) -> None:
        run = BrokenRun(
            request=self._request.request_id,
            same=self._subjects.request,
            begun=self._first_event_s is not None,
            parts=self._subjects.parts,
        )
        self._guard.run_broken(self._state.upstream, run, end.opened_s)

    def _reported_newer_weights(self, end: AttemptEnd) -> bool:
        prompt = self._request.prompt
        if end.reason is not Reason.STALE_WEIGHTS or prompt is None:
            return False
        reported_version = self._state.weights(prompt.model) or 0
        return reported_version > (self._target.weights or 0)

    def _is_unconfirmed(self, opened_s: float) -> bool:
        """Return whether the start that a stream reached is uncertain."""
        if not opened_s or not self._admitted.route.is_streaming:
            return False
        checks = self._fleet.restart_checks
        software = checks.software_at(self._state, opened_s)
        return software is UnknownSoftware.DOUBTED

    def _log_entry(self, end: AttemptEnd) -> Try:
        first_ms = -1
        if self._first_event_s is not None:
            first_ms = int((self._first_event_s - self._start_s) * _MS)
        return describe_try(
            self._target,
            end,
            int((self._start_s - self._request.received_s) * _MS),
            int((self._sent_s - self._start_s) * _MS),
            int((time.monotonic() - self._start_s) * _MS),
            first_ms,
            self._other_requests,
            self._given_up,
            self._is_unconfirmed(end.opened_s),
        )
