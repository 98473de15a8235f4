"""Follow a collection of the platform's store and know how fresh it is."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random
from typing import Generic
from typing import TypeVar

from lacewing_common.backoff import Backoff
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.store import StoreError

from lacewing_daemon.direct._clock import boot_s
from lacewing_daemon.direct._metrics import ENTRIES_LEFT_OUT
from lacewing_daemon.direct._site import Changes
from lacewing_daemon.direct._site import Collection
from lacewing_daemon.direct._site import HistoryGone
from lacewing_daemon.direct._site import Listing

T = TypeVar('T')
OnChange = Callable[[str, T | None], None]

BACKOFF_BASE_S = 0.1
BACKOFF_CAP_S = 0.6
# The platform says that entries which lapsed during its outage are back
# within about 2 s of its return, if the upstream lives.
KEEP_LAPSED_S = 2.3
# Before a store drops its history, calls that wait for changes hear nothing
# of them for a second; then they are cut.
DEAF_S = 1.0

_log = get_log(Part.PLATFORM)


@dataclass(frozen=True)
class LastRead:
    """Hold how many bytes an answer had and how long its call took."""

    size: int
    took_s: float


class Followed(Generic[T]):
    """Hold the entries of one collection, kept up to date by a task.

    When the store is away, upstreams can't renew their entries either, and
    these lapse although the upstreams serve. Believing the first list after
    an outage would leave a router without upstreams; so an entry that is
    gone then is kept until all that live are back. Counted from the store's
    return and not from the removal: an upstream that leaves a while after
    an outage must not be kept any longer than in calm times.

    What was known of an entry that can't be read any more is kept, or with
    ``drop_unreadable`` dropped at once, as it no longer says so itself.
    """

    def __init__(
        self,
        name: str,
        collection: Collection[T],
        wait_s: float,
        random: Random,
        keep_lapsed: bool = False,
        gather_s: float = 0.0,
        deaf_s: float = DEAF_S,
        strict: bool = False,
        drop_unreadable: bool = False,
    ) -> None:
        self._drop_unreadable = drop_unreadable
        self._deaf_s = deaf_s
        self._strict = strict
        self._unread: set[str] = set()
        self._name = name
        self._collection = collection
        self._wait_s = wait_s
        self._backoff = Backoff(BACKOFF_BASE_S, BACKOFF_CAP_S, random)
        self._keep_lapsed = keep_lapsed
        self._gather_s = gather_s
        self._entries: dict[str, T] = {}
        self._lapsed: dict[str, asyncio.TimerHandle] = {}
        self._callbacks: list[OnChange[T]] = []
        self._revision: int | None = None
        self._last_revision = 0
        self._confirmed_s: float | None = None
        self._regained_s = float('-inf')
        self._lost = False
        self._read = LastRead(0, 0.0)

    @property
    def entries(self) -> Mapping[str, T]:
        """Return the entries as far as they are known."""
        return self._entries

    @property
    def read_once(self) -> bool:
        """Tell whether the collection has been read since the start."""
        return self._confirmed_s is not None

    @property
    def revision(self) -> int:
        """Return the store's revision that the entries are as of."""
        return self._last_revision

    @property
    def age_s(self) -> float:
        """Return for how long the entries have not been confirmed.

        What changed after the last confirmation may be missing.
        """
        if self._confirmed_s is None:
            return float('inf')
        return boot_s() - self._confirmed_s

    @property
    def last_read(self) -> LastRead:
        """Return what the last answer was, already as changes are told."""
        return self._read

    def on_change(self, callback: OnChange[T]) -> None:
        """Call back with the name and value (None: removed) of a change."""
        self._callbacks.append(callback)

    async def run(self) -> None:
        """Follow the collection until cancelled."""
        while True:
            sent_s = boot_s()
            answer = await self._next()
            if isinstance(answer, StoreError):
                self._failed(answer)
                await asyncio.sleep(self._backoff.next_s())
                continue
            self._backoff.reset()
            if isinstance(answer, HistoryGone):
                _log.info(
                    'Reads a collection anew.',
                    collection=self._name,
                    reason=answer.message,
                )
                self._revision = None
                continue
            self._regained()
            self._read = LastRead(answer.size, boot_s() - sent_s)
            self._take(answer)
            self.confirm(answer, sent_s)
            if isinstance(answer, Changes) and answer.changed:
                # Changes come in series; a call for each would cost several
                # times the calls that waiting makes.
                await asyncio.sleep(self._gather_s)

    def confirm(self, answer: Listing[T] | Changes[T], sent_s: float) -> None:
        """Note as of when all changes are known.

        A list holds all that was changed before it was asked for. A call
        for changes that returns empty has watched until its end, and the
        store told nothing meanwhile; it may have been deaf at the end.
        Counting from the sending alone would take what is known for older
        by the time that was waited, and refuse keys so much sooner. With
        ``strict``, nothing is known while there is an unreadable entry: a
        configuration that can't be read may take keys away.
        """
        if self._strict and self._unread:
            return
        confirmed_s = sent_s
        if isinstance(answer, Changes):
            confirmed_s -= self._deaf_s
            if not answer.changed and not answer.unreadable:
                # Not more than it can have watched: an answer may have been
                # long on its way, or have come before its time.
                confirmed_s += min(self._wait_s, boot_s() - sent_s)
        if self._confirmed_s is None or confirmed_s > self._confirmed_s:
            self._confirmed_s = confirmed_s

    async def _next(
        self,
    ) -> Listing[T] | Changes[T] | HistoryGone | StoreError:
        if self._revision is None:
            return await self._collection.read()
        return await self._collection.changes(self._revision, self._wait_s)

    def _take(self, answer: Listing[T] | Changes[T]) -> None:
        self._revision = answer.revision
        self._last_revision = answer.revision
        for name in answer.unreadable:
            # One entry that somebody wrote wrongly must not stop what
            # depends on the others.
            ENTRIES_LEFT_OUT.labels(self._name).inc()
            _log.error('Left an entry out.', collection=self._name, entry=name)
            if self._drop_unreadable and name in self._entries:
                self._drop(name)
        if isinstance(answer, Changes):
            for name, value in answer.changed:
                self._unread.discard(name)
                self._set(name, value)
            self._unread.update(answer.unreadable)
            return
        self._unread = set(answer.unreadable)
        for name in list(self._entries):
            if name in answer.entries or name in answer.unreadable:
                continue
            self._set(name, None)
        for name, value in answer.entries.items():
            self._set(name, value)

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
        keep_s = self._regained_s + KEEP_LAPSED_S - boot_s()
        if self._keep_lapsed and keep_s > 0:
            loop = asyncio.get_running_loop()
            self._lapsed[name] = loop.call_later(keep_s, self._drop, name)
            return
        self._drop(name)

    def _drop(self, name: str) -> None:
        timer = self._lapsed.pop(name, None)
        if timer is not None:
            timer.cancel()
        self._entries.pop(name, None)
        self._tell(name, None)

    def _tell(self, name: str, value: T | None) -> None:
        for callback in self._callbacks:
            callback(name, value)

    def _failed(self, error: StoreError) -> None:
        # The next call reads anew: a waiting call confirms nothing for long,
        # and one that failed may have been deaf before.
        self._revision = None
        if self._lost:
            return
        self._lost = True
        _log.warning(
            'Lost a collection.',
            collection=self._name,
            fault=error.fault.value,
            reason=error.message,
            received=error.received,
            revision=self.revision,
        )

    def _regained(self) -> None:
        if not self._lost:
            return
        self._lost = False
        self._regained_s = boot_s()
        _log.info(
            'Follows a collection again.',
            collection=self._name,
            age_s=round(self.age_s, 2),
        )
