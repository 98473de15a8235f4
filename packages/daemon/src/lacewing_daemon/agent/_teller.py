"""Tell routers of load and cache, each within its allowance."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from lacewing_common.wire import AgentFrame
from lacewing_common.wire import Knowledge
from lacewing_common.wire import LoadReport

from lacewing_daemon.agent._digest import Digest

TICK_S = 0.05
# A load that differs by less than this is not worth a message.
NEWS_MS = 5.0


class Listener(Protocol):
    """Take frames that belong to no answer."""

    def notify(self, frame: AgentFrame) -> None:
        """Send a frame."""


@dataclass
class _Told:
    digest: Digest
    due_s: float
    load: LoadReport


class Teller:
    """Hold a digest for each link and send what is due."""

    def __init__(
        self,
        load: Callable[[], LoadReport],
        epoch: Callable[[], str],
    ) -> None:
        self._load = load
        self._epoch = epoch
        self._told: dict[Listener, _Told] = {}

    def opened(
        self, link: Listener, bytes_s: float, held: list[bytes]
    ) -> None:
        """Begin to tell a link, first of the levels that are held."""
        now_s = time.monotonic()
        digest = Digest(bytes_s, now_s)
        if not digest.enabled:
            return
        for key in reversed(held):
            digest.change(key, True)
        self._told[link] = _Told(digest, now_s, LoadReport())

    def closed(self, link: Listener) -> None:
        """Stop telling a link."""
        self._told.pop(link, None)

    def change(self, key: bytes, stored: bool) -> None:
        """Note a level that the cache gained or lost, for all links."""
        for told in self._told.values():
            told.digest.change(key, stored)

    async def run(self) -> None:
        """Tell until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self.tell(time.monotonic())

    def tell(self, now_s: float) -> None:
        """Send each link what is due."""
        load = None
        for link, told in self._told.items():
            if now_s < told.due_s:
                continue
            load = load or self._load()
            if not told.digest.pending and not _is_news(told.load, load):
                continue
            if not told.digest.earn(now_s):
                continue
            told.due_s = now_s + told.digest.period_s / 2
            told.load = load
            stored, evicted = told.digest.take()
            link.notify(Knowledge(load, self._epoch(), stored, evicted))


def _is_news(told: LoadReport, load: LoadReport) -> bool:
    if (told.queued, told.running) != (load.queued, load.running):
        return True
    return abs(told.backlog_ms - load.backlog_ms) > NEWS_MS
