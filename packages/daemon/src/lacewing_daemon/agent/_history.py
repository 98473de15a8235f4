"""Remember one router's attempts, so that "not run" is always true.

An attempt is refused as not run only if it is certain that no worker saw
it and that none ever will: its id is unknown, its id can't have been
forgotten, and its id is closed before the refusal leaves. What is
forgotten to bound memory is remembered as a number: everything below the
floor counts as "may have run".
"""

import time

from lacewing_common.verdict import may_have_run
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_common.verdict import Verdict
from lacewing_common.wire import AttemptId
from lacewing_common.wire import End
from lacewing_common.wire import Start

from lacewing_daemon.agent._attempt import Attempt
from lacewing_daemon.agent._metrics import CLOSED_IDS
from lacewing_daemon.agent._metrics import DUPLICATE_STARTS

_MOST_REMEMBERED = 10_000


class RouterHistory:
    """Remember one router incarnation's attempts.

    ``floor``: below it only the attempts still held are known.
    ``forgotten``: nothing is known of what came before the next Start.
    """

    def __init__(self, floor: int = 0, forgotten: bool = False) -> None:
        self._floor = floor
        self._forgotten = forgotten
        self._attempts: dict[int, Attempt] = {}
        self._verdicts: dict[int, Verdict] = {}
        self._closed: set[int] = set()
        self._highest = floor - 1
        self._links = 0
        self._used_at = time.monotonic()

    @property
    def attempts(self) -> dict[int, Attempt]:
        """Return the attempts held, by sequence."""
        return self._attempts

    @property
    def floor(self) -> int:
        """Return the sequence below which ids may be forgotten."""
        return self._floor

    @property
    def next_floor(self) -> int:
        """Return a floor above all that was ever seen."""
        return max(self._floor, self._highest + 1)

    @property
    def has_links(self) -> bool:
        """Tell whether the router has an open link."""
        return self._links > 0

    def idle_s(self, now: float) -> float:
        """Return for how long the router has had no link and no attempt."""
        if self._links or self._attempts:
            return 0.0
        return now - self._used_at

    def link_opened(self) -> None:
        """Count a link of this router."""
        self._links += 1

    def link_closed(self) -> None:
        """Count a link less."""
        self._links -= 1
        self._used_at = time.monotonic()

    def begin(self, start: Start, unfit: Refusal | None) -> Attempt | Refusal:
        """Record a new attempt, find a known one or refuse.

        A refusal closes the id, so that it stays true whatever comes late.
        """
        sequence = start.attempt.sequence
        known = self.find(sequence)
        if known is not None:
            DUPLICATE_STARTS.inc()
            return known
        if sequence < self._floor:
            return may_have_run(
                Reason.ATTEMPT_CLOSED,
                f'attempt {start.attempt} is older than what is remembered',
            )
        if self._forgotten:
            # A router sends a Start once and only on an open link, and it
            # had none when it was forgotten: this Start is new, but all
            # that came before it may have run.
            self._forgotten = False
            self._raise_floor(sequence)
        if unfit is not None:
            self.close(sequence)
            return unfit
        self._raise_floor(start.oldest_open)
        self._highest = max(self._highest, sequence)
        attempt = Attempt(start)
        self._attempts[sequence] = attempt
        self._used_at = time.monotonic()
        return attempt

    def ask(self, attempt_id: AttemptId) -> Attempt | Refusal:
        """Find an attempt; close the id for ever if it was never seen."""
        sequence = attempt_id.sequence
        known = self.find(sequence)
        if known is not None:
            return known
        if self._forgotten or sequence < self._floor:
            return may_have_run(
                Reason.ATTEMPT_CLOSED,
                f'attempt {attempt_id} is older than what is remembered',
            )
        self.close(sequence)
        CLOSED_IDS.inc()
        return _closed(attempt_id)

    def close(self, sequence: int) -> None:
        """Never run an id that was not seen before."""
        self._closed.add(sequence)
        self._highest = max(self._highest, sequence)
        self._used_at = time.monotonic()
        self._bound()

    def find(self, sequence: int) -> Attempt | Refusal | None:
        """Return what is known of a sequence, or None."""
        attempt = self._attempts.get(sequence)
        if attempt is not None:
            return attempt
        verdict = self._verdicts.get(sequence)
        if verdict is not None:
            return Refusal(
                verdict,
                Reason.ATTEMPT_CLOSED,
                'the attempt has ended and its answer is no longer kept',
            )
        if sequence in self._closed:
            return not_run(
                Reason.ATTEMPT_CLOSED, 'the attempt was closed before it ran'
            )
        return None

    def forget_answer(self, sequence: int) -> None:
        """Keep only the verdict of an ended attempt."""
        attempt = self._attempts[sequence]
        if attempt.outcome is None:
            return
        del self._attempts[sequence]
        attempt.answer.drop()
        if sequence < self._floor:
            return
        self._verdicts[sequence] = _verdict(attempt)
        self._used_at = time.monotonic()
        self._bound()

    def _raise_floor(self, floor: int) -> None:
        if floor <= self._floor:
            return
        self._floor = floor
        self._closed = {one for one in self._closed if one >= floor}
        for sequence in list(self._verdicts):
            if sequence < floor:
                del self._verdicts[sequence]
        for sequence in list(self._attempts):
            if sequence < floor:
                self.forget_answer(sequence)

    def _bound(self) -> None:
        # A router with one very old attempt open never raises its floor,
        # and the memory of the agent would grow with each request.
        # Raising it here forgets verdicts, so those ids turn from what they
        # were into "may have run", never into "not run".
        excess = len(self._verdicts) + len(self._closed) - _MOST_REMEMBERED
        if excess <= 0:
            return
        remembered = sorted([*self._verdicts, *self._closed])
        self._raise_floor(remembered[excess + _MOST_REMEMBERED // 10])


def _closed(attempt_id: AttemptId) -> Refusal:
    return not_run(
        Reason.ATTEMPT_CLOSED,
        f'attempt {attempt_id} was never seen and is closed now',
    )


def _verdict(attempt: Attempt) -> Verdict:
    if attempt.outcome is None or isinstance(attempt.outcome, End):
        return Verdict.RAN
    return attempt.outcome.verdict
