"""Know up to which revision a store has surely told all changes."""

from collections import deque

# Before a store drops its history, calls that wait for changes hear nothing
# of them for a second; then they are cut.
WATCH_GAP_S = 1.0
# What was told this long before a call that failed was not told deafly: it
# may have failed as such a call is cut. Half of it is for answers on their
# way and for the scheduling of a busy VM.
SURE_S = 1.5 * WATCH_GAP_S


class ObservedRevisions:
    """Hold when each revision was told.

    Before a store drops its history, calls that wait hear nothing for a
    while and are then cut. Going on from what the last ones told could miss
    for good what happened meanwhile.
    """

    def __init__(self) -> None:
        # The first one was surely told with all changes up to it.
        self._told: deque[tuple[float, int]] = deque()

    def reset(self, revision: int, now_s: float) -> None:
        """Note that a whole list was read as of a revision."""
        self._told.clear()
        self.observe(revision, now_s)

    def observe(self, revision: int, now_s: float) -> None:
        """Note that changes up to a revision were told."""
        self._told.append((now_s, revision))
        self._forget(now_s)

    def last_reliable(self) -> int | None:
        """Return the last revision that was surely told, None for none."""
        return self._told[0][1] if self._told else None

    def discard_unreliable(self, sent_s: float) -> None:
        """Note that a call failed that was sent then.

        What was told shortly before does not become sure while calls fail.
        """
        self._forget(sent_s)
        while len(self._told) > 1:
            self._told.pop()

    def _forget(self, now_s: float) -> None:
        while len(self._told) > 1 and self._told[1][0] <= now_s - SURE_S:
            self._told.popleft()
