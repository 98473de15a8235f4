"""Enumerate all sequences of choices up to a depth, without a state copy.

Each sequence runs from the start: what is explored is the real code, whose
state cannot be copied.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

_MOST_KEPT = 5


@dataclass(frozen=True)
class Breach:
    """Report a broken invariant and the steps that led there."""

    invariant: str
    steps: tuple[str, ...]

    def __str__(self) -> str:
        lines = [f'broken: {self.invariant}']
        lines.extend(f'  {number}. {s}' for number, s in enumerate(self.steps))
        return '\n'.join(lines)


@dataclass
class Findings:
    """Collect what an exploration saw."""

    depth: int
    sequences: int = 0
    steps: Counter[str] = field(default_factory=Counter)
    reached: Counter[str] = field(default_factory=Counter)
    breaches: list[Breach] = field(default_factory=list)
    broken: int = 0

    def breach(self, found: Breach) -> None:
        """Count a breach; keep the first few."""
        self.broken += 1
        if len(self.breaches) < _MOST_KEPT:
            self.breaches.append(found)


class Chooser:
    """Replay a prefix of choices, then always take the first."""

    def __init__(self, prefix: list[int], depth: int) -> None:
        self._prefix = prefix
        self._depth = depth
        self._taken: list[int] = []
        self._counts: list[int] = []
        self.steps: list[str] = []

    @property
    def spent(self) -> bool:
        """Tell whether the depth is reached."""
        return len(self._taken) >= self._depth

    def choose(self, options: list[str]) -> int:
        """Choose one of the named options; return its index."""
        place = len(self._taken)
        choice = self._prefix[place] if place < len(self._prefix) else 0
        self._taken.append(choice)
        self._counts.append(len(options))
        self.steps.append(options[choice])
        return choice

    def next_prefix(self) -> list[int] | None:
        """Return the prefix that comes next, None after the last."""
        taken = list(self._taken)
        counts = list(self._counts)
        while taken and taken[-1] + 1 >= counts[-1]:
            taken.pop()
            counts.pop()
        if not taken:
            return None
        taken[-1] += 1
        return taken


def search(
    run: Callable[[Chooser, Findings], None], findings: Findings
) -> None:
    """Run each sequence of choices up to the findings' depth once."""
    prefix: list[int] | None = []
    while prefix is not None:
        chooser = Chooser(prefix, findings.depth)
        run(chooser, findings)
        findings.sequences += 1
        for step in chooser.steps:
            findings.steps[step.partition(' ')[0]] += 1
        prefix = chooser.next_prefix()
