"""Describe the deployments of today."""

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from lacewing_bench.standins import EngineCosts

MODEL_WEIGHTS = 'w1'


@dataclass(frozen=True)
class TeamSize:
    """Name a team and its share of the traffic, a weight above 0."""

    name: str
    share: float


@dataclass(frozen=True)
class Deployment:
    """Hold the sizes of one deployment.

    Routers and workers are spread over the zones in turn. ``at_most_once``
    are path prefixes of the plain service whose calls must not be repeated;
    ``capacity_blocks`` is the size of each engine's cache.
    """

    name: str
    zones: tuple[str, ...]
    routers: int
    model_service: str
    model: str
    adapters: tuple[str, ...]
    model_workers: int
    plain_service: str
    plain_workers: int
    at_most_once: tuple[str, ...]
    loads_at_once: int
    tail_weight: float
    recomputation_weight: float
    teams: tuple[TeamSize, ...]
    costs: EngineCosts = field(default_factory=EngineCosts)
    capacity_blocks: int = 4096

    def sized(
        self,
        routers: int | None = None,
        model_workers: int | None = None,
        plain_workers: int | None = None,
    ) -> 'Deployment':
        """Return the same deployment with other numbers of processes."""
        return replace(
            self,
            routers=self.routers if routers is None else routers,
            model_workers=(
                self.model_workers if model_workers is None else model_workers
            ),
            plain_workers=(
                self.plain_workers if plain_workers is None else plain_workers
            ),
        )


def _teams(*names: str) -> tuple[TeamSize, ...]:
    """Give two teams most of the traffic and the others little."""
    shares = (8.0, 5.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0)
    teams: list[TeamSize] = []
    for name, share in zip(names, shares, strict=True):
        teams.append(TeamSize(name, share))
    return tuple(teams)


MORAVIA = Deployment(
    name='moravia',
    zones=('brno-1', 'brno-2', 'ostrava-1', 'ostrava-2'),
    routers=3,
    model_service='diagnostic',
    model='motor-diagnosis',
    adapters=('recall',),
    model_workers=9,
    plain_service='registry',
    plain_workers=4,
    at_most_once=('/recalls',),
    loads_at_once=3,
    tail_weight=2.0,
    recomputation_weight=1.0,
    teams=_teams('brno', 'ostrava', 'dealers', 't4', 't5', 't6', 't7', 't8'),
)

LAHORE = Deployment(
    name='lahore',
    zones=('lahore-1', 'lahore-2', 'lahore-3', 'lahore-4'),
    routers=3,
    model_service='tutor',
    model='governance-tutor',
    adapters=('compliance',),
    model_workers=5,
    plain_service='registry',
    plain_workers=4,
    at_most_once=('/certificates',),
    loads_at_once=2,
    tail_weight=1.0,
    recomputation_weight=2.0,
    teams=_teams(
        'governors', 'districts', 'schools', 't4', 't5', 't6', 't7', 't8'
    ),
)

_ALL = (MORAVIA, LAHORE)


def deployment_named(name: str) -> Deployment:
    """Find a deployment; raise ValueError naming those that exist."""
    for deployment in _ALL:
        if deployment.name == name:
            return deployment
    known = ', '.join(deployment.name for deployment in _ALL)
    raise ValueError(f'expected a deployment of {known}, got {name!r}')
