"""Decide what a claim that stands means for a request."""

from enum import Enum

from lacewing_common.verdict import may_have_run
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_common.verdict import Verdict

from lacewing_daemon.claims._record import Claim
from lacewing_daemon.claims._record import ClaimState
from lacewing_daemon.claims._record import Outcome
from lacewing_daemon.claims._requests import ClaimRequest

RETRY_S = 1.0


class Ruling(Enum):
    """Name the cases."""

    FREE = 'free'
    REUSED = 'reused'
    RAN = 'ran'
    UNCERTAIN = 'uncertain'
    OF_ANOTHER = 'of-another'


def rule(found: Claim | None, request: ClaimRequest, owner: int) -> Ruling:
    """Decide on a request whose key the owner itself does not run now.

    The owner remembers each permit until its end is written. So a claim of
    its own that it does not remember was never run, and never will be.
    """
    if found is None:
        return Ruling.FREE
    if found.state is ClaimState.CLAIMED and found.owner == owner:
        return Ruling.FREE
    if found.call != request.call:
        return Ruling.REUSED
    if found.state is ClaimState.RAN:
        return Ruling.RAN
    if found.state is ClaimState.UNCERTAIN:
        return Ruling.UNCERTAIN
    return Ruling.OF_ANOTHER


def is_settled(found: Claim | None) -> bool:
    """Tell whether a claim means the same in every later version."""
    return found is not None and found.state is not ClaimState.CLAIMED


def replay(outcome: Outcome | None) -> Outcome | Refusal:
    """Return the kept answer, or say that it is not kept."""
    if outcome is not None and outcome.body is not None:
        return outcome
    return Refusal(
        Verdict.RAN,
        Reason.ANSWER_NOT_KEPT,
        'the call with this Idempotency-Key ran once; its answer is too'
        ' long or too old to be kept',
    )


def key_reused() -> Refusal:
    """Refuse another call under a key in use."""
    return not_run(
        Reason.KEY_REUSED,
        'this Idempotency-Key was used for a call with another method, path'
        ' or body; use a new key for a new call',
    )


def still_running() -> Refusal:
    """Refuse a repeat whose first call did not end in time."""
    # Not "not run": a caller told so might use a new key and run it twice.
    return Refusal(
        Verdict.MAY_HAVE_RUN,
        Reason.CLAIM_EXISTS,
        'the call with this Idempotency-Key still runs; ask again with the'
        ' same key',
        RETRY_S,
    )


def of_another() -> Refusal:
    """Refuse a repeat of what another run of an agent has claimed."""
    return Refusal(
        Verdict.MAY_HAVE_RUN,
        Reason.OUTCOME_UNKNOWN,
        'another agent claimed the call with this Idempotency-Key and has'
        ' not told its outcome; ask again with the same key',
        RETRY_S,
    )


def uncertain() -> Refusal:
    """Refuse a repeat of what may have run."""
    return may_have_run(
        Reason.OUTCOME_UNKNOWN,
        'the call with this Idempotency-Key may have run and its outcome is'
        ' lost; find out at the service before you use a new key',
    )


def unavailable(message: str, retry_after_s: float = RETRY_S) -> Refusal:
    """Refuse what cannot be claimed now."""
    return not_run(
        Reason.PLATFORM_UNAVAILABLE,
        f'the call could not be claimed and did not run: {message}',
        retry_after_s,
    )


def full(retention_s: int) -> Refusal:
    """Refuse what has no room; a claim is never dropped early for it."""
    return not_run(
        Reason.CLAIMS_FULL,
        'no room for more claims in this range of keys until some are'
        f' older than {retention_s} s; the call did not run',
        retry_after_s=60.0,
    )
