"""Block requests, and parts of prompts, that crash upstreams."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from random import Random
from typing import TYPE_CHECKING

import msgspec
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.log_lines import BrokenRun

from lacewing_daemon.background import call_back
from lacewing_daemon.background import keep_all_running
from lacewing_daemon.direct._attempt import Contact
from lacewing_daemon.direct._collection_watcher import CollectionWatcher
from lacewing_daemon.direct._metrics import BLOCKED_REQUESTS
from lacewing_daemon.direct._metrics import CRASH_PROBES
from lacewing_daemon.direct._site import SystemObjects
from lacewing_daemon.direct._store_eras import StoreEras
from lacewing_daemon.direct._upstream import Upstream
from lacewing_daemon.direct.crashes._crash_store import CrashStore
from lacewing_daemon.direct.crashes._crash_store import decode_record
from lacewing_daemon.direct.crashes._detector import CrashDetector
from lacewing_daemon.direct.crashes._fingerprint import is_part
from lacewing_daemon.direct.crashes._fingerprint import RequestSubjects
from lacewing_daemon.direct.crashes._isolation import Isolation
from lacewing_daemon.direct.crashes._moment_log import MomentLog
from lacewing_daemon.direct.crashes._probe_grants import ProbeGrants
from lacewing_daemon.direct.crashes._probes import probe_intervals
from lacewing_daemon.direct.crashes._probes import ProbeSchedule
from lacewing_daemon.direct.crashes._proven_parts import ProvenParts
from lacewing_daemon.direct.crashes._record import CrashRecord
from lacewing_daemon.direct.crashes._record import UpstreamIncarnation
from lacewing_daemon.direct.crashes._registry import CrashRegistry
from lacewing_daemon.direct.crashes._registry import MAX_CRASHES
from lacewing_daemon.direct.crashes._registry import PROVISIONAL_RETRY_S

# Crashes under one request from which on they are written to the store. A
# single crash is no evidence, and store calls are expensive.
MIN_CRASHES_TO_SAVE = 2
# Interval between removals of expired crashes.
EXPIRY_INTERVAL_S = 5.0

if TYPE_CHECKING:
    from lacewing_daemon.direct._peer_link import PeerLink
    from lacewing_daemon.direct.crashes._gossip import CrashGossip

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
        self._proven_parts = ProvenParts()
        self._isolation = Isolation(self._registry)
        self._moment_log = MomentLog()
        self._probes = ProbeSchedule(random)
        self._probe_grants = ProbeGrants(self._probes, peer_addresses)
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

    @property
    def isolation(self) -> Isolation:
        """Return what keeps prompts with suspected parts apart."""
        return self._isolation

    def is_blocked(self, subjects: RequestSubjects) -> bool:
        """Return whether a request must not be sent to upstreams."""
        return bool(self._blocked_among(subjects))

    def describe_block(self, subjects: RequestSubjects) -> str:
        """Say what of a request is blocked."""
        parts = filter(is_part, self._blocked_among(subjects))
        named = ' and '.join(parts)
        if not named:
            return 'upstreams crashed under this request'
        return f'upstreams crashed under {named} of its prompt'

    def admits_probe(self, subjects: RequestSubjects) -> bool:
        """Admit one run of a blocked request if a probe of it is due.

        A request with several blocked subjects can't show which of them is
        harmless.
        """
        blocked = self._blocked_among(subjects)
        if len(blocked) != 1 or not self._probe_grants.admit(blocked[0]):
            return False
        CRASH_PROBES.inc()
        _log.info('Admits a probe of a blocked request.', same=blocked[0])
        return True

    def retry_after_s(self, subjects: RequestSubjects) -> float:
        """Return the delay after which a blocked request may be retried."""
        delay_s = 0.0
        for subject in self._blocked_among(subjects):
            block_s = self._registry.retry_after_s(subject)
            probe_s = max(PROVISIONAL_RETRY_S, self._probes.due_in_s(subject))
            delay_s = max(delay_s, min(block_s, probe_s))
        return delay_s

    def is_suspected(self, subjects: RequestSubjects) -> bool:
        """Return whether a request may have crashed an upstream."""
        if self._registry.crash_count(subjects.request) > 0:
            return True
        return self._isolation.is_suspected(subjects)

    def run_opened(
        self, subjects: RequestSubjects, abort: AbortCallback
    ) -> None:
        """Register a run without an event yet; ``abort`` interrupts it."""
        for subject in subjects.all:
            self._pending_runs.setdefault(subject, set()).add(abort)

    def run_closed(
        self, subjects: RequestSubjects, abort: AbortCallback
    ) -> None:
        """Unregister a run that returned its first event or ended."""
        for subject in subjects.all:
            callbacks = self._pending_runs.get(subject)
            if callbacks is None:
                continue
            callbacks.discard(abort)
            if not callbacks:
                del self._pending_runs[subject]

    def run_broken(
        self, upstream: Upstream, run: BrokenRun, opened_s: float
    ) -> None:
        """Record that the connection of a run broke.

        ``opened_s`` is when that connection was opened, on the boot clock.
        """
        latest = UpstreamIncarnation(upstream.upstream_id, upstream.started_ms)
        incarnation = self._registry.incarnation_of(latest, opened_s)
        self._detector.run_broken(upstream, incarnation, run)

    def run_completed(
        self, subjects: RequestSubjects, has_succeeded: bool
    ) -> None:
        """Record that a request completed, so it caused no earlier crash.

        Only a successful answer shows the same of the parts of its prompt.
        """
        cleared: tuple[str, ...] = (subjects.request,)
        if has_succeeded and subjects.parts:
            cleared = subjects.all
            self._proven_parts.record((*subjects.parts, subjects.last_part))
        updates = self._registry.exonerate(cleared)
        if updates:
            self._update_blocks()
            self._publish(updates, '')

    async def run(self) -> None:
        """Exchange records with the store until cancelled."""
        await keep_all_running(
            {
                'crash writes': self._crash_store.run,
                'crash sweep': self._crash_store.sweep,
                'crash expiry': self._expire,
            }
        )

    def connect(self, link: 'PeerLink') -> 'CrashGossip':
        """Exchange records over a link from now on."""
        from lacewing_daemon.direct.crashes._gossip import CrashGossip
        from lacewing_daemon.direct.crashes._probe_service import (
            connect_probes,
        )

        gossip = CrashGossip(
            link,
            self._registry,
            self._peer_addresses,
            self._merge,
            self._save_own,
            self._random,
        )
        link.add_service(gossip)
        connect_probes(self._probe_grants, self._probes, link)
        self._broadcast = gossip.broadcast
        return gossip

    def disconnect(self) -> None:
        """Write records to the store instead, as no link is open."""
        self._broadcast = None

    def close(self) -> None:
        """Cancel pending connection probes and calls for probes."""
        self._detector.close()
        self._probe_grants.close()

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
            record = msgspec.structs.replace(
                previous, suspects=suspects, gone=gone
            )
        record = self._with_proven_parts(record)
        self._own_records[record.start] = record
        if len(self._own_records) > MAX_CRASHES:
            del self._own_records[next(iter(self._own_records))]
        updates = self._merge((record,))
        if updates:
            self._publish(updates, '')

    def _with_proven_parts(self, record: CrashRecord) -> CrashRecord:
        parts: set[str] = set()
        for suspect in record.suspects:
            parts.update(suspect.parts)
        proven = self._proven_parts.among(parts)
        return msgspec.structs.replace(record, proven=proven)

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

    def _blocked_among(self, subjects: RequestSubjects) -> tuple[str, ...]:
        blocked = self._registry.blocked
        if not blocked:
            return ()
        return tuple(subject for subject in subjects.all if subject in blocked)

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
        """Save own records of crashes under a subject that has several."""
        suspected = self._registry.suspected_parts
        for record in updates:
            subjects: set[str] = set()
            for suspect in record.suspects:
                subjects.add(suspect.fingerprint)
                subjects.update(suspect.parts)
            for subject in subjects:
                if is_part(subject) and subject not in suspected:
                    # Harmless parts of many prompts stand at most crashes.
                    continue
                incarnations = self._registry.incarnations(subject)
                if len(incarnations) < MIN_CRASHES_TO_SAVE:
                    continue
                for incarnation in incarnations & self._own_records.keys():
                    self._crash_store.save(self._own_records[incarnation])

    def _update_blocks(self) -> None:
        """Apply changes of the blocked and ambiguous requests."""
        blocked = self._registry.blocked
        self._moment_log.update(self._registry.moments)
        for subject in blocked - self._blocked:
            _log.warning(
                'Blocks a part of prompts.'
                if is_part(subject)
                else 'Blocks a request.',
                same=subject,
                crashes=self._registry.crash_count(subject),
                counted=self._registry.counted_crashes(subject),
            )
            for abort in tuple(self._pending_runs.get(subject, ())):
                call_back('crash block', abort)
        for subject in self._blocked - blocked:
            _log.info(
                'Lets a part of prompts through again.'
                if is_part(subject)
                else 'Lets a request through again.',
                same=subject,
            )
        self._blocked = blocked
        self._probes.update(probe_intervals(self._registry))
        self._probe_grants.retain(blocked)
        BLOCKED_REQUESTS.set(len(blocked))
