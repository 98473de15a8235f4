"""Measure elapsed time excluding stalls of this process."""

import asyncio
import time
from collections.abc import Callable

# Event loop wake-ups in one exchange, on both sides: to connect, send, receive
# and answer.
_WAKEUPS_PER_EXCHANGE = 8
# Weight of the latest sample in the moving average of wake-up delays.
_SMOOTHING_FACTOR = 0.2
# Limits how much one long stall extends the timeouts that follow.
_MAX_SAMPLE_S = 1.0


class RunningClock:
    """Provide a monotonic clock that excludes late wake-ups.

    Answers of peers stay unread while this process is not scheduled or its
    event loop is blocked. Counting that time as silence would mark healthy
    peers as suspect and this process as isolated.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._stalled_s = 0.0
        self._due_s = float('inf')
        self._mean_late_s = 0.0

    @property
    def now_s(self) -> float:
        """Return the time in seconds, excluding stalls.

        Does not advance between the due time of a ``sleep`` and its return.
        """
        return min(self._clock(), self._due_s) - self._stalled_s

    def extend_timeout(self, timeout_s: float) -> float:
        """Return the timeout extended by the expected wake-up delays."""
        return timeout_s + _WAKEUPS_PER_EXCHANGE * self._mean_late_s

    async def sleep(self, wait_s: float) -> float:
        """Sleep and return the delay of the wake-up in seconds."""
        self._due_s = self._clock() + wait_s
        try:
            await asyncio.sleep(wait_s)
        finally:
            late_s = max(0.0, self._clock() - self._due_s)
            self._due_s = float('inf')
            self._stalled_s += late_s
        sample_s = min(late_s, _MAX_SAMPLE_S)
        self._mean_late_s += _SMOOTHING_FACTOR * (sample_s - self._mean_late_s)
        return late_s
