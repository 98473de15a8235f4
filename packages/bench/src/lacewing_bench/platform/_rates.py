"""Limit calls a second."""

from collections.abc import Callable

Clock = Callable[[], float]


class TokenBucket:
    """Let calls pass at a rate, with a burst of one second's worth."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._filled_at = clock()
        self._tokens: float | None = None

    def take(self, rate: float) -> bool:
        """Take one call at ``rate`` a second; tell whether it passes."""
        now = self._clock()
        tokens = rate
        if self._tokens is not None:
            elapsed = now - self._filled_at
            tokens = min(rate, self._tokens + elapsed * rate)
        self._filled_at = now
        passes = tokens >= 1
        self._tokens = tokens - 1 if passes else tokens
        return passes

    def reset(self) -> None:
        """Fill the bucket at the next call."""
        self._tokens = None
