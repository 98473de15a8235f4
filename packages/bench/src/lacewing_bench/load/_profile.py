"""Describe the workload of each deployment and the engines it meets."""

from dataclasses import dataclass
from dataclasses import replace

from lacewing_bench.fleet import Deployment
from lacewing_bench.fleet import deployment_named
from lacewing_bench.standins import EngineCosts

# Steps are short and a computed token dear, so that engines are kept busy
# by prefill and a missed prefix shows in the first token.
LOAD_COSTS = EngineCosts(
    step_ms=4.0, sequence_ms=1.5, prefill_token_ms=0.12, chunk_tokens=512
)


@dataclass(frozen=True)
class Level:
    """Describe one level of nested prefixes.

    ``tokens``: length of one text; ``choices``: texts under each parent;
    ``skew``: exponent of the Zipf law of their popularity; ``life_s``: how
    long a text is in use before a fresh one takes its place, 0 for ever.
    """

    name: str
    tokens: int
    choices: int
    skew: float
    life_s: float = 0.0


@dataclass(frozen=True)
class LoadProfile:
    """Describe a deployment's workload.

    ``rate``: requests a second. ``plain_share`` of them go to the plain
    service, ``at_most_once_share`` of these must not be repeated.
    ``whole_share`` of the model's answers are not streamed. ``adapter_team``
    uses the adapter. ``capacity_blocks`` is the cache of one engine.
    """

    deployment: str
    levels: tuple[Level, ...]
    rate: float
    capacity_blocks: int
    adapter_team: str
    question_tokens: int = 40
    least_tokens: int = 12
    most_tokens: int = 36
    plain_share: float = 0.1
    at_most_once_share: float = 0.5
    whole_share: float = 0.1


_LAHORE = LoadProfile(
    deployment='lahore',
    levels=(
        Level('handbook', 1500, 2, 1.0),
        Level('chapter', 600, 6, 1.0),
        Level('case', 200, 3, 0.8, life_s=20.0),
    ),
    rate=42.0,
    capacity_blocks=400,
    adapter_team='t8',
)

_MORAVIA = LoadProfile(
    deployment='moravia',
    levels=(
        Level('model line', 1400, 2, 1.0),
        Level('motor family', 600, 7, 1.0),
        Level('fault dump', 300, 3, 0.8, life_s=15.0),
    ),
    rate=80.0,
    capacity_blocks=600,
    adapter_team='t8',
)

_ALL = (_LAHORE, _MORAVIA)


def profile_named(name: str) -> LoadProfile:
    """Find a deployment's profile; raise ValueError naming those there."""
    for profile in _ALL:
        if profile.deployment == name:
            return profile
    known = ', '.join(profile.deployment for profile in _ALL)
    raise ValueError(f'expected a deployment of {known}, got {name!r}')


def loaded_deployment(profile: LoadProfile) -> Deployment:
    """Return the deployment with the engines that the load is made for."""
    return replace(
        deployment_named(profile.deployment),
        costs=LOAD_COSTS,
        capacity_blocks=profile.capacity_blocks,
    )
