"""Measure how fast requests leave the queue. Callers pass in the time."""

from dataclasses import dataclass

from lacewing_daemon.direct.queueing._request import QueuedRequest

# Engines stop and return within seconds, so older samples mislead.
HALF_LIFE_S = 1.0
# With less time observed, a few requests decide, and the rate is unknown.
MIN_OBSERVED_S = 0.3
# A rate from an earlier backlog is not used.
MAX_IDLE_S = 5.0
# A longer gap between two observations is a pause of the process.
MAX_GAP_S = 0.1


@dataclass
class _Rate:
    """Hold decayed sums; ``seconds``: while requests waited."""

    tokens: float = 0.0
    seconds: float = 0.0
    observed_s: float = 0.0


class LeaveRates:
    """Estimate how long requests wait for their turn, by urgency.

    Only time during which requests of the urgency wait counts: without a
    backlog, the rate shows what arrives and not what could be served. The
    rate of an urgency includes the effect of the more urgent ones that went
    first.
    """

    def __init__(self) -> None:
        self._rates: dict[int, _Rate] = {}

    def observe(self, urgencies: set[int], now_s: float) -> None:
        """Count the time since the last call for those that wait."""
        for urgency in urgencies:
            rate = self._rates.setdefault(urgency, _Rate(observed_s=now_s))
            gap_s = now_s - rate.observed_s
            rate.observed_s = now_s
            if gap_s > MAX_IDLE_S:
                rate.tokens = rate.seconds = 0.0
                continue
            gap_s = min(gap_s, MAX_GAP_S)
            factor = 0.5 ** (gap_s / HALF_LIFE_S)
            rate.tokens *= factor
            rate.seconds = rate.seconds * factor + gap_s

    def record(self, request: QueuedRequest) -> None:
        """Count a request that left the queue for an engine."""
        rate = self._rates.get(request.urgency)
        if rate is not None:
            rate.tokens += request.tokens

    def wait_s(self, request: QueuedRequest, tokens_ahead: float) -> float:
        """Return the expected wait behind others of the same urgency.

        Returns 0 while the rate is unknown. One request like this one is
        assumed to leave at the moment, as otherwise the wait behind a single
        request would be infinite until the first one has left.
        """
        rate = self._rates.get(request.urgency)
        if rate is None or rate.seconds < MIN_OBSERVED_S:
            return 0.0
        assumed = rate.tokens + request.tokens
        return tokens_ahead * rate.seconds / max(assumed, 1.0)
