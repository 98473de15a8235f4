"""Block requests that crash upstreams."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from random import Random

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

# Crashes under one request after which they are written to the store. One
# crash alone proves nothing, and calls have their price.
CRASHES_TO_WRITE = 2
# Peers are heard this much after the start. Importing what is needed takes
# 60 ms of processor time; before the first reading of the store it would
# keep the router from being ready.
PEERS_START_DELAY_S = 0.15
# How often it is looked for crashes that count no more.
FORGET_S = 5.0

Cut = Callable[[], None]

_log = get_log(Part.LINK)


class CrashGuard:
    """Know which requests crash upstreams; share it with all routers.

    What one router sees of a crash goes to its peers at once, and to the
    store if a second crash adds to it or a peer did not answer.
    """

    def __init__(
        self,
        process_id: str,
        peers_address: str,
        store: SystemObjects,
        watcher: CollectionWatcher[str],
        peer_addresses: Callable[[], Sequence[str]],
        probe_connection: Callable[[Upstream], Awaitable[Contact]],
        random: Random,
        eras: StoreEras,
    ) -> None:
        self._peers_address = peers_address
        self._others = peer_addresses
        self._random = random
        self._registry = CrashRegistry()
        self._probes = ProbeSchedule(random)
        self._witness = CrashDetector(probe_connection, self._take_own)
        self._stored = CrashStore(store, watcher, process_id, random, eras)
        self._own: dict[UpstreamIncarnation, CrashRecord] = {}
        self._waiting: dict[str, set[Cut]] = {}
        self._blocked: frozenset[str] = frozenset()
        self._tell: Callable[[Iterable[CrashRecord], str], None] | None = None
        watcher.on_change(self._take_stored)

    def is_blocked(self, fingerprint: str) -> bool:
        """Tell whether a request must not be sent to upstreams."""
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
        """Tell whether upstreams have crashed under a request."""
        return self._registry.crash_count(fingerprint) > 0

    def run_opened(self, fingerprint: str, abort: Cut) -> None:
        """Note a run that has brought nothing yet; ``abort`` breaks it off."""
        self._waiting.setdefault(fingerprint, set()).add(abort)

    def run_closed(self, fingerprint: str, abort: Cut) -> None:
        """Forget a run that has brought an event or has ended."""
        cuts = self._waiting.get(fingerprint)
        if cuts is None:
            return
        cuts.discard(abort)
        if not cuts:
            del self._waiting[fingerprint]

    def run_broken(
        self, upstream: Upstream, run: BrokenRun, opened_s: float
    ) -> None:
        """Note that an upstream broke a run off.

        ``opened_s`` is when its connection was opened, on the boot clock.
        """
        known = UpstreamIncarnation(upstream.upstream_id, upstream.started_ms)
        start = self._registry.incarnation_of(known, opened_s)
        self._witness.run_broken(upstream, start, run)

    def run_succeeded(self, fingerprint: str) -> None:
        """Note that a request was answered: it crashed nothing before."""
        news = self._registry.exonerate(fingerprint)
        if news:
            self._judge()
            self._spread(news, '')

    async def run(self) -> None:
        """Exchange news with peers and the store until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._stored.run())
            tasks.create_task(self._stored.sweep())
            tasks.create_task(self._forget())
            if self._peers_address:
                tasks.create_task(self._run_peers())

    def close(self) -> None:
        """Stop looking at upstreams."""
        self._witness.close()

    async def _run_peers(self) -> None:
        await asyncio.sleep(PEERS_START_DELAY_S)
        from lacewing_daemon.direct.crashes._gossip import CrashGossip

        news = CrashGossip(
            self._peers_address,
            self._registry,
            self._others,
            self._take,
            self._store_own,
            self._random,
        )
        self._tell = news.broadcast
        try:
            await news.run()
        finally:
            self._tell = None
            news.close()

    async def _forget(self) -> None:
        while True:
            await asyncio.sleep(FORGET_S)
            self._registry.expire()
            self._judge()

    def _take_own(self, record: CrashRecord) -> None:
        """Take a crash that this router saw."""
        before = self._own.get(record.start)
        if before is not None:
            suspects = (*before.suspects, *record.suspects)
            gone = before.gone or record.gone
            record = CrashRecord(record.start, suspects, gone=gone)
        self._own[record.start] = record
        if len(self._own) > MAX_CRASHES:
            del self._own[next(iter(self._own))]
        news = self._take((record,))
        if news:
            self._spread(news, '')

    def _take_stored(self, name: str, text: str | None) -> None:
        if text is None:
            return
        record = decode_record(text)
        if record is None:
            _log.error('Left an entry out.', collection='crashes', entry=name)
            return
        self._take((record,))

    def _take(self, records: Iterable[CrashRecord]) -> tuple[CrashRecord, ...]:
        """Take records; return those that told something new."""
        news = tuple(one for one in records if self._registry.merge(one))
        if news:
            self._store_repeated(news)
            self._judge()
        return news

    def _spread(self, news: tuple[CrashRecord, ...], sender: str) -> None:
        if self._tell is None:
            self._store_own(news)
            return
        self._tell(news, sender)

    def _store_own(self, records: Iterable[CrashRecord]) -> None:
        """Write to the store what peers may not have heard."""
        for record in records:
            own = self._own.get(record.start)
            if own is not None:
                self._stored.save(own)

    def _store_repeated(self, news: tuple[CrashRecord, ...]) -> None:
        """Write to the store what adds to a crash under the same request."""
        for record in news:
            for suspect in record.suspects:
                starts = self._registry.incarnations(suspect.fingerprint)
                if len(starts) < CRASHES_TO_WRITE:
                    continue
                for start in starts & self._own.keys():
                    self._stored.save(self._own[start])

    def _judge(self) -> None:
        """Act on what is known now."""
        blocked = self._registry.blocked
        for fingerprint in blocked - self._blocked:
            _log.warning(
                'Blocks a request.',
                same=fingerprint,
                crashes=self._registry.crash_count(fingerprint),
            )
            for cut in tuple(self._waiting.get(fingerprint, ())):
                cut()
        for fingerprint in self._blocked - blocked:
            _log.info('Lets a request through again.', same=fingerprint)
        self._blocked = blocked
        self._probes.update(self._registry.ambiguous)
        BLOCKED_REQUESTS.set(len(blocked))
