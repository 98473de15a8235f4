"""Count what callers got and what engines did for it."""

from collections.abc import Sequence
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field

import numpy
from lacewing_daemon.direct import Prompt

from lacewing_bench.experiment._engine import Engine
from lacewing_bench.experiment._site import Deployment
from lacewing_bench.experiment._site import Kind

_MS = 1000.0
# What an answer on old weights earns of its worth.
OLD_EARNS = 0.8


@dataclass(frozen=True)
class Figures:
    """Hold one play's figures.

    ``worth``: what was earned, over what on-time answers to all would earn;
    ``on_time``, ``refused``, ``lost``: shares of the requests asked;
    ``cut``: streams broken off at engines that live, of the requests asked;
    ``p50_ms``, ``p99_ms``: first events; ``mixed``: share of the tokens made
    after their engine's weights had changed; ``read``: prompt tokens that
    engines read for each request;
    ``busy``: share of the engines' time.
    """

    worth: float
    on_time: float
    refused: float
    lost: float
    cut: float
    p50_ms: float
    p99_ms: float
    mixed: float
    read: float
    busy: float

    def as_dict(self) -> dict[str, float]:
        """Return all figures by name."""
        return asdict(self)


@dataclass
class _KindCounts:
    asked: int = 0
    refused: int = 0
    lost: int = 0
    cut: int = 0
    on_time: int = 0
    earned: float = 0.0


@dataclass
class Outcome:
    """Collect what happens in one play."""

    site: Deployment
    _kinds: dict[str, _KindCounts] = field(default_factory=dict)
    _first_ms: list[float] = field(default_factory=list)
    _kept: dict[tuple[str, str], int] = field(default_factory=dict)
    _made: int = 0
    _mixed: int = 0

    def __post_init__(self) -> None:
        """Make a count for each kind."""
        for kind in self.site.kinds:
            self._kinds[kind.name] = _KindCounts()

    def asked(self, kind: Kind) -> None:
        """Count a request."""
        self._kinds[kind.name].asked += 1

    def refused(self, kind: Kind) -> None:
        """Count a refusal."""
        self._kinds[kind.name].refused += 1

    def lost(self, kind: Kind) -> None:
        """Count a request lost with its engine."""
        self._kinds[kind.name].lost += 1

    def cut(self, kind: Kind) -> None:
        """Count a stream that was broken off though its engine lives."""
        self._kinds[kind.name].cut += 1

    def began(self, kind: Kind, first_ms: float) -> None:
        """Note a first event."""
        self._first_ms.append(first_ms)

    def ended(
        self, kind: Kind, on_time: bool, made: int, mixed: int, old: bool
    ) -> None:
        """Count an answer; tokens of two versions earn nothing.

        ``old``: it began on weights that were replaced a while before.
        """
        counts = self._kinds[kind.name]
        counts.on_time += on_time
        worth = kind.worth if on_time else kind.late_worth
        if old:
            worth *= OLD_EARNS
        counts.earned += worth * (made - mixed) / made
        self._made += made
        self._mixed += mixed

    def kept(self, wall: str, prompt: Prompt) -> bool:
        """Tell whether the KV store holds all shared parts of a prompt."""
        for part in prompt.shared:
            if (wall, part.part_id) not in self._kept:
                return False
        return True

    def read(self, wall: str, prompt: Prompt) -> None:
        """Note that shared parts were read and are kept from now on."""
        for part in prompt.shared:
            self._kept.setdefault((wall, part.part_id), part.tokens)

    def figures(self, engines: Sequence[Engine], seconds: float) -> Figures:
        """Work out the figures."""
        asked = refused = lost = cut = on_time = 0
        earned = most = 0.0
        for kind in self.site.kinds:
            counts = self._kinds[kind.name]
            asked += counts.asked
            refused += counts.refused
            lost += counts.lost
            cut += counts.cut
            on_time += counts.on_time
            earned += counts.earned
            most += counts.asked * kind.worth
        asked = max(1, asked)
        p50_ms, p99_ms = numpy.percentile(self._first_ms or [0.0], (50, 99))
        busy_ms = sum(engine.counts.busy_ms for engine in engines)
        return Figures(
            earned / max(1.0, most),
            on_time / asked,
            refused / asked,
            lost / asked,
            cut / asked,
            float(p50_ms),
            float(p99_ms),
            self._mixed / max(1, self._made),
            sum(engine.counts.read for engine in engines) / asked,
            busy_ms / (len(engines) * seconds * _MS),
        )
