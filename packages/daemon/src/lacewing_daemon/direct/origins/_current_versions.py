"""Read which software versions upstreams have in the store now."""

import asyncio
import time

from lacewing_common.store import StoreError

from lacewing_daemon.background import TaskSet
from lacewing_daemon.direct._site import Collection
from lacewing_daemon.direct._site import Listing
from lacewing_daemon.direct._store_calls import CallReason
from lacewing_daemon.direct._store_calls import StoreCallCounter
from lacewing_daemon.direct._store_eras import StoreEras
from lacewing_daemon.direct._upstream import Software
from lacewing_daemon.direct._upstream import Upstream

# A store that is up answers within some ms.
READ_TIMEOUT_S = 0.25


class CurrentVersions:
    """Read the entries of upstreams on demand, beside those that watch them.

    Each question is answered by a read that began after it was asked. All
    questions that are asked while a read is under way share the next one.
    """

    def __init__(
        self,
        upstreams: Collection[Upstream],
        calls: StoreCallCounter,
        eras: StoreEras,
    ) -> None:
        self._upstreams = upstreams
        self._calls = calls
        self._eras = eras
        self._current: asyncio.Task[Listing[Upstream] | None] | None = None
        self._next: asyncio.Task[Listing[Upstream] | None] | None = None
        self._started_s = float('-inf')
        self._tasks = TaskSet('read of versions')

    async def versions(self, service: str) -> frozenset[Software] | None:
        """Return the versions of a service, None if they are not known."""
        if self._next is None:
            self._next = self._tasks.start(self._read_next())
        read = self._next
        await asyncio.wait((read,), timeout=READ_TIMEOUT_S)
        if not read.done() or read.cancelled() or read.exception():
            return None
        listing = read.result()
        if listing is None:
            return None
        found = set()
        for upstream in listing.entries.values():
            if upstream.service == service:
                found.add(upstream.software)
        return frozenset(found)

    def close(self) -> None:
        """Cancel open reads."""
        self._tasks.cancel()

    async def _read_next(self) -> Listing[Upstream] | None:
        """Read the entries once the read under way is over."""
        wait_s = self._started_s + READ_TIMEOUT_S - time.monotonic()
        if self._current is not None and wait_s > 0:
            await asyncio.wait((self._current,), timeout=wait_s)
        self._current, self._next = self._next, None
        self._started_s = time.monotonic()
        self._calls.count('upstreams', CallReason.CONFIRM)
        era = self._eras.current
        listing = await self._upstreams.read()
        if isinstance(listing, StoreError):
            return None
        self._eras.observe(listing.era)
        # A store that has just lost writes may lack the entry of an upstream.
        return None if self._eras.current != era else listing
