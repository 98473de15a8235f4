"""Evaluate versions of weights by the releases that followed them.

Pure functions on snapshots: no clock, no input or output.
"""

from collections.abc import Sequence
from dataclasses import dataclass

# Past releases closer together than this are merged, at the time of the
# first, so that few are kept however fast versions are released. The limit
# for older weights is some seconds.
RELEASE_MERGE_INTERVAL_S = 0.1


@dataclass(frozen=True)
class ReleaseAge:
    """Hold a version of weights (0: none) and the time since its release."""

    version: int
    age_s: float


@dataclass(frozen=True)
class WeightsRelease:
    """Hold a version of weights and the time of its release."""

    version: int
    released_s: float


def add_release(
    releases: Sequence[WeightsRelease], release: WeightsRelease, limit_s: float
) -> tuple[WeightsRelease, ...]:
    """Return the releases that are still relevant once one is added.

    ``limit_s`` counts from each release. Counted from the latest release
    alone, every release would restart it, and an engine that accepts no
    orders would be used for as long as versions are released. Of the
    releases past the limit, only the latest is relevant.
    """
    kept: list[WeightsRelease] = []
    for previous in releases:
        if release.released_s - previous.released_s > limit_s:
            kept.clear()
        if (
            kept
            and previous.released_s - kept[-1].released_s
            < RELEASE_MERGE_INTERVAL_S
        ):
            previous = WeightsRelease(previous.version, kept.pop().released_s)
        kept.append(previous)
    return (*kept, release)


def min_allowed_version(releases: Sequence[ReleaseAge], limit_s: float) -> int:
    """Return the latest version past its limit, 0 for none.

    No run may begin on older weights than these.
    """
    min_version = 0
    for release in releases:
        if release.age_s > limit_s:
            min_version = max(min_version, release.version)
    return min_version


def superseded_for_s(releases: Sequence[ReleaseAge], version: int) -> float:
    """Return the time since a later version was released, 0 if none was."""
    ages = [release.age_s for release in releases if release.version > version]
    return max(ages, default=0.0)
