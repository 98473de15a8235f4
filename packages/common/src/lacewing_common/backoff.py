"""Space out retries, so that a herd does not return at once."""

from random import Random

_FACTOR = 2.0


class Backoff:
    """Draw growing delays, evenly from 0 to a capped ceiling.

    Without the draw, all clients cut off by one outage would come back
    together at its end and run into the platform's rate limit; one would
    see refusals in step. The cap bounds how late a client notices the end.
    """

    def __init__(
        self, base_s: float, cap_s: float, random: Random | None = None
    ) -> None:
        self._base_s = base_s
        self._cap_s = cap_s
        self._random = random or Random()
        self._ceiling_s = base_s

    def next_s(self) -> float:
        """Draw the next delay in seconds and raise the ceiling."""
        delay_s = self._random.uniform(0.0, self._ceiling_s)
        self._ceiling_s = min(self._cap_s, self._ceiling_s * _FACTOR)
        return delay_s

    def reset(self) -> None:
        """Start again from the lowest ceiling, after a success."""
        self._ceiling_s = self._base_s
