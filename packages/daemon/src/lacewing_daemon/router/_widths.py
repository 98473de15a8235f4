"""Remember over how many workers agents ask to spread a prefix."""

from collections import OrderedDict
from dataclasses import dataclass

from lacewing_daemon.rendezvous import MAX_WIDTH

KEPT_WIDTHS = 4096
# An agent that no longer sees a prefix can't ask to narrow it.
WIDTH_LIFE_S = 30.0


@dataclass(frozen=True)
class _Asked:
    width: int
    at_s: float


class Widths:
    """Map the hash of an outermost level to the width last asked for."""

    def __init__(self) -> None:
        self._kept: OrderedDict[bytes, _Asked] = OrderedDict()

    def of(self, key: bytes, now_s: float) -> int:
        """Return a prefix's width, 1 when nobody asked for more."""
        asked = self._kept.get(key)
        if asked is None or now_s - asked.at_s > WIDTH_LIFE_S:
            return 1
        return asked.width

    def learn(self, key: bytes, width: int, now_s: float) -> None:
        """Take what an agent asked for."""
        if width <= 1:
            self._kept.pop(key, None)
            return
        self._kept[key] = _Asked(min(width, MAX_WIDTH), now_s)
        self._kept.move_to_end(key)
        if len(self._kept) > KEPT_WIDTHS:
            self._kept.popitem(last=False)
