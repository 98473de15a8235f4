"""Measure how much each model of the worker is used."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from lacewing_daemon.agent._attempts import Attempts
from lacewing_daemon.placement import ModelDemand

_SAMPLE_S = 1.0
_GAIN = 0.1


@dataclass(frozen=True)
class Use:
    """Name a model and, for requests to one, an adapter."""

    model: str
    adapter: str = ''


class DemandMeter:
    """Average the requests at once, over some ten samples."""

    def __init__(
        self,
        attempts: Attempts,
        wait_ms: Callable[[], float],
        sample_s: float = _SAMPLE_S,
    ) -> None:
        self._attempts = attempts
        self._wait_ms = wait_ms
        self._mean_wait_ms = 0.0
        self._sample_s = sample_s
        self._means: dict[Use, float] = {}

    @property
    def wait_ms(self) -> float:
        """Return the mean wait of a new request, in milliseconds."""
        return round(self._mean_wait_ms, 1)

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(self._sample_s)

    def sample(self) -> None:
        """Count the open requests now, and the wait of a new one."""
        self._mean_wait_ms += _GAIN * (self._wait_ms() - self._mean_wait_ms)
        counts: Counter[Use] = Counter()
        for attempt in self._attempts.all():
            start = attempt.start
            if attempt.outcome is None and start.model:
                counts[Use(start.model, start.adapter)] += 1
        for use in {*self._means, *counts}:
            mean = self._means.get(use, 0.0)
            mean += _GAIN * (counts[use] - mean)
            self._means[use] = mean
            if mean < _GAIN / 10:
                del self._means[use]

    def open_requests(self, model: str) -> int:
        """Count the requests of a model that have not ended."""
        count = 0
        for attempt in self._attempts.all():
            if attempt.outcome is None and attempt.start.model == model:
                count += 1
        return count

    def demand(self) -> tuple[ModelDemand, ...]:
        """Return the means, rounded."""
        found: list[ModelDemand] = []
        for use, mean in self._means.items():
            found.append(ModelDemand(use.model, use.adapter, round(mean, 2)))
        return tuple(found)
