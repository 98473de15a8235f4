"""Schedule probes of blocked requests and parts of prompts.

This module does no I/O; the clock is injected.
"""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from math import inf
from random import Random

from lacewing_daemon.direct._clock import boot_s
from lacewing_daemon.direct.crashes._fingerprint import is_part
from lacewing_daemon.direct.crashes._registry import CrashRegistry

# A probe is due one to two intervals after the block or the previous probe.
# The random part keeps two routers that both schedule probes, as during a
# partition, from probing at the same time.
FIRST_PROBE_INTERVAL_S = 2.0
# A part that nothing else explains is likely the cause, but harmless prompts
# that have it as well can't show that it is not.
FIRST_PART_PROBE_INTERVAL_S = 15.0
# Bounds how often probes may crash upstreams.
MAX_PROBE_INTERVAL_S = 60.0
_BACKOFF_FACTOR = 2.0
# Crashes under one subject from which on it is not probed any more.
MAX_PROBED_CRASHES = 8
MAX_PROBED_CRASHES_OF_PART = 4


def probe_intervals(registry: CrashRegistry) -> dict[str, float]:
    """Return the subjects to probe and the interval of the first probe.

    A subject whose block is ambiguous may be harmless. A part whose block is
    not is probed later and less often; a request is not, as no other request
    is affected.
    """
    intervals = {}
    # Sorted, so that simulations draw the same random delays each time.
    for subject in sorted(registry.blocked):
        crashes = registry.crash_count(subject)
        if subject in registry.ambiguous:
            if crashes < MAX_PROBED_CRASHES:
                intervals[subject] = FIRST_PROBE_INTERVAL_S
            continue
        if is_part(subject) and crashes < MAX_PROBED_CRASHES_OF_PART:
            intervals[subject] = FIRST_PART_PROBE_INTERVAL_S
    return intervals


@dataclass(frozen=True)
class _NextProbe:
    due_s: float
    interval_s: float
    first_interval_s: float


class ProbeSchedule:
    """Schedule single runs of blocked subjects.

    When several subjects explain the same crashes equally well, some of them
    may be harmless. What is blocked never runs, so without a probe it could
    not be exonerated before the block expires.
    """

    def __init__(
        self, random: Random, clock: Callable[[], float] = boot_s
    ) -> None:
        self._random = random
        self._clock = clock
        self._next: dict[str, _NextProbe] = {}

    def update(self, intervals: Mapping[str, float]) -> None:
        """Schedule probes of exactly these subjects."""
        for subject in self._next.keys() - intervals.keys():
            del self._next[subject]
        for subject, interval_s in intervals.items():
            known = self._next.get(subject)
            if known is None or known.first_interval_s != interval_s:
                self._next[subject] = self._after(interval_s, interval_s)

    def due_in_s(self, subject: str) -> float:
        """Return the time until the next probe, infinite if there is none."""
        probe = self._next.get(subject)
        if probe is None:
            return inf
        return max(0.0, probe.due_s - self._clock())

    def admit(self, subject: str) -> bool:
        """Return whether a probe is due; if so, schedule the next one."""
        probe = self._next.get(subject)
        if probe is None or self._clock() < probe.due_s:
            return False
        interval_s = min(
            probe.interval_s * _BACKOFF_FACTOR, MAX_PROBE_INTERVAL_S
        )
        self._next[subject] = self._after(interval_s, probe.first_interval_s)
        return True

    def _after(self, interval_s: float, first_interval_s: float) -> _NextProbe:
        delay_s = interval_s * (1 + self._random.random())
        return _NextProbe(
            self._clock() + delay_s, interval_s, first_interval_s
        )
