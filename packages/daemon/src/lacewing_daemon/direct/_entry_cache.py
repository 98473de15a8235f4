"""Cache the entries of one collection as the store reported them."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Generic
from typing import TypeVar

from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.background import call_back
from lacewing_daemon.direct._metrics import ENTRIES_SKIPPED
from lacewing_daemon.direct._restored_entries import RestoredEntries

T = TypeVar('T')
OnChange = Callable[[str, T | None], None]

# The platform states that entries which lapsed during its outage are written
# again within about 2 s of its recovery, if the upstream is alive.
RETAIN_LAPSED_S = 2.3

_log = get_log(Part.PLATFORM)


class EntryCache(Generic[T]):
    """Hold entries by name and call back on each change.

    While the store is unavailable, upstreams can't renew their entries, so
    these lapse although the upstreams still serve. Applying the first list
    after an outage would leave a router without upstreams. With
    ``retain_lapsed``, an entry that is missing then is kept until all live
    upstreams have had time to write theirs again. The time counts from the
    reconnection and not from the removal: an upstream that leaves some time
    after an outage must be dropped as quickly as at any other time.

    The last readable value of an entry that can't be read any more is kept,
    or with ``drop_unreadable`` dropped at once, because the entry itself no
    longer confirms that value.

    A callback that fails affects its entry only, which then counts as not
    applied, and all callbacks are called for it again later.
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
        self._restored_entries = restored_entries
        self._clock = clock
        self._retain_lapsed = retain_lapsed
        self._drop_unreadable = drop_unreadable
        self._entries: dict[str, T] = {}
        self._lapse_timers: dict[str, asyncio.TimerHandle] = {}
        self._callbacks: list[OnChange[T]] = []
        self._unreadable: set[str] = set()
        self._unapplied: set[str] = set()
        self._reconnected_s = float('-inf')

    @property
    def entries(self) -> Mapping[str, T]:
        """Return the known entries by name."""
        return self._entries

    @property
    def any_unreadable(self) -> bool:
        """Return whether any entry can't be read."""
        return bool(self._unreadable)

    @property
    def any_unverified(self) -> bool:
        """Return whether any entry was restored to an earlier value."""
        return self._restored_entries.any_unverified

    @property
    def any_unapplied(self) -> bool:
        """Return whether a callback failed for any entry."""
        return bool(self._unapplied)

    def on_change(self, callback: OnChange[T]) -> None:
        """Register a callback for the name and value (None: removed)."""
        self._callbacks.append(callback)

    def note_reconnected(self) -> None:
        """Record that the store responds again after an outage."""
        self._reconnected_s = self._clock()

    def apply_changes(
        self,
        changed: Iterable[tuple[str, T | None]],
        unreadable: tuple[str, ...],
    ) -> None:
        """Apply changes in order."""
        for name, value in changed:
            self._unreadable.discard(name)
            self._restored_entries.mark_verified(name)
            self._set(name, value)
        self._unreadable.update(unreadable)
        self._skip_unreadable(unreadable)

    def apply_snapshot(
        self,
        listed: Mapping[str, T],
        unreadable: tuple[str, ...],
        restored: bool,
    ) -> None:
        """Apply a whole list; ``restored``: the first one of an era."""
        self._unreadable = set(unreadable)
        if restored:
            self._restored_entries.start_era(
                listed, self._entries, self._clock()
            )
        self._restored_entries.discard_missing(listed)
        for name in list(self._entries):
            if name in listed or name in unreadable:
                continue
            self._set(name, None)
        for name, value in listed.items():
            if self._restored_entries.is_unverified(name, value):
                continue
            self._restored_entries.mark_verified(name)
            self._set(name, value)
        self._skip_unreadable(unreadable)

    def accept_expired(self) -> None:
        """Apply restored entries that stayed unverified until the timeout."""
        for name, value in self._restored_entries.pop_expired(
            self._clock()
        ).items():
            self._set(name, value)

    def apply_again(self) -> None:
        """Call back for the entries for which a callback failed."""
        for name in tuple(self._unapplied):
            self._notify(name, self._entries.get(name))

    def _skip_unreadable(self, unreadable: tuple[str, ...]) -> None:
        for name in unreadable:
            # One malformed entry must not affect what depends on the other
            # entries.
            ENTRIES_SKIPPED.labels(self._collection).inc()
            _log.error(
                'Left an entry out.', collection=self._collection, entry=name
            )
            if self._drop_unreadable and name in self._entries:
                self._drop(name)

    def _set(self, name: str, value: T | None) -> None:
        timer = self._lapse_timers.pop(name, None)
        if timer is not None:
            timer.cancel()
        if value is not None:
            if self._entries.get(name) == value:
                return
            self._entries[name] = value
            self._notify(name, value)
            return
        if name not in self._entries:
            return
        retain_s = self._reconnected_s + RETAIN_LAPSED_S - self._clock()
        if self._retain_lapsed and retain_s > 0:
            loop = asyncio.get_running_loop()
            self._lapse_timers[name] = loop.call_later(
                retain_s, self._drop, name
            )
            return
        self._drop(name)

    def _drop(self, name: str) -> None:
        timer = self._lapse_timers.pop(name, None)
        if timer is not None:
            timer.cancel()
        value = self._entries.pop(name, None)
        if value is not None:
            self._restored_entries.record_removed(name, value)
        self._notify(name, None)

    def _notify(self, name: str, value: T | None) -> None:
        self._unapplied.discard(name)
        for callback in self._callbacks:
            if not call_back(
                f'{self._collection} change', callback, name, value
            ):
                self._unapplied.add(name)
