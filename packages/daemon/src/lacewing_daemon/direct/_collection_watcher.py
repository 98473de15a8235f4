"""Follow a collection of the platform's store and know how fresh it is."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random
from typing import Any
from typing import Generic
from typing import TypeVar

from lacewing_common.backoff import Backoff
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault

from lacewing_daemon.direct._change_age import ChangeAge
from lacewing_daemon.direct._change_age import LATENESS_TOLERANCE_S
from lacewing_daemon.direct._clock import boot_s
from lacewing_daemon.direct._entry_cache import EntryCache
from lacewing_daemon.direct._entry_cache import OnChange
from lacewing_daemon.direct._observed_revisions import ObservedRevisions
from lacewing_daemon.direct._observed_revisions import WATCH_GAP_S
from lacewing_daemon.direct._restored_entries import IsOlder
from lacewing_daemon.direct._restored_entries import RestoredEntries
from lacewing_daemon.direct._site import Changes
from lacewing_daemon.direct._site import Collection
from lacewing_daemon.direct._site import HistoryExpired
from lacewing_daemon.direct._site import Listing
from lacewing_daemon.direct._store_calls import CallReason
from lacewing_daemon.direct._store_calls import StoreCallCounter
from lacewing_daemon.direct._store_eras import StoreEras

T = TypeVar('T')

BACKOFF_BASE_S = 0.1
BACKOFF_CAP_S = 0.6
# The part of the time for which entries are believed within which they are
# confirmed anew; the rest is left to the way of calls to a slow store.
CONFIRM_FRACTION = 0.8
# A call waits no shorter than this for the sake of a large answer that may
# follow, as each call has its price; at most three a second.
LEAST_WAIT_S = 0.3
# How often it is looked, while a call waits, whether the process stood still
# or the store has returned from a copy.
BEAT_S = 0.5
# What was lost with a copy is written again within about this time, as the
# platform says of entries that lapsed.
REWRITTEN_S = 2.0
# While another collection is lost too and asks for the store, this one tries
# only so often by itself: the other may be lost for a reason of its own.
GUIDED_S = 1.5
# After these faults the store is asked for changes again; any other may lie
# in the answer, and would come back with it.
_PASSING = (StoreFault.UNAVAILABLE, StoreFault.RATE_LIMITED)

_log = get_log(Part.PLATFORM)


@dataclass(frozen=True)
class ResponseStats:
    """Hold how many bytes an answer had and in which time they came."""

    size: int
    took_s: float


class CollectionWatcher(Generic[T]):
    """Keep the entries of one collection up to date by a task.

    After a failed call, changes since a known revision are asked for, and
    not the whole collection: on a narrow link reading it anew takes seconds,
    fills the link and may fail again.

    ``reconnect_leader`` is another collection of the same store. While both
    are lost, it alone looks for the store. Each trying by itself, three
    collections made 38 calls in 4 s to a store that turns them away; with a
    guide, 17.
    """

    def __init__(
        self,
        name: str,
        collection: Collection[T],
        wait_s: float,
        random: Random,
        retain_lapsed: bool = False,
        batch_delay_s: float = 0.0,
        watch_gap_s: float = WATCH_GAP_S,
        strict: bool = False,
        drop_unreadable: bool = False,
        max_unconfirmed_s: float = float('inf'),
        clock: Callable[[], float] = boot_s,
        calls: StoreCallCounter | None = None,
        reconnect_leader: 'CollectionWatcher[Any] | None' = None,
        eras: StoreEras | None = None,
        is_older: IsOlder[T] | None = None,
        restored_timeout_s: float = float('inf'),
    ) -> None:
        self._guide = reconnect_leader
        self._found = asyncio.Event()
        self._calls = calls or StoreCallCounter()
        self._eras = eras or StoreEras()
        self._doubted_s = max_unconfirmed_s
        self._clock = clock
        self._deaf_s = watch_gap_s
        self._strict = strict
        self._name = name
        self._collection = collection
        self._wait_s = wait_s
        self._backoff = Backoff(BACKOFF_BASE_S, BACKOFF_CAP_S, random)
        self._gather_s = batch_delay_s
        self._held: EntryCache[T] = EntryCache(
            name,
            RestoredEntries(is_older or _never_older, restored_timeout_s),
            clock,
            retain_lapsed,
            drop_unreadable,
        )
        self._revision: int | None = None
        self._era: int | None = None
        self._told = ObservedRevisions()
        self._last_revision = 0
        self._confirmed_s: float | None = None
        self._confirms_from_s = float('-inf')
        self._age = ChangeAge(clock)
        self._lost = False
        self._rewound = False
        self._read = ResponseStats(0, 0.0)
        self._last_took_s = 0.0
        self._last_changed = False

    @property
    def entries(self) -> Mapping[str, T]:
        """Return the entries as far as they are known."""
        return self._held.entries

    @property
    def has_loaded(self) -> bool:
        """Tell whether the collection has been read since the start."""
        return self._confirmed_s is not None

    @property
    def revision(self) -> int:
        """Return the store's revision that the entries are as of."""
        return self._last_revision

    @property
    def disconnected(self) -> bool:
        """Tell whether the last call failed."""
        return self._lost

    @property
    def age_s(self) -> float:
        """Return for how long the entries have not been confirmed.

        What changed after the last confirmation may be missing.
        """
        if self._confirmed_s is None:
            return float('inf')
        return self._clock() - self._confirmed_s

    @property
    def last_response(self) -> ResponseStats:
        """Return what the last answer was, already as changes are told."""
        return self._read

    @property
    def max_change_age_s(self) -> float:
        """Return how long ago a change that is told now may have been made."""
        return self._age.max_age_s

    def on_change(self, callback: OnChange[T]) -> None:
        """Call back with the name and value (None: removed) of a change."""
        self._held.on_change(callback)

    async def run(self) -> None:
        """Follow the collection until cancelled."""
        while True:
            await self._rest(await self.step())

    async def step(self) -> float:
        """Make one call; return the time until the next one, in seconds."""
        self._held.accept_expired()
        if self._era_passed:
            self._revision = None
        self._calls.count(self._name, self._reason())
        wait_s = self._next_wait_s()
        sent_s = self._clock()
        answer = await self._watched(wait_s)
        self._last_changed = isinstance(answer, Changes) and bool(
            answer.changed
        )
        if answer is None:
            return 0.0
        self._eras.observe(answer.era)
        if isinstance(answer, StoreError):
            self._failed(answer, sent_s)
            return self._backoff.next_s()
        if self._of_other_era(answer):
            self._revision = None
            return self._backoff.next_s()
        self._backoff.reset()
        if isinstance(answer, HistoryExpired):
            _log.info(
                'Reads a collection anew.',
                collection=self._name,
                reason=answer.message,
            )
            self._age.mark_unobserved_since(self._clock() - self._deaf_s)
            self._revision = None
            return 0.0
        self._regained()
        self._read = ResponseStats(answer.size, answer.took_s)
        self._age.note_response(sent_s, wait_s, isinstance(answer, Listing))
        self._take(answer)
        self._age.mark_observed(sent_s)
        self.confirm(answer, sent_s, wait_s)
        if isinstance(answer, Listing):
            self._last_took_s = answer.took_s
        elif answer.changed:
            # Changes come in series; a call for each would cost several
            # times the calls that waiting makes.
            self._last_took_s = answer.took_s
            return self._gather_s
        return 0.0

    def confirm(
        self,
        answer: Listing[T] | Changes[T],
        sent_s: float,
        wait_s: float | None = None,
    ) -> None:
        """Note as of when all changes are known.

        A list holds all that was changed before it was asked for. A call
        for changes that returns empty has watched until its end, and the
        store told nothing meanwhile; it may have been deaf at the end.
        Counting from the sending alone would take what is known for older
        by the time that was waited, and refuse keys so much sooner. With
        ``strict``, nothing is known while there is an unreadable entry: a
        configuration that can't be read may take keys away. Nor is it while
        the store, back from a copy, lacks what may not be written again yet.
        """
        if self._strict and self._unconfirmable:
            return
        if sent_s < self._confirms_from_s:
            return
        if wait_s is None:
            wait_s = self._wait_s
        confirmed_s = sent_s
        if isinstance(answer, Changes):
            confirmed_s -= self._deaf_s
            if not answer.changed and not answer.unreadable:
                # Not more than it can have watched: an answer may have been
                # long on its way, or have come before its time.
                confirmed_s += min(wait_s, self._clock() - sent_s)
        if self._confirmed_s is None or confirmed_s > self._confirmed_s:
            self._confirmed_s = confirmed_s

    async def _rest(self, pause_s: float) -> None:
        """Sleep, or until the guide has found the store again."""
        guide = self._guide
        if not self._lost or guide is None or not guide.disconnected:
            await asyncio.sleep(pause_s)
            return
        await guide.wait_reconnected(GUIDED_S + pause_s)

    async def wait_reconnected(self, timeout_s: float) -> None:
        """Wait until a call succeeds after one that failed."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._found.wait()
        except TimeoutError:
            return

    def _next_wait_s(self) -> float:
        """Return how long the next call waits for changes.

        What is known grows older while a call waits and while its answer
        arrives. An answer that fills the link for seconds, followed by
        another one, would leave entries unconfirmed for too long although
        the store answers; so there is room for two such answers, and none
        for waiting when what is known is old already.
        """
        if self._lost:
            return 0.0
        unwritten_s = self._confirms_from_s - self._clock()
        if unwritten_s > 0:
            return min(self._wait_s, unwritten_s)
        if self._strict and self._unconfirmable:
            # No answer makes it fresher before the entry changes; calls
            # that don't wait would only load the store.
            return self._wait_s
        if self._confirmed_s is None or self._doubted_s == float('inf'):
            return self._wait_s
        age_s = self.age_s
        room_s = self._doubted_s - age_s - self._gather_s
        room_s -= 2 * self._last_took_s
        fresh_s = self._doubted_s * CONFIRM_FRACTION - age_s
        return max(0.0, min(self._wait_s, max(room_s, LEAST_WAIT_S), fresh_s))

    @property
    def _unconfirmable(self) -> bool:
        return self._held.any_unreadable or self._held.any_unverified

    @property
    def _era_passed(self) -> bool:
        """Tell whether the store began an era after what is known."""
        if self._era is None:
            return False
        return self._eras.current not in (0, self._era)

    def _of_other_era(
        self, answer: Listing[T] | Changes[T] | HistoryExpired
    ) -> bool:
        """Tell whether an answer can't be joined to what is known.

        A list that was long on its way may be of an era that has ended, and
        changes are told since a revision of one era only.
        """
        if not answer.era:
            return False
        if isinstance(answer, Changes):
            return answer.era != self._era
        return answer.era < self._eras.current

    def _reason(self) -> CallReason:
        if self._revision is None:
            return CallReason.READ
        if self._lost:
            return CallReason.FAILURE
        if self._last_changed:
            return CallReason.CHANGE
        return CallReason.NO_CHANGE

    async def _watched(
        self, wait_s: float
    ) -> Listing[T] | Changes[T] | HistoryExpired | StoreError | None:
        """Make the next call; note if the process stood still meanwhile.

        After a pause an answer that has waited is read as if it had just
        come, and what it tells would count as just made. A call for changes
        is given up (None) once the store has returned from a copy: what was
        lost need not show in it.
        """
        call = asyncio.ensure_future(self._next(wait_s))
        try:
            while not call.done():
                looked_s = self._clock()
                await asyncio.wait((call,), timeout=BEAT_S)
                if self._clock() - looked_s > BEAT_S + LATENESS_TOLERANCE_S:
                    self._age.mark_unobserved_since(looked_s)
                if self._revision is not None and self._era_passed:
                    return call.result() if call.done() else None
        finally:
            call.cancel()
        return call.result()

    async def _next(
        self, wait_s: float
    ) -> Listing[T] | Changes[T] | HistoryExpired | StoreError:
        if self._revision is None:
            return await self._collection.read()
        return await self._collection.changes(self._revision, wait_s)

    def _take(self, answer: Listing[T] | Changes[T]) -> None:
        self._revision = answer.revision
        self._last_revision = answer.revision
        if isinstance(answer, Changes):
            self._told.observe(answer.revision, self._clock())
            self._held.apply_changes(self._new(answer), answer.unreadable)
            self._rewound = False
            return
        self._told.reset(answer.revision, self._clock())
        era = answer.era or self._eras.current
        from_copy = self._era is not None and era != self._era
        if from_copy:
            self._begin_era()
        self._era = era
        self._held.apply_snapshot(answer.entries, answer.unreadable, from_copy)
        self._rewound = False

    def _begin_era(self) -> None:
        """Doubt what the store tells until what it lost is written again."""
        self._held.note_reconnected()
        if self._confirmed_s is not None:
            self._age.mark_unobserved_since(self._confirmed_s)
        if self._strict:
            self._confirms_from_s = self._clock() + REWRITTEN_S

    def _new(self, answer: Changes[T]) -> Iterable[tuple[str, T | None]]:
        """Return the changes to take, in their order.

        After a failed call some are told again. An entry that changed and
        was removed then would be added and, as its removal is believed late
        after an outage, be used again though it is gone. Only what comes of
        each entry counts.
        """
        if not self._rewound:
            return answer.changed
        return dict(answer.changed).items()

    def _failed(self, error: StoreError, sent_s: float) -> None:
        # A second answer that is cut in its middle may hold more changes
        # than the whole collection is large.
        again = self._lost and error.received > 0
        self._revision = None
        if error.fault in _PASSING and not again:
            self._told.discard_unreliable(sent_s)
            self._revision = self._told.last_reliable()
            self._rewound = True
        if self._confirmed_s is not None:
            self._age.mark_unobserved_since(self._confirmed_s)
        if self._lost:
            return
        self._lost = True
        self._found.clear()
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
        self._found.set()
        self._held.note_reconnected()
        _log.info(
            'Follows a collection again.',
            collection=self._name,
            age_s=round(self.age_s, 2),
        )


def _never_older(_value: object, _known: object) -> bool:
    return False
