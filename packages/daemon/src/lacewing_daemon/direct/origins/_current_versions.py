"""Find out which software versions the upstreams of a service have now."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from lacewing_common.store import StoreError

from lacewing_daemon.background import TaskSet
from lacewing_daemon.direct._attempt import Contact
from lacewing_daemon.direct._site import Collection
from lacewing_daemon.direct._site import UpstreamControl
from lacewing_daemon.direct._store_calls import CallReason
from lacewing_daemon.direct._store_calls import StoreCallCounter
from lacewing_daemon.direct._store_eras import StoreEras
from lacewing_daemon.direct._upstream import Software
from lacewing_daemon.direct._upstream import Upstream

# A store and upstreams that are up answer within some ms.
TIMEOUT_S = 0.3
# Callers that ask within this time share an inquiry.
GATHER_S = 0.02
# Inquiries that the store does not answer must leave calls to others.
MAX_OPEN = 2

_Versions = frozenset[Software] | None


class CurrentVersions:
    """Inquire about upstreams on demand, beside the calls that watch them.

    The store names the upstreams and their versions. Each one confirms by a
    report that it is still the start that its entry is of: a later start may
    not have written its entry yet. An inquiry that answers a caller begins
    after the caller has asked. ``probe`` tries to connect; ``is_engine``
    returns whether the upstreams of a service answer reports.
    """

    def __init__(
        self,
        upstreams: Collection[Upstream],
        control: UpstreamControl,
        probe: Callable[[Upstream], Awaitable[Contact]],
        is_engine: Callable[[str], bool],
        calls: StoreCallCounter,
        eras: StoreEras,
    ) -> None:
        self._upstreams = upstreams
        self._control = control
        self._probe = probe
        self._is_engine = is_engine
        self._calls = calls
        self._eras = eras
        self._next: dict[str, asyncio.Task[_Versions]] = {}
        self._places = asyncio.Semaphore(MAX_OPEN)
        self._tasks = TaskSet('inquiry about versions')

    async def versions(self, service: str) -> _Versions:
        """Return the versions of a service, None if they are not certain."""
        inquiry = self._next.get(service)
        if inquiry is None:
            inquiry = self._tasks.start(self._inquire_next(service))
            self._next[service] = inquiry
        await asyncio.wait((inquiry,), timeout=TIMEOUT_S)
        if not inquiry.done() or inquiry.cancelled() or inquiry.exception():
            return None
        return inquiry.result()

    def close(self) -> None:
        """Cancel open inquiries."""
        self._tasks.cancel()

    async def _inquire_next(self, service: str) -> _Versions:
        async with self._places:
            await asyncio.sleep(GATHER_S)
            del self._next[service]
            return await self._inquire(service)

    async def _inquire(self, service: str) -> _Versions:
        """Read the entries of the upstreams, and ask each for a report."""
        self._calls.count('upstreams', CallReason.CONFIRM)
        era = self._eras.current
        listing = await self._upstreams.read()
        if isinstance(listing, StoreError):
            return None
        self._eras.observe(listing.era)
        if self._eras.current != era:
            # The store has lost writes and may lack the entry of an upstream.
            return None
        found = []
        for upstream in listing.entries.values():
            if upstream.service == service:
                found.append(upstream)
        checks = [self._is_current(upstream) for upstream in found]
        if not all(await asyncio.gather(*checks)):
            return None
        return frozenset(upstream.software for upstream in found)

    async def _is_current(self, upstream: Upstream) -> bool:
        """Return whether no later start has taken the place of an upstream."""
        if not upstream.started_ms or not self._is_engine(upstream.service):
            return True
        report = await self._control.report(upstream)
        if report is not None:
            return report.started_ms == upstream.started_ms
        return await self._probe(upstream) is Contact.REFUSED
