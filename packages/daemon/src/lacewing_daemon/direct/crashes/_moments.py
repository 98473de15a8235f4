"""Find crashes at one moment, and count them as one for what ran there.

Pure functions on times and evidence: no clock, no input or output.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Set
from dataclasses import replace
from itertools import chain

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
    moments = moments_by_crash(times_ms)
    counted = {}
    for subject, found in evidence.items():
        groups = sorted(
            unexplained_moments(found, moments),
            key=lambda moment: times_ms[moment[0]],
        )
        together = tuple(chain.from_iterable(groups))
        if len(groups) <= MAX_MOMENTS_AS_ONE:
            if found.incarnations.issubset(together):
                groups = [together]
        counted[subject] = count_as_one(found, groups)
    return counted


def moments_by_crash(times_ms: Times) -> dict[UpstreamIncarnation, Moment]:
    """Return the moment of each crash that is not alone."""
    moments: dict[UpstreamIncarnation, Moment] = {}
    for moment in find_moments(times_ms):
        moments.update(dict.fromkeys(moment, moment))
    return moments


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


def unexplained_moments(
    found: Evidence, moments: Mapping[UpstreamIncarnation, Moment]
) -> set[Moment]:
    """Return the moments of a subject that it does not explain."""
    without_event: set[UpstreamIncarnation] = set()
    own: set[Moment] = set()
    for (incarnation, _), begun in found.runs.items():
        if not begun:
            without_event.add(incarnation)
        if incarnation in moments:
            own.add(moments[incarnation])
    unexplained = set()
    for moment in own:
        if not _explains(found.proven, without_event, moment):
            unexplained.add(moment)
    return unexplained


def _explains(
    proven: bool, without_event: Set[UpstreamIncarnation], moment: Moment
) -> bool:
    """Return whether a subject may have caused a moment, but for a few."""
    unexplained = len(set(moment) - without_event)
    if not proven:
        return unexplained < MIN_UNEXPLAINED
    if len(moment) >= LARGE_MOMENT:
        return False
    return unexplained < MIN_UNEXPLAINED_IF_PROVEN
