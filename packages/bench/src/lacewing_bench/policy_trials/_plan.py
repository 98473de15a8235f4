"""Read what is to be compared, and on which days."""

import json
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True)
class Arm:
    """Name a revision of the product and settings of its policy."""

    name: str
    revision: str
    policy: Mapping[str, object]


@dataclass(frozen=True)
class Play:
    """Name one day of a deployment with a seed."""

    site: Path
    day: str
    seed: int

    @property
    def key(self) -> str:
        """Return a name that is the same for all arms."""
        return f'{self.site.stem}:{self.day}:{self.seed}'


def read_arms(texts: Sequence[str]) -> tuple[Arm, ...]:
    """Read ``NAME=REVISION`` or ``NAME=REVISION{"policy": ...}``.

    Raises ValueError if a text is neither.
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


def read_plays(
    sites: Sequence[str], days: Sequence[str], seeds: str
) -> tuple[Play, ...]:
    """Read the plays of all sites, days and seeds ``FIRST-LAST``."""
    first, _, last = seeds.partition('-')
    numbers = range(int(first), int(last or first) + 1)
    plays = []
    for seed in numbers:
        for site in sites:
            for day in days:
                plays.append(Play(Path(site).resolve(), day, seed))
    return tuple(plays)
