"""Bring one attempt from the queue through the worker to its end."""

import asyncio
from functools import partial

from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.verdict import may_have_run
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_common.wire import CacheReport

from lacewing_daemon.agent._admission import Admission
from lacewing_daemon.agent._attempt import Attempt
from lacewing_daemon.agent._cache import CacheKnowledge
from lacewing_daemon.agent._metrics import RESUMED
from lacewing_daemon.agent._receiver import Mode
from lacewing_daemon.agent._receiver import Receiver
from lacewing_daemon.agent._requests import admission_request
from lacewing_daemon.agent._requests import first_request
from lacewing_daemon.agent._requests import resume_request
from lacewing_daemon.agent._service import ServiceView
from lacewing_daemon.agent._strays import Strays
from lacewing_daemon.agent._worker import Broken
from lacewing_daemon.agent._worker import Whole
from lacewing_daemon.agent._worker import Worker
from lacewing_daemon.claims import ClaimedRuns

_RESUME_TRIES = 4
_RESUME_PAUSE_S = 0.02

_CONFLICT = 409
_NOT_FOUND = 404
_TOO_MANY = 429
_FIRST_FAILURE = 500

_log = get_log(Part.ATTEMPT)


class Runner:
    """Run attempts on one worker."""

    def __init__(
        self,
        worker: Worker,
        admission: Admission,
        cache: CacheKnowledge,
        service: ServiceView,
        claimed: ClaimedRuns,
    ) -> None:
        self._worker = worker
        self._admission = admission
        self._cache = cache
        self._service = service
        self._claimed = claimed
        self._strays = Strays()

    async def run(self, attempt: Attempt) -> None:
        """Bring a recorded attempt to its end."""
        try:
            if self._claimed.needs_claim(attempt.start):
                # Claimed before it queues: a slot held while the platform
                # is slow would stop the calls that need no claim.
                await self._claimed.run(attempt, partial(self._admit, attempt))
                return
            await self._admit(attempt)
        except Exception:
            _log.exception('attempt failed', attempt=str(attempt.attempt_id))
            attempt.refuse(
                may_have_run(Reason.INTERNAL, 'the agent failed inside')
            )

    async def _admit(self, attempt: Attempt) -> None:
        turn = self._admission.enter(admission_request(attempt.start))
        if isinstance(turn, Refusal):
            attempt.refuse(turn)
            return
        attempt.on_cancel(turn.abandon)
        refusal = await turn.wait()
        if refusal is not None:
            attempt.refuse(refusal)
            return
        try:
            if attempt.cancelled:
                attempt.refuse(_caller_gone())
                return
            await self._run_on_worker(attempt)
        finally:
            turn.release()

    async def _run_on_worker(self, attempt: Attempt) -> None:
        start = attempt.start
        from_engine = self._service.runs_on_engine(start)
        run = await self._cache.begin(start) if from_engine else None
        receiver = Receiver(attempt, from_engine, run)
        self._strays.expect(str(attempt.attempt_id))
        try:
            if attempt.cancelled:
                attempt.refuse(_caller_gone())
                return
            await self._exchange(attempt, receiver, from_engine)
        finally:
            self._strays.forget(str(attempt.attempt_id))
            if run is not None:
                run.stop()

    async def _exchange(
        self, attempt: Attempt, receiver: Receiver, from_engine: bool
    ) -> None:
        start = attempt.start
        if start.idempotent:
            attempt.on_cancel(receiver.abort)
        else:
            attempt.on_cancel(None)
        attempt.mark_sent()
        request = first_request(start, from_engine, self._service.answer_s)
        result = await self._worker.exchange(request, receiver)
        if isinstance(result, Broken) and not result.reached:
            attempt.refuse(
                not_run(
                    Reason.WORKER_UNREACHABLE,
                    f'the worker did not take the request: {result.message}',
                )
            )
            return
        refusal = self._settle(attempt, receiver, result)
        if refusal is not None and not attempt.cancelled:
            if from_engine:
                refusal = await self._resume(attempt, receiver, refusal)
            else:
                refusal = await self._find(attempt, receiver, result, refusal)
        if attempt.cancelled and attempt.outcome is None:
            await self._stop(attempt, from_engine)
            return
        if refusal is not None:
            attempt.refuse(refusal, _epoch(receiver))

    def _settle(
        self, attempt: Attempt, receiver: Receiver, result: Whole | Broken
    ) -> Refusal | None:
        """End the attempt if its answer is whole; else say what is wrong."""
        if receiver.stale:
            return may_have_run(
                Reason.STALE_EPOCH, 'the worker restarted and lost the answer'
            )
        if receiver.mismatched:
            return may_have_run(
                Reason.ANSWER_MISMATCHED,
                'the worker sent the answer of another request',
            )
        if receiver.reader.done:
            _finish(attempt, receiver)
            return None
        if isinstance(result, Broken):
            return may_have_run(
                Reason.STREAM_BROKEN,
                f'the answer broke off: {result.message}',
            )
        if receiver.mode is Mode.EVENTS:
            return may_have_run(
                Reason.STREAM_BROKEN, 'the answer ended before its last event'
            )
        if receiver.mode is Mode.RAW:
            _finish(attempt, receiver)
            return None
        refusal = _engine_refusal(attempt, receiver, result)
        if refusal is not None:
            return refusal
        if not receiver.take_whole():
            return may_have_run(
                Reason.ANSWER_MISMATCHED,
                'the worker sent the answer of another request',
            )
        _finish(attempt, receiver)
        return None

    async def _resume(
        self, attempt: Attempt, receiver: Receiver, refusal: Refusal
    ) -> Refusal | None:
        """Fetch the rest of an answer from the engine that has it."""
        tries = 0
        while tries < _RESUME_TRIES and _worth_resuming(refusal):
            if attempt.cancelled:
                return refusal
            last = receiver.reader.last
            RESUMED.inc()
            result = await self._worker.exchange(
                resume_request(attempt.start, last), receiver
            )
            if isinstance(result, Broken) and not result.reached:
                return refusal
            if _unknown_to_engine(result):
                return refusal
            settled = self._settle(attempt, receiver, result)
            if settled is None:
                return None
            refusal = settled
            if receiver.reader.last > last:
                tries = 0
                continue
            tries += 1
            await asyncio.sleep(_RESUME_PAUSE_S * 2**tries)
        return refusal

    async def _find(
        self,
        attempt: Attempt,
        receiver: Receiver,
        result: Whole | Broken,
        refusal: Refusal,
    ) -> Refusal | None:
        """Find a plain call's answer on another call's connection."""
        stray = receiver.stray()
        if stray is None or isinstance(result, Broken):
            return refusal
        self._strays.offer(stray)
        found = await self._strays.take(str(attempt.attempt_id))
        if found is None:
            return refusal
        attempt.put_head(found.start.status, found.start.content_type)
        attempt.put_whole(found.body)
        attempt.finish(0, 0, CacheReport())
        return None

    async def _stop(self, attempt: Attempt, from_engine: bool) -> None:
        if from_engine:
            await self._worker.cancel(str(attempt.attempt_id))
        attempt.refuse(
            may_have_run(
                Reason.CALLER_GONE, 'stopped at the worker: nobody waits'
            )
        )


