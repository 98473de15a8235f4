"""Log how each request ended and what its decisions were based on."""

from collections.abc import Mapping

import msgspec
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.verdict import Reason

from lacewing_daemon.direct._line_budget import LineBudget
from lacewing_daemon.direct._metrics import LOG_LINES_DROPPED
from lacewing_daemon.direct._request_outcome import RequestOutcome

# Interval at which the number of dropped lines is logged.
DROPPED_LOG_INTERVAL_S = 5.0

_log = get_log(Part.CALLERS)


class RequestLog:
    """Write one line per request within the line budget."""

    def __init__(self, now_s: float) -> None:
        self._budget = LineBudget(now_s)
        self._last_logged_s = now_s

    def log_refused_rest(
        self, request_id: str, service: str, refusals: int, now_s: float
    ) -> None:
        """Log that a started stream goes on after many refused sends."""
        if self._budget.allow(True, now_s):
            _log.info(
                'Upstreams refuse the rest of a stream; asks others.',
                request=request_id,
                service=service,
                refusals=refusals,
            )

    def log_outcome(self, end: RequestOutcome, now_s: float) -> None:
        """Log how a request ended."""
        if self._budget.allow(end.failed, now_s):
            event = 'Request failed.' if end.failed else 'Request answered.'
            _log.info(event, **_fields(end))
        if now_s - self._last_logged_s < DROPPED_LOG_INTERVAL_S:
            return
        self._last_logged_s = now_s
        dropped = self._budget.pop_dropped_count()
        if dropped:
            LOG_LINES_DROPPED.inc(dropped)
            _log.info('Left out lines of requests.', count=dropped)


def _fields(end: RequestOutcome) -> Mapping[str, object]:
    tries = []
    for attempt in end.tries:
        tries.append(msgspec.to_builtins(attempt))
    fields: dict[str, object] = {
        'request': end.request_id,
        'service': end.service,
        'team': end.team,
        'status': end.status,
        'verdict': end.verdict,
        'ms': end.ms,
        'tries': tries,
    }
    if end.queue_ahead >= 0:
        fields['queued_ms'] = end.queued_ms
        fields['queue_ahead'] = end.queue_ahead
    if end.resumed_request:
        fields['resumes'] = end.resumed_request
    if end.origin:
        fields['origin'] = end.origin
    if end.failed:
        fields['reason'] = end.reason
        fields['message'] = end.message
        if end.no_send:
            fields['no_send'] = end.no_send
        fields['same'] = end.subjects.request
        if end.reason == Reason.WORKERS_CRASHED.value:
            fields['parts'] = end.subjects.parts
        fields['left_ms'] = end.left_ms
        fields['config'] = end.config
        fields['config_age_ms'] = end.config_age_ms
        fields['upstreams'] = end.upstreams
    return fields
