"""Decide whether a failed attempt may be followed by another one."""

from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_common.verdict import Verdict

# These say that one worker did not run it; another may. What is missing
# here would be refused by every worker, such as a key already in use.
_OF_ONE_WORKER = frozenset(
    (
        Reason.QUEUE_FULL,
        Reason.DEADLINE,
        Reason.DRAINING,
        Reason.NOT_READY,
        Reason.STALE_EPOCH,
        Reason.STALE_WEIGHTS,
        Reason.ATTEMPT_CLOSED,
        Reason.AGENT_RESTARTED,
        Reason.AGENT_UNREACHABLE,
        Reason.WORKER_UNREACHABLE,
        Reason.WORKER_FAILED,
    )
)
# These leave open whether it ran. Only what may run twice goes on.
_OF_A_FAULT = frozenset(
    (
        Reason.STALE_EPOCH,
        Reason.AGENT_RESTARTED,
        Reason.AGENT_UNREACHABLE,
        Reason.WORKER_UNREACHABLE,
        Reason.WORKER_FAILED,
        Reason.ANSWER_MISMATCHED,
        Reason.STREAM_BROKEN,
    )
)

# Of these, what a worker's or an agent's end brings. An overloaded one that
# answers with an error isn't among them.
_OF_AN_END = frozenset(
    (
        Reason.STALE_EPOCH,
        Reason.AGENT_RESTARTED,
        Reason.AGENT_UNREACHABLE,
        Reason.WORKER_UNREACHABLE,
        Reason.STREAM_BROKEN,
    )
)


def is_not_run_here(refusal: Refusal) -> bool:
    """Tell whether one worker refused what another may run."""
    if refusal.verdict is not Verdict.NOT_RUN:
        return False
    return refusal.reason in _OF_ONE_WORKER


def is_fault(refusal: Refusal) -> bool:
    """Tell whether a fault ended an attempt that may have run."""
    if refusal.verdict is Verdict.NOT_RUN:
        return False
    return refusal.reason in _OF_A_FAULT


def is_breakage(refusal: Refusal) -> bool:
    """Tell whether the end of a worker or agent broke an attempt."""
    return is_fault(refusal) and refusal.reason in _OF_AN_END
