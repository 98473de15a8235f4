"""Count the outcomes of requests and the work of engines."""

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
# Fraction of its worth that an answer on superseded weights earns.
SUPERSEDED_WORTH_FACTOR = 0.8


@dataclass(frozen=True)
class Figures:
    """Hold the figures of one simulation.

    ``worth``: earned worth as a fraction of that of on-time answers to all;
    ``on_time``, ``refused``, ``lost``: fractions of all requests;
    ``cut``: streams aborted at live engines, as a fraction of all requests;
    ``p50_ms``, ``p99_ms``: time to first event; ``mixed``: fraction of the
    tokens generated after their engine's weights changed; ``read``: prompt
    tokens prefilled per request; ``busy``: fraction of the engines' time.
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
    aborted: int = 0
    on_time: int = 0
    earned: float = 0.0


@dataclass
class Outcome:
    """Collect the outcomes of one simulation."""

    site: Deployment
    _kinds: dict[str, _KindCounts] = field(default_factory=dict)
    _first_ms: list[float] = field(default_factory=list)
    _stored_parts: dict[tuple[str, str], int] = field(default_factory=dict)
    _generated: int = 0
    _mixed: int = 0

    def __post_init__(self) -> None:
        """Create the counts of each kind."""
        for kind in self.site.kinds:
            self._kinds[kind.name] = _KindCounts()

    def count_arrival(self, kind: Kind) -> None:
        """Count an arrived request."""
        self._kinds[kind.name].asked += 1

    def count_refusal(self, kind: Kind) -> None:
        """Count a refusal."""
        self._kinds[kind.name].refused += 1

    def count_lost(self, kind: Kind) -> None:
        """Count a request lost with its engine."""
        self._kinds[kind.name].lost += 1

    def count_abort(self, kind: Kind) -> None:
        """Count a stream that was aborted though its engine is alive."""
        self._kinds[kind.name].aborted += 1

    def record_first_event(self, kind: Kind, first_ms: float) -> None:
        """Record the time to a first event."""
        self._first_ms.append(first_ms)

    def count_answer(
        self,
        kind: Kind,
        on_time: bool,
        generated: int,
        mixed: int,
        superseded: bool,
    ) -> None:
        """Count an answer; tokens generated after a load earn nothing.

        ``superseded``: it started on weights that had been superseded for a
        while.
        """
        counts = self._kinds[kind.name]
        counts.on_time += on_time
        worth = kind.worth if on_time else kind.late_worth
        if superseded:
            worth *= SUPERSEDED_WORTH_FACTOR
        counts.earned += worth * (generated - mixed) / generated
        self._generated += generated
        self._mixed += mixed

    def is_stored(self, cache_salt: str, prompt: Prompt) -> bool:
        """Return whether the KV store has all shared parts of a prompt."""
        for part in prompt.shared:
            if (cache_salt, part.part_id) not in self._stored_parts:
                return False
        return True

    def mark_stored(self, cache_salt: str, prompt: Prompt) -> None:
        """Mark the shared parts of a prefilled prompt as stored."""
        for part in prompt.shared:
            self._stored_parts.setdefault(
                (cache_salt, part.part_id), part.tokens
            )

    def figures(self, engines: Sequence[Engine], seconds: float) -> Figures:
        """Compute the figures."""
        asked = refused = lost = aborted = on_time = 0
        earned = max_worth = 0.0
        for kind in self.site.kinds:
            counts = self._kinds[kind.name]
            asked += counts.asked
            refused += counts.refused
            lost += counts.lost
            aborted += counts.aborted
            on_time += counts.on_time
            earned += counts.earned
            max_worth += counts.asked * kind.worth
        asked = max(1, asked)
        p50_ms, p99_ms = numpy.percentile(self._first_ms or [0.0], (50, 99))
        busy_ms = sum(engine.counts.busy_ms for engine in engines)
        return Figures(
            earned / max(1.0, max_worth),
            on_time / asked,
            refused / asked,
            lost / asked,
            aborted / asked,
            float(p50_ms),
            float(p99_ms),
            self._mixed / max(1, self._generated),
            sum(engine.counts.prefilled_tokens for engine in engines) / asked,
            busy_ms / (len(engines) * seconds * _MS),
        )
