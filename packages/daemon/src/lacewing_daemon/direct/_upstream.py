"""Describe an upstream as the platform lists it."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True)
class Upstream:
    """Hold one incarnation of an upstream: its id and its start time.

    ``leaving``: it accepts no new work. ``weights`` maps each model to the
    version of its weights that the upstream last reported. ``started_ms``
    is the start time in Unix milliseconds, 0 if it is not reported; an id
    then has one incarnation only. ``software`` is the version of its
    software, '' if it is unknown.
    """

    upstream_id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    leaving: bool
    weights: Mapping[str, int]
    started_ms: int = 0
    software: str = ''

    @property
    def endpoint(self) -> tuple[str, int, str]:
        """Return the key of connections to this incarnation.

        A connection to an earlier incarnation is closed, or silent behind a
        network partition; a request that must not be retried would be lost
        on it.
        """
        return (self.upstream_id, self.started_ms, self.address)

    @property
    def incarnation(self) -> str:
        """Return the name by which routers tell each other of this start."""
        return f'{self.upstream_id}/{self.started_ms}'


@dataclass(frozen=True)
class ReleasedWeights:
    """Hold the version of a model's weights that was released last."""

    model: str
    version: int
