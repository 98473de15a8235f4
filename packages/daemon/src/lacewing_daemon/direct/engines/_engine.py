"""Estimate one engine's speed relative to that of its service.

Deterministic: callers pass in the time.
"""

from lacewing_daemon.direct.engines._fit import Figures
from lacewing_daemon.direct.engines._sums import DecayedSums

# Engines change within seconds. Alone, a router has one first event of an
# engine in three seconds; with those of 24 others there are 20 in this time.
RECENT_HALF_LIFE_S = 3.0
# With more samples, an engine that has become slow would be avoided for longer
# than some half-lives after its last sample.
MAX_RECENT_SAMPLES = 12.0
# Over this time, samples of a single router suffice to tell engines of
# different speeds apart.
USUAL_HALF_LIFE_S = 30.0
MAX_USUAL_SAMPLES = 60.0
# Weight of the level above, in samples.
PRIOR_SAMPLES = 1.0
USUAL_PRIOR_SAMPLES = 3.0
# Engines of a service were found to be 0.7 to 1.7 times as fast as usual, and
# a factor beyond this range is a passing state. Without the bounds an engine
# that was five times slower for a while would hardly be tried again.
USUAL_FACTOR_BOUNDS = (0.5, 2.0)
FACTOR_BOUNDS = (0.25, 10.0)
# A sample counts for at most this many times the current estimate, and at
# least for its inverse: a single stall shuts no engine out, and two samples
# show an engine that is five times slower.
MAX_SAMPLE_RATIO = 3.0
# Slowdowns change many times per second; only their mean predicts the next.
SLOWDOWN_HALF_LIFE_S = 15.0
SLOWDOWN_PRIOR_MS = 500.0
SLOWDOWN_BOUNDS = (0.1, 100.0)
RUN_HALF_LIFE_S = 8.0
# Some runs of usual length.
RUN_PRIOR_TOKENS = 200.0
# Shares of subjects are multiples of this fraction of the usual, so that
# routers with slightly different estimates agree on nearly all of them.
SHARE_STEP = 0.25
SHARE_BOUNDS = (0.5, 2.0)
# A share changes once the speed is this far beyond the middle between two.
SHARE_HYSTERESIS = 0.1


class EngineSpeed:
    """Hold the samples of one engine.

    Samples of all lengths are compared with what the service's figures say
    of them at the time of an estimate, so that samples taken before these
    figures were known remain correct.
    """

    def __init__(self) -> None:
        self._recent = DecayedSums(RECENT_HALF_LIFE_S, 3, MAX_RECENT_SAMPLES)
        self._usual = DecayedSums(USUAL_HALF_LIFE_S, 3, MAX_USUAL_SAMPLES)
        self._slowdowns = DecayedSums(SLOWDOWN_HALF_LIFE_S, 2)
        self._runs = DecayedSums(RUN_HALF_LIFE_S, 2)
        self._share = 1.0

    def factor(self, figures: Figures, now_s: float) -> float:
        """Return the ratio of its times to those of the service."""
        usual = self.usual_factor(figures, now_s)
        ratio = _shrunk_ratio(
            self._recent.at(now_s), figures, usual, PRIOR_SAMPLES
        )
        return clamp(ratio, FACTOR_BOUNDS)

    def usual_factor(self, figures: Figures, now_s: float) -> float:
        """Return the ratio over some tens of seconds, within bounds."""
        ratio = _shrunk_ratio(
            self._usual.at(now_s), figures, 1.0, USUAL_PRIOR_SAMPLES
        )
        return clamp(ratio, USUAL_FACTOR_BOUNDS)

    def slowdown(self, service_slowdown: float, now_s: float) -> float:
        """Return the usual effect of its machine's slowdown on first events.

        The ratio of sums with and without the slowdown. A mean of the
        reported slowdowns would be too high: prefill goes on across several
        of them, and only the last one is reported with the first event.
        """
        took_ms, slowed_ms = self._slowdowns.at(now_s)
        slowed_ms += SLOWDOWN_PRIOR_MS * service_slowdown
        return slowed_ms / (took_ms + SLOWDOWN_PRIOR_MS)

    def step_ms(self, service_step_ms: float, now_s: float) -> float:
        """Return the time per generated token."""
        tokens, took_ms = self._runs.at(now_s)
        took_ms += RUN_PRIOR_TOKENS * service_step_ms
        return took_ms / (tokens + RUN_PRIOR_TOKENS)

    def share(self, figures: Figures, now_s: float) -> float:
        """Return its share of the subjects, where 1.0 is the usual one."""
        speed = clamp(1 / self.usual_factor(figures, now_s), SHARE_BOUNDS)
        if abs(speed - self._share) > SHARE_STEP * (0.5 + SHARE_HYSTERESIS):
            self._share = round(speed / SHARE_STEP) * SHARE_STEP
        return self._share

    def add_first_events(
        self, count: float, tokens: float, took_ms: float, now_s: float
    ) -> None:
        """Add first events of prompts that had ``tokens`` before them."""
        self._recent.add((count, tokens, took_ms), now_s)
        self._usual.add((count, tokens, took_ms), now_s)

    def add_slowdown(
        self, took_ms: float, slowed_ms: float, now_s: float
    ) -> None:
        """Add first events without and with the slowdown of the machine."""
        self._slowdowns.add((took_ms, slowed_ms), now_s)

    def add_run(self, tokens: float, took_ms: float, now_s: float) -> None:
        """Add runs that generated ``tokens``."""
        self._runs.add((tokens, took_ms), now_s)


def clamp(value: float, bounds: tuple[float, float]) -> float:
    """Return the nearest value within bounds."""
    lower, upper = bounds
    return min(upper, max(lower, value))


def _shrunk_ratio(
    sums: tuple[float, ...], figures: Figures, prior: float, weight: float
) -> float:
    """Return the ratio of times, with ``weight`` samples at the prior."""
    count, tokens, took_ms = sums
    if count <= 0:
        return prior
    expected_ms = figures.expected_ms(count, tokens)
    mean_ms = expected_ms / count
    return (took_ms + weight * mean_ms * prior) / (
        expected_ms + weight * mean_ms
    )
