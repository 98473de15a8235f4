"""Describe an upstream as the platform lists it."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True)
class Upstream:
    """Hold one incarnation of an upstream: an id and the start it is of.

    ``leaving``: it takes no new work. ``weights`` maps each model to the
    version of its weights that the upstream last reported. ``started_ms``
    is the Unix millisecond of the start, 0 where that is not told; an id is
    then of one start only.
    """

    upstream_id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    leaving: bool
    weights: Mapping[str, int]
    started_ms: int = 0

    @property
    def endpoint(self) -> tuple[str, int, str]:
        """Return what a connection leads to.

        A connection to an earlier start is dead, or silent behind a cut;
        a request that must not repeat would be lost on it.
        """
        return (self.upstream_id, self.started_ms, self.address)


@dataclass(frozen=True)
class ReleasedWeights:
    """Hold the version of a model's weights that operators named last."""

    model: str
    version: int
