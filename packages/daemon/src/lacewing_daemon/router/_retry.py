"""Bound retries, so that a fault does not multiply the load."""

RETRY_SHARE = 0.1
RETRY_BURST = 10.0


class RetryBudget:
    """Hold a token bucket that requests fill and retries empty.

    Without it, workers that refuse under overload would be asked again by
    every router at once: the load doubles just when it is too high. One
    would notice retries growing with refusals; here they stay at ``share``
    of the requests, with a burst for a single fault.
    """

    def __init__(
        self, share: float = RETRY_SHARE, burst: float = RETRY_BURST
    ) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """Return the retries that may be made now."""
        return self._tokens

    def add_request(self) -> None:
        """Earn a share of a retry for one request."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def take(self) -> bool:
        """Take one retry; false when there is none left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
