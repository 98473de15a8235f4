"""Know in which era the store is: it begins one when it loses changes."""

from collections.abc import Callable

from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.direct._metrics import STORE_ERA

_log = get_log(Part.PLATFORM)


class StoreEras:
    """Hold the newest era that any answer of the store told.

    A store that returns from an older copy has lost what was written since.
    It gives the same revisions out again, so a revision means nothing in
    another era than that in which it was read. All that follow the store
    share this: an answer to one of them puts the others' revisions in doubt.
    """

    def __init__(self) -> None:
        self._current = 0
        self._callbacks: list[Callable[[], None]] = []

    @property
    def current(self) -> int:
        """Return the newest era, 0 while none is told."""
        return self._current

    def on_restore(self, callback: Callable[[], None]) -> None:
        """Call back when the store has returned from a copy."""
        self._callbacks.append(callback)

    def observe(self, era: int) -> None:
        """Take the era that an answer told; 0 and older ones say nothing."""
        if era <= self._current:
            return
        before = self._current
        self._current = era
        STORE_ERA.set(era)
        if before == 0:
            return
        _log.warning(
            'The store has returned from a copy.', era=era, before=before
        )
        for callback in self._callbacks:
            callback()
