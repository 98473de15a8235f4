"""Store the figures of each play in a JSON Lines file."""

from collections.abc import Mapping
from pathlib import Path

import msgspec


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the figures of one play.

    ``snapshot`` identifies the journal entry of the bench. ``prices`` maps
    each price to its share of ``worth``; ``rules`` lists the broken rules.
    """

    arm: str
    play: str
    snapshot: str
    worth: float
    served: float
    refused: float
    failed: float
    worst_windows: float
    worst_class: float
    prices: Mapping[str, float]
    rules: tuple[str, ...] = ()


class Results:
    """Store results; each one is appended to the file at once."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._results: dict[tuple[str, str], Result] = {}
        if path.exists():
            for line in path.read_bytes().splitlines():
                self._add(msgspec.json.decode(line, type=Result))

    def get(self, arm: str, play: str) -> Result | None:
        """Return the result of a play, None if there is none yet."""
        return self._results.get((arm, play))

    def add(self, result: Result) -> None:
        """Add a result and append it to the file."""
        self._add(result)
        self._path.parent.mkdir(parents=True, exist_ok=True)
        with self._path.open('ab') as file:
            file.write(msgspec.json.encode(result) + b'\n')

    def _add(self, result: Result) -> None:
        self._results[result.arm, result.play] = result
