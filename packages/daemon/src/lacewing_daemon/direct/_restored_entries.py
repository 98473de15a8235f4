"""Judge the entries that a store returned with from an older copy."""

from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Generic
from typing import TypeVar

T = TypeVar('T')
IsOlder = Callable[[T, T], bool]

# Entries that were removed are remembered up to this number; a copy is some
# seconds old, and at most some tens go in that time.
REMOVED_KEPT = 256


@dataclass(frozen=True)
class _Doubtful(Generic[T]):
    """Hold a value that is not believed and until when."""

    value: T
    until_s: float


class RestoredEntries(Generic[T]):
    """Tell which entries of a copy are older than what is known of them.

    A copy holds upstreams that have gone since, and configurations with keys
    that were taken away since. Believed, they would be used again. Their
    writers write them again; until then what is known goes on.

    ``is_older(value, known)`` tells whether a value comes before a known one.
    An entry that is still as in the copy after ``unverified_timeout_s`` is
    believed: its writer lives, or it would have lapsed.
    """

    def __init__(
        self, is_older: IsOlder[T], unverified_timeout_s: float
    ) -> None:
        self._is_older = is_older
        self._doubt_s = unverified_timeout_s
        self._removed: OrderedDict[str, T] = OrderedDict()
        self._doubtful: dict[str, _Doubtful[T]] = {}

    @property
    def any_unverified(self) -> bool:
        """Tell whether an entry has not been written again yet."""
        return bool(self._doubtful)

    def record_removed(self, name: str, value: T) -> None:
        """Remember an entry that was removed."""
        self._removed[name] = value
        self._removed.move_to_end(name)
        if len(self._removed) > REMOVED_KEPT:
            self._removed.popitem(last=False)

    def start_era(
        self, listed: Mapping[str, T], known: Mapping[str, T], now_s: float
    ) -> None:
        """Take the first list of an era."""
        self._doubtful.clear()
        for name, value in listed.items():
            if self._doubts(name, value, known.get(name)):
                self._doubtful[name] = _Doubtful(value, now_s + self._doubt_s)

    def is_unverified(self, name: str, value: T) -> bool:
        """Tell whether a listed value is one that is not believed."""
        held = self._doubtful.get(name)
        return held is not None and held.value == value

    def mark_verified(self, name: str) -> None:
        """Note that an entry was written or removed in this era."""
        self._doubtful.pop(name, None)

    def discard_missing(self, listed: Mapping[str, T]) -> None:
        """Note which entries a later list of the era still holds."""
        for name in list(self._doubtful):
            if name not in listed:
                del self._doubtful[name]

    def pop_expired(self, now_s: float) -> dict[str, T]:
        """Return, once, the entries that have been doubted long enough."""
        believed = {}
        for name, held in list(self._doubtful.items()):
            if held.until_s <= now_s:
                believed[name] = held.value
                del self._doubtful[name]
        return believed

    def _doubts(self, name: str, value: T, known: T | None) -> bool:
        if known is not None:
            return value != known and self._is_older(value, known)
        removed = self._removed.get(name)
        if removed is None:
            return False
        return value == removed or self._is_older(value, removed)
