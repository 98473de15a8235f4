"""Look up what the bundle says of the worker's service."""

from lacewing_common.bundle import RolledBundle
from lacewing_common.bundle import Service
from lacewing_common.bundle import ServiceKind
from lacewing_common.bundle import Team
from lacewing_common.bundle import TeamLimits
from lacewing_common.wire import Start

from lacewing_daemon.runtime import BundleSource

_DEFAULT_ANSWER_S = 120.0


class ServiceView:
    """Hold the service's kind, its bound for answers and teams' shares."""

    def __init__(self, bundles: BundleSource, name: str) -> None:
        self._name = name
        self._service: Service | None = None
        self._teams: dict[str, Team] = {}
        self._take(bundles.current)
        bundles.on_change(self._take)

    @property
    def name(self) -> str:
        """Return the service's name."""
        return self._name

    @property
    def is_engine(self) -> bool:
        """Tell whether the bundle in force makes the worker an engine."""
        if self._service is None:
            return False
        return self._service.kind is ServiceKind.MODEL

    @property
    def checks_fence(self) -> bool:
        """Tell whether the workers refuse old fencing numbers."""
        return self._service is not None and self._service.fencing_honoured

    @property
    def answer_s(self) -> float:
        """Return how long an answer may be silent, in seconds."""
        if self._service is None:
            return _DEFAULT_ANSWER_S
        return self._service.answer_ms / 1000

    def share_of(self, team: str) -> float:
        """Return a team's share, 1 for one not known yet."""
        known = self._teams.get(team)
        return known.share if known is not None else 1.0

    def limits_of(self, team: str) -> TeamLimits:
        """Return a team's limits, none for one not known."""
        known = self._teams.get(team)
        return known.limits if known is not None else TeamLimits()

    def runs_on_engine(self, start: Start) -> bool:
        """Tell whether an engine answers; before a bundle, by the model."""
        if self._service is None:
            return bool(start.model)
        return self.is_engine

    def _take(self, rolled: RolledBundle) -> None:
        self._service = None
        for service in rolled.bundle.services:
            if service.name == self._name:
                self._service = service
        self._teams = {team.name: team for team in rolled.bundle.teams}
