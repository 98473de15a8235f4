"""Track the store era: the store starts a new one when it loses writes."""

from collections.abc import Callable

from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.background import call_back
from lacewing_daemon.direct._metrics import STORE_ERA

_log = get_log(Part.PLATFORM)


class StoreEras:
    """Hold the latest era that any response of the store reported.

    A store that was restored from an older snapshot has lost later writes and
    assigns the same revisions again, so a revision is valid only in the era
    in which it was read. All watchers of the store share this object: a
    response to one of them invalidates the revisions of all.
    """

    def __init__(self) -> None:
        self._current = 0
        self._callbacks: list[Callable[[], None]] = []

    @property
    def current(self) -> int:
        """Return the latest era, 0 before any is reported."""
        return self._current

    def on_restore(self, callback: Callable[[], None]) -> None:
        """Register a callback for a restore of the store."""
        self._callbacks.append(callback)

    def observe(self, era: int) -> None:
        """Record the era of a response; 0 and earlier eras are ignored."""
        if era <= self._current:
            return
        previous = self._current
        self._current = era
        STORE_ERA.set(era)
        if previous == 0:
            return
        _log.warning(
            'The store has returned from a copy.', era=era, before=previous
        )
        for callback in self._callbacks:
            call_back('store restore', callback)
