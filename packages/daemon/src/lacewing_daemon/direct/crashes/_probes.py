"""Schedule probes of requests with an ambiguous block.

This module does no I/O; the clock is injected.
"""

from collections.abc import Callable
from collections.abc import Set
from dataclasses import dataclass
from random import Random

from lacewing_daemon.direct._clock import boot_s

# A probe is due one to two intervals after the block or the previous probe.
# The random part keeps routers from probing at the same time.
FIRST_PROBE_INTERVAL_S = 2.0
# Bounds how often probes may crash upstreams.
MAX_PROBE_INTERVAL_S = 60.0
_BACKOFF_FACTOR = 2.0


@dataclass(frozen=True)
class _NextProbe:
    due_s: float
    interval_s: float


class ProbeSchedule:
    """Schedule single runs of each request with an ambiguous block.

    When several requests explain the same crashes equally well, some of them
    may be harmless. A blocked request never runs, so without a probe it could
    not be exonerated before the block expires.
    """

    def __init__(
        self, random: Random, clock: Callable[[], float] = boot_s
    ) -> None:
        self._random = random
        self._clock = clock
        self._next: dict[str, _NextProbe] = {}

    def update(self, ambiguous: Set[str]) -> None:
        """Schedule probes of exactly these requests."""
        for fingerprint in self._next.keys() - ambiguous:
            del self._next[fingerprint]
        for fingerprint in ambiguous - self._next.keys():
            self._next[fingerprint] = self._after(FIRST_PROBE_INTERVAL_S)

    def admit(self, fingerprint: str) -> bool:
        """Return whether a probe is due; if so, schedule the next one."""
        probe = self._next.get(fingerprint)
        if probe is None or self._clock() < probe.due_s:
            return False
        interval_s = min(
            probe.interval_s * _BACKOFF_FACTOR, MAX_PROBE_INTERVAL_S
        )
        self._next[fingerprint] = self._after(interval_s)
        return True

    def _after(self, interval_s: float) -> _NextProbe:
        delay_s = interval_s * (1 + self._random.random())
        return _NextProbe(self._clock() + delay_s, interval_s)
