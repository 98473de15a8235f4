"""Parse the arms to compare and the days to simulate."""

import json
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True)
class Arm:
    """Identify a revision of the product and its policy settings."""

    name: str
    revision: str
    policy: Mapping[str, object]


@dataclass(frozen=True)
class Play:
    """Identify one simulated day of a deployment and its seed."""

    site: Path
    day: str
    seed: int

    @property
    def key(self) -> str:
        """Return the key that pairs this play across all arms."""
        return f'{self.site.stem}:{self.day}:{self.seed}'


def parse_arms(texts: Sequence[str]) -> tuple[Arm, ...]:
    """Parse ``NAME=REVISION`` or ``NAME=REVISION{"policy": ...}``.

    Raises ValueError for any other text.
    """
    arms = []
    for text in texts:
        name, equals, rest = text.partition('=')
        revision, brace, settings = rest.partition('{')
        if not name or not equals or not revision:
            raise ValueError(f'expected NAME=REVISION, got {text!r}')
        policy = json.loads(brace + settings) if brace else {}
        arms.append(Arm(name, revision, policy))
    return tuple(arms)


def parse_plays(
    sites: Sequence[str], days: Sequence[str], seeds: str
) -> tuple[Play, ...]:
    """Return the plays of all sites, days and seeds ``FIRST-LAST``."""
    first, _, last = seeds.partition('-')
    numbers = range(int(first), int(last or first) + 1)
    plays = []
    for seed in numbers:
        for site in sites:
            for day in days:
                plays.append(Play(Path(site).resolve(), day, seed))
    return tuple(plays)
