"""Watch a collection of the platform's store and track its staleness."""

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
from lacewing_daemon.direct._settled_era import SettledEra
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
# Entries are confirmed again within this fraction of the time for which they
# count as current; the rest covers the latency of calls to a slow store.
CONFIRM_FRACTION = 0.8
# The time reserved for a large response shortens the wait of a call no further
# than this, because each call is priced: at most three calls a second.
MIN_WAIT_S = 0.3
# How long a call waits while a process that starts does not know yet whether
# the store was restored right before.
START_WAIT_S = 0.3
# How often to check, while a call waits, whether the process was suspended or
# the store was restored from an older snapshot.
CHECK_INTERVAL_S = 0.5
# Writers repeat writes lost by a restore within about this time; the platform
# states it for entries that lapsed.
REWRITE_TIMEOUT_S = 2.0
# While the reconnect leader is disconnected too, this collection retries by
# itself only this often: the leader may have failed for a reason of its own.
LEADER_WAIT_S = 1.5
# After these faults the next call asks for changes again. Any other fault may
# be caused by the content of the response, and would occur again with it.
_TRANSIENT_FAULTS = (StoreFault.UNAVAILABLE, StoreFault.RATE_LIMITED)

_log = get_log(Part.PLATFORM)


@dataclass(frozen=True)
class ResponseStats:
    """Hold the size of a response in bytes and its transfer time."""

    size: int
    took_s: float


