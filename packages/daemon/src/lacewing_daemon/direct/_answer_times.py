"""Observe how long the answers of each route take.

Deterministic: callers pass in the time.
"""

from collections import deque
from math import inf

# Engines are replaced and their load changes, so earlier samples mislead.
SAMPLE_TTL_S = 120.0
MAX_SAMPLES = 128
# With fewer answers, how long the next one takes is not known.
MIN_ANSWERS = 3
# The next answer may take so many times what a long one took; twice as much
# with this number of answers, as fewer answers show less.
LONG_ANSWER_FACTOR = 1.25
FEW_ANSWERS = 5
# An upstream that hangs now and then must not stand for the whole route.
LONG_SHARE = 0.99


class AnswerTimes:
    """Hold how long the latest requests of each route were open."""

    def __init__(self) -> None:
        self._ended: dict[str, deque[tuple[float, float]]] = {}
        self._open: dict[str, dict[object, float]] = {}

    def begin(self, route: str, request: object, now_s: float) -> None:
        """Record that a request of a route was read."""
        self._open.setdefault(route, {})[request] = now_s

    def end(
        self, route: str, request: object, now_s: float, was_served: bool
    ) -> None:
        """Record the end of a request; ``was_served`` by an upstream."""
        opened = self._open[route]
        took_s = now_s - opened.pop(request)
        if not opened:
            del self._open[route]
        if not was_served:
            return
        ended = self._ended.get(route)
        if ended is None:
            self._forget_unused(now_s)
            ended = self._ended[route] = deque(maxlen=MAX_SAMPLES)
        ended.append((now_s, took_s))

    def may_take_s(self, route: str, now_s: float) -> float:
        """Return how long the next answer may take, infinity if unknown.

        Requests that are open for long show that answers have become slower
        before any of these has ended.
        """
        oldest_s = now_s - SAMPLE_TTL_S
        times = []
        for ended_s, took_s in self._ended.get(route, ()):
            if ended_s >= oldest_s:
                times.append(took_s)
        answers = len(times)
        if answers < MIN_ANSWERS:
            return inf
        for opened_s in self._open.get(route, {}).values():
            times.append(now_s - opened_s)
        long_s = sorted(times)[int(len(times) * LONG_SHARE)]
        return long_s * LONG_ANSWER_FACTOR * (1.0 + FEW_ANSWERS / answers)

    def _forget_unused(self, now_s: float) -> None:
        """Forget routes without recent answers, as routes are renamed."""
        oldest_s = now_s - SAMPLE_TTL_S
        for route, ended in tuple(self._ended.items()):
            if ended[-1][0] < oldest_s:
                del self._ended[route]
