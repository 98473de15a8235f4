"""Check each promise by what callers got and what workers truly ran."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from lacewing_bench.chaos._callers import Served
from lacewing_bench.chaos._callers import Try
from lacewing_bench.chaos._judge import Finding
from lacewing_bench.chaos._kinds import FaultKind
from lacewing_bench.chaos._kinds import OF_PLATFORM
from lacewing_bench.chaos._timeline import Happening
from lacewing_bench.chaos._timeline import kills_router
from lacewing_bench.chaos._traffic import Ask
from lacewing_bench.chaos._truth import Truth

# A broken connection may show a little before or after the kill.
_NEAR_S = 0.3
_SHOWN_CHARACTERS = 160
_NOT_RUN = (Finding.REFUSED, Finding.UNSENT)
_BREAKS = (Finding.BROKEN, Finding.SILENT)


class Invariant(Enum):
    """Name what must never happen."""

    LOST = 'lost'
    DOUBLED = 'doubled'
    CROSSED = 'crossed'
    INCOMPLETE = 'incomplete_unmarked'
    UNTRUE_NOT_RUN = 'untrue_not_run'
    WORK_FOR_LEAVING = 'work_for_leaving'
    DRAIN = 'drain_cut'
    DIED = 'process_died'
    REVERTED = 'bundle_reverted'


@dataclass(frozen=True)
class Breach:
    """Hold one broken invariant; ``at_s`` reads ``time.monotonic``."""

    invariant: Invariant
    at_s: float
    what: str


def find_breaches(
    served: Sequence[Served], happenings: Sequence[Happening], truth: Truth
) -> list[Breach]:
    """Return all broken invariants of a run."""
    breaches: list[Breach] = []
    for one in served:
        for each in one.tries:
            breaches.extend(_of_try(one.ask, each, happenings))
        breaches.extend(_of_truth(one, truth))
    for happening in happenings:
        breaches.extend(_of_fault(happening, happenings))
    return breaches


def is_excused(one: Try, happenings: Sequence[Happening]) -> bool:
    """Tell whether a broken connection is that of a killed router."""
    if one.finding not in _BREAKS:
        return False
    from_s, to_s = one.sent_s - _NEAR_S, one.ended_s + _NEAR_S
    return kills_router(happenings, one.router, from_s, to_s)


def _of_try(
    ask: Ask, one: Try, happenings: Sequence[Happening]
) -> list[Breach]:
    broken = {
        Finding.TIMEOUT: Invariant.LOST,
        Finding.UNMARKED: Invariant.LOST,
        Finding.BROKEN: Invariant.LOST,
        Finding.SILENT: Invariant.INCOMPLETE,
        Finding.DOUBLED: Invariant.DOUBLED,
        Finding.CROSSED: Invariant.CROSSED,
    }.get(one.finding)
    if broken is None or is_excused(one, happenings):
        return []
    return [Breach(broken, one.sent_s, _describe(ask, one))]


def _of_truth(served: Served, truth: Truth) -> list[Breach]:
    ask = served.ask
    found: list[Breach] = []
    at_s = served.tries[0].sent_s
    times = truth.by_call.get(ask.digest, 0)
    by_key = truth.by_key.get(ask.call.idempotency_key, 0)
    if ask.at_most_once and max(times, by_key) > 1:
        what = f'{ask.call.title}: ran {max(times, by_key)} times;'
        what += _describe_all(served)
        found.append(Breach(Invariant.DOUBLED, at_s, what))
    claims_not_run = all(one.finding in _NOT_RUN for one in served.tries)
    if claims_not_run and times:
        what = f'{ask.call.title}: ran {times} times;{_describe_all(served)}'
        found.append(Breach(Invariant.UNTRUE_NOT_RUN, at_s, what))
    return found


def _of_fault(
    happening: Happening, happenings: Sequence[Happening]
) -> list[Breach]:
    found: list[Breach] = []
    if happening.trouble:
        found.append(
            Breach(Invariant.DRAIN, happening.begun_s, happening.trouble)
        )
    if happening.late and not _is_notice_hidden(happening, happenings):
        what = f'{happening.target}: {happening.late} requests too late'
        found.append(
            Breach(Invariant.WORK_FOR_LEAVING, happening.begun_s, what)
        )
    return found


def _is_notice_hidden(
    leaving: Happening, happenings: Sequence[Happening]
) -> bool:
    """Tell whether the platform could not tell anybody of the notice."""
    if leaving.kind is not FaultKind.VM_LEAVING:
        return False
    for happening in happenings:
        if happening.kind not in OF_PLATFORM:
            continue
        if happening.overlaps(leaving.begun_s, leaving.ended_s):
            return True
    return False


def _describe(ask: Ask, one: Try) -> str:
    text = one.text[:_SHOWN_CHARACTERS]
    return (
        f'{ask.call.title} {ask.kind.value}: {one.finding.value} via'
        f' {one.router} after {one.ended_s - one.sent_s:.2f} s,'
        f' status {one.status}, request {one.request_id}: {text!r}'
    )


def _describe_all(served: Served) -> str:
    lines = [f'\n    {_describe(served.ask, one)}' for one in served.tries]
    return ''.join(lines)