def _engine_refusal(
    attempt: Attempt, receiver: Receiver, result: Whole
) -> Refusal | None:
    # A refusal proves "not run" only with this request's id on it and only
    # in answer to the request itself, not to its resumption.
    status = result.start.status
    echoed = result.start.request_id == str(attempt.attempt_id)
    echoed = echoed and not receiver.resumed
    if status == _CONFLICT and echoed:
        return not_run(
            Reason.STALE_WEIGHTS,
            'the worker has not loaded these weights: ' + receiver.error_text,
        )
    if status == _NOT_FOUND and echoed:
        return not_run(
            Reason.NOT_READY,
            'the worker has not loaded this model: ' + receiver.error_text,
        )
    vague = status in (_CONFLICT, _NOT_FOUND, _TOO_MANY)
    if vague or status >= _FIRST_FAILURE:
        return may_have_run(
            Reason.WORKER_FAILED,
            f'the worker answered {status}: {receiver.error_text}',
        )
    return None


def _caller_gone() -> Refusal:
    return not_run(Reason.CALLER_GONE, 'the caller went while queued')


def _worth_resuming(refusal: Refusal) -> bool:
    return refusal.reason in (Reason.STREAM_BROKEN, Reason.ANSWER_MISMATCHED)


def _unknown_to_engine(result: Whole | Broken) -> bool:
    return isinstance(result, Whole) and result.start.status == _NOT_FOUND


def _epoch(receiver: Receiver) -> str:
    return receiver.start.epoch if receiver.start is not None else ''


def _finish(attempt: Attempt, receiver: Receiver) -> None:
    usage = receiver.usage
    cache = CacheReport()
    if usage.prompt_tokens:
        cache = usage.cache_report(_epoch(receiver))
    if receiver.run is not None:
        cache = receiver.run.end(cache)
    attempt.finish(usage.prompt_tokens, usage.completion_tokens, cache)
