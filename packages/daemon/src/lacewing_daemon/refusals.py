"""Combine the refusals of all attempts of one request."""

from dataclasses import replace

from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_common.verdict import Verdict

_VERDICTS_BY_STRENGTH = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)


class Refusals:
    """Hold the last refusal and the strongest verdict of all attempts."""

    def __init__(self) -> None:
        self._last: Refusal | None = None
        self._verdict = Verdict.NOT_RUN

    def add(self, refusal: Refusal) -> None:
        """Record the refusal of an attempt."""
        self._last = refusal
        self._verdict = _stronger(self._verdict, refusal.verdict)

    def final_refusal(self, refusal: Refusal) -> Refusal:
        """Return the refusal to send to the caller after the last attempt.

        A "not run" verdict of the last worker covers its own attempt only;
        passed on unchanged, it would be false if an earlier worker may have
        run the request. If no worker is left, the caller gets the last
        worker's reason for refusing, with its retry delay.
        """
        if refusal.reason is Reason.NO_WORKER and self._last is not None:
            refusal = self._last
        verdict = _stronger(self._verdict, refusal.verdict)
        return replace(refusal, verdict=verdict)


def _stronger(one: Verdict, other: Verdict) -> Verdict:
    if _VERDICTS_BY_STRENGTH.index(other) > _VERDICTS_BY_STRENGTH.index(one):
        return other
    return one
