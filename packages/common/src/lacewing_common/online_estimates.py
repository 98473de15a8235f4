"""Estimate the cost of work online from observed samples."""

_DECAY = 0.98
_INITIAL_MS_PER_BLOCK = 8.0
_INITIAL_BASE_MS = 30.0
_MIN_MS_PER_BLOCK = 0.01
_SMOOTHING_FACTOR = 0.05
_INITIAL_RATE = 0.5


class PrefillCost:
    """Fit the time to first token as a linear function of computed blocks.

    The least-squares sums decay, so that the fit follows engines that slow
    down. It starts from two assumed samples, whose weight decays quickly.
    """

    def __init__(self) -> None:
        self._weight = 0.0
        self._sum_blocks = 0.0
        self._sum_ms = 0.0
        self._sum_blocks_squared = 0.0
        self._sum_blocks_ms = 0.0
        for blocks in (0.0, 20.0):
            first_ms = _INITIAL_BASE_MS + blocks * _INITIAL_MS_PER_BLOCK
            self._add(blocks, first_ms)
        self._ms_per_block = _INITIAL_MS_PER_BLOCK
        self._base_ms = _INITIAL_BASE_MS

    @property
    def ms_per_block(self) -> float:
        """Return the additional milliseconds for each computed block."""
        return self._ms_per_block

    @property
    def base_ms(self) -> float:
        """Return the milliseconds to first token without computed blocks."""
        return self._base_ms

    def update(self, blocks: float, first_token_ms: float) -> None:
        """Add the blocks of a request and its time without queueing."""
        self._add(blocks, first_token_ms)
        denominator = (
            self._weight * self._sum_blocks_squared - self._sum_blocks**2
        )
        if denominator < self._weight:
            return
        numerator = (
            self._weight * self._sum_blocks_ms
            - self._sum_blocks * self._sum_ms
        )
        self._ms_per_block = max(_MIN_MS_PER_BLOCK, numerator / denominator)
        remaining_ms = self._sum_ms - self._ms_per_block * self._sum_blocks
        self._base_ms = max(0.0, remaining_ms / self._weight)

    def _add(self, blocks: float, first_token_ms: float) -> None:
        self._weight = self._weight * _DECAY + 1.0
        self._sum_blocks = self._sum_blocks * _DECAY + blocks
        self._sum_ms = self._sum_ms * _DECAY + first_token_ms
        self._sum_blocks_squared = (
            self._sum_blocks_squared * _DECAY + blocks * blocks
        )
        self._sum_blocks_ms = (
            self._sum_blocks_ms * _DECAY + blocks * first_token_ms
        )


class RateEstimate:
    """Estimate the rate of an outcome by exponential smoothing."""

    def __init__(self, first: float = _INITIAL_RATE) -> None:
        self._value = first

    @property
    def value(self) -> float:
        """Return the estimated rate."""
        return self._value

    def update(self, share: float) -> None:
        """Add one outcome between 0 and 1."""
        self._value += _SMOOTHING_FACTOR * (share - self._value)
