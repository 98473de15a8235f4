"""Remember the parts of prompts that completed recently.

This module does no I/O; the clock is injected.
"""

from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Iterable

from lacewing_daemon.direct._clock import boot_s

# A part that has completed within this time is unlikely to crash upstreams.
PROVEN_TTL_S = 600.0
MAX_PROVEN_PARTS = 4096


class ProvenParts:
    """Remember parts that this router has seen completed, the latest ones."""

    def __init__(self, clock: Callable[[], float] = boot_s) -> None:
        self._clock = clock
        self._completed_s: OrderedDict[str, float] = OrderedDict()

    def record(self, parts: Iterable[str]) -> None:
        """Record that a prompt with these parts has completed."""
        now_s = self._clock()
        for part in parts:
            self._completed_s[part] = now_s
            self._completed_s.move_to_end(part)
        while len(self._completed_s) > MAX_PROVEN_PARTS:
            self._completed_s.popitem(last=False)

    def among(self, parts: Iterable[str]) -> tuple[str, ...]:
        """Return those of the parts that are proven, sorted."""
        oldest_s = self._clock() - PROVEN_TTL_S
        found = []
        for part in sorted(set(parts)):
            if self._completed_s.get(part, oldest_s) > oldest_s:
                found.append(part)
        return tuple(found)
