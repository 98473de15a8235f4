"""Check the entries of a store that was restored from a snapshot."""

from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Generic
from typing import TypeVar

T = TypeVar('T')
IsOlder = Callable[[T, T], bool]

# How many removed entries to remember. A snapshot is some seconds old, and at
# most some tens of entries are removed in that time.
MAX_REMOVED_ENTRIES = 256


@dataclass(frozen=True)
class _UnverifiedEntry(Generic[T]):
    """Hold a value that is not accepted and until when."""

    value: T
    expires_s: float


class RestoredEntries(Generic[T]):
    """Find restored entries that are older than their known values.

    A snapshot contains upstreams that were removed since, and configurations
    with keys that were revoked since. Applied as they are, they would be used
    again. Their writers write them again; until then the known values stay.

    ``is_older(value, known)`` returns whether a value precedes the known one.
    An entry that still has its restored value after ``unverified_timeout_s``
    is accepted: its writer is alive, or the entry would have lapsed.
    """

    def __init__(
        self, is_older: IsOlder[T], unverified_timeout_s: float
    ) -> None:
        self._is_older = is_older
        self._unverified_timeout_s = unverified_timeout_s
        self._removed: OrderedDict[str, T] = OrderedDict()
        self._unverified: dict[str, _UnverifiedEntry[T]] = {}

    @property
    def any_unverified(self) -> bool:
        """Return whether any entry has not been written again yet."""
        return bool(self._unverified)

    def record_removed(self, name: str, value: T) -> None:
        """Remember an entry that was removed."""
        self._removed[name] = value
        self._removed.move_to_end(name)
        if len(self._removed) > MAX_REMOVED_ENTRIES:
            self._removed.popitem(last=False)

    def start_era(
        self, listed: Mapping[str, T], known: Mapping[str, T], now_s: float
    ) -> None:
        """Compare the first list of an era with the known entries."""
        self._unverified.clear()
        for name, value in listed.items():
            if self._is_outdated(name, value, known.get(name)):
                self._unverified[name] = _UnverifiedEntry(
                    value, now_s + self._unverified_timeout_s
                )

    def is_unverified(self, name: str, value: T) -> bool:
        """Return whether a listed value is not accepted yet."""
        entry = self._unverified.get(name)
        return entry is not None and entry.value == value

    def mark_verified(self, name: str) -> None:
        """Record that an entry was written or removed in this era."""
        self._unverified.pop(name, None)

    def discard_missing(self, listed: Mapping[str, T]) -> None:
        """Forget unverified entries that a later list no longer contains."""
        for name in list(self._unverified):
            if name not in listed:
                del self._unverified[name]

    def pop_expired(self, now_s: float) -> dict[str, T]:
        """Remove and return the entries whose timeout has expired."""
        accepted = {}
        for name, entry in list(self._unverified.items()):
            if entry.expires_s <= now_s:
                accepted[name] = entry.value
                del self._unverified[name]
        return accepted

    def _is_outdated(self, name: str, value: T, known: T | None) -> bool:
        if known is not None:
            return value != known and self._is_older(value, known)
        removed = self._removed.get(name)
        if removed is None:
            return False
        return value == removed or self._is_older(value, removed)
