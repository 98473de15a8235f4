"""Learn how fast the engines of a service work from what they show.

Pure: the time is the caller's.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from msgspec.structs import replace

from lacewing_daemon.direct._policy import LoadPolicy

# Engines are replaced and their load changes; what was seen longer ago says
# little. Where nothing comes, the configured figures hold again.
SEEN_S = 60.0
MOST_KEPT = 48
# Estimates are worked out anew this often, as pairs cost processor time.
ESTIMATE_INTERVAL_S = 3.0
# Prompts whose lengths differ by less say nothing of the time a token takes.
LEAST_DIFFERENCE_TOKENS = 400
# Of the difference of their own parts, that of their shared ones at the most.
MOST_SHARED_PART = 0.5
LEAST_PAIRS = 60
LEAST_READS = 16
LEAST_RUNS = 12
LEAST_LOADS = 3
# No engine is taken for faster or slower than these.
READ_TOKENS_PER_MS = (5.0, 1000.0)
STEP_MS = (0.5, 200.0)
LOAD_MS = (50.0, 5000.0)

_Bounds = tuple[float, float]


@dataclass(frozen=True)
class PrefillSample:
    """Hold how long a first event took, and for which prompt.

    ``own_tokens`` surely were read; of the ``shared_tokens`` before them the
    engine may have kept any part.
    """

    at_s: float
    own_tokens: int
    shared_tokens: int
    took_ms: float


class PrefillSpeed:
    """Estimate how many tokens of a prompt an engine reads in a ms.

    A first event also waits for other routers' prompts, for a step and for
    the way, and for shared parts that were not kept. None of these depends
    on the length of the prompt's own part. So the time that a token takes is
    the median slope between pairs of prompts (Theil-Sen), which constants
    and single stragglers leave alone. Pairs whose shared parts differ much
    are left out: long ones come with long own parts on some routes.
    """

    def __init__(self) -> None:
        self._reads: deque[PrefillSample] = deque(maxlen=MOST_KEPT)

    def learn(self, read: PrefillSample) -> None:
        """Take a first event."""
        if read.own_tokens > 0 and read.took_ms > 0:
            self._reads.append(read)

    def tokens_per_ms(self, now_s: float) -> float | None:
        """Return the estimate, None while too little was seen."""
        reads = [one for one in self._reads if one.at_s >= now_s - SEEN_S]
        if len(reads) < LEAST_READS:
            return None
        slopes = _slopes(reads)
        if len(slopes) < LEAST_PAIRS:
            return None
        slope = _quantile(slopes, 0.5)
        if slope <= 0:
            return None
        return _bounded(1.0 / slope, READ_TOKENS_PER_MS)


class RecentSamples:
    """Hold the newest values of a figure."""

    def __init__(self) -> None:
        self._seen: deque[tuple[float, float]] = deque(maxlen=MOST_KEPT)

    def learn(self, value: float, now_s: float) -> None:
        """Take a value."""
        self._seen.append((now_s, value))

    def values(self, now_s: float) -> list[float]:
        """Return the values of late."""
        oldest_s = now_s - SEEN_S
        return [value for at_s, value in self._seen if at_s >= oldest_s]


class Estimates:
    """Hold what the engines of one service have shown.

    Each figure is None while too little was seen of late.
    """

    def __init__(self) -> None:
        self._reads = PrefillSpeed()
        self._steps = RecentSamples()
        self._loads = RecentSamples()
        self._sent = RecentSamples()

    def record_prefill(self, read: PrefillSample) -> None:
        """Take a first event before which no other prompt is known to wait."""
        self._reads.learn(read)

    def record_run(self, tokens: int, took_ms: float, now_s: float) -> None:
        """Take a run of about ``tokens`` from its first event to its end."""
        if tokens > 0 and took_ms > 0:
            self._steps.learn(took_ms / tokens, now_s)

    def record_load(self, took_ms: float, now_s: float) -> None:
        """Take the time from an engine's turn to load until it had loaded."""
        if took_ms > 0:
            self._loads.learn(took_ms, now_s)

    def record_expected_prefill(self, read_ms: float, now_s: float) -> None:
        """Take the reading that a request was expected to need."""
        self._sent.learn(read_ms, now_s)

    def read_tokens_per_ms(self, now_s: float) -> float | None:
        """Return how fast engines read prompts."""
        return self._reads.tokens_per_ms(now_s)

    def step_ms(self, now_s: float) -> float | None:
        """Return the time that a token of an answer takes."""
        seen = self._steps.values(now_s)
        if len(seen) < LEAST_RUNS:
            return None
        return _bounded(_quantile(seen, 0.5), STEP_MS)

    def load_ms(self, now_s: float) -> float | None:
        """Return how long a load takes.

        Orders that come late make loads seem long, so the quicker ones
        count: an engine whose load is late serves meanwhile.
        """
        seen = self._loads.values(now_s)
        if len(seen) < LEAST_LOADS:
            return None
        return _bounded(_quantile(seen, 0.25), LOAD_MS)

    def usual_read_ms(self, now_s: float) -> float | None:
        """Return the reading that a usual request needs."""
        seen = self._sent.values(now_s)
        if len(seen) < LEAST_RUNS:
            return None
        return _quantile(seen, 0.5)


def apply_estimates(
    policy: LoadPolicy, estimates: Estimates, now_s: float
) -> LoadPolicy:
    """Return a policy with what engines have shown in place of its own."""
    seen = {
        'prefill_tokens_per_ms': estimates.read_tokens_per_ms(now_s),
        'step_ms': estimates.step_ms(now_s),
        'load_ms': estimates.load_ms(now_s),
        'usual_read_ms': estimates.usual_read_ms(now_s),
    }
    known = {}
    for name, value in seen.items():
        if value is not None:
            known[name] = value
    return replace(policy, **known)


def _slopes(reads: Sequence[PrefillSample]) -> list[float]:
    slopes = []
    for position, one in enumerate(reads):
        for other in reads[:position]:
            difference = one.own_tokens - other.own_tokens
            if abs(difference) < LEAST_DIFFERENCE_TOKENS:
                continue
            shared = one.shared_tokens - other.shared_tokens
            if abs(shared) > MOST_SHARED_PART * abs(difference):
                continue
            slopes.append((one.took_ms - other.took_ms) / difference)
    return slopes


def _quantile(values: Sequence[float], part: float) -> float:
    """Return the value below which a part of all lies.

    Importing the standard library's module takes 7 ms of each start.
    """
    return sorted(values)[int(len(values) * part)]


def _bounded(value: float, bounds: _Bounds) -> float:
    least, most = bounds
    return min(most, max(least, value))
