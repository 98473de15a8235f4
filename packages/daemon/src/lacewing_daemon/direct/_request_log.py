"""Log how each request ended and what its decisions were based on."""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.log_lines import Try

from lacewing_daemon.direct._line_budget import LineBudget
from lacewing_daemon.direct._metrics import LOG_LINES_DROPPED

# Interval at which the number of dropped lines is logged.
DROPPED_LOG_INTERVAL_S = 5.0

_log = get_log(Part.CALLERS)


@dataclass(frozen=True)
class RequestOutcome:
    """Hold how a request ended; ``reason`` '' for an upstream's answer.

    ``fingerprint`` is shared by all requests with the same content.
    """

    request_id: str
    service: str
    team: str
    status: int
    verdict: str
    reason: str
    message: str
    ms: int
    left_ms: int
    config: int
    config_age_ms: int
    upstreams: int
    tries: tuple[Try, ...]
    fingerprint: str = ''

    @property
    def failed(self) -> bool:
        """Return whether the caller got an error or no complete answer."""
        return self.status == 0 or self.status >= _FIRST_ERROR_STATUS


_FIRST_ERROR_STATUS = 400


class RequestLog:
    """Write one line per request within the line budget."""

    def __init__(self, now_s: float) -> None:
        self._budget = LineBudget(now_s)
        self._last_logged_s = now_s

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
    if end.failed:
        fields['reason'] = end.reason
        fields['message'] = end.message
        fields['same'] = end.fingerprint
        fields['left_ms'] = end.left_ms
        fields['config'] = end.config
        fields['config_age_ms'] = end.config_age_ms
        fields['upstreams'] = end.upstreams
    return fields
