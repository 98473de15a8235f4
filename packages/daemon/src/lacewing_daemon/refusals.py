"""Keep what the attempts of one request were refused with."""

from dataclasses import replace

from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_common.verdict import Verdict

_CERTAINTY = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)


class Refusals:
    """Hold the last refusal and the strongest verdict of all attempts."""

    def __init__(self) -> None:
        self._last: Refusal | None = None
        self._verdict = Verdict.NOT_RUN

    def add(self, refusal: Refusal) -> None:
        """Note how an attempt ended."""
        self._last = refusal
        self._verdict = _stronger(self._verdict, refusal.verdict)

    def final_refusal(self, refusal: Refusal) -> Refusal:
        """Return what to tell the caller when no further attempt is made.

        The last worker's "not run" says nothing of the ones before: told
        as it is, it would be untrue of a request that one of them may have
        run. That there is no worker left is told as why the last one
        refused, with its time to come back.
        """
        if refusal.reason is Reason.NO_WORKER and self._last is not None:
            refusal = self._last
        verdict = _stronger(self._verdict, refusal.verdict)
        return replace(refusal, verdict=verdict)


def _stronger(one: Verdict, other: Verdict) -> Verdict:
    if _CERTAINTY.index(other) > _CERTAINTY.index(one):
        return other
    return one
