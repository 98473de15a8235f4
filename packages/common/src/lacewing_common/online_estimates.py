"""Learn from what came true what work costs."""

_DECAY = 0.98
_FIRST_MS_PER_BLOCK = 8.0
_FIRST_BASE_MS = 30.0
_LEAST_MS_PER_BLOCK = 0.01
_GAIN = 0.05
_FIRST_CHANCE = 0.5


class PrefillCost:
    """Fit a line of milliseconds to first token over computed blocks.

    The sums decay, so that the line follows engines that slow down. It
    starts from two invented points, whose weight soon fades.
    """

    def __init__(self) -> None:
        self._count = 0.0
        self._blocks = 0.0
        self._ms = 0.0
        self._squares = 0.0
        self._products = 0.0
        for blocks in (0.0, 20.0):
            first_ms = _FIRST_BASE_MS + blocks * _FIRST_MS_PER_BLOCK
            self._add(blocks, first_ms)
        self._ms_per_block = _FIRST_MS_PER_BLOCK
        self._base_ms = _FIRST_BASE_MS

    @property
    def ms_per_block(self) -> float:
        """Return the milliseconds that a computed block adds."""
        return self._ms_per_block

    @property
    def base_ms(self) -> float:
        """Return the milliseconds to first token without any block."""
        return self._base_ms

    def update(self, blocks: float, first_token_ms: float) -> None:
        """Take one request's computed blocks and time without its wait."""
        self._add(blocks, first_token_ms)
        spread = self._count * self._squares - self._blocks**2
        if spread < self._count:
            return
        slope = self._count * self._products - self._blocks * self._ms
        self._ms_per_block = max(_LEAST_MS_PER_BLOCK, slope / spread)
        rest = self._ms - self._ms_per_block * self._blocks
        self._base_ms = max(0.0, rest / self._count)

    def _add(self, blocks: float, first_token_ms: float) -> None:
        self._count = self._count * _DECAY + 1.0
        self._blocks = self._blocks * _DECAY + blocks
        self._ms = self._ms * _DECAY + first_token_ms
        self._squares = self._squares * _DECAY + blocks * blocks
        self._products = self._products * _DECAY + blocks * first_token_ms


class RateEstimate:
    """Learn how often something comes true."""

    def __init__(self, first: float = _FIRST_CHANCE) -> None:
        self._value = first

    @property
    def value(self) -> float:
        """Return the expected share."""
        return self._value

    def update(self, share: float) -> None:
        """Take one outcome between 0 and 1."""
        self._value += _GAIN * (share - self._value)
