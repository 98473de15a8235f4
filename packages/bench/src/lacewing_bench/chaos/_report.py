"""Sum up a run for people and for files."""

from collections import Counter
from collections.abc import Sequence

import msgspec

from lacewing_bench.chaos._callers import Served
from lacewing_bench.chaos._invariants import Breach
from lacewing_bench.chaos._invariants import Invariant
from lacewing_bench.chaos._invariants import is_excused
from lacewing_bench.chaos._judge import Finding
from lacewing_bench.chaos._kinds import FaultKind
from lacewing_bench.chaos._timeline import describe
from lacewing_bench.chaos._timeline import Happening

_MS = 1000.0
_MOST_ERRORS = 40


class Unharmed(msgspec.Struct, frozen=True):
    """Count requests open during a kind of fault, and those unharmed.

    Unharmed: the first try had the right answer.
    """

    requests: int
    unharmed: int


class ChaosReport(msgspec.Struct, frozen=True):
    """Hold what a run brought and what it broke.

    ``broken`` counts each invariant. ``tries`` counts what came of each
    sending, ``killed`` of them lost with a killed router. ``crash_ms``: from
    a crash to the next byte for each request that ran on that engine.
    ``stopped_s``: from a notice to the last request begun, by leaving.
    ``errors``: some of the requests that got an error after they may have
    run, which breaks no promise but helps nobody. ``faults_of_code``: lines
    of logs that tell of an unforeseen error.
    """

    seed: int
    seconds: float
    requests: int
    faults: dict[str, int]
    pairs: int
    broken: dict[str, int]
    tries: dict[str, int]
    killed: int
    crash_ms: list[float]
    stopped_s: list[float]
    unharmed: dict[str, Unharmed]
    breaches: list[str]
    errors: list[str]
    faults_of_code: list[str]
    timeline: list[str]


def make_report(
    seed: int,
    seconds: float,
    origin_s: float,
    served: Sequence[Served],
    happenings: Sequence[Happening],
    breaches: Sequence[Breach],
    faults_of_code: Sequence[str],
) -> ChaosReport:
    """Sum up a run."""
    broken = Counter(breach.invariant for breach in breaches)
    tries = Counter(one.finding for each in served for one in each.tries)
    killed = 0
    for each in served:
        killed += sum(is_excused(one, happenings) for one in each.tries)
    return ChaosReport(
        seed=seed,
        seconds=round(seconds, 1),
        requests=len(served),
        faults=_counted(happenings),
        pairs=_pairs(happenings),
        broken={each.value: broken[each] for each in Invariant},
        tries={each.value: tries[each] for each in Finding},
        killed=killed,
        crash_ms=_crash_ms(served, happenings),
        stopped_s=_stopped_s(happenings),
        unharmed=_unharmed(served, happenings),
        breaches=[_line(breach, origin_s) for breach in breaches],
        errors=_errors(served, origin_s),
        faults_of_code=list(faults_of_code),
        timeline=describe(happenings, origin_s),
    )


def _errors(served: Sequence[Served], origin_s: float) -> list[str]:
    lines: list[str] = []
    for each in served:
        for one in each.tries:
            if one.finding not in (Finding.MARKED, Finding.FAILED):
                continue
            at_s = one.sent_s - origin_s
            lines.append(
                f'{at_s:7.2f} s  {one.ended_s - one.sent_s:5.2f} s'
                f'  {each.ask.kind.value} {one.finding.value}'
                f' {one.status} via {one.router}: {one.text}'
            )
    return lines[:_MOST_ERRORS]


def _line(breach: Breach, origin_s: float) -> str:
    at_s = breach.at_s - origin_s
    return f'{at_s:7.2f} s  {breach.invariant.value}: {breach.what}'


def _counted(happenings: Sequence[Happening]) -> dict[str, int]:
    counted = Counter(each.kind.value for each in happenings)
    return dict(sorted(counted.items()))


def _pairs(happenings: Sequence[Happening]) -> int:
    """Count pairs of faults in force at one time."""
    pairs = 0
    for index, first in enumerate(happenings):
        for second in happenings[index + 1 :]:
            pairs += first.overlaps(second.begun_s, second.ended_s)
    return pairs


def _crash_ms(
    served: Sequence[Served], happenings: Sequence[Happening]
) -> list[float]:
    found: list[float] = []
    for happening in happenings:
        if happening.kind is not FaultKind.ENGINE_CRASH:
            continue
        for each in served:
            if each.ask.digest not in happening.calls:
                continue
            wait_ms = _wait_ms(each, happening.begun_s)
            if wait_ms is not None:
                found.append(wait_ms)
    return sorted(found)


def _wait_ms(served: Served, crash_s: float) -> float | None:
    """Return the wait for the next byte of a try open at a crash."""
    for one in served.tries:
        if not one.sent_s < crash_s < one.ended_s:
            continue
        if one.finding is not Finding.RIGHT:
            continue
        for came_s in one.times:
            if came_s > crash_s:
                return round((came_s - crash_s) * _MS, 1)
    return None


def _stopped_s(happenings: Sequence[Happening]) -> list[float]:
    found: list[float] = []
    for happening in happenings:
        if happening.stopped_s is not None:
            found.append(round(happening.stopped_s, 2))
    return sorted(found)


def _unharmed(
    served: Sequence[Served], happenings: Sequence[Happening]
) -> dict[str, Unharmed]:
    found: dict[str, Unharmed] = {}
    for kind in FaultKind:
        spans = [each for each in happenings if each.kind is kind]
        open_then = [each for each in served if _meets(each, spans)]
        if not open_then:
            continue
        well = 0
        for each in open_then:
            well += each.tries[0].finding is Finding.RIGHT
        found[kind.value] = Unharmed(len(open_then), well)
    return found


def _meets(served: Served, spans: Sequence[Happening]) -> bool:
    first = served.tries[0]
    if first.finding is Finding.HUNG_UP:
        return False
    for span in spans:
        if span.overlaps(first.sent_s, first.ended_s):
            return True
    return False
