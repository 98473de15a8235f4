"""Let a request wait while another one computes the same prefix."""

import asyncio

from lacewing_common.prefix import HASH_BYTES
from lacewing_common.wire import Start

from lacewing_daemon.agent._cache_view import CacheView

MOST_WAIT_S = 1.0


class Computing:
    """Know which levels are being computed at this moment.

    An engine looks up the cache when a request enters its batch. Two
    requests that enter together both compute the prefix that they share:
    seen as wasted tokens after each eviction of a hot prefix. The second
    waits here for the first one's first token, and then hits.
    """

    def __init__(self, view: CacheView) -> None:
        self._view = view
        self._levels: dict[bytes, asyncio.Event] = {}

    async def wait(self, start: Start) -> None:
        """Wait for the innermost missing level that is being computed."""
        for end in reversed(start.levels):
            key = _key(start, end)
            if key in self._view:
                return
            event = self._levels.get(key)
            if event is None:
                continue
            waiting = asyncio.ensure_future(event.wait())
            await asyncio.wait([waiting], timeout=MOST_WAIT_S)
            waiting.cancel()
            return

    def begin(self, start: Start) -> asyncio.Event:
        """Note that a request computes its missing levels."""
        event = asyncio.Event()
        for end in start.levels:
            key = _key(start, end)
            if key in self._view or key in self._levels:
                continue
            self._levels[key] = event
        return event

    def end(self, start: Start, event: asyncio.Event) -> None:
        """Note that they are computed, or won't be."""
        event.set()
        for end in start.levels:
            key = _key(start, end)
            if self._levels.get(key) is event:
                del self._levels[key]


def _key(start: Start, end: int) -> bytes:
    return start.blocks[(end - 1) * HASH_BYTES : end * HASH_BYTES]
