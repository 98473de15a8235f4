"""Log and count answers that belong to no request under way."""

import time
from dataclasses import dataclass
from enum import Enum

from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.direct._line_budget import LineBudget
from lacewing_daemon.direct._metrics import ANSWERS_SKIPPED
from lacewing_daemon.direct._metrics import ANSWERS_UNEXPECTED
from lacewing_daemon.direct._upstream import Upstream

_log = get_log(Part.LINK)


class StrayKind(Enum):
    """Name which request a stray answer belongs to; the value is logged.

    EARLIER: one that its connection has carried, with the answer that it
    got. DIFFERENT: the same, with another answer. UNKNOWN: one that the
    connection has not carried. REFUSAL: none is named, and the answer refuses
    one. UNNAMED: none is named by any other answer.
    """

    EARLIER = 'earlier'
    DIFFERENT = 'different'
    UNKNOWN = 'unknown'
    REFUSAL = 'refusal'
    UNNAMED = 'unnamed'


@dataclass(frozen=True)
class StrayAnswer:
    """Hold an answer that belongs to no request under way.

    ``request_id``: the request under way, '' if there was none;
    ``answered_id``: the one that the answer names, '' if none.
    ``earlier_requests``: those that its connection carried before.
    """

    kind: StrayKind
    status: int
    request_id: str
    answered_id: str
    earlier_requests: int


class StrayAnswers:
    """Record stray answers, with a bound on log lines."""

    def __init__(self) -> None:
        self._lines = LineBudget(time.monotonic())

    def record(self, upstream: Upstream, answer: StrayAnswer) -> None:
        """Count an answer and log it; another line shows dropped ones."""
        counter = ANSWERS_UNEXPECTED
        event = 'Closed a connection: unexpected response.'
        if answer.request_id:
            counter = ANSWERS_SKIPPED
            event = 'Skipped a response to another request.'
            if answer.kind is not StrayKind.EARLIER:
                event = 'Ended a send: the response does not name it.'
        counter.labels(upstream.service, answer.kind.value).inc()
        if not self._lines.allow(False, time.monotonic()):
            return
        _log.info(
            event,
            upstream=upstream.upstream_id,
            service=upstream.service,
            request=answer.request_id,
            answered=answer.answered_id,
            kind=answer.kind.value,
            status=answer.status,
            earlier=answer.earlier_requests,
            left_out=self._lines.pop_dropped_count(),
        )