class CollectionWatcher(Generic[T]):
    """Keep the entries of one collection up to date in a task.

    After a failed call, the watcher asks for the changes since a known
    revision and not for the whole collection: on a narrow link a full read
    takes seconds, saturates the link and may fail again.

    ``reconnect_leader`` is the watcher of another collection of the same
    store. While both are disconnected, only the leader retries. Retrying
    independently, three collections made 38 calls in 4 s to a store that
    refuses them; with a leader, 17.
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
        settled_era: SettledEra | None = None,
    ) -> None:
        self._settled_era = settled_era
        self._reconnect_leader = reconnect_leader
        self._reconnected = asyncio.Event()
        self._calls = calls or StoreCallCounter()
        self._eras = eras or StoreEras()
        self._max_unconfirmed_s = max_unconfirmed_s
        self._clock = clock
        self._watch_gap_s = watch_gap_s
        self._strict = strict
        self._name = name
        self._collection = collection
        self._wait_s = wait_s
        self._backoff = Backoff(BACKOFF_BASE_S, BACKOFF_CAP_S, random)
        self._batch_delay_s = batch_delay_s
        self._cache: EntryCache[T] = EntryCache(
            name,
            RestoredEntries(is_older or _never_older, restored_timeout_s),
            clock,
            retain_lapsed,
            drop_unreadable,
        )
        self._revision: int | None = None
        self._era: int | None = None
        self._observed = ObservedRevisions()
        self._last_revision = 0
        self._confirmed_s: float | None = None
        self._confirmable_from_s = float('-inf')
        self._age = ChangeAge(clock)
        self._disconnected = False
        self._may_repeat_changes = False
        self._last_response = ResponseStats(0, 0.0)
        self._last_transfer_s = 0.0
        self._last_had_changes = False

    @property
    def entries(self) -> Mapping[str, T]:
        """Return the known entries by name."""
        return self._cache.entries

    @property
    def has_loaded(self) -> bool:
        """Return whether the collection was read since the process start."""
        return self._confirmed_s is not None

    @property
    def revision(self) -> int:
        """Return the store revision of the entries."""
        return self._last_revision

    @property
    def disconnected(self) -> bool:
        """Return whether the last call failed."""
        return self._disconnected

    @property
    def age_s(self) -> float:
        """Return the time since the entries were last confirmed.

        Changes made after the last confirmation may be missing.
        """
        if self._confirmed_s is None:
            return float('inf')
        return self._clock() - self._confirmed_s

    @property
    def last_response(self) -> ResponseStats:
        """Return the last response; set before the change callbacks run."""
        return self._last_response

    @property
    def max_change_age_s(self) -> float:
        """Return the maximum age of a change that is reported now."""
        return self._age.max_age_s

    def on_change(self, callback: OnChange[T]) -> None:
        """Register a callback for the name and value (None: removed)."""
        self._cache.on_change(callback)

    async def run(self) -> None:
        """Read the whole collection, then watch it until cancelled."""
        self._read_anew()
        while True:
            await self._sleep(await self.step())

    async def step(self) -> float:
        """Make one call; return the delay until the next one in seconds."""
        self._cache.accept_expired()
        self._cache.apply_again()
        if self._is_era_outdated:
            self._revision = None
        self._calls.count(self._name, self._call_reason())
        wait_s = self._next_wait_s()
        sent_s = self._clock()
        response = await self._call_store(wait_s)
        self._last_had_changes = isinstance(response, Changes) and bool(
            response.changed
        )
        if response is None:
            return 0.0
        self._eras.observe(response.era)
        if isinstance(response, StoreError):
            self._handle_failure(response, sent_s)
            return self._backoff.next_s()
        if self._is_from_other_era(response):
            self._revision = None
            return self._backoff.next_s()
        self._backoff.reset()
        if isinstance(response, HistoryExpired):
            _log.info(
                'Reads a collection anew.',
                collection=self._name,
                reason=response.message,
            )
            self._age.mark_unobserved_since(self._clock() - self._watch_gap_s)
            self._revision = None
            return 0.0
        self._handle_success()
        if self._settled_era is not None and not self.has_loaded:
            await self._settled_era.wait_tried()
        self._last_response = ResponseStats(response.size, response.took_s)
        self._age.note_response(sent_s, wait_s, isinstance(response, Listing))
        self._apply(response)
        self._age.mark_observed(sent_s)
        self.confirm(response, sent_s, wait_s)
        if isinstance(response, Listing):
            self._last_transfer_s = response.took_s
        elif response.changed:
            # Changes come in series. A call for each change would cost
            # several times as many calls as batching them does.
            self._last_transfer_s = response.took_s
            return self._batch_delay_s
        return 0.0

    def confirm(
        self,
        response: Listing[T] | Changes[T],
        sent_s: float,
        wait_s: float | None = None,
    ) -> None:
        """Record the time as of which all changes are known.

        A list contains all changes made before it was requested. A call for
        changes that returns empty has watched until its end and the store
        reported nothing, but the watch may have missed changes in its last
        ``watch_gap_s``. Counting from the request alone would overstate the
        age by the time waited, and reject keys that much sooner. With
        ``strict``, nothing is confirmed while an entry is unreadable or not
        applied, because such a configuration may revoke keys. Nor is anything
        confirmed right after a restore, while lost writes may not have been
        repeated yet, nor before a process that starts knows that the store
        was not restored right before.
        """
        if self._strict and self._has_untrusted_entries:
            return
        if sent_s < self._confirmable_from_s:
            return
        if response.era and sent_s < self._complete_from_s:
            return
        if wait_s is None:
            wait_s = self._wait_s
        confirmed_s = sent_s
        if isinstance(response, Changes):
            confirmed_s -= self._watch_gap_s
            if not response.changed and not response.unreadable:
                # No more than the time it can have watched: a response may
                # have been delayed, or have come before the wait was over.
                confirmed_s += min(wait_s, self._clock() - sent_s)
        if self._confirmed_s is None or confirmed_s > self._confirmed_s:
            self._confirmed_s = confirmed_s

    async def _sleep(self, pause_s: float) -> None:
        """Sleep, or wait until the reconnect leader has reconnected."""
        leader = self._reconnect_leader
        if not self._disconnected or leader is None or not leader.disconnected:
            await asyncio.sleep(pause_s)
            return
        await leader.wait_reconnected(LEADER_WAIT_S + pause_s)

    async def wait_reconnected(self, timeout_s: float) -> None:
        """Wait until a call succeeds after one that failed."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._reconnected.wait()
        except TimeoutError:
            return

    def _next_wait_s(self) -> float:
        """Return how long the next call waits for changes.

        Entries grow stale while a call waits and while its response arrives.
        A response that saturates the link for seconds, followed by another
        one, would leave entries unconfirmed for too long although the store
        responds. So the wait leaves time for two such responses, and is zero
        when the entries are close to the limit.
        """
        if self._disconnected:
            return 0.0
        rewrite_left_s = self._complete_from_s - self._clock()
        if rewrite_left_s > 0:
            if not self.has_loaded:
                rewrite_left_s = min(rewrite_left_s, START_WAIT_S)
            return min(self._wait_s, rewrite_left_s)
        if self._strict and self._has_untrusted_entries:
            # No response can confirm the entries before the untrusted one
            # changes; calls that don't wait would only load the store.
            return self._wait_s
        if self._settled_era is not None and not self.has_loaded:
            return 0.0
        if self._confirmed_s is None or self._max_unconfirmed_s == float(
            'inf'
        ):
            return self._wait_s
        age_s = self.age_s
        available_s = self._max_unconfirmed_s - age_s - self._batch_delay_s
        available_s -= 2 * self._last_transfer_s
        until_confirm_s = self._max_unconfirmed_s * CONFIRM_FRACTION - age_s
        return max(
            0.0,
            min(self._wait_s, max(available_s, MIN_WAIT_S), until_confirm_s),
        )

    @property
    def _complete_from_s(self) -> float:
        """Return from when on requested entries have all repeated writes."""
        if self._settled_era is None or self.has_loaded:
            return self._confirmable_from_s
        return max(
            self._confirmable_from_s, self._settled_era.confirmable_from_s
        )

    @property
    def _has_untrusted_entries(self) -> bool:
        return (
            self._cache.any_unreadable
            or self._cache.any_unverified
            or self._cache.any_unapplied
        )

    @property
    def _is_era_outdated(self) -> bool:
        """Return whether the store era is later than that of the entries."""
        if self._era is None:
            return False
        return self._eras.current not in (0, self._era)

    def _is_from_other_era(
        self, response: Listing[T] | Changes[T] | HistoryExpired
    ) -> bool:
        """Return whether a response can't be applied to the entries.

        A delayed list may be from an era that has ended, and changes count
        from a revision that is valid in one era only.
        """
        if not response.era:
            return False
        if isinstance(response, Changes):
            return response.era != self._era
        return response.era < self._eras.current

    def _call_reason(self) -> CallReason:
        if self._revision is None:
            return CallReason.READ
        if self._disconnected:
            return CallReason.FAILURE
        if self._last_had_changes:
            return CallReason.CHANGE
        return CallReason.NO_CHANGE

    async def _call_store(
        self, wait_s: float
    ) -> Listing[T] | Changes[T] | HistoryExpired | StoreError | None:
        """Make the next call; record if the process was suspended meanwhile.

        After a suspension, a response that was queued looks as if it had just
        arrived, and its changes would count as just made. A call for changes
        is cancelled (None) once the store was restored from a snapshot: its
        response need not show the lost writes.
        """
        call = asyncio.ensure_future(self._send_call(wait_s))
        try:
            while not call.done():
                checked_s = self._clock()
                await asyncio.wait((call,), timeout=CHECK_INTERVAL_S)
                if (
                    self._clock() - checked_s
                    > CHECK_INTERVAL_S + LATENESS_TOLERANCE_S
                ):
                    self._age.mark_unobserved_since(checked_s)
                if self._revision is not None and self._is_era_outdated:
                    return call.result() if call.done() else None
        finally:
            call.cancel()
        return call.result()

    async def _send_call(
        self, wait_s: float
    ) -> Listing[T] | Changes[T] | HistoryExpired | StoreError:
        if self._revision is None:
            return await self._collection.read()
        return await self._collection.changes(self._revision, wait_s)

    def _apply(self, response: Listing[T] | Changes[T]) -> None:
        self._revision = response.revision
        self._last_revision = response.revision
        if isinstance(response, Changes):
            self._observed.observe(response.revision, self._clock())
            self._cache.apply_changes(
                self._new_changes(response), response.unreadable
            )
            self._may_repeat_changes = False
            return
        self._observed.reset(response.revision, self._clock())
        era = response.era or self._eras.current
        restored = self._era is not None and era != self._era
        if restored:
            self._start_era()
        self._era = era
        self._cache.apply_snapshot(
            response.entries, response.unreadable, restored
        )
        self._may_repeat_changes = False

    def _start_era(self) -> None:
        """Withhold confirmation until lost writes can have been repeated."""
        self._cache.note_reconnected()
        if self._confirmed_s is not None:
            self._age.mark_unobserved_since(self._confirmed_s)
        if self._strict:
            self._confirmable_from_s = self._clock() + REWRITE_TIMEOUT_S

    def _new_changes(
        self, response: Changes[T]
    ) -> Iterable[tuple[str, T | None]]:
        """Return the changes to apply, in order.

        After a failed call some changes are returned again. An entry that was
        changed and then removed would be added again and, because removals
        are delayed after an outage, be used although it is removed. So only
        the last change of each entry is applied.
        """
        if not self._may_repeat_changes:
            return response.changed
        return dict(response.changed).items()

    def _read_anew(self) -> None:
        """Discard a position up to which changes may not be applied."""
        self._revision = None
        if self._confirmed_s is not None:
            self._age.mark_unobserved_since(self._confirmed_s)

    def _handle_failure(self, error: StoreError, sent_s: float) -> None:
        # A second truncated response may contain changes that are larger
        # than the whole collection.
        truncated_again = self._disconnected and error.received > 0
        self._read_anew()
        if error.fault in _TRANSIENT_FAULTS and not truncated_again:
            self._observed.discard_unreliable(sent_s)
            self._revision = self._observed.last_reliable()
            self._may_repeat_changes = True
        if self._disconnected:
            return
        self._disconnected = True
        self._reconnected.clear()
        _log.warning(
            'Lost a collection.',
            collection=self._name,
            fault=error.fault.value,
            reason=error.message,
            received=error.received,
            revision=self.revision,
        )

    def _handle_success(self) -> None:
        if not self._disconnected:
            return
        self._disconnected = False
        self._reconnected.set()
        self._cache.note_reconnected()
        _log.info(
            'Follows a collection again.',
            collection=self._name,
            age_s=round(self.age_s, 2),
        )


def _never_older(_value: object, _known: object) -> bool:
    return False
