"""Stand in for the weight store, which slows down when shared."""

import asyncio

from lacewing_bench.platform._settings import WeightSettings

_STEP_S = 0.02


class WeightStore:
    """Serve loads; above the limit at once all share its speed."""

    def __init__(self, settings: WeightSettings) -> None:
        self._settings = settings
        self._loading = 0
        self._peak = 0
        self._loads = 0

    @property
    def loads(self) -> int:
        """Return the number of finished loads."""
        return self._loads

    @property
    def peak_at_once(self) -> int:
        """Return the most loads seen at once."""
        return self._peak

    async def load(self) -> None:
        """Take as long as one load takes."""
        self._loading += 1
        self._peak = max(self._peak, self._loading)
        try:
            await self._work()
            self._loads += 1
        finally:
            self._loading -= 1

    def reset_counts(self) -> None:
        """Start counting anew."""
        self._loads = 0
        self._peak = self._loading

    async def _work(self) -> None:
        left_s = self._settings.load_s
        while left_s > 0:
            step_s = min(_STEP_S, left_s)
            speed = min(1.0, self._settings.loads_at_once / self._loading)
            await asyncio.sleep(step_s / speed)
            left_s -= step_s
