"""Switch the faults of the stand-in on and off."""

from enum import Enum
from random import Random

import msgspec


class Down(Enum):
    """Tell how an outage shows: not at all, as 503, or as cut calls."""

    NO = 'no'
    REFUSE = 'refuse'
    DROP = 'drop'


class FaultSwitches(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Hold all fault switches; what is left out is off.

    ``slow_s`` delays each call before its effect; with ``slow_next`` only
    that many calls. ``lose_next`` takes the answers of that many writes
    after their effect, ``lose_share`` those of a share of the writes, drawn
    with ``seed``. The rates, in calls a second, and ``vm_lag_s`` replace the
    settings' values.
    """

    down: Down = Down.NO
    slow_s: float = 0.0
    slow_next: int | None = None
    lose_next: int = 0
    lose_share: float = 0.0
    seed: int = 0
    writes_per_s: float | None = None
    reads_per_s: float | None = None
    vm_lag_s: float | None = None
    weights_down: bool = False


class SwitchBoard:
    """Keep the switches now in force."""

    def __init__(self) -> None:
        self._faults = FaultSwitches()
        self._to_lose = 0
        self._to_slow: int | None = None
        self._random = Random(0)

    @property
    def faults(self) -> FaultSwitches:
        """Return the switches now in force."""
        return self._faults

    def set(self, faults: FaultSwitches) -> None:
        """Replace all switches."""
        self._faults = faults
        self._to_lose = faults.lose_next
        self._to_slow = faults.slow_next
        self._random = Random(faults.seed)

    def take_delay_s(self) -> float:
        """Draw the delay of a call, in seconds."""
        if self._to_slow is None:
            return self._faults.slow_s
        if self._to_slow == 0:
            return 0.0
        self._to_slow -= 1
        return self._faults.slow_s

    def take_loss(self) -> bool:
        """Draw whether the answer of a write just done gets lost."""
        if self._to_lose > 0:
            self._to_lose -= 1
            return True
        if self._faults.lose_share <= 0:
            return False
        return self._random.random() < self._faults.lose_share
