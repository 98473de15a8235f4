"""Describe whether a failed request may have run.

Functions that can fail return ``T | Refusal`` instead of raising, so that
every layer passes the verdict on to the caller unchanged.
"""

from dataclasses import dataclass
from enum import Enum


class Verdict(Enum):
    """List what can be known about the execution of a request."""

    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    RAN = 'ran'


class Reason(Enum):
    """List the reasons for refusals; the value is the API error code."""

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
    STREAM_UNKNOWN = 'stream_unknown'
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
    """Hold the verdict, reason and human-readable message of a refusal.

    ``retry_after_s`` is in seconds; None means that a retry will not help.
    """

    verdict: Verdict
    reason: Reason
    message: str
    retry_after_s: float | None = None


def not_run(
    reason: Reason, message: str, retry_after_s: float | None = None
) -> Refusal:
    """Return a refusal of a request that certainly did not run."""
    return Refusal(Verdict.NOT_RUN, reason, message, retry_after_s)


def may_have_run(reason: Reason, message: str) -> Refusal:
    """Return a refusal of a request that may have run."""
    return Refusal(Verdict.MAY_HAVE_RUN, reason, message)
