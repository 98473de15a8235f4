"""Serve one request: choose a worker, attempt, relay, retry."""

import time
from dataclasses import dataclass

from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_common.verdict import Verdict
from lacewing_common.wire import AttemptId
from lacewing_common.wire import End

from lacewing_daemon.refusals import Refusals
from lacewing_daemon.router._attempt import Attempt
from lacewing_daemon.router._call import Call
from lacewing_daemon.router._claimed_choice import claimed_choice
from lacewing_daemon.router._claimed_choice import needs_claim
from lacewing_daemon.router._continuation import closing_events
from lacewing_daemon.router._continuation import continued
from lacewing_daemon.router._continuation import is_complete
from lacewing_daemon.router._continuation import Joiner
from lacewing_daemon.router._continuation import may_continue
from lacewing_daemon.router._elsewhere import is_breakage
from lacewing_daemon.router._elsewhere import is_fault
from lacewing_daemon.router._elsewhere import is_not_run_here
from lacewing_daemon.router._link import Link
from lacewing_daemon.router._links import EligibleLinks
from lacewing_daemon.router._mailbox import Interrupt
from lacewing_daemon.router._metrics import CONTINUED_STREAMS
from lacewing_daemon.router._metrics import RETRIES
from lacewing_daemon.router._metrics import RETRIES_DENIED
from lacewing_daemon.router._outcomes import count
from lacewing_daemon.router._outcomes import Ended
from lacewing_daemon.router._outcomes import outcome_of
from lacewing_daemon.router._policy import Choice
from lacewing_daemon.router._policy import Observation
from lacewing_daemon.router._policy import RoutingRequest
from lacewing_daemon.router._reattach import reattach_bounds
from lacewing_daemon.router._relay import relay_stream
from lacewing_daemon.router._relay import relay_whole
from lacewing_daemon.router._reply import Reply
from lacewing_daemon.router._serving import Serving
from lacewing_daemon.router._start_frame import start_frame
from lacewing_daemon.router._start_frame import StartTerms
from lacewing_daemon.router._transcript import Transcript
from lacewing_daemon.router._tried import run_of
from lacewing_daemon.router._tried import Tried
from lacewing_daemon.router._tried import WorkerRun
from lacewing_daemon.router._waiting import until_eligible

_MOVES_AFTER_BREAKAGE = 2
_MS_PER_S = 1000.0


@dataclass(frozen=True)
class _Opened:
    """Hold an attempt with the link and the request it was chosen for."""

    attempt: Attempt
    link: Link
    run: WorkerRun
    routing: RoutingRequest


