"""Give the rules that are compared: the one in use and others."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from lacewing_daemon.direct.crashes import CrashRecord
from lacewing_daemon.direct.crashes import CrashRegistry
from lacewing_daemon.direct.crashes import UpstreamIncarnation

Clock = Callable[[], float]


class Registry(Protocol):
    """Hold crashes and tell which requests are blocked from upstreams."""

    @property
    def blocked(self) -> frozenset[str]:
        """Return the fingerprints of what is blocked."""

    def merge(self, record: CrashRecord) -> object:
        """Take what ran at a crash."""

    def exonerate(self, fingerprint: str) -> object:
        """Note that a request ran well."""


class CountedAlone:
    """Block whatever ran at so many crashes, whoever caused them."""

    def __init__(self, to_block: float) -> None:
        self._to_block = to_block
        self._under: dict[str, set[UpstreamIncarnation]] = {}

    @property
    def blocked(self) -> frozenset[str]:
        """Return the fingerprints of what is blocked."""
        found = set()
        for fingerprint, starts in self._under.items():
            if len(starts) >= self._to_block:
                found.add(fingerprint)
        return frozenset(found)

    def merge(self, record: CrashRecord) -> None:
        """Take what ran at a crash."""
        for suspect in record.suspects:
            starts = self._under.setdefault(suspect.fingerprint, set())
            starts.add(record.start)

    def exonerate(self, fingerprint: str) -> None:
        """Note that a request ran well."""
        self._under.pop(fingerprint, None)


@dataclass(frozen=True)
class Rule:
    """Name a rule and make its registry."""

    name: str
    registry: Callable[[Clock], Registry]


NONE = Rule('nothing is blocked', lambda _clock: CountedAlone(float('inf')))
COUNTED_2 = Rule('2 crashes, counted alone', lambda _clock: CountedAlone(2))
COUNTED_3 = Rule('3 crashes, counted alone', lambda _clock: CountedAlone(3))
# One less than each is enough if it is the only one and brought no event.
EXPLAINED_2 = Rule('2, explained', lambda clock: CrashRegistry(2, clock))
USED = Rule('3, explained (in use)', lambda clock: CrashRegistry(clock=clock))
EXPLAINED_4 = Rule('4, explained', lambda clock: CrashRegistry(4, clock))
