"""Report load with a lag, as engines do."""

import asyncio
from collections import deque

import msgspec


class Load(msgspec.Struct, frozen=True):
    """Hold a worker's load; ``age_ms`` is the age of the figures."""

    epoch: str = ''
    running: int = 0
    waiting: int = 0
    waiting_prefill_tokens: int = 0
    cached_blocks: int = 0
    capacity_blocks: int = 0
    age_ms: float = 0.0


class _Sample(msgspec.Struct, frozen=True):
    at: float
    load: Load


class LoadHistory:
    """Keep recent loads and show the one of some time ago."""

    def __init__(self, lag_s: float, first: Load) -> None:
        self.lag_s = lag_s
        self._samples: deque[_Sample] = deque([_Sample(0.0, first)])

    def record(self, load: Load) -> None:
        """Record the load from now on."""
        now = asyncio.get_running_loop().time()
        self._samples.append(_Sample(now, load))
        self._forget(now)

    def shown(self) -> Load:
        """Return the load as it was one lag ago."""
        now = asyncio.get_running_loop().time()
        self._forget(now)
        load = self._samples[0].load
        age_ms = round(self.lag_s * 1000, 1)
        return msgspec.structs.replace(load, age_ms=age_ms)

    def _forget(self, now: float) -> None:
        shown_at = now - self.lag_s
        samples = self._samples
        while len(samples) > 1 and samples[1].at <= shown_at:
            samples.popleft()
