"""Bound how much the samples of one sender count for one engine."""

# A router sends an engine 0.3 prompts per second, more at a burst.
MAX_SAMPLES_PER_S = 1.0
BURST_SAMPLES = 3.0
# Entries whose allowance is full again are dropped this often.
PRUNE_INTERVAL_S = 3.0


class SenderAllowance:
    """Allow a bounded number of samples per engine from one sender.

    Load: a router whose clock or measurement is wrong. With 24 others that
    each send 0.3 samples per second, it has at most an eighth of the weight.
    """

    def __init__(self) -> None:
        self._used: dict[str, tuple[float, float]] = {}
        self._pruned_s = float('-inf')

    def take(self, upstream_id: str, count: float, now_s: float) -> float:
        """Return the fraction of ``count`` samples that is allowed."""
        self._prune(now_s)
        used = self._current(upstream_id, now_s)
        allowed = min(count, BURST_SAMPLES - used)
        self._used[upstream_id] = (used + allowed, now_s)
        return allowed / count if count > 0 else 0.0

    def _current(self, upstream_id: str, now_s: float) -> float:
        used, at_s = self._used.get(upstream_id, (0.0, now_s))
        return max(0.0, used - (now_s - at_s) * MAX_SAMPLES_PER_S)

    def _prune(self, now_s: float) -> None:
        if now_s - self._pruned_s < PRUNE_INTERVAL_S:
            return
        self._pruned_s = now_s
        for upstream_id in list(self._used):
            if self._current(upstream_id, now_s) <= 0:
                del self._used[upstream_id]
