"""Describe how a request ended and what its decisions were based on."""

from dataclasses import dataclass

from lacewing_common.log_lines import Try
from lacewing_common.verdict import Refusal
from lacewing_common.verdict import Verdict

from lacewing_daemon.direct._admission import Admitted
from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._fleet import Fleet
from lacewing_daemon.direct.crashes._fingerprint import RequestSubjects
from lacewing_daemon.direct.queueing import QueueStay

_MS = 1000.0
# Upper bound of ages in the log; JSON has no infinity.
_MAX_LOGGED_AGE_S = 9999.0
_FIRST_ERROR_STATUS = 400


@dataclass(frozen=True)
class RequestOutcome:
    """Hold how a request ended; ``reason`` '' for an upstream's answer.

    ``subjects`` are what a crash under it may be attributed to.
    ``resumed_request`` brought the first event of the stream that this one
    takes up. ``queue_ahead``: requests that preceded it when it joined the
    queue, -1 if it never did; ``queued_ms``: how long it waited there.
    ``origin``: how the version that a stream must go on at is known, '' for a
    new stream. ``no_send``: why no further send was made, '' if ``message``
    tells.
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
    subjects: RequestSubjects
    resumed_request: str = ''
    origin: str = ''
    queued_ms: int = 0
    queue_ahead: int = -1
    no_send: str = ''

    @property
    def failed(self) -> bool:
        """Return whether the caller got an error or no complete answer."""
        return self.status == 0 or self.status >= _FIRST_ERROR_STATUS


def describe_outcome(
    request: CallerRequest,
    admitted: Admitted | None,
    fleet: Fleet,
    status: int,
    refusal: Refusal | None,
    tries: tuple[Try, ...],
    subjects: RequestSubjects,
    now_s: float,
    stay: QueueStay,
    no_send: str,
    origin: str,
) -> RequestOutcome:
    """Return the outcome of a request; ``admitted`` is None if refused."""
    routing_config = fleet.cluster_state.routing_config
    service = '' if admitted is None else admitted.service.name
    verdict = Verdict.RAN if refusal is None else refusal.verdict
    deadline_s = request.deadline_s or 0.0
    elapsed_s = now_s - request.received_s
    config_age_s = min(fleet.routing_config_age_s, _MAX_LOGGED_AGE_S)
    return RequestOutcome(
        request_id=request.request_id,
        service=service,
        team='' if admitted is None else admitted.team_name,
        status=status,
        verdict=verdict.value,
        reason='' if refusal is None else refusal.reason.value,
        message='' if refusal is None else refusal.message,
        ms=int(elapsed_s * _MS),
        left_ms=int((deadline_s - elapsed_s) * _MS),
        config=0 if routing_config is None else routing_config.version,
        config_age_ms=int(config_age_s * _MS),
        upstreams=len(fleet.cluster_state.upstreams_of(service)),
        tries=tries,
        subjects=subjects,
        resumed_request=request.resumed_request,
        origin=origin,
        queued_ms=int(stay.queued_s * _MS),
        queue_ahead=stay.ahead,
        no_send=no_send,
    )
