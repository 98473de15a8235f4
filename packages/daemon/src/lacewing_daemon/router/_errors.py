"""Turn refusals into answers that a caller can read."""

import msgspec
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_common.verdict import Verdict

VERDICT_HEADER = 'Lacewing-Verdict'
DEFAULT_RETRY_AFTER_S = 1.0

_CONFLICT = 409
_BAD_GATEWAY = 502
_STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.BAD_KEY: 401,
    Reason.NOT_ALLOWED: 403,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_MODEL: 404,
    Reason.UNKNOWN_PATH: 404,
    Reason.CLAIM_EXISTS: _CONFLICT,
    Reason.OUTCOME_UNKNOWN: _CONFLICT,
    Reason.ANSWER_NOT_KEPT: _CONFLICT,
    Reason.TOO_LARGE: 413,
    Reason.KEY_REUSED: 422,
    Reason.TEAM_LIMIT: 429,
    Reason.CALLER_GONE: 499,
    Reason.INTERNAL: 500,
    Reason.WORKER_FAILED: _BAD_GATEWAY,
    Reason.ANSWER_MISMATCHED: _BAD_GATEWAY,
    Reason.STREAM_BROKEN: _BAD_GATEWAY,
}
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_TYPES = {
    400: 'invalid_request_error',
    401: 'authentication_error',
    403: 'permission_error',
    404: 'not_found_error',
    _CONFLICT: 'conflict_error',
    413: 'invalid_request_error',
    422: 'invalid_request_error',
    429: 'rate_limit_error',
    499: 'caller_gone_error',
    _UNAVAILABLE: 'unavailable_error',
}
_SERVER_ERROR = 'server_error'
_WITH_RETRY_AFTER = (_CONFLICT, 429, _UNAVAILABLE)


class ErrorDetail(msgspec.Struct, frozen=True):
    """Tell a caller what went wrong and whether its request may have run."""

    type: str
    message: str
    code: str
    verdict: str
    request_id: str


class ErrorBody(msgspec.Struct, frozen=True):
    """Wrap an error as the body of an answer."""

    error: ErrorDetail


def status_of(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal.

    503 invites a client to repeat the request, so it is kept for what
    surely did not run.
    """
    status = _STATUS.get(refusal.reason)
    if status is not None:
        return status
    if refusal.verdict is Verdict.NOT_RUN:
        return _UNAVAILABLE
    if refusal.reason is Reason.DEADLINE:
        return _GATEWAY_TIMEOUT
    return _BAD_GATEWAY


def retry_after_of(refusal: Refusal) -> str | None:
    """Return the Retry-After header in whole seconds, or None."""
    status = status_of(refusal)
    seconds = refusal.retry_after_s
    if status == _CONFLICT and seconds is None:
        return None
    if status not in _WITH_RETRY_AFTER:
        return None
    if seconds is None:
        seconds = DEFAULT_RETRY_AFTER_S
    return str(max(1, round(seconds)))


def error_body(refusal: Refusal, request_id: str) -> bytes:
    """Encode a refusal as a JSON body."""
    kind = _TYPES.get(status_of(refusal), _SERVER_ERROR)
    detail = ErrorDetail(
        kind,
        refusal.message,
        refusal.reason.value,
        refusal.verdict.value,
        request_id,
    )
    return msgspec.json.encode(ErrorBody(detail))


def error_event(refusal: Refusal, request_id: str) -> bytes:
    """Encode a refusal as the server-sent event that ends a cut stream."""
    body = error_body(refusal, request_id)
    return b'event: error\ndata: ' + body + b'\n\n'
