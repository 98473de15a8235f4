"""Follow the worker's cache events and resynchronise after gaps."""

import asyncio
from collections.abc import Callable

import msgspec
from lacewing_common.backoff import Backoff
from lacewing_common.decode_errors import DECODE_ERRORS
from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.agent._cache_view import CacheEvent
from lacewing_daemon.agent._cache_view import CacheSnapshot
from lacewing_daemon.agent._cache_view import CacheView
from lacewing_daemon.agent._metrics import CACHE_EVENTS
from lacewing_daemon.agent._metrics import CACHE_SNAPSHOTS
from lacewing_daemon.agent._transfer import AnswerStart
from lacewing_daemon.agent._transfer import Transfer
from lacewing_daemon.agent._worker import Broken
from lacewing_daemon.agent._worker import Worker
from lacewing_daemon.agent._worker import WorkerRequest

EVENTS_PATH = '/cache/events'
SNAPSHOT_PATH = '/cache/snapshot'
RECONNECT_BASE_S = 0.2
RECONNECT_CAP_S = 5.0
# A snapshot of 21,000 blocks is 400 KB. With a lossy stream each event may
# follow a gap; fetching at each would cost more than the events.
RESYNC_PAUSE_S = 1.0
RESYNC_PAUSE_S_PER_BLOCK = 0.0005
_STALL_S = 60.0
_OK = 200
_DATA = b'data:'
_END_OF_EVENT = b'\n\n'

_log = get_log(Part.WORKER)
_events = msgspec.json.Decoder(CacheEvent)
_snapshots = msgspec.json.Decoder(CacheSnapshot)


class EventSink:
    """Cut a stream into events."""

    def __init__(self, take: Callable[[CacheEvent], None]) -> None:
        self._take = take
        self._rest = b''
        self._status = 0

    @property
    def status(self) -> int:
        """Return the HTTP status, 0 before it came."""
        return self._status

    def begin(self, transfer: Transfer) -> None:
        """Need no control of the exchange."""

    def head(self, start: AnswerStart) -> None:
        """Take the status."""
        self._status = start.status

    def body(self, chunk: bytes) -> None:
        """Take bytes of the stream."""
        if self._status != _OK:
            return
        texts = (self._rest + chunk).split(_END_OF_EVENT)
        self._rest = texts.pop()
        for text in texts:
            self._parse(text)

    def _parse(self, text: bytes) -> None:
        for line in text.split(b'\n'):
            if not line.startswith(_DATA):
                continue
            try:
                self._take(_events.decode(line[len(_DATA) :]))
            except (*DECODE_ERRORS, ValueError):
                # Counts as a gap: the next event's number tells.
                _log.warning('a cache event could not be read')


class CacheFollower:
    """Keep a view of the cache up to date; one task for each concern."""

    def __init__(
        self,
        worker: Worker,
        is_engine: Callable[[], bool],
        view: CacheView,
    ) -> None:
        self._worker = worker
        self._is_engine = is_engine
        self._view = view
        self._backoff = Backoff(RECONNECT_BASE_S, RECONNECT_CAP_S)
        self._doubt = asyncio.Event()

    async def run(self) -> None:
        """Follow until cancelled."""
        resyncing = asyncio.create_task(self._resync_on_doubt())
        try:
            while True:
                # To a plain service any path is a call that it would
                # execute; the bundle tells, and may come late.
                if self._is_engine():
                    await self._follow()
                await asyncio.sleep(self._backoff.next_s())
        finally:
            resyncing.cancel()
            await asyncio.wait([resyncing])

    async def _follow(self) -> None:
        # Events may be older than the engine keeps: begin from a snapshot.
        await self._resync()
        last = str(self._view.sequence)
        request = WorkerRequest(
            'GET',
            EVENTS_PATH,
            (('Last-Event-ID', last),),
            stall_s=_STALL_S,
        )
        await self._worker.exchange(request, EventSink(self._take))

    def _take(self, event: CacheEvent) -> None:
        CACHE_EVENTS.inc()
        self._backoff.reset()
        self._view.take(event)
        if not self._view.exact:
            self._doubt.set()

    async def _resync_on_doubt(self) -> None:
        while True:
            await self._doubt.wait()
            await self._resync()
            self._doubt.clear()
            blocks = len(self._view)
            await asyncio.sleep(
                RESYNC_PAUSE_S + blocks * RESYNC_PAUSE_S_PER_BLOCK
            )
            if not self._view.exact:
                self._doubt.set()

    async def _resync(self) -> None:
        found = await self._worker.get(SNAPSHOT_PATH)
        if isinstance(found, Broken):
            return
        CACHE_SNAPSHOTS.inc()
        try:
            self._view.reset(_snapshots.decode(found))
        except (*DECODE_ERRORS, ValueError):
            _log.warning('a cache snapshot could not be read')
