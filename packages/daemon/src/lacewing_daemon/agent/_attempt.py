"""Hold one attempt: what was asked, how far it is, what it answered."""

import asyncio
import time
from collections.abc import Callable
from enum import Enum
from typing import Protocol

import msgspec
from lacewing_common.verdict import Refusal
from lacewing_common.verdict import Verdict
from lacewing_common.wire import ANSWER_WINDOW_BYTES
from lacewing_common.wire import AttemptId
from lacewing_common.wire import CacheReport
from lacewing_common.wire import End
from lacewing_common.wire import Head
from lacewing_common.wire import LoadReport
from lacewing_common.wire import Refused
from lacewing_common.wire import Start

from lacewing_daemon.agent._answer import KeptAnswer
from lacewing_daemon.agent._metrics import ATTEMPTS_ENDED
from lacewing_daemon.agent._metrics import ATTEMPTS_OPEN
from lacewing_daemon.agent._presence import Presence

Outcome = End | Refused


class Phase(Enum):
    """Tell how far an attempt is.

    QUEUED: the worker has not seen a byte. SENT: it may have. ENDED: the
    outcome is known and won't change.
    """

    QUEUED = 'queued'
    SENT = 'sent'
    ENDED = 'ended'


class Flow(Protocol):
    """Stop and go on reading an answer from the worker."""

    def pause(self) -> None:
        """Stop reading."""

    def resume(self) -> None:
        """Go on reading."""


