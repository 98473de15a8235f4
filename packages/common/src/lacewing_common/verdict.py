"""Say whether a request may have run.

Functions that can fail return ``T | Refusal`` in place of raising, so that
the verdict reaches the caller unchanged through every layer.
"""

from dataclasses import dataclass
from enum import Enum


class Verdict(Enum):
    """Tell what is known about the execution of one request."""

    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    RAN = 'ran'


class Reason(Enum):
    """Name the cause of a refusal; the value is the error code on the API."""

    BAD_REQUEST = 'bad_request'
    TOO_LARGE = 'request_too_large'
    BAD_KEY = 'invalid_team_key'
    NOT_ALLOWED = 'service_not_allowed'
    UNKNOWN_SERVICE = 'unknown_service'
    UNKNOWN_MODEL = 'unknown_model'
    UNKNOWN_PATH = 'unknown_path'
    TEAM_LIMIT = 'team_limit_reached'
    QUEUE_FULL = 'queue_full'
    DEADLINE = 'deadline_cannot_be_met'
    NO_WORKER = 'no_worker_available'
    DRAINING = 'draining'
    NOT_READY = 'not_ready'
    STALE_EPOCH = 'worker_restarted'
    STALE_WEIGHTS = 'weights_version_changed'
    ATTEMPT_CLOSED = 'attempt_closed'
    AGENT_RESTARTED = 'agent_restarted'
    AGENT_UNREACHABLE = 'agent_unreachable'
    WORKER_UNREACHABLE = 'worker_unreachable'
    WORKER_FAILED = 'worker_failed'
    WORKERS_CRASHED = 'workers_crashed'
    ANSWER_MISMATCHED = 'answer_of_another_request'
    STREAM_BROKEN = 'stream_broken'
    PLATFORM_UNAVAILABLE = 'platform_unavailable'
    CLAIM_EXISTS = 'idempotency_key_in_use'
    KEY_REUSED = 'idempotency_key_reused'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    ANSWER_NOT_KEPT = 'answer_not_kept'
    CLAIMS_FULL = 'claims_full'
    BUNDLE_INVALID = 'bundle_invalid'
    BUNDLE_NOT_SIGNED = 'bundle_not_signed_off'
    CALLER_GONE = 'caller_gone'
    INTERNAL = 'internal_error'


@dataclass(frozen=True)
class Refusal:
    """Refuse a request with a verdict, a reason and a text for the reader.

    ``retry_after_s`` is in seconds; None means that a retry won't help.
    """

    verdict: Verdict
    reason: Reason
    message: str
    retry_after_s: float | None = None


def not_run(
    reason: Reason, message: str, retry_after_s: float | None = None
) -> Refusal:
    """Build a refusal of a request that surely did not run."""
    return Refusal(Verdict.NOT_RUN, reason, message, retry_after_s)


def may_have_run(reason: Reason, message: str) -> Refusal:
    """Build a refusal of a request whose execution is unknown."""
    return Refusal(Verdict.MAY_HAVE_RUN, reason, message)
