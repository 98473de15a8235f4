"""Find out which software versions the upstreams of a service have now."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable

from lacewing_common.store import StoreError

from lacewing_daemon.background import TaskSet
from lacewing_daemon.direct._site import Collection
from lacewing_daemon.direct._site import Listing
from lacewing_daemon.direct._site import UpstreamControl
from lacewing_daemon.direct._store_calls import CallReason
from lacewing_daemon.direct._store_calls import StoreCallCounter
from lacewing_daemon.direct._store_eras import StoreEras
from lacewing_daemon.direct._upstream import Software
from lacewing_daemon.direct._upstream import Upstream

# A store and upstreams that are up answer within some ms.
TIMEOUT_S = 0.3
REPORT_TIMEOUT_S = 0.2
# Callers that ask within this time share an inquiry.
GATHER_S = 0.02
# Reads that the store does not answer must leave calls to others.
MAX_READS = 2

_Versions = frozenset[Software] | None


class CurrentVersions:
    """Inquire about upstreams on demand, beside the calls that watch them.

    The store names the upstreams and their versions. A later start may not
    have written its entry yet; engines that are asked tell of theirs in
    reports. One that does not answer counts as the start of its entry. An
    inquiry that answers a caller begins after the caller has asked.
    ``is_engine`` returns whether the upstreams of a service answer reports.
    """

    def __init__(
        self,
        upstreams: Collection[Upstream],
        control: UpstreamControl,
        is_engine: Callable[[str], bool],
        calls: StoreCallCounter,
        eras: StoreEras,
    ) -> None:
        self._upstreams = upstreams
        self._control = control
        self._is_engine = is_engine
        self._calls = calls
        self._eras = eras
        self._next: dict[tuple[str, bool], asyncio.Task[_Versions]] = {}
        self._reads = asyncio.Semaphore(MAX_READS)
        self._tasks = TaskSet('inquiry about versions')

    async def versions(self, service: str, asks_engines: bool) -> _Versions:
        """Return the versions of a service, None if they are not certain."""
        key = (service, asks_engines)
        inquiry = self._next.get(key)
        if inquiry is None:
            inquiry = self._tasks.start(self._inquire(service, asks_engines))
            self._next[key] = inquiry
        await asyncio.wait((inquiry,), timeout=TIMEOUT_S)
        if not inquiry.done() or inquiry.cancelled() or inquiry.exception():
            return None
        return inquiry.result()

    def close(self) -> None:
        """Cancel open inquiries."""
        self._tasks.cancel()

    async def _inquire(self, service: str, asks_engines: bool) -> _Versions:
        async with self._reads:
            await asyncio.sleep(GATHER_S)
            del self._next[service, asks_engines]
            listing = await self._read()
        if listing is None:
            return None
        found = []
        for upstream in listing.entries.values():
            if upstream.service == service:
                found.append(upstream)
        if asks_engines and self._is_engine(service):
            if await self._has_other_start(found):
                return None
        return frozenset(upstream.software for upstream in found)

    async def _read(self) -> Listing[Upstream] | None:
        """Read the entries, None if the list may lack some."""
        self._calls.count('upstreams', CallReason.CONFIRM)
        era = self._eras.current
        listing = await self._upstreams.read()
        if isinstance(listing, StoreError):
            return None
        self._eras.observe(listing.era)
        return None if self._eras.current != era else listing

    async def _has_other_start(self, engines: Iterable[Upstream]) -> bool:
        """Return whether an engine reports a start that has no entry."""
        reports = {}
        for engine in engines:
            if engine.started_ms:
                report_call = self._control.report(engine)
                reports[self._tasks.start(report_call)] = engine
        if not reports:
            return False
        answered, _ = await asyncio.wait(reports, timeout=REPORT_TIMEOUT_S)
        for call in answered:
            report = None if call.exception() else call.result()
            if report is None:
                continue
            if report.started_ms != reports[call].started_ms:
                return True
        return False
