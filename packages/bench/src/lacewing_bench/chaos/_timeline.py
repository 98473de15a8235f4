"""Keep what was done to the fleet, and when."""

from collections.abc import Sequence
from dataclasses import dataclass

from lacewing_bench.chaos._kinds import FaultKind
from lacewing_bench.chaos._kinds import KILLS_ROUTERS
from lacewing_bench.chaos._plan import ROUTERS


@dataclass(frozen=True)
class Happening:
    """Hold a fault that came; times are readings of ``time.monotonic``.

    ``calls``: digests of what a worker had run before it crashed.
    ``trouble``: what went wrong with the fault itself. ``stopped_s``: how
    long after its notice a leaving worker began its last request, and
    ``late``: how many it began too late.
    """

    kind: FaultKind
    target: str
    begun_s: float
    ended_s: float
    calls: frozenset[str] = frozenset()
    trouble: str = ''
    stopped_s: float | None = None
    late: int = 0

    def overlaps(self, from_s: float, to_s: float) -> bool:
        """Tell whether the fault was in force at any time of a span."""
        return self.begun_s <= to_s and from_s <= self.ended_s


def kills_router(
    happenings: Sequence[Happening], router: str, from_s: float, to_s: float
) -> bool:
    """Tell whether a router was killed within a span."""
    for happening in happenings:
        if happening.kind not in KILLS_ROUTERS:
            continue
        if happening.target not in (router, ROUTERS):
            continue
        if from_s <= happening.ended_s and happening.begun_s <= to_s:
            return True
    return False


def describe(happenings: Sequence[Happening], origin_s: float) -> list[str]:
    """Write a timeline, a line each, in seconds from the run's start."""
    lines: list[str] = []
    for happening in sorted(happenings, key=lambda each: each.begun_s):
        begun = happening.begun_s - origin_s
        ended = happening.ended_s - origin_s
        lines.append(
            f'{begun:7.2f} .. {ended:6.2f} s  {happening.kind.value}'
            f'  {happening.target}  {happening.trouble}'.rstrip()
        )
    return lines
