"""Apply what upstreams say about themselves in their answers."""

import time
from collections.abc import Callable

from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.direct._metrics import MALFORMED_STATEMENTS
from lacewing_daemon.direct._metrics import UPSTREAM_RESTS
from lacewing_daemon.direct._metrics import UPSTREAMS_LEAVING
from lacewing_daemon.direct._site import ReplyHead
from lacewing_daemon.direct._site import Unstated
from lacewing_daemon.direct._upstream_state import UpstreamState
from lacewing_daemon.direct.limits import UpstreamLimiter

_UNAVAILABLE = 503

_log = get_log(Part.PLATFORM)


class Statements:
    """Record that an upstream names a limit, leaves or asks for rest.

    All of it belongs to the incarnation that said it.
    """

    def __init__(
        self,
        limiter: UpstreamLimiter,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._limiter = limiter
        self._clock = clock

    def record(
        self, state: UpstreamState, head: ReplyHead, sent_s: float
    ) -> None:
        """Record what an answer says; ``sent_s``: when it was asked for."""
        if head.status == _UNAVAILABLE:
            self._record_rest(state, head.retry_after_s)
        if not head.is_signed and not head.not_run:
            # Something between router and upstream may have answered.
            return
        if head.is_leaving:
            self._record_leaving(state)
        self._limiter.record(state.upstream, head.request_limit, sent_s)

    def describe(self, states: list[UpstreamState]) -> str:
        """Say for what reasons upstreams take no requests now, '' for none."""
        now_s = self._clock()
        leaving = resting = limited = 0
        for state in states:
            if state.is_usable(now_s):
                continue
            if state.upstream.leaving:
                leaving += 1
            elif state.is_resting(now_s):
                resting += 1
            elif self._limiter.is_limited(state.upstream):
                limited += 1
        reasons = []
        if limited:
            reasons.append(f'{limited} take no more now by their limits')
        if leaving:
            reasons.append(f'{leaving} are leaving')
        if resting:
            reasons.append(f'{resting} asked for rest')
        return ', '.join(reasons)

    def _record_leaving(self, state: UpstreamState) -> None:
        if state.upstream.leaving:
            return
        state.mark_leaving()
        UPSTREAMS_LEAVING.labels(state.upstream.service).inc()
        _log.info(
            'An upstream says that it leaves.',
            upstream=state.upstream.upstream_id,
        )

    def _record_rest(
        self, state: UpstreamState, duration_s: float | Unstated
    ) -> None:
        if duration_s is Unstated.MALFORMED:
            MALFORMED_STATEMENTS.labels('rest').inc()
        if isinstance(duration_s, Unstated):
            return
        now_s = self._clock()
        if not state.is_resting(now_s):
            UPSTREAM_RESTS.labels(state.upstream.service).inc()
            _log.info(
                'An upstream asks for rest.',
                upstream=state.upstream.upstream_id,
                seconds=duration_s,
            )
        state.rest_for(now_s, duration_s)
