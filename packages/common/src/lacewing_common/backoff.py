"""Compute randomized retry delays to avoid synchronized retries."""

from random import Random

_GROWTH_FACTOR = 2.0


class Backoff:
    """Return exponential delays with full jitter, up to a cap.

    Without jitter, all clients disconnected by one outage would retry at the
    same moments and exceed the platform's rate limit, which shows as
    synchronized refusals. The cap bounds how late a client notices the end
    of an outage.
    """

    def __init__(
        self, base_s: float, cap_s: float, random: Random | None = None
    ) -> None:
        self._base_s = base_s
        self._cap_s = cap_s
        self._random = random or Random()
        self._ceiling_s = base_s

    def next_s(self) -> float:
        """Return a random delay in seconds and raise the ceiling."""
        delay_s = self._random.uniform(0.0, self._ceiling_s)
        self._ceiling_s = min(self._cap_s, self._ceiling_s * _GROWTH_FACTOR)
        return delay_s

    def reset(self) -> None:
        """Return to the initial ceiling after a success."""
        self._ceiling_s = self._base_s
