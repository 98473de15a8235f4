"""Decide what a router that stops still sends, by the time it has left.

Deterministic: callers pass in the time.
"""

from math import inf

from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal

from lacewing_daemon.direct._answer_times import AnswerTimes

# A router that stops refuses; its callers reach another one at once.
STOP_RETRY_S = 0.05


class StopWindow:
    """Compare what requests may take with what is left until the stop."""

    def __init__(self, answer_times: AnswerTimes) -> None:
        self._answer_times = answer_times
        self._end_s = inf
        self._rotation_end_s = inf
        self._has_ended = False

    @property
    def has_ended(self) -> bool:
        """Return whether nothing is sent to upstreams any more."""
        return self._has_ended

    def begin(self, end_s: float, rotation_end_s: float) -> None:
        """Begin to stop; open requests are answered at ``end_s``.

        ``rotation_end_s``: when the load balancer sends no new connections.
        """
        self._end_s = end_s
        self._rotation_end_s = rotation_end_s

    def end(self) -> None:
        """Send no request to an upstream any more."""
        self._has_ended = True

    def refusal(
        self, route: str, limit_end_s: float, now_s: float
    ) -> Refusal | None:
        """Return why a request that has not run is not sent, None to send.

        ``limit_end_s``: when its time is over. Sent although it does not
        fit, it would be interrupted, and could not be repeated if it must
        not run twice. Refused although it fits, its caller would lose time.
        """
        if self._has_ended:
            text = 'the time to stop was over before it could be sent'
            return not_run(Reason.DRAINING, text, STOP_RETRY_S)
        if limit_end_s <= self._end_s:
            return None
        if self._fits(route, now_s):
            return None
        return not_run(
            Reason.DRAINING,
            f'the router stops in {self._end_s - now_s:.1f} s, and the answer'
            ' may take longer',
            STOP_RETRY_S,
        )

    def _fits(self, route: str, now_s: float) -> bool:
        """Return whether an answer is likely to end before the stop does.

        While new connections arrive, refusing all requests that might not
        fit would refuse most of a route. The few that become complete later
        are not worth that risk.
        """
        if now_s >= self._rotation_end_s:
            return False
        may_take_s = self._answer_times.may_take_s(route, now_s)
        return now_s + may_take_s <= self._end_s
