"""Meter a rate by a token bucket whose rate may change."""

_BURST_S = 1.0
# With one token a bucket of a small rate runs over while it waits for the
# next request, and the team gets less than its part.
_SMALLEST_BURST = 2.0
_FIRST_TOKENS = 1.0


class RateBucket:
    """Hold tokens that come in at a rate until the bucket is full.

    ``now`` is a reading of ``time.monotonic``. The capacity is one second's
    worth unless it is given.
    """

    def __init__(
        self,
        rate: float,
        now: float,
        capacity: float | None = None,
        tokens: float = _FIRST_TOKENS,
    ) -> None:
        self._rate = rate
        self._capacity = capacity
        # Many routers may see a team at once, each for the first time: full
        # buckets would let a multiple of the limit pass.
        self._tokens = tokens
        self._at = now

    @property
    def rate(self) -> float:
        """Return the tokens that come in a second."""
        return self._rate

    @property
    def _burst(self) -> float:
        if self._capacity is not None:
            return self._capacity
        return max(_SMALLEST_BURST, self._rate * _BURST_S)

    def set_rate(
        self, rate: float, now: float, capacity: float | None = None
    ) -> None:
        """Change the rate; what has come in stays, up to the new burst."""
        self._fill(now)
        self._rate = rate
        self._capacity = capacity
        self._tokens = min(self._tokens, self._burst)

    def tokens(self, now: float) -> float:
        """Return the tokens held."""
        self._fill(now)
        return self._tokens

    def holds(self, amount: float, now: float) -> bool:
        """Tell whether an amount can be taken; more than a burst can't."""
        self._fill(now)
        return self._tokens >= min(amount, self._burst)

    def take(self, amount: float, now: float) -> None:
        """Take an amount; a negative one gives back."""
        self._fill(now)
        self._tokens = min(self._burst, self._tokens - amount)

    def move(self, amount: float, now: float) -> None:
        """Add tokens that came in elsewhere, also beyond the capacity.

        A negative amount moves tokens out.
        """
        self._fill(now)
        self._tokens += amount

    def wait_s(self, amount: float, now: float) -> float:
        """Return the seconds until an amount can be taken."""
        self._fill(now)
        missing = min(amount, self._burst) - self._tokens
        if missing <= 0:
            return 0.0
        if self._rate <= 0:
            return _BURST_S
        return missing / self._rate

    def _fill(self, now: float) -> None:
        gained = max(0.0, (now - self._at) * self._rate)
        self._at = now
        if self._tokens < self._burst:
            self._tokens = min(self._burst, self._tokens + gained)
