"""Send one attempt's answer over one link, from an offset on."""

from collections.abc import Callable

import msgspec
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Verdict
from lacewing_common.wire import Accepted
from lacewing_common.wire import AgentFrame
from lacewing_common.wire import ANSWER_WINDOW_BYTES
from lacewing_common.wire import Data
from lacewing_common.wire import LoadReport
from lacewing_common.wire import Refused

from lacewing_daemon.agent._attempt import Attempt


class Delivery:
    """Follow what of an attempt a link has sent and what is due next."""

    def __init__(self, attempt: Attempt, offset: int) -> None:
        self._attempt = attempt
        self._offset = offset
        self._accepted_due = True
        self._head_due = True
        self._done = False
        self._stopped = False
        self._due = False

    @property
    def attempt(self) -> Attempt:
        """Return the attempt that is delivered."""
        return self._attempt

    @property
    def due(self) -> bool:
        """Tell whether it waits for the writer."""
        return self._due

    @property
    def has_more(self) -> bool:
        """Tell whether another frame may be due."""
        if self._done or self._stopped:
            return False
        attempt = self._attempt
        if attempt.outcome is not None or self._head_due:
            return True
        return self._offset < attempt.answer.length

    @property
    def done(self) -> bool:
        """Tell whether the outcome was sent."""
        return self._done

    def mark_due(self, due: bool) -> None:
        """Note whether it waits for the writer."""
        self._due = due

    def stop(self) -> None:
        """Send nothing more: a newer delivery took over."""
        self._stopped = True

    def next_frame(self, load: Callable[[], LoadReport]) -> AgentFrame | None:
        """Take the next frame that is due, or None."""
        if self._done or self._stopped:
            return None
        attempt = self._attempt
        if self._accepted_due:
            self._accepted_due = False
            if not isinstance(attempt.outcome, Refused):
                return Accepted(attempt.attempt_id)
        if self._head_due and attempt.head is not None:
            self._head_due = False
            return attempt.head
        if self._offset - attempt.answer.acknowledged >= ANSWER_WINDOW_BYTES:
            return None
        payload = attempt.answer.read(self._offset)
        if payload:
            data = Data(attempt.attempt_id, self._offset, payload)
            self._offset += len(payload)
            return data
        if attempt.outcome is None:
            return None
        self._done = True
        if self._offset != attempt.answer.length:
            return self._answer_gone(load())
        return msgspec.structs.replace(attempt.outcome, load=load())

    def _answer_gone(self, load: LoadReport) -> Refused:
        # Bytes between the router's offset and the first one still held
        # were dropped to bound memory. A shorter answer that looks whole
        # must not reach the caller, so the rest is refused.
        attempt = self._attempt
        verdict = Verdict.RAN
        if isinstance(attempt.outcome, Refused):
            verdict = attempt.outcome.verdict
        return Refused(
            attempt.attempt_id,
            verdict,
            Reason.STREAM_BROKEN,
            f'the answer from byte {self._offset} on is no longer kept',
            None,
            load,
        )
