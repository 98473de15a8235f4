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

from lacewing_daemon.direct._clock import boot_s
from lacewing_daemon.direct._metrics import ENTRIES_LEFT_OUT
from lacewing_daemon.direct._site import Changes
from lacewing_daemon.direct._site import Collection
from lacewing_daemon.direct._site import HistoryGone
from lacewing_daemon.direct._site import Listing
from lacewing_daemon.direct._store_calls import CallReason
from lacewing_daemon.direct._store_calls import StoreCalls
from lacewing_daemon.direct._told_revisions import DEAF_S
from lacewing_daemon.direct._told_revisions import ToldRevisions

T = TypeVar('T')
OnChange = Callable[[str, T | None], None]

BACKOFF_BASE_S = 0.1
BACKOFF_CAP_S = 0.6
# The platform says that entries which lapsed during its outage are back
# within about 2 s of its return, if the upstream lives.
KEEP_LAPSED_S = 2.3
# The part of the time for which entries are believed within which they are
# confirmed anew; the rest is left to the way of calls to a slow store.
CONFIRM_PART = 0.8
# A call waits no shorter than this for the sake of a large answer that may
# follow, as each call has its price; at most three a second.
LEAST_WAIT_S = 0.3
# How often it is looked, while a call waits, whether the process stood still,
# and by how much a look or an answer may be late on a busy VM.
BEAT_S = 0.5
LATE_S = 0.5
# While another collection is lost too and asks for the store, this one tries
# only so often by itself: the other may be lost for a reason of its own.
GUIDED_S = 1.5
# After these faults the store is asked for changes again; any other may lie
# in the answer, and would come back with it.
_PASSING = (StoreFault.UNAVAILABLE, StoreFault.RATE_LIMITED)

_log = get_log(Part.PLATFORM)


