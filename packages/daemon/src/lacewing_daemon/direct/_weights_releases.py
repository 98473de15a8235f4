"""Judge weights by the versions that were named after them.

Pure functions on snapshots: no clock, no input or output.
"""

from collections.abc import Sequence
from dataclasses import dataclass

# Older namings closer together than this count as one, at the time of the
# first, so that few are kept however fast versions are named. The time for
# new weights is some seconds.
RELEASE_MERGE_INTERVAL_S = 0.1


@dataclass(frozen=True)
class ReleaseAge:
    """Hold a version of weights (0: none) and how long ago it was named."""

    version: int
    age_s: float


@dataclass(frozen=True)
class WeightsRelease:
    """Hold a version of weights and when it was named."""

    version: int
    released_s: float


def add_release(
    releases: Sequence[WeightsRelease], release: WeightsRelease, limit_s: float
) -> tuple[WeightsRelease, ...]:
    """Return the namings that matter once a newer one is taken.

    Each version has ``limit_s`` of its own. Counted from the newest naming
    alone, every naming would begin the time anew, and an engine that takes
    no orders would be used for as long as versions come. Of those whose
    time is used up the newest one matters.
    """
    kept: list[WeightsRelease] = []
    for naming in releases:
        if release.released_s - naming.released_s > limit_s:
            kept.clear()
        if (
            kept
            and naming.released_s - kept[-1].released_s
            < RELEASE_MERGE_INTERVAL_S
        ):
            naming = WeightsRelease(naming.version, kept.pop().released_s)
        kept.append(naming)
    return (*kept, release)


def min_allowed_version(releases: Sequence[ReleaseAge], limit_s: float) -> int:
    """Return the newest version whose time is used up, 0 for none.

    Nothing may begin on older weights than these.
    """
    floor = 0
    for naming in releases:
        if naming.age_s > limit_s:
            floor = max(floor, naming.version)
    return floor


def superseded_for_s(releases: Sequence[ReleaseAge], version: int) -> float:
    """Return for how long a newer version is named, 0 if none is."""
    ages = [one.age_s for one in releases if one.version > version]
    return max(ages, default=0.0)
