"""Read sends from request logs and compare first events with estimates."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec
from lacewing_common.log_lines import LogLine
from lacewing_common.log_lines import Try

# A first event after LATE_MS counts as late if it was expected within
# EXPECTED_MS: 0.8 (the policy's patience) of a latency target of 400 ms.
LATE_MS = 400
EXPECTED_MS = 320
MAX_LATE = 0.05
# Targets hold for engines with at least this many sends.
MIN_SENDS = 20
MAX_MEAN_MS = 100.0
_GROUPS = 5


@dataclass(frozen=True)
class EngineErrors:
    """Hold the errors of one engine: observed minus expected, in ms."""

    engine: str
    sends: int
    mean_ms: float
    low_ms: float
    median_ms: float
    tail_ms: float

    @property
    def misses_target(self) -> bool:
        """Return whether its mean error is too large."""
        return self.sends >= MIN_SENDS and abs(self.mean_ms) >= MAX_MEAN_MS


@dataclass(frozen=True)
class ExpectedGroup:
    """Hold observed quantiles of sends with similar expected times."""

    min_expected_ms: int
    max_expected_ms: int
    sends: int
    median_ms: int
    tail_ms: int


@dataclass(frozen=True)
class Calibration:
    """Hold the comparison; ``late``: fraction late though expected early."""

    sends: int
    late: float
    engines: tuple[EngineErrors, ...]
    groups: tuple[ExpectedGroup, ...]

    @property
    def meets_targets(self) -> bool:
        """Return whether errors and late sends are within the targets."""
        if self.late > MAX_LATE:
            return False
        return not any(engine.misses_target for engine in self.engines)


def read_sends(paths: Iterable[Path]) -> Iterator[Try]:
    """Return the sends to engines that had a first event.

    Lines that are not JSON objects of requests are skipped, and text before
    the first brace is ignored, as in ``lacewingctl explain``. Runs that were
    continued from a copy are skipped, as nothing was prefilled.
    """
    decoder = msgspec.json.Decoder(LogLine)
    for path in paths:
        with path.open('rb') as lines:
            for text in lines:
                begin = text.find(b'{')
                if begin < 0:
                    continue
                try:
                    line = decoder.decode(text[begin:])
                except msgspec.DecodeError:
                    continue
                for sent in line.tries:
                    if sent.expected_ms <= 0 or sent.first_ms < 0:
                        continue
                    if not sent.went_on:
                        yield sent


def calibrate(sends: Sequence[Try]) -> Calibration:
    """Return the comparison of at least one send."""
    errors: dict[str, list[int]] = {}
    late = 0
    for sent in sends:
        error_ms = sent.first_ms - sent.expected_ms
        errors.setdefault(sent.upstream, []).append(error_ms)
        if sent.expected_ms <= EXPECTED_MS and sent.first_ms > LATE_MS:
            late += 1
    engines = []
    for engine, values in sorted(errors.items()):
        engines.append(
            EngineErrors(
                engine,
                len(values),
                sum(values) / len(values),
                _quantile(values, 0.1),
                _quantile(values, 0.5),
                _quantile(values, 0.9),
            )
        )
    return Calibration(
        len(sends), late / len(sends), tuple(engines), _groups(sends)
    )


def _groups(sends: Sequence[Try]) -> tuple[ExpectedGroup, ...]:
    ordered = sorted(sends, key=lambda sent: sent.expected_ms)
    groups = []
    for number in range(_GROUPS):
        begin = len(ordered) * number // _GROUPS
        end = len(ordered) * (number + 1) // _GROUPS
        members = ordered[begin:end]
        if not members:
            continue
        observed = [sent.first_ms for sent in members]
        groups.append(
            ExpectedGroup(
                members[0].expected_ms,
                members[-1].expected_ms,
                len(members),
                _quantile(observed, 0.5),
                _quantile(observed, 0.9),
            )
        )
    return tuple(groups)


def _quantile(values: Sequence[int], fraction: float) -> int:
    return sorted(values)[int(len(values) * fraction)]
