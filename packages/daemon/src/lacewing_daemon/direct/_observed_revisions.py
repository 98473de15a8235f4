"""Track the revision up to which a store has reliably sent all changes."""

from collections import deque

# Before a store drops its history, pending watch calls receive no changes for
# a second; then their connections are closed.
WATCH_GAP_S = 1.0
# A revision observed this long before a failed call was observed before any
# watch gap: the call may have failed because the store dropped its history.
# The extra half of the gap covers responses in flight and the scheduling on a
# busy VM.
RELIABLE_AFTER_S = 1.5 * WATCH_GAP_S


class ObservedRevisions:
    """Hold the time at which each revision was observed.

    Before a store drops its history, pending watch calls receive nothing for
    a while and are then closed. Resuming from the last revision that they
    returned could miss the changes in between forever.
    """

    def __init__(self) -> None:
        # All changes up to the first revision are reliably known.
        self._observations: deque[tuple[float, int]] = deque()

    def reset(self, revision: int, now_s: float) -> None:
        """Record that the whole list was read at a revision."""
        self._observations.clear()
        self.observe(revision, now_s)

    def observe(self, revision: int, now_s: float) -> None:
        """Record that changes up to a revision were returned."""
        self._observations.append((now_s, revision))
        self._discard_old(now_s)

    def last_reliable(self) -> int | None:
        """Return the last reliable revision, or None."""
        return self._observations[0][1] if self._observations else None

    def discard_unreliable(self, sent_s: float) -> None:
        """Discard what was observed shortly before a failed call was sent.

        Such revisions do not become reliable while calls fail.
        """
        self._discard_old(sent_s)
        while len(self._observations) > 1:
            self._observations.pop()

    def _discard_old(self, now_s: float) -> None:
        while (
            len(self._observations) > 1
            and self._observations[1][0] <= now_s - RELIABLE_AFTER_S
        ):
            self._observations.popleft()