class Attempt:
    """Record one attempt and its answer.

    It outlives the link that started it: the link only reads from it.
    """

    def __init__(self, start: Start) -> None:
        self._start = start
        self._phase = Phase.QUEUED
        self._answer = KeptAnswer()
        self._head: Head | None = None
        self._outcome: Outcome | None = None
        self._presence = Presence()
        self._flow: Flow | None = None
        self._paused = False
        self._cancelled = False
        self._on_cancel: Callable[[], None] | None = None
        self._ended_at = 0.0
        self._ended = asyncio.Event()
        self._holds_not_run = False
        self._held_refusal: Refusal | None = None
        self._copy_payload: Callable[[bytes], None] | None = None
        ATTEMPTS_OPEN.inc()

    @property
    def attempt_id(self) -> AttemptId:
        """Return the attempt's id."""
        return self._start.attempt

    @property
    def start(self) -> Start:
        """Return the request; its body is empty once the attempt ended."""
        return self._start

    @property
    def phase(self) -> Phase:
        """Return how far the attempt is."""
        return self._phase

    @property
    def answer(self) -> KeptAnswer:
        """Return the answer's bytes."""
        return self._answer

    @property
    def head(self) -> Head | None:
        """Return the start of the answer, once known."""
        return self._head

    @property
    def outcome(self) -> Outcome | None:
        """Return how the attempt ended, once known."""
        return self._outcome

    @property
    def presence(self) -> Presence:
        """Return the presence of a router that takes the answer."""
        return self._presence

    @property
    def cancelled(self) -> bool:
        """Tell whether the attempt is to be stopped."""
        return self._cancelled

    @property
    def ended_at(self) -> float:
        """Return the monotonic time of the outcome."""
        return self._ended_at

    @property
    def ended(self) -> asyncio.Event:
        """Return the event set when the outcome is known."""
        return self._ended

    @property
    def held_refusal(self) -> Refusal | None:
        """Return the "not run" that was held back."""
        return self._held_refusal

    def hold_not_run(self) -> None:
        """Hold a refusal as not run back until it is refused again."""
        self._holds_not_run = True

    def copy_payload(self, take: Callable[[bytes], None]) -> None:
        """Hand each piece of the answer on as it comes."""
        self._copy_payload = take

    def is_owed(self, now: float, patience_s: float) -> bool:
        """Tell whether a router still waits for the answer's end."""
        if self._outcome is None:
            return True
        if self._cancelled:
            return False
        confirms = isinstance(self._outcome, End)
        return self._presence.awaits_end(now, patience_s, confirms)

    def mark_sent(self) -> None:
        """Record that the worker may see the request from now on."""
        if self._phase is Phase.QUEUED:
            self._phase = Phase.SENT

    def on_cancel(self, callback: Callable[[], None] | None) -> None:
        """Set how the present step is stopped; None: it cannot be."""
        self._on_cancel = callback

    def cancel(self) -> None:
        """Stop the attempt if its present step can be stopped."""
        if self._outcome is not None or self._on_cancel is None:
            return
        self._cancelled = True
        self._on_cancel()

    def use_flow(self, flow: Flow | None) -> None:
        """Take the exchange that now feeds the answer."""
        self._flow = flow
        self._paused = False
        self._pause_if_full()

    def put_head(
        self, status: int, content_type: str, replayed: bool = False
    ) -> None:
        """Take the start of the answer; only the first counts."""
        if self._head is not None or self._outcome is not None:
            return
        self._head = Head(self.attempt_id, status, content_type, replayed)
        self._presence.notify()

    def put(self, payload: bytes) -> None:
        """Take bytes of the answer that end where an event ends."""
        if self._outcome is not None or not payload:
            return
        self._answer.append(payload)
        if self._copy_payload is not None:
            self._copy_payload(payload)
        self._pause_if_full()
        self._presence.notify()

    def put_whole(self, body: bytes) -> None:
        """Take a whole body."""
        if self._outcome is not None or not body:
            return
        self._answer.append_whole(body)
        if self._copy_payload is not None:
            self._copy_payload(body)
        self._presence.notify()

    def acknowledge(self, offset: int) -> None:
        """Let go of bytes that the router has; read on if that helps."""
        self._answer.acknowledge(offset)
        self._presence.mark_confirmed(offset >= self._answer.length)
        self._presence.notify()
        self._resume_if_room()

    def keep_outcome_only(self) -> None:
        """Read an answer that fills its window to its end, unkept.

        Nobody reads it, but the call must not be stopped and its slot must
        come free.
        """
        if not self._paused:
            return
        self._answer.drop()
        self._resume_if_room()

    def finish(
        self, prompt_tokens: int, output_tokens: int, cache: CacheReport
    ) -> None:
        """End with a whole answer."""
        self._end(
            End(
                self.attempt_id,
                self._answer.length,
                prompt_tokens,
                output_tokens,
                cache,
                LoadReport(),
            ),
            Verdict.RAN,
        )

    def refuse(self, refusal: Refusal, epoch: str = '') -> None:
        """End with a refusal."""
        if self._holds_not_run and refusal.verdict is Verdict.NOT_RUN:
            self._holds_not_run = False
            self._held_refusal = refusal
            self._on_cancel = None
            return
        self._end(
            Refused(
                self.attempt_id,
                refusal.verdict,
                refusal.reason,
                refusal.message,
                refusal.retry_after_s,
                LoadReport(),
                epoch,
            ),
            refusal.verdict,
        )

    def _end(self, outcome: Outcome, verdict: Verdict) -> None:
        if self._outcome is not None:
            return
        self._outcome = outcome
        self._phase = Phase.ENDED
        self._flow = None
        self._on_cancel = None
        self._ended_at = time.monotonic()
        self._start = msgspec.structs.replace(self._start, body=b'')
        self._ended.set()
        ATTEMPTS_OPEN.dec()
        ATTEMPTS_ENDED.labels(verdict.value).inc()
        self._presence.notify()

    def _resume_if_room(self) -> None:
        if not self._paused or self._flow is None:
            return
        if self._answer.held > ANSWER_WINDOW_BYTES // 2:
            return
        self._paused = False
        self._flow.resume()

    def _pause_if_full(self) -> None:
        if self._paused or self._flow is None:
            return
        if self._answer.held <= ANSWER_WINDOW_BYTES:
            return
        self._paused = True
        self._flow.pause()
