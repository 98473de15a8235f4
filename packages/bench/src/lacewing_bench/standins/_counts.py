"""Count what a stand-in worker truly did, for checks and reports.

The counts belong to the test and not to the worker: a crash keeps them.
"""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field

from lacewing_bench.standins._generation import Generation


@dataclass
class EngineCounts:
    """Count an engine's work.

    ``executions``: by request id, counted as a request enters the batch.
    ``by_call``: by the digest of model and prompt.
    ``busy_s``: seconds of steps, as priced. ``loading``: loads under way.
    ``orders``: orders obeyed; ``stale_orders``: refused for their fence.
    """

    executions: Counter[str] = field(default_factory=Counter)
    by_call: Counter[str] = field(default_factory=Counter)
    prefilled_tokens: int = 0
    hit_tokens: int = 0
    prompt_tokens: int = 0
    completed: int = 0
    cancelled: int = 0
    busy_s: float = 0.0
    peak_running: int = 0
    loading: int = 0
    loads: int = 0
    orders: int = 0
    stale_orders: int = 0
    imported_blocks: int = 0
    exported_blocks: int = 0
    _prefilled_blocks: Counter[bytes] = field(default_factory=Counter)

    @property
    def prefilled_blocks(self) -> Counter[bytes]:
        """Return how often each block was computed.

        Reported apart from the other counts, for there are many.
        """
        return self._prefilled_blocks

    def prefill(self, blocks: tuple[bytes, ...]) -> None:
        """Count blocks that were computed whole."""
        self._prefilled_blocks.update(blocks)

    def admit(self, generation: Generation, running: int) -> None:
        """Count a request that entered the batch."""
        self.executions[generation.request_id] += 1
        self.by_call[generation.call] += 1
        self.hit_tokens += generation.cached_tokens
        self.prompt_tokens += generation.prompt_tokens
        self.peak_running = max(self.peak_running, running)


@dataclass
class PlainCounts:
    """Count a plain service's executions.

    ``by_key`` counts by Idempotency-Key, where one was given; ``by_call``
    by the digest of path and body.
    """

    executions: Counter[str] = field(default_factory=Counter)
    by_call: Counter[str] = field(default_factory=Counter)
    by_key: Counter[str] = field(default_factory=Counter)
    completed: int = 0
    peak_running: int = 0