@dataclass(frozen=True)
class LastRead:
    """Hold how many bytes an answer had and in which time they came."""

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

    After a failed call, changes since a known revision are asked for, and
    not the whole collection: on a narrow link reading it anew takes seconds,
    fills the link and may fail again.

    ``guide`` is another collection of the same store. While both are lost,
    it alone looks for the store. Each trying by itself, three collections
    made 38 calls in 4 s to a store that turns them away; with a guide, 17.
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
        doubted_s: float = float('inf'),
        clock: Callable[[], float] = boot_s,
        calls: StoreCalls | None = None,
        guide: 'Followed[Any] | None' = None,
    ) -> None:
        self._guide = guide
        self._found = asyncio.Event()
        self._calls = calls or StoreCalls()
        self._drop_unreadable = drop_unreadable
        self._doubted_s = doubted_s
        self._clock = clock
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
        self._told = ToldRevisions()
        self._last_revision = 0
        self._confirmed_s: float | None = None
        self._unheard_from_s: float | None = float('-inf')
        self._noted_s = float('-inf')
        self._regained_s = float('-inf')
        self._lost = False
        self._rewound = False
        self._read = LastRead(0, 0.0)
        self._last_took_s = 0.0
        self._last_changed = False

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
    def lost(self) -> bool:
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
    def last_read(self) -> LastRead:
        """Return what the last answer was, already as changes are told."""
        return self._read

    @property
    def unsure_s(self) -> float:
        """Return how long ago a change that is told now may have been made.

        One that was waited for has just been made, unless the process stood
        still meanwhile or the answer was long on its way. One found in a
        list was made at some time since the last confirmation.
        """
        if self._unheard_from_s is None:
            return 0.0
        return self._clock() - self._unheard_from_s

    def on_change(self, callback: OnChange[T]) -> None:
        """Call back with the name and value (None: removed) of a change."""
        self._callbacks.append(callback)

    async def run(self) -> None:
        """Follow the collection until cancelled."""
        while True:
            await self._rest(await self.step())

    async def step(self) -> float:
        """Make one call; return the time until the next one, in seconds."""
        self._calls.note(self._name, self._reason())
        wait_s = self._next_wait_s()
        sent_s = self._clock()
        answer = await self._watched(wait_s)
        self._last_changed = isinstance(answer, Changes) and bool(
            answer.changed
        )
        if isinstance(answer, StoreError):
            self._failed(answer, sent_s)
            return self._backoff.next_s()
        self._backoff.reset()
        if isinstance(answer, HistoryGone):
            _log.info(
                'Reads a collection anew.',
                collection=self._name,
                reason=answer.message,
            )
            self._unheard_since(self._clock() - self._deaf_s)
            self._revision = None
            return 0.0
        self._regained()
        self._read = LastRead(answer.size, answer.took_s)
        self._judge_way(answer, self._clock() - sent_s, wait_s)
        self._take(answer)
        # An answer that was long on its way, or was read after a standstill,
        # tells what was so when it was sent. What the next one tells at once
        # was made since then; taken for just made, older weights were used
        # for too long. So only an answer that was asked for later ends it.
        if self._noted_s <= sent_s:
            self._unheard_from_s = None
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
        configuration that can't be read may take keys away.
        """
        if self._strict and self._unread:
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

    def _judge_way(
        self, answer: Listing[T] | Changes[T], took_s: float, wait_s: float
    ) -> None:
        """Note whether an answer was long on its way, or was waited for."""
        sent_s = self._clock() - took_s
        if took_s > wait_s + LATE_S:
            self._unheard_since(sent_s)
            return
        if isinstance(answer, Listing) or took_s <= LATE_S:
            return
        if self._noted_s <= sent_s:
            # There was nothing to tell when it was asked for.
            self._unheard_from_s = None

    async def _rest(self, pause_s: float) -> None:
        """Sleep, or until the guide has found the store again."""
        guide = self._guide
        if not self._lost or guide is None or not guide.lost:
            await asyncio.sleep(pause_s)
            return
        await guide.found_again(GUIDED_S + pause_s)

    async def found_again(self, most_s: float) -> None:
        """Wait until a call succeeds after one that failed."""
        try:
            async with asyncio.timeout(most_s):
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
        if self._strict and self._unread:
            # No answer makes it fresher before the entry changes; calls
            # that don't wait would only load the store.
            return self._wait_s
        if self._confirmed_s is None or self._doubted_s == float('inf'):
            return self._wait_s
        age_s = self.age_s
        room_s = self._doubted_s - age_s - self._gather_s
        room_s -= 2 * self._last_took_s
        fresh_s = self._doubted_s * CONFIRM_PART - age_s
        return max(0.0, min(self._wait_s, max(room_s, LEAST_WAIT_S), fresh_s))

    def _reason(self) -> CallReason:
        if self._revision is None:
            return CallReason.READ
        if self._lost:
            return CallReason.FAILURE
        if self._last_changed:
            return CallReason.CHANGE
        return CallReason.QUIET

    async def _watched(
        self, wait_s: float
    ) -> Listing[T] | Changes[T] | HistoryGone | StoreError:
        """Make the next call; note if the process stood still meanwhile.

        After a pause an answer that has waited is read as if it had just
        come, and what it tells would count as just made.
        """
        call = asyncio.ensure_future(self._next(wait_s))
        try:
            while not call.done():
                looked_s = self._clock()
                await asyncio.wait((call,), timeout=BEAT_S)
                if self._clock() - looked_s > BEAT_S + LATE_S:
                    self._unheard_since(looked_s)
        finally:
            call.cancel()
        return call.result()

    async def _next(
        self, wait_s: float
    ) -> Listing[T] | Changes[T] | HistoryGone | StoreError:
        if self._revision is None:
            return await self._collection.read()
        return await self._collection.changes(self._revision, wait_s)

    def _take(self, answer: Listing[T] | Changes[T]) -> None:
        self._revision = answer.revision
        self._last_revision = answer.revision
        if isinstance(answer, Listing):
            self._told.read(answer.revision, self._clock())
        else:
            self._told.tell(answer.revision, self._clock())
        if isinstance(answer, Changes):
            for name, value in self._new(answer):
                self._unread.discard(name)
                self._set(name, value)
            self._unread.update(answer.unreadable)
        else:
            self._take_all(answer)
        self._rewound = False
        for name in answer.unreadable:
            # One entry that somebody wrote wrongly must not stop what
            # depends on the others.
            ENTRIES_LEFT_OUT.labels(self._name).inc()
            _log.error('Left an entry out.', collection=self._name, entry=name)
            if self._drop_unreadable and name in self._entries:
                self._drop(name)

    def _take_all(self, answer: Listing[T]) -> None:
        self._unread = set(answer.unreadable)
        for name in list(self._entries):
            if name in answer.entries or name in answer.unreadable:
                continue
            self._set(name, None)
        for name, value in answer.entries.items():
            self._set(name, value)

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
        keep_s = self._regained_s + KEEP_LAPSED_S - self._clock()
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

    def _failed(self, error: StoreError, sent_s: float) -> None:
        # A second answer that is cut in its middle may hold more changes
        # than the whole collection is large.
        again = self._lost and error.received > 0
        self._revision = None
        if error.fault in _PASSING and not again:
            self._told.doubt(sent_s)
            self._revision = self._told.sure()
            self._rewound = True
        if self._confirmed_s is not None:
            self._unheard_since(self._confirmed_s)
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

    def _unheard_since(self, at_s: float) -> None:
        """Note from when on changes may have gone unheard."""
        self._noted_s = self._clock()
        if self._unheard_from_s is None:
            self._unheard_from_s = at_s

    def _regained(self) -> None:
        if not self._lost:
            return
        self._lost = False
        self._found.set()
        self._regained_s = self._clock()
        _log.info(
            'Follows a collection again.',
            collection=self._name,
            age_s=round(self.age_s, 2),
        )
