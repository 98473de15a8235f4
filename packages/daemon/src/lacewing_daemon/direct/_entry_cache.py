"""Hold the entries of one collection as they were told."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Generic
from typing import TypeVar

from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.direct._metrics import ENTRIES_SKIPPED
from lacewing_daemon.direct._restored_entries import RestoredEntries

T = TypeVar('T')
OnChange = Callable[[str, T | None], None]

# The platform says that entries which lapsed during its outage are back
# within about 2 s of its return, if the upstream lives.
KEEP_LAPSED_S = 2.3

_log = get_log(Part.PLATFORM)


class EntryCache(Generic[T]):
    """Hold entries by name, and tell of each change.

    When the store is away, upstreams can't renew their entries either, and
    these lapse although the upstreams serve. Believing the first list after
    an outage would leave a router without upstreams; so with ``retain_lapsed``
    an entry that is gone then is kept until all that live are back. Counted
    from the store's return and not from the removal: an upstream that leaves
    a while after an outage must not be kept any longer than in calm times.

    What was known of an entry that can't be read any more is kept, or with
    ``drop_unreadable`` dropped at once, as it no longer says so itself.
    """

    def __init__(
        self,
        collection: str,
        restored_entries: RestoredEntries[T],
        clock: Callable[[], float],
        retain_lapsed: bool,
        drop_unreadable: bool,
    ) -> None:
        self._collection = collection
        self._copied = restored_entries
        self._clock = clock
        self._keep_lapsed = retain_lapsed
        self._drop_unreadable = drop_unreadable
        self._entries: dict[str, T] = {}
        self._lapsed: dict[str, asyncio.TimerHandle] = {}
        self._callbacks: list[OnChange[T]] = []
        self._unreadable: set[str] = set()
        self._back_s = float('-inf')

    @property
    def entries(self) -> Mapping[str, T]:
        """Return the entries as far as they are known."""
        return self._entries

    @property
    def any_unreadable(self) -> bool:
        """Tell whether an entry is there that can't be read."""
        return bool(self._unreadable)

    @property
    def any_unverified(self) -> bool:
        """Tell whether an entry came back older than it is known."""
        return self._copied.any_unverified

    def on_change(self, callback: OnChange[T]) -> None:
        """Call back with the name and value (None: removed) of a change."""
        self._callbacks.append(callback)

    def note_reconnected(self) -> None:
        """Note that the store is back after it was away."""
        self._back_s = self._clock()

    def apply_changes(
        self,
        changed: Iterable[tuple[str, T | None]],
        unreadable: tuple[str, ...],
    ) -> None:
        """Take what changed, in its order."""
        for name, value in changed:
            self._unreadable.discard(name)
            self._copied.mark_verified(name)
            self._set(name, value)
        self._unreadable.update(unreadable)
        self._leave_out(unreadable)

    def apply_snapshot(
        self,
        listed: Mapping[str, T],
        unreadable: tuple[str, ...],
        restored: bool,
    ) -> None:
        """Take all entries; ``restored``: the first list of an era."""
        self._unreadable = set(unreadable)
        if restored:
            self._copied.start_era(listed, self._entries, self._clock())
        self._copied.discard_missing(listed)
        for name in list(self._entries):
            if name in listed or name in unreadable:
                continue
            self._set(name, None)
        for name, value in listed.items():
            if self._copied.is_unverified(name, value):
                continue
            self._copied.mark_verified(name)
            self._set(name, value)
        self._leave_out(unreadable)

    def accept_expired(self) -> None:
        """Take entries of a copy that have been doubted long enough."""
        for name, value in self._copied.pop_expired(self._clock()).items():
            self._set(name, value)

    def _leave_out(self, unreadable: tuple[str, ...]) -> None:
        for name in unreadable:
            # One entry that somebody wrote wrongly must not stop what
            # depends on the others.
            ENTRIES_SKIPPED.labels(self._collection).inc()
            _log.error(
                'Left an entry out.', collection=self._collection, entry=name
            )
            if self._drop_unreadable and name in self._entries:
                self._drop(name)

    def _set(self, name: str, value: T | None) -> None:
        timer = self._lapsed.pop(name, None)
        if timer is not None:
            timer.cancel()
        if value is not None:
            if self._entries.get(name) == value:
                return
            self._entries[name] = value
            self._tell(name, value)
            return
        if name not in self._entries:
            return
        keep_s = self._back_s + KEEP_LAPSED_S - self._clock()
        if self._keep_lapsed and keep_s > 0:
            loop = asyncio.get_running_loop()
            self._lapsed[name] = loop.call_later(keep_s, self._drop, name)
            return
        self._drop(name)

    def _drop(self, name: str) -> None:
        timer = self._lapsed.pop(name, None)
        if timer is not None:
            timer.cancel()
        value = self._entries.pop(name, None)
        if value is not None:
            self._copied.record_removed(name, value)
        self._tell(name, None)

    def _tell(self, name: str, value: T | None) -> None:
        for callback in self._callbacks:
            callback(name, value)
