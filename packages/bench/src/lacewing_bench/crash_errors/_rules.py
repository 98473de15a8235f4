"""Define the blocking rules to compare: the one in use and alternatives."""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from lacewing_daemon.direct.crashes import CrashRecord
from lacewing_daemon.direct.crashes import CrashRegistry
from lacewing_daemon.direct.crashes import UpstreamIncarnation

Clock = Callable[[], float]


class Registry(Protocol):
    """Record crashes and decide which requests are blocked."""

    @property
    def blocked(self) -> frozenset[str]:
        """Return the fingerprints of the blocked requests."""

    def merge(self, record: CrashRecord) -> object:
        """Merge the record of a crash."""

    def exonerate(self, subjects: Iterable[str]) -> object:
        """Exonerate a request that completed."""


class CrashCounter:
    """Block requests that ran at a number of crashes, whatever the cause."""

    def __init__(self, threshold: float) -> None:
        self._threshold = threshold
        self._incarnations: dict[str, set[UpstreamIncarnation]] = {}

    @property
    def blocked(self) -> frozenset[str]:
        """Return the fingerprints of the blocked requests."""
        blocked_fingerprints = set()
        for fingerprint, incarnations in self._incarnations.items():
            if len(incarnations) >= self._threshold:
                blocked_fingerprints.add(fingerprint)
        return frozenset(blocked_fingerprints)

    def merge(self, record: CrashRecord) -> None:
        """Merge the record of a crash."""
        for suspect in record.suspects:
            incarnations = self._incarnations.setdefault(
                suspect.fingerprint, set()
            )
            incarnations.add(record.start)

    def exonerate(self, subjects: Iterable[str]) -> None:
        """Exonerate a request that completed."""
        for subject in subjects:
            self._incarnations.pop(subject, None)


@dataclass(frozen=True)
class Rule:
    """Hold the name of a rule and the factory of its registry."""

    name: str
    registry: Callable[[Clock], Registry]


NO_BLOCKING = Rule(
    'nothing is blocked', lambda _clock: CrashCounter(float('inf'))
)
COUNTED_2 = Rule('2 crashes, counted alone', lambda _clock: CrashCounter(2))
COUNTED_3 = Rule('3 crashes, counted alone', lambda _clock: CrashCounter(3))
# One crash less suffices if no other request has as many and if none of its
# runs had returned an event.
EXPLAINED_2 = Rule('2, explained', lambda clock: CrashRegistry(2, clock))
USED = Rule('3, explained (in use)', lambda clock: CrashRegistry(clock=clock))
EXPLAINED_4 = Rule('4, explained', lambda clock: CrashRegistry(4, clock))
