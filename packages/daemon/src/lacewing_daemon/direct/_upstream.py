"""Describe an upstream as the platform lists it."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
from enum import Enum


class UnknownSoftware(Enum):
    """Say why the version of an upstream's software is unknown.

    NO_ENTRY: this start has written no entry yet. DISPUTED: two entries of
    one start named different versions. DOUBTED: a later start may have taken
    its place.
    """

    NO_ENTRY = 'no-entry'
    DISPUTED = 'disputed'
    DOUBTED = 'doubted'


class Presence(Enum):
    """Say whether the list of upstreams has an incarnation.

    REMOVED: its entry is gone and may come back. REPLACED: a later
    incarnation has its id, for good.
    """

    LISTED = 'listed'
    REMOVED = 'removed'
    REPLACED = 'replaced'


Software = str | UnknownSoftware


@dataclass(frozen=True)
class Upstream:
    """Hold one incarnation of an upstream: its id and its start time.

    ``leaving``: it accepts no new work. ``weights`` maps each model to the
    version of its weights that the upstream last reported. ``started_ms``
    is the start time in Unix milliseconds, 0 if it is not reported; an id
    then has one incarnation only. ``software`` is the version of its
    software.
    """

    upstream_id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    leaving: bool
    weights: Mapping[str, int]
    started_ms: int = 0
    software: Software = ''

    @property
    def software_name(self) -> str:
        """Return the version of its software, or why it is unknown."""
        if isinstance(self.software, UnknownSoftware):
            return self.software.value
        return self.software

    def restarted(
        self, started_ms: int, weights: Mapping[str, int]
    ) -> 'Upstream':
        """Return a later start, as far as it is known before its entry."""
        return replace(
            self,
            leaving=False,
            weights=weights,
            started_ms=started_ms,
            software=UnknownSoftware.NO_ENTRY,
        )

    def has_same_software(self, software: Software) -> bool:
        """Return whether a stream of a software version may go on here."""
        return isinstance(software, str) and software == self.software

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
