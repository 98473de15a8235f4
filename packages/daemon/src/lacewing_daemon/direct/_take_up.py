"""Record where streams begin, and find out where they may go on."""

from dataclasses import dataclass
from dataclasses import replace

from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal

from lacewing_daemon.direct._admission import Admitted
from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._metrics import STREAMS_TAKEN_UP
from lacewing_daemon.direct._routing_config import RoutingConfig
from lacewing_daemon.direct._upstream import Software
from lacewing_daemon.direct._upstream import UnknownSoftware
from lacewing_daemon.direct.origins import MAX_LIVES
from lacewing_daemon.direct.origins import Question
from lacewing_daemon.direct.origins import stream_key
from lacewing_daemon.direct.origins import StreamOrigin
from lacewing_daemon.direct.origins import StreamOrigins
from lacewing_daemon.direct.origins import UnknownOrigin

# Another router may know the stream, or this one once its peers answer.
UNKNOWN_RETRY_S = 0.5
# Bounds how long the origin of a stream is kept, whatever deadline its caller
# states.
MAX_STREAM_LIFE_S = 120.0
_MESSAGES = {
    UnknownOrigin.UNNAMED: 'it names no request that began the stream',
    UnknownOrigin.NO_RECORD: 'no router knows the stream',
    UnknownOrigin.NO_ANSWER: 'routers that may know the stream do not answer',
    UnknownOrigin.UNCONFIRMED: (
        'the platform does not confirm that one version only can have begun it'
    ),
    UnknownOrigin.REUSED: 'two streams have the id of this one',
    UnknownOrigin.OTHER_START: (
        'no report has confirmed the start of the upstream that began it'
    ),
}


@dataclass(frozen=True)
class StreamPlace:
    """Hold where a stream may run.

    ``software`` is the version that it must go on at, None for a new stream;
    ``is_inferred``: no router has a record of it.
    """

    admitted: Admitted
    software: str | None = None
    is_inferred: bool = False


def is_taken_up(request: CallerRequest, admitted: Admitted) -> bool:
    """Return whether a request asks for the rest of a stream."""
    if not admitted.route.is_streaming:
        return False
    return request.after_event is not None or request.resumed_request != ''


async def place_stream(
    request: CallerRequest,
    admitted: Admitted,
    config: RoutingConfig | None,
    origins: StreamOrigins,
) -> StreamPlace | Refusal:
    """Return where a request may run; refuse if its stream is unknown."""
    if not is_taken_up(request, admitted):
        return StreamPlace(admitted)
    key: bytes | None = None
    if request.resumed_request:
        key = stream_key(admitted.team_name, request.resumed_request)
    service_name = admitted.service.name
    origin = await origins.find(
        Question(key, service_name, _max_age_s(request, admitted))
    )
    label = origin.value if isinstance(origin, UnknownOrigin) else 'known'
    STREAMS_TAKEN_UP.labels(admitted.service.name, label).inc()
    if isinstance(origin, UnknownOrigin):
        return _refusal(_MESSAGES[origin])
    if origin.service == service_name:
        return StreamPlace(admitted, origin.software, origin.is_inferred)
    # Requests of one route may be divided among services.
    for share in admitted.route.shares:
        if share.service == origin.service and config is not None:
            service = config.services.get(origin.service)
            if service is not None:
                moved = replace(admitted, service=service)
                return StreamPlace(moved, origin.software, origin.is_inferred)
    return _refusal("the route no longer leads to the stream's service")


def record_origin(
    request: CallerRequest,
    admitted: Admitted,
    software: Software,
    origins: StreamOrigins,
) -> None:
    """Record at which software version the events of a caller begin.

    The caller may take the stream up until its deadline is over.
    """
    request_id = request.resumed_request or request.request_id
    if not admitted.route.can_retry or not request_id:
        return
    key = stream_key(admitted.team_name, request_id)
    service = admitted.service.name
    life_s = min(_life_s(request, admitted), MAX_STREAM_LIFE_S)
    if isinstance(software, str):
        origins.record(key, StreamOrigin(service, software), life_s)
        return
    if software is UnknownSoftware.DOUBTED:
        origins.record_pending(key, life_s)
        return
    origins.record_unknown(key, service, life_s)


def _life_s(request: CallerRequest, admitted: Admitted) -> float:
    return max(admitted.route.timeout_s, request.deadline_s or 0.0)


def _max_age_s(request: CallerRequest, admitted: Admitted) -> float:
    """Return how long ago a stream that is not known may have begun."""
    return MAX_LIVES * _life_s(request, admitted)


def _refusal(message: str) -> Refusal:
    return not_run(Reason.STREAM_UNKNOWN, message, UNKNOWN_RETRY_S)
