"""Map refusals to HTTP statuses."""

from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_common.verdict import Verdict

BAD_REQUEST = 400
UNAVAILABLE = 503
_BAD_GATEWAY = 502
_TIMED_OUT = 504
_STATUS = {
    Reason.BAD_REQUEST: BAD_REQUEST,
    Reason.BAD_KEY: 401,
    Reason.UNKNOWN_PATH: 404,
    Reason.TOO_LARGE: 413,
    Reason.TEAM_LIMIT: 429,
}


def status_of(refusal: Refusal) -> int:
    """Return the status of the answer that tells a caller of a refusal."""
    if refusal.verdict is Verdict.NOT_RUN:
        return _STATUS.get(refusal.reason, UNAVAILABLE)
    if refusal.reason is Reason.DEADLINE:
        return _TIMED_OUT
    return _BAD_GATEWAY
