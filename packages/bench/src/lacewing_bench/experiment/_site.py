"""Define the simulated deployments, with rounded figures."""

from dataclasses import dataclass

from lacewing_bench.experiment._engine import EngineModel


@dataclass(frozen=True)
class Level:
    """Describe one level of shared parts: their number and length."""

    name: str
    choices: int
    tokens: int


@dataclass(frozen=True)
class Kind:
    """Describe one kind of prompt.

    ``rate``: requests per second; ``target_ms``: latency target of the first
    event; ``worth``: of an answer on time; ``late_worth``: of a late one;
    ``max_event_gap_ms``: allowed pause between events.
    """

    name: str
    rate: float
    levels: tuple[Level, ...]
    own_tokens: int
    answer_tokens: int
    target_ms: float
    priority: int
    worth: float
    late_worth: float
    max_event_gap_ms: float = 250.0


@dataclass(frozen=True)
class Deployment:
    """Describe the routers, engines and prompts of one deployment."""

    name: str
    routers: int
    engines: int
    zones: int
    engine: EngineModel
    kinds: tuple[Kind, ...]


_CHECK = Kind(
    'check',
    20.0,
    (Level('handbook', 4, 2500), Level('case', 220, 3800)),
    2900,
    30,
    400.0,
    1,
    2.4,
    0.24,
)
_EXPLAIN = Kind(
    'explain',
    18.0,
    (Level('model', 8, 120), Level('clause', 200, 80)),
    630,
    230,
    300.0,
    0,
    2.6,
    0.26,
)

LAHORE = Deployment('lahore', 4, 5, 4, EngineModel(), (_CHECK, _EXPLAIN))
MORAVIA = Deployment(
    'moravia',
    5,
    9,
    4,
    EngineModel(slots=32, kv_tokens=123_000),
    (
        Kind(
            'verdict',
            37.0,
            _CHECK.levels,
            2900,
            30,
            400.0,
            1,
            2.1,
            0.64,
        ),
        Kind(
            'guidance',
            26.0,
            _EXPLAIN.levels,
            630,
            230,
            300.0,
            0,
            2.8,
            0.85,
        ),
    ),
)
GROWN = Deployment(
    'grown',
    24,
    22,
    4,
    EngineModel(kv_tokens=72_000),
    (
        Kind(
            'check',
            70.0,
            (Level('handbook', 4, 2500), Level('case', 1000, 3800)),
            2900,
            30,
            435.0,
            1,
            2.4,
            0.24,
        ),
        Kind('explain', 60.0, _EXPLAIN.levels, 630, 230, 315.0, 0, 2.6, 0.26),
    ),
)

DEPLOYMENTS = {site.name: site for site in (LAHORE, MORAVIA, GROWN)}
