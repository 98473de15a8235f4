"""Space out the writes of one range."""

import asyncio
from random import Random

from lacewing_common.backoff import Backoff

from lacewing_daemon.claims._limits import ClaimLimits


class WritePace:
    """Say when the next write may go out, after others and after failures.

    Without the pace, each call of a busy range would be a write of its own
    and one service could take all that the platform grants. Without the
    burst, a claim would wait for the outcome written just before.
    """

    def __init__(self, limits: ClaimLimits, random: Random) -> None:
        self._limits = limits
        self._backoff = Backoff(
            limits.retry_base_s, limits.retry_cap_s, random
        )
        self._loop = asyncio.get_running_loop()
        self._paid_until = 0.0
        self._failing_until = 0.0

    @property
    def failing(self) -> bool:
        """Tell whether a failure is too recent for another try."""
        return self._failing_until > self._loop.time()

    async def wait(self) -> None:
        """Wait until a write may go out."""
        rest_s = (self._limits.burst - 1) * self._limits.pace_s
        ready_at = max(self._paid_until - rest_s, self._failing_until)
        now = self._loop.time()
        if ready_at > now:
            await asyncio.sleep(ready_at - now)

    def wrote(self) -> None:
        """Count a write, whatever came of it."""
        begun_at = max(self._paid_until, self._loop.time())
        self._paid_until = begun_at + self._limits.pace_s

    def succeeded(self) -> None:
        """Note that the platform took a write."""
        self._backoff.reset()
        self._failing_until = 0.0

    def failed(self, retry_after_s: float | None) -> None:
        """Note a failure and the platform's advice, if it gave any."""
        delay_s = retry_after_s or self._backoff.next_s()
        self._failing_until = self._loop.time() + delay_s
