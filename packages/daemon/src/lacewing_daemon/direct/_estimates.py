"""Estimate how fast the engines of a service work from their answers.

Deterministic: callers pass in the time.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from msgspec.structs import replace

from lacewing_daemon.direct._policy import LoadPolicy

# Engines are replaced and their load changes, so earlier samples mislead.
# Without samples, the configured values apply again.
SAMPLE_TTL_S = 60.0
MAX_SAMPLES = 48
# Estimates are computed this often, as comparing pairs costs processor time.
ESTIMATE_INTERVAL_S = 3.0
# Prompts whose lengths differ by less don't show the time per token.
MIN_DIFFERENCE_TOKENS = 400
# The difference of two prompts' shared parts, as a fraction of that of their
# own parts.
MAX_SHARED_FRACTION = 0.5
MIN_PAIRS = 60
MIN_PREFILLS = 16
MIN_RUNS = 12
MIN_LOADS = 3
# Estimates are clamped to these bounds.
PREFILL_TOKENS_PER_MS_BOUNDS = (5.0, 1000.0)
STEP_MS_BOUNDS = (0.5, 200.0)
LOAD_MS_BOUNDS = (50.0, 5000.0)

_Bounds = tuple[float, float]


@dataclass(frozen=True)
class PrefillSample:
    """Hold the time to a first event and the length of its prompt.

    The engine surely prefilled the ``own_tokens``; it may have cached any
    part of the ``shared_tokens`` before them.
    """

    at_s: float
    own_tokens: int
    shared_tokens: int
    took_ms: float


class PrefillSpeed:
    """Estimate how many tokens of a prompt an engine prefills per ms.

    The time to a first event also includes the prompts of other routers, a
    step, the network delay and shared parts that were not cached. None of
    these depends on the length of the prompt's own part. So the time per
    token is the median slope between pairs of prompts (Theil-Sen), which is
    robust against constant terms and single outliers. Pairs whose shared
    parts differ much are excluded: on some routes long shared parts come
    with long own parts.
    """

    def __init__(self) -> None:
        self._samples: deque[PrefillSample] = deque(maxlen=MAX_SAMPLES)

    def record(self, sample: PrefillSample) -> None:
        """Record a sample."""
        if sample.own_tokens > 0 and sample.took_ms > 0:
            self._samples.append(sample)

    def tokens_per_ms(self, now_s: float) -> float | None:
        """Return the estimate, None while there are too few samples."""
        samples = [
            sample
            for sample in self._samples
            if sample.at_s >= now_s - SAMPLE_TTL_S
        ]
        if len(samples) < MIN_PREFILLS:
            return None
        slopes = _slopes(samples)
        if len(slopes) < MIN_PAIRS:
            return None
        slope = _quantile(slopes, 0.5)
        if slope <= 0:
            return None
        return _clamp(1.0 / slope, PREFILL_TOKENS_PER_MS_BOUNDS)


class RecentSamples:
    """Hold the latest samples of one quantity."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)

    def record(self, value: float, now_s: float) -> None:
        """Record a sample."""
        self._samples.append((now_s, value))

    def values(self, now_s: float) -> list[float]:
        """Return the samples that have not expired."""
        oldest_s = now_s - SAMPLE_TTL_S
        return [value for at_s, value in self._samples if at_s >= oldest_s]


class Estimates:
    """Estimate the parameters of one service's engines.

    Each estimate is None while there are too few recent samples.
    """

    def __init__(self) -> None:
        self._prefill_speed = PrefillSpeed()
        self._steps = RecentSamples()
        self._loads = RecentSamples()
        self._expected_prefills = RecentSamples()

    def record_prefill(self, sample: PrefillSample) -> None:
        """Record a first event of a prompt with no known queue ahead."""
        self._prefill_speed.record(sample)

    def record_run(self, tokens: int, took_ms: float, now_s: float) -> None:
        """Record a run of about ``tokens`` from first event to end."""
        if tokens > 0 and took_ms > 0:
            self._steps.record(took_ms / tokens, now_s)

    def record_load(self, took_ms: float, now_s: float) -> None:
        """Record the time from an engine's turn to load to its end."""
        if took_ms > 0:
            self._loads.record(took_ms, now_s)

    def record_expected_prefill(self, prefill_ms: float, now_s: float) -> None:
        """Record the prefill time that a request was expected to need."""
        self._expected_prefills.record(prefill_ms, now_s)

    def prefill_tokens_per_ms(self, now_s: float) -> float | None:
        """Return the estimated prefill speed."""
        return self._prefill_speed.tokens_per_ms(now_s)

    def step_ms(self, now_s: float) -> float | None:
        """Return the estimated time per generated token."""
        values = self._steps.values(now_s)
        if len(values) < MIN_RUNS:
            return None
        return _clamp(_quantile(values, 0.5), STEP_MS_BOUNDS)

    def load_ms(self, now_s: float) -> float | None:
        """Return the estimated duration of a load.

        Late orders make loads seem long, so a low quantile is used: an
        engine whose load is late serves meanwhile.
        """
        values = self._loads.values(now_s)
        if len(values) < MIN_LOADS:
            return None
        return _clamp(_quantile(values, 0.25), LOAD_MS_BOUNDS)

    def usual_prefill_ms(self, now_s: float) -> float | None:
        """Return the prefill time that a request usually needs."""
        values = self._expected_prefills.values(now_s)
        if len(values) < MIN_RUNS:
            return None
        return _quantile(values, 0.5)


def apply_estimates(
    policy: LoadPolicy, estimates: Estimates, now_s: float
) -> LoadPolicy:
    """Return the policy with the available estimates in place of defaults."""
    estimated = {
        'prefill_tokens_per_ms': estimates.prefill_tokens_per_ms(now_s),
        'step_ms': estimates.step_ms(now_s),
        'load_ms': estimates.load_ms(now_s),
        'usual_read_ms': estimates.usual_prefill_ms(now_s),
    }
    available = {}
    for name, value in estimated.items():
        if value is not None:
            available[name] = value
    return replace(policy, **available)


def _slopes(samples: Sequence[PrefillSample]) -> list[float]:
    slopes = []
    for position, later in enumerate(samples):
        for earlier in samples[:position]:
            difference = later.own_tokens - earlier.own_tokens
            if abs(difference) < MIN_DIFFERENCE_TOKENS:
                continue
            shared = later.shared_tokens - earlier.shared_tokens
            if abs(shared) > MAX_SHARED_FRACTION * abs(difference):
                continue
            slopes.append((later.took_ms - earlier.took_ms) / difference)
    return slopes


def _quantile(values: Sequence[float], fraction: float) -> float:
    """Return the value below which a fraction of all values lies.

    The standard library's ``statistics`` takes 7 ms of each process start
    to import.
    """
    return sorted(values)[int(len(values) * fraction)]


def _clamp(value: float, bounds: _Bounds) -> float:
    lower, upper = bounds
    return min(upper, max(lower, value))
