"""Stop what nobody waits for and forget what nobody will ask for."""

import asyncio
import time
from dataclasses import dataclass

from lacewing_daemon.agent._attempt import Attempt
from lacewing_daemon.agent._attempt import Phase
from lacewing_daemon.agent._attempts import Attempts
from lacewing_daemon.agent._history import RouterHistory
from lacewing_daemon.agent._metrics import KEPT_BYTES

_PERIOD_S = 1.0


@dataclass(frozen=True)
class KeepLimits:
    """Bound what is kept for routers.

    ``orphan_s``: seconds without a link before an attempt is stopped;
    ``answer_s`` and ``answer_bytes`` bound the answers of ended attempts.
    """

    orphan_s: float = 15.0
    answer_s: float = 60.0
    answer_bytes: int = 16 * 1024 * 1024


@dataclass(frozen=True)
class _Ended:
    history: RouterHistory
    sequence: int
    attempt: Attempt


class Sweeper:
    """Sweep over all attempts about once a second."""

    def __init__(self, attempts: Attempts, limits: KeepLimits) -> None:
        self._attempts = attempts
        self._limits = limits

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await asyncio.sleep(_PERIOD_S)
            self.sweep(time.monotonic())

    def sweep(self, now: float) -> None:
        """Stop orphans and forget old answers, as of a monotonic time."""
        for attempt in self._attempts.all():
            if self._is_orphan(attempt, now):
                _stop(attempt)
        self._forget_answers(now)
        self._attempts.forget_idle(now)

    def _is_orphan(self, attempt: Attempt, now: float) -> bool:
        if attempt.phase is Phase.ENDED:
            return False
        return attempt.presence.is_orphan(now, self._limits.orphan_s)

    def _forget_answers(self, now: float) -> None:
        ended = self._ended()
        kept_bytes = sum(one.attempt.answer.held for one in ended)
        for one in ended:
            age_s = now - one.attempt.ended_at
            fits = kept_bytes <= self._limits.answer_bytes
            if fits and age_s < self._limits.answer_s:
                break
            kept_bytes -= one.attempt.answer.held
            one.history.forget_answer(one.sequence)
        KEPT_BYTES.set(kept_bytes)

    def _ended(self) -> list[_Ended]:
        ended: list[_Ended] = []
        for history in self._attempts.histories():
            for sequence, attempt in history.attempts.items():
                if attempt.phase is Phase.ENDED:
                    ended.append(_Ended(history, sequence, attempt))
        ended.sort(key=lambda one: one.attempt.ended_at)
        return ended


def _stop(attempt: Attempt) -> None:
    if attempt.start.idempotent or attempt.phase is Phase.QUEUED:
        attempt.cancel()
        return
    attempt.keep_outcome_only()
