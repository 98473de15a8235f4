"""Keep the figures of each play in a file of JSON lines."""

from collections.abc import Mapping
from pathlib import Path

import msgspec


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the figures of one play.

    ``snapshot`` names the bench's journal entry. ``prices`` maps each price
    to its part of ``worth``; ``rules`` names those that were broken.
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
    """Hold what was played; a line is written as soon as it is known."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._known: dict[tuple[str, str], Result] = {}
        if path.exists():
            for line in path.read_bytes().splitlines():
                self._add(msgspec.json.decode(line, type=Result))

    def get(self, arm: str, play: str) -> Result | None:
        """Return the result of a play, None if it was not played."""
        return self._known.get((arm, play))

    def take(self, result: Result) -> None:
        """Keep a result."""
        self._add(result)
        self._path.parent.mkdir(parents=True, exist_ok=True)
        with self._path.open('ab') as file:
            file.write(msgspec.json.encode(result) + b'\n')

    def _add(self, result: Result) -> None:
        self._known[result.arm, result.play] = result
