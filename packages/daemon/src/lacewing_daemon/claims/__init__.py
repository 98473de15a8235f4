"""Run a call that has an idempotency key at most once."""

from lacewing_daemon.claims._claimed_runs import ClaimedRuns
from lacewing_daemon.claims._claims import Claims
from lacewing_daemon.claims._limits import ClaimLimits

__all__ = ['ClaimLimits', 'ClaimedRuns', 'Claims']
