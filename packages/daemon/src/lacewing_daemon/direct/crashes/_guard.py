"""Block requests that crash upstreams."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from random import Random
from typing import TYPE_CHECKING

from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.log_lines import BrokenRun

from lacewing_daemon.direct._attempt import Contact
from lacewing_daemon.direct._collection_watcher import CollectionWatcher
from lacewing_daemon.direct._metrics import BLOCKED_REQUESTS
from lacewing_daemon.direct._site import SystemObjects
from lacewing_daemon.direct._store_eras import StoreEras
from lacewing_daemon.direct._upstream import Upstream
from lacewing_daemon.direct.crashes._crash_store import CrashStore
from lacewing_daemon.direct.crashes._crash_store import decode_record
from lacewing_daemon.direct.crashes._detector import CrashDetector
from lacewing_daemon.direct.crashes._probes import ProbeSchedule
from lacewing_daemon.direct.crashes._record import CrashRecord
from lacewing_daemon.direct.crashes._record import UpstreamIncarnation
from lacewing_daemon.direct.crashes._registry import CrashRegistry
from lacewing_daemon.direct.crashes._registry import MAX_CRASHES

# Crashes under one request from which on they are written to the store. A
# single crash is no evidence, and store calls are expensive.
MIN_CRASHES_TO_SAVE = 2
# Interval between removals of expired crashes.
EXPIRY_INTERVAL_S = 5.0

if TYPE_CHECKING:
    from lacewing_daemon.direct._peer_link import PeerLink

AbortCallback = Callable[[], None]

_log = get_log(Part.LINK)


class CrashGuard:
    """Track which requests crash upstreams, across all routers.

    A crash that this router detects is sent to its peers at once. It is also
    written to the store if a second crash occurs under the same request or
    if a peer does not answer.
    """

    def __init__(
        self,
        process_id: str,
        store: SystemObjects,
        watcher: CollectionWatcher[str],
        peer_addresses: Callable[[], Sequence[str]],
        probe_connection: Callable[[Upstream], Awaitable[Contact]],
        random: Random,
        eras: StoreEras,
    ) -> None:
        self._peer_addresses = peer_addresses
        self._random = random
        self._registry = CrashRegistry()
        self._probes = ProbeSchedule(random)
        self._detector = CrashDetector(probe_connection, self._record_own)
        self._crash_store = CrashStore(
            store, watcher, process_id, random, eras
        )
        self._own_records: dict[UpstreamIncarnation, CrashRecord] = {}
        self._pending_runs: dict[str, set[AbortCallback]] = {}
        self._blocked: frozenset[str] = frozenset()
        self._broadcast: (
            Callable[[Iterable[CrashRecord], str], None] | None
        ) = None
        watcher.on_change(self._merge_stored)

    def is_blocked(self, fingerprint: str) -> bool:
        """Return whether a request must not be sent to upstreams."""
        return fingerprint in self._registry.blocked

    def admits_probe(self, fingerprint: str) -> bool:
        """Admit one run of a blocked request if a probe of it is due."""
        if not self._probes.admit(fingerprint):
            return False
        _log.info('Admits a probe of a blocked request.', same=fingerprint)
        return True

    def retry_after_s(self, fingerprint: str) -> float:
        """Return the delay after which a blocked request may be retried."""
        return self._registry.retry_after_s(fingerprint)

    def is_suspected(self, fingerprint: str) -> bool:
        """Return whether upstreams have crashed while running a request."""
        return self._registry.crash_count(fingerprint) > 0

    def run_opened(self, fingerprint: str, abort: AbortCallback) -> None:
        """Register a run without an event yet; ``abort`` interrupts it."""
        self._pending_runs.setdefault(fingerprint, set()).add(abort)

    def run_closed(self, fingerprint: str, abort: AbortCallback) -> None:
        """Unregister a run that returned its first event or ended."""
        callbacks = self._pending_runs.get(fingerprint)
        if callbacks is None:
            return
        callbacks.discard(abort)
        if not callbacks:
            del self._pending_runs[fingerprint]

    def run_broken(
        self, upstream: Upstream, run: BrokenRun, opened_s: float
    ) -> None:
        """Record that the connection of a run broke.

        ``opened_s`` is when that connection was opened, on the boot clock.
        """
        latest = UpstreamIncarnation(upstream.upstream_id, upstream.started_ms)
        incarnation = self._registry.incarnation_of(latest, opened_s)
        self._detector.run_broken(upstream, incarnation, run)

    def run_succeeded(self, fingerprint: str) -> None:
        """Record that a request completed, so it caused no earlier crash."""
        updates = self._registry.exonerate(fingerprint)
        if updates:
            self._update_blocks()
            self._publish(updates, '')

    async def run(self) -> None:
        """Exchange records with the store until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._crash_store.run())
            tasks.create_task(self._crash_store.sweep())
            tasks.create_task(self._expire())

    async def exchange(self, link: 'PeerLink') -> None:
        """Exchange records over a link until cancelled."""
        from lacewing_daemon.direct.crashes._gossip import CrashGossip

        gossip = CrashGossip(
            link,
            self._registry,
            self._peer_addresses,
            self._merge,
            self._save_own,
            self._random,
        )
        link.add_service(gossip)
        self._broadcast = gossip.broadcast
        try:
            await gossip.run()
        finally:
            self._broadcast = None
            gossip.close()

    def close(self) -> None:
        """Cancel pending connection probes of upstreams."""
        self._detector.close()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self._registry.expire()
            self._update_blocks()

    def _record_own(self, record: CrashRecord) -> None:
        """Merge and publish a crash that this router detected."""
        previous = self._own_records.get(record.start)
        if previous is not None:
            suspects = (*previous.suspects, *record.suspects)
            gone = previous.gone or record.gone
            record = CrashRecord(record.start, suspects, gone=gone)
        self._own_records[record.start] = record
        if len(self._own_records) > MAX_CRASHES:
            del self._own_records[next(iter(self._own_records))]
        updates = self._merge((record,))
        if updates:
            self._publish(updates, '')

    def _merge_stored(self, name: str, text: str | None) -> None:
        if text is None:
            return
        record = decode_record(text)
        if record is None:
            _log.error('Left an entry out.', collection='crashes', entry=name)
            return
        self._merge((record,))

    def _merge(
        self, records: Iterable[CrashRecord]
    ) -> tuple[CrashRecord, ...]:
        """Merge records; return those that contained something new."""
        updates = tuple(
            record for record in records if self._registry.merge(record)
        )
        if updates:
            self._save_repeated(updates)
            self._update_blocks()
        return updates

    def _publish(self, updates: tuple[CrashRecord, ...], sender: str) -> None:
        if self._broadcast is None:
            self._save_own(updates)
            return
        self._broadcast(updates, sender)

    def _save_own(self, records: Iterable[CrashRecord]) -> None:
        """Save own records that some peer may not have received."""
        for record in records:
            own = self._own_records.get(record.start)
            if own is not None:
                self._crash_store.save(own)

    def _save_repeated(self, updates: tuple[CrashRecord, ...]) -> None:
        """Save own records of crashes under a request that has several."""
        for record in updates:
            for suspect in record.suspects:
                incarnations = self._registry.incarnations(suspect.fingerprint)
                if len(incarnations) < MIN_CRASHES_TO_SAVE:
                    continue
                for incarnation in incarnations & self._own_records.keys():
                    self._crash_store.save(self._own_records[incarnation])

    def _update_blocks(self) -> None:
        """Apply changes of the blocked and ambiguous requests."""
        blocked = self._registry.blocked
        for fingerprint in blocked - self._blocked:
            _log.warning(
                'Blocks a request.',
                same=fingerprint,
                crashes=self._registry.crash_count(fingerprint),
            )
            for abort in tuple(self._pending_runs.get(fingerprint, ())):
                abort()
        for fingerprint in self._blocked - blocked:
            _log.info('Lets a request through again.', same=fingerprint)
        self._blocked = blocked
        self._probes.update(self._registry.ambiguous)
        BLOCKED_REQUESTS.set(len(blocked))
