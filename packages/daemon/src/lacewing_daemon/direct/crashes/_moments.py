"""Find crashes at one moment, and count them as one for what ran there.

Pure functions on times and evidence: no clock, no input or output.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set
from dataclasses import replace
from itertools import chain
from math import ceil

from lacewing_daemon.direct.crashes._attribution import Evidence
from lacewing_daemon.direct.crashes._attribution import Run
from lacewing_daemon.direct.crashes._record import UpstreamIncarnation

# Upstreams that terminate together are reported within some tens of ms, plus
# the difference of the routers' clocks. Within 200 ms, a part that comes 12
# times a second crashes up to nine upstreams in place of seven.
WINDOW_MS = 150
# Two crashes so close to each other are common under a part that comes a few
# times a second.
MIN_CRASHES = 3
# A moment has a common cause if this many of its crashes happened without the
# subject. With one, two parts that crash upstreams at the same time are each
# taken for the other's common cause.
MIN_UNEXPLAINED = 2
# A part that ran without an event at a third of the crashes of a moment, or
# at three, may have caused these and shows no common cause of the others.
# With two of seven, harmless parts explain waves under long queues.
MAX_RUNS_TO_EXPLAIN = 3
# The first part of many prompts runs at most upstreams by chance.
MIN_UNEXPLAINED_IF_PROVEN = 1
# Under many queued prompts it runs at all of them. A proven part that begins
# to crash upstreams rarely crashes as many within the window.
LARGE_MOMENT = 5
# A subject that ran only at moments that it does not explain ran there by
# chance. From the fourth such moment on each one counts, so that parts that
# crash upstreams at the same time are blocked even if none does so alone.
MAX_MOMENTS_AS_ONE = 3

Moment = tuple[UpstreamIncarnation, ...]
# The crashes at which a subject ran without an event, by the index of their
# moment; empty at a moment where all its runs had returned events.
RunsAtMoments = Mapping[int, Set[UpstreamIncarnation]]
# When upstreams crashed, in ms of Unix time.
Times = Mapping[UpstreamIncarnation, int]
MomentRule = Callable[[Mapping[str, Evidence], Times], Mapping[str, Evidence]]


def find_moments(
    times_ms: Times,
    window_ms: int = WINDOW_MS,
    min_crashes: int = MIN_CRASHES,
) -> tuple[Moment, ...]:
    """Return the groups of crashes at one moment, the earliest first.

    A moment starts with the first crash after the previous window and holds
    the crashes of the next ``window_ms``. It is bounded, so that a part that
    crashes upstreams continuously does not extend it.
    """

    def order(one: UpstreamIncarnation) -> tuple[int, str, int, int]:
        return (times_ms[one], one.upstream_id, one.started_ms, one.again)

    moments: list[list[UpstreamIncarnation]] = []
    end_ms = 0
    for incarnation in sorted(times_ms, key=order):
        if not moments or times_ms[incarnation] > end_ms:
            moments.append([])
            end_ms = times_ms[incarnation] + window_ms
        moments[-1].append(incarnation)
    return tuple(tuple(one) for one in moments if len(one) >= min_crashes)


def count_moments_once(
    evidence: Mapping[str, Evidence], times_ms: Times
) -> Mapping[str, Evidence]:
    """Count a moment as one crash for subjects that don't explain it.

    A subject that ran without an event at all of its crashes explains them as
    simply as a common cause does, and so they count one by one.
    """
    moments = find_moments(times_ms)
    if not moments:
        return evidence
    runs = runs_at_moments(evidence, moments)
    explained = _explained_by_parts(evidence, moments, runs)
    counted = {}
    for subject, found in evidence.items():
        groups = unexplained_moments(found, moments, runs[subject], explained)
        if 0 < len(groups) <= MAX_MOMENTS_AS_ONE:
            together = tuple(chain.from_iterable(groups))
            if found.incarnations.issubset(together):
                groups = (together,)
        counted[subject] = count_as_one(found, groups)
    return counted


def count_as_one(found: Evidence, groups: Iterable[Moment]) -> Evidence:
    """Count the runs at the crashes of each group as runs at its first."""
    first: dict[UpstreamIncarnation, UpstreamIncarnation] = {}
    for group in groups:
        first.update(dict.fromkeys(group, group[0]))
    if not first:
        return found
    runs: dict[Run, bool] = {}
    for (incarnation, request), begun in found.runs.items():
        run = (first.get(incarnation, incarnation), request)
        runs[run] = begun and runs.get(run, True)
    return replace(found, runs=runs)


def runs_at_moments(
    evidence: Mapping[str, Evidence], moments: Sequence[Moment]
) -> dict[str, RunsAtMoments]:
    """Return the runs of each subject at the moments, by their indexes."""
    index: dict[UpstreamIncarnation, int] = {}
    for number, moment in enumerate(moments):
        index.update(dict.fromkeys(moment, number))
    runs: dict[str, RunsAtMoments] = {}
    for subject, found in evidence.items():
        own: dict[int, set[UpstreamIncarnation]] = {}
        for (incarnation, _), begun in found.runs.items():
            at = index.get(incarnation)
            if at is None:
                continue
            without_event = own.setdefault(at, set())
            if not begun:
                without_event.add(incarnation)
        runs[subject] = own
    return runs


def unexplained_moments(
    found: Evidence,
    moments: Sequence[Moment],
    runs: RunsAtMoments,
    explained: Set[UpstreamIncarnation] = frozenset(),
) -> tuple[Moment, ...]:
    """Return the moments of a subject that it does not explain, in order.

    ``explained``: crashes that parts with many of their moment may explain.
    """
    unexplained = []
    for number in sorted(runs):
        moment = moments[number]
        without_event = runs[number]
        if found.proven:
            left = len(moment) - len(without_event)
            if (
                len(moment) >= LARGE_MOMENT
                or left >= MIN_UNEXPLAINED_IF_PROVEN
            ):
                unexplained.append(moment)
            continue
        if len(moment) - len(without_event) < MIN_UNEXPLAINED:
            continue
        left = 0
        for incarnation in moment:
            if incarnation not in without_event:
                left += incarnation not in explained
        if left >= MIN_UNEXPLAINED:
            unexplained.append(moment)
    return tuple(unexplained)


def _explained_by_parts(
    evidence: Mapping[str, Evidence],
    moments: Sequence[Moment],
    runs: Mapping[str, RunsAtMoments],
) -> set[UpstreamIncarnation]:
    """Return the crashes that an unproven part with many of them explains.

    Several parts that crash upstreams at the same time would otherwise be
    each other's common cause.
    """
    enough = []
    for moment in moments:
        third = ceil(len(moment) / 3)
        enough.append(max(2, min(MAX_RUNS_TO_EXPLAIN, third)))
    explained: set[UpstreamIncarnation] = set()
    for subject, found in evidence.items():
        if found.proven or not found.is_part:
            continue
        for number, without_event in runs[subject].items():
            if len(without_event) >= enough[number]:
                explained |= without_event
    return explained
