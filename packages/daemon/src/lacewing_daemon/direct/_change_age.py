"""Bound the age of a change that the store reports."""

from collections.abc import Callable

# How late a check or a response may be on a busy VM.
LATENESS_TOLERANCE_S = 0.5


class ChangeAge:
    """Hold the time since which changes may have gone unobserved.

    A change that a call waited for has just been made, unless the process was
    suspended meanwhile or the response was delayed. A change found in a list
    was made at some time since the last confirmation.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._unobserved_since_s: float | None = float('-inf')
        self._marked_s = float('-inf')

    @property
    def max_age_s(self) -> float:
        """Return the maximum age of a change that is reported now."""
        if self._unobserved_since_s is None:
            return 0.0
        return self._clock() - self._unobserved_since_s

    def mark_unobserved_since(self, at_s: float) -> None:
        """Record the time since which changes may be unobserved."""
        self._marked_s = self._clock()
        if self._unobserved_since_s is None:
            self._unobserved_since_s = at_s

    def note_response(
        self, sent_s: float, wait_s: float, is_list: bool
    ) -> None:
        """Record whether a response was delayed or was waited for."""
        took_s = self._clock() - sent_s
        if took_s > wait_s + LATENESS_TOLERANCE_S:
            self.mark_unobserved_since(sent_s)
            return
        if is_list or took_s <= LATENESS_TOLERANCE_S:
            return
        # The call waited, so no change was pending when it was sent.
        self.mark_observed(sent_s)

    def mark_observed(self, sent_s: float) -> None:
        """Record that the response to a call sent then was applied.

        A response that was delayed, or was read after a suspension, shows the
        state at the time it was sent. Changes that the next response returns
        at once were made since then; counted as just made, they let
        superseded weights be used for too long. So only the response to a
        call sent after the mark clears it.
        """
        if self._marked_s <= sent_s:
            self._unobserved_since_s = None
