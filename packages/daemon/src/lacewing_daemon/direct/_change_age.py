"""Know how long ago a change that is told may have been made."""

from collections.abc import Callable

# By how much a look or an answer may be late on a busy VM.
LATENESS_TOLERANCE_S = 0.5


class ChangeAge:
    """Hold since when changes may have gone unheard.

    One that was waited for has just been made, unless the process stood
    still meanwhile or the answer was long on its way. One found in a list
    was made at some time since the last confirmation.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._unheard_from_s: float | None = float('-inf')
        self._noted_s = float('-inf')

    @property
    def max_age_s(self) -> float:
        """Return how long ago a change told now may have been made."""
        if self._unheard_from_s is None:
            return 0.0
        return self._clock() - self._unheard_from_s

    def mark_unobserved_since(self, at_s: float) -> None:
        """Note from when on changes may have gone unheard."""
        self._noted_s = self._clock()
        if self._unheard_from_s is None:
            self._unheard_from_s = at_s

    def note_response(
        self, sent_s: float, wait_s: float, is_list: bool
    ) -> None:
        """Note whether an answer was long on its way, or was waited for."""
        took_s = self._clock() - sent_s
        if took_s > wait_s + LATENESS_TOLERANCE_S:
            self.mark_unobserved_since(sent_s)
            return
        if is_list or took_s <= LATENESS_TOLERANCE_S:
            return
        # There was nothing to tell when it was asked for.
        self.mark_observed(sent_s)

    def mark_observed(self, sent_s: float) -> None:
        """Note that an answer to a call sent then was taken.

        An answer that was long on its way, or was read after a standstill,
        tells what was so when it was sent. What the next one tells at once
        was made since then; taken for just made, older weights were used
        for too long. So only an answer that was asked for later ends it.
        """
        if self._noted_s <= sent_s:
            self._unheard_from_s = None
