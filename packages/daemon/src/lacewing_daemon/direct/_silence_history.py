"""Know the pace of a service's engines by what they show."""

from collections import deque

# Engines of one service are alike, and their load changes within seconds; a
# silence tells of the next ones for so long.
SEEN_S = 30.0
# How much longer than any silence seen of engines that live one must be to
# tell that an engine is lost: 220 ms were taken where 175 ms were seen.
SILENCE_MARGIN = 1.25
# Silences that are kept; beyond it the oldest are forgotten sooner.
_MOST_KEPT = 64


class SilenceHistory:
    """Hold the silences of engines that were heard again afterwards.

    An engine reads waiting prompts between the events of its streams. How
    long that keeps it silent depends on how fast it reads, in which pieces
    and for how many steps an event takes. Taken for lost at a bound that
    was measured on faster engines, engines that live lose their streams
    again and again: by the dozen a day where reading takes 2.7 times as
    long. Nobody tells these figures, but each silence that ends shows them.
    """

    def __init__(self) -> None:
        self._silences: deque[tuple[float, float]] = deque(maxlen=_MOST_KEPT)

    def record(self, silent_s: float, now_s: float) -> None:
        """Take a silence of an engine that was heard again."""
        self._silences.append((now_s, silent_s))

    def usual_silence_s(self, now_s: float) -> float:
        """Return how long engines that live are silent, 0 if unknown.

        The longest of all is left out: a single one may be that of a link.
        """
        while self._silences and self._silences[0][0] < now_s - SEEN_S:
            self._silences.popleft()
        if len(self._silences) < 2:
            return 0.0
        return sorted(silent_s for _, silent_s in self._silences)[-2]
