"""Count the calls to the stand-in."""

from collections import Counter
from enum import Enum

import msgspec


class Method(Enum):
    """Name what a call asks for."""

    GET = 'get'
    LIST = 'list'
    WATCH = 'watch'
    VMS = 'vms'
    PUT = 'put'
    DELETE = 'delete'


WRITES = (Method.PUT, Method.DELETE)


class Refused(Enum):
    """Name why a call was refused."""

    DOWN = 'down'
    RATE = 'rate'
    CONFLICT = 'conflict'
    TOO_LARGE = 'too-large'


class CountsReport(msgspec.Struct, frozen=True, kw_only=True):
    """Report the counts: ``calls`` by method, then by kind of object.

    ``calls`` holds refused calls too. ``effects`` are writes done.
    """

    calls: dict[str, dict[str, int]]
    refused: dict[str, int]
    effects: int
    lost_answers: int
    waiting_watches: int
    peak_waiting_watches: int
    weight_loads: int
    weight_loads_peak: int


class Counts:
    """Count calls, refusals, effects and lost answers."""

    def __init__(self) -> None:
        self.calls: dict[Method, Counter[str]] = {}
        self.refused: Counter[Refused] = Counter()
        self.effects = 0
        self.lost_answers = 0
        self.waiting_watches = 0
        self.peak_waiting_watches = 0

    def call(self, method: Method, kind: str) -> None:
        """Count one call."""
        self.calls.setdefault(method, Counter())[kind] += 1

    def watch_begins(self) -> None:
        """Count one more waiting watch."""
        self.waiting_watches += 1
        self.peak_waiting_watches = max(
            self.peak_waiting_watches, self.waiting_watches
        )

    def watch_ends(self) -> None:
        """Count one waiting watch less."""
        self.waiting_watches -= 1

    def reset(self) -> None:
        """Start anew; the watches that wait go on counting."""
        self.calls.clear()
        self.refused.clear()
        self.effects = 0
        self.lost_answers = 0
        self.peak_waiting_watches = self.waiting_watches
