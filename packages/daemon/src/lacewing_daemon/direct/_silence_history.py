"""Record how long live engines of a service are silent."""

from collections import deque

# Engines of one service are alike, and their load changes within seconds; a
# silence predicts the next ones for this long.
SILENCE_TTL_S = 30.0
# Factor above the silences of live engines from which an engine is considered
# lost: 220 ms where the longest observed silence was 175 ms.
SILENCE_MARGIN = 1.25
# Maximum number of silences; beyond it the oldest are dropped early.
_MAX_SILENCES = 64


class SilenceHistory:
    """Hold the silences of engines that sent data again afterwards.

    An engine prefills queued prompts between the events of its streams. How
    long that keeps it silent depends on its prefill speed, the size of its
    prefill chunks and the number of steps per event. With a bound that was
    measured on faster engines, live engines lose their streams again and
    again: dozens of times a day where prefill takes 2.7 times as long.
    Engines don't report these values, but each silence that ends shows
    their effect.
    """

    def __init__(self) -> None:
        self._silences: deque[tuple[float, float]] = deque(
            maxlen=_MAX_SILENCES
        )

    def record(
        self, silent_s: float, now_s: float, speed_factor: float = 1.0
    ) -> None:
        """Record a silence that ended.

        ``speed_factor``: ratio of the engine's times to the usual ones.
        """
        self._silences.append((now_s, silent_s / speed_factor))

    def usual_silence_s(
        self, now_s: float, speed_factor: float = 1.0
    ) -> float:
        """Return how long a live engine is silent, 0 if unknown.

        A fast engine is given as long as a usual one: it may have become
        slower, and a false detection costs more than a late one.
        The longest silence is ignored: a single one may be due to a link.
        """
        while self._silences and self._silences[0][0] < now_s - SILENCE_TTL_S:
            self._silences.popleft()
        if len(self._silences) < 2:
            return 0.0
        usual_s = sorted(silent_s for _, silent_s in self._silences)[-2]
        return usual_s * max(1.0, speed_factor)