class Exchange:
    """Serve one request from its first attempt to its final answer."""

    def __init__(self, serving: Serving, call: Call, reply: Reply) -> None:
        self._serving = serving
        self._call = call
        self._original = call
        self._reply = reply
        self._attempt: Attempt | None = None
        self._transcript = Transcript()
        self._joiner: Joiner | None = None
        self._gone = False
        self._tokens_used = 0.0
        self._tried = Tried()
        self._after_fault = False
        self._moves = 0
        self._refusals = Refusals()
        self._began_s = time.monotonic()
        self._answer_by_s = self._began_s + call.service.answer_ms / _MS_PER_S
        self._start_by_s = self._began_s
        self._worker_by_s = self._began_s
        self._renew_start_deadline()
        self._record = serving.decisions.open(
            call.asked.request_id, call.team.name, call.service.name
        )

    @property
    def tokens_used(self) -> float:
        """Return the tokens of prompt and answer, as the worker counted."""
        return self._tokens_used

    def hang_up(self) -> None:
        """Stop: the caller has gone."""
        self._gone = True
        # A call that must not run twice goes on: its outcome is kept at the
        # agent for the caller that asks again.
        if self._attempt is not None and self._call.idempotent:
            self._attempt.interrupt(Interrupt.CALLER_GONE)

    async def run(self) -> None:
        """Answer the caller, whatever happens."""
        self._serving.budget(self._call.service.name).add_request()
        while True:
            refusal = await self._try_once()
            if refusal is None:
                return
            if self._reply.started and await self._completed():
                return
            refusal = self._final(refusal)
            if refusal is None:
                continue
            await self._reply.refuse(refusal)
            return

    async def _completed(self) -> bool:
        """End a stream of which only the end was cut off."""
        call = self._original
        if not may_continue(call, self._transcript):
            return False
        if not is_complete(call, self._transcript):
            return False
        await self._reply.write(closing_events(call, self._transcript))
        await self._reply.end()
        return True

    async def _try_once(self) -> Refusal | None:
        """Make one attempt; None when the caller has its whole answer."""
        opened = await self._open()
        if isinstance(opened, Refusal):
            return opened
        self._attempt = opened.attempt
        try:
            result = await self._relay(opened.attempt)
        finally:
            self._attempt = None
            self._close(opened)
        self._learn(opened, result)
        if isinstance(result, End):
            return None
        return result

    async def _open(self) -> _Opened | Refusal:
        call = await self._until_eligible()
        if isinstance(call, Refusal):
            return call
        workers = await self._workers_left(call)
        routing = self._routing_request()
        choice = await self._choose(routing, workers)
        if isinstance(choice, Refusal):
            return choice
        if self._gone:
            # Nothing after this waits before the attempt can be cancelled;
            # started later, it would run on for a caller that has gone.
            return not_run(Reason.CALLER_GONE, 'the caller hung up')
        self._record.chose(choice)
        link = workers.link(choice.process_id)
        return self._start(link, routing, choice)

    async def _workers_left(self, call: Call) -> EligibleLinks:
        """Return those not tried; after a fault, wait for a restarted one."""
        links = self._serving.links
        while True:
            eligible = links.eligible(call.service.name, call.needs)
            workers = eligible.untried(self._tried)
            if workers.ids or not self._after_fault:
                return workers
            workers = eligible.restarted(self._tried)
            left_s = self._worker_by_s - time.monotonic()
            if workers.ids or left_s <= 0:
                return workers
            await links.wait_for_change(left_s)

    async def _choose(
        self, routing: RoutingRequest, workers: EligibleLinks
    ) -> Choice | Refusal:
        if needs_claim(self._call):
            return claimed_choice(self._call, routing, workers)
        policy = self._serving.knowledge.policy(routing.service)
        preparing = policy.prepare(routing, workers)
        if preparing is not None:
            await preparing
        return policy.choose(routing, workers)

    async def _until_eligible(self) -> Call | Refusal:
        # A stream that goes on elsewhere stays with its weights: the rest
        # would not follow from the text so far on others.
        is_new = not self._reply.started
        call = await until_eligible(
            self._serving, self._call, self._start_by_s, is_new
        )
        if isinstance(call, Refusal):
            return call
        self._call = call
        if is_new:
            self._original = call
        return call

    def _start(
        self, link: Link, routing: RoutingRequest, choice: Choice
    ) -> _Opened:
        sequences = self._serving.sequences
        attempt_id = AttemptId(
            str(self._serving.name), sequences.open(), link.incarnation
        )
        attempt = Attempt(
            attempt_id,
            link,
            self._missing_blocks(choice),
            self._answer_by_s - time.monotonic(),
            reattach_bounds(self._call),
        )
        terms = StartTerms(
            attempt_id,
            link.worker.epoch,
            routing.budget_ms,
            sequences.oldest_open,
            choice.width,
            choice.use_kept,
        )
        link.start(attempt, start_frame(self._call, terms))
        return _Opened(attempt, link, run_of(link), routing)

    def _missing_blocks(self, choice: Choice) -> int:
        if choice.missing_blocks is None:
            return len(self._call.chain.blocks)
        return choice.missing_blocks

    def _routing_request(self) -> RoutingRequest:
        left_s = self._start_by_s - time.monotonic()
        return RoutingRequest(
            request_id=self._call.asked.request_id,
            team=self._call.team.name,
            service=self._call.service,
            chain=self._call.chain,
            priority=self._call.service.priority,
            budget_ms=max(1.0, left_s * _MS_PER_S),
            tried=self._tried.process_ids,
        )

    async def _relay(self, attempt: Attempt) -> End | Refusal:
        if self._call.stream:
            return await relay_stream(
                attempt, self._reply, self._transcript, self._joiner
            )
        return await relay_whole(attempt, self._reply)

    def _close(self, opened: _Opened) -> None:
        self._serving.sequences.close(opened.attempt.id.sequence)
        if self._call.idempotent:
            opened.link.abandon(opened.attempt)
            return
        opened.link.release(opened.attempt)

    def _learn(self, opened: _Opened, result: End | Refusal) -> None:
        attempt = opened.attempt
        first_byte_s = None
        if attempt.first_byte_at_s is not None:
            first_byte_s = attempt.first_byte_at_s - self._began_s
        ended = Ended(result, attempt.first_byte_ms, first_byte_s)
        count(self._call.service.name, ended)
        self._record.came(outcome_of(ended))
        if isinstance(result, Refusal):
            self._refusals.add(result)
            self._tried.add(opened.run)
            return
        self._tokens_used += result.prompt_tokens + result.output_tokens
        self._serving.knowledge.observe(
            Observation(
                opened.routing,
                opened.link.process_id,
                result.cache,
                result.load,
                attempt.first_byte_ms,
            )
        )

    def _final(self, refusal: Refusal) -> Refusal | None:
        """Return the refusal to send, or None to try elsewhere."""
        if self._gone or not self._may_go_elsewhere(refusal):
            return self._told(refusal)
        service = self._call.service.name
        if not self._may_retry(refusal):
            RETRIES_DENIED.labels(service).inc()
            return self._told(refusal)
        RETRIES.labels(service, refusal.reason.value).inc()
        if self._reply.started:
            self._continue()
        return None

    def _may_retry(self, refusal: Refusal) -> bool:
        # A worker that dies breaks all its open requests at once, many more
        # than the budget's burst: most of its streams would end incomplete.
        # A bound on each request's own moves keeps a fault from
        # multiplying the load; refusals, which overload brings, take from
        # the budget always.
        if is_breakage(refusal) and self._moves < _MOVES_AFTER_BREAKAGE:
            self._moves += 1
            return True
        return self._serving.budget(self._call.service.name).take()

    def _told(self, refusal: Refusal) -> Refusal:
        if not self._reply.started:
            return self._refusals.final_refusal(refusal)
        return Refusal(
            Verdict.RAN,
            Reason.STREAM_BROKEN,
            f'the answer is not complete: {refusal.message}',
        )

    def _may_go_elsewhere(self, refusal: Refusal) -> bool:
        if self._reply.started:
            if not may_continue(self._original, self._transcript):
                return False
        if is_fault(refusal) and self._call.idempotent:
            self._after_fault = True
            self._renew_start_deadline()
        elif is_not_run_here(refusal):
            # A stream that broke off needs a worker all the same.
            self._after_fault &= self._reply.started
        else:
            return False
        return time.monotonic() < self._start_by_s

    def _continue(self) -> None:
        CONTINUED_STREAMS.inc()
        self._call = continued(self._original, self._transcript)
        self._joiner = Joiner(self._transcript)

    def _renew_start_deadline(self) -> None:
        # The fault of a worker must not leave the next one too little time.
        budget_s = self._call.service.first_token_ms / _MS_PER_S
        worker_by_s = time.monotonic() + budget_s
        self._worker_by_s = min(worker_by_s, self._answer_by_s)
        self._start_by_s = self._worker_by_s
        if self._reply.started:
            # The caller has its first token: the next worker may keep the
            # rest waiting, for the stream must not end here.
            self._start_by_s = self._answer_by_s
