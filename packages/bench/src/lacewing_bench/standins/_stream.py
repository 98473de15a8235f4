"""Send a generation's events to one reader."""

import asyncio
from typing import Any

from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from lacewing_bench.standins._generation import Generation


class EventReader:
    """Write events straight from the batch's step, without a wake-up.

    A reader that is slow gets what gathered meanwhile in one write; the
    generation itself never waits.
    """

    def __init__(
        self,
        handler: RequestHandler,
        generation: Generation,
        after: int,
        cut_after: int | None = None,
    ) -> None:
        self._handler = handler
        self._generation = generation
        self._sent = after
        self._cut_after = cut_after
        self._pending: asyncio.Future[None] | None = None
        self._ended = asyncio.Event()

    async def run(self) -> None:
        """Write all events; return after the last one or a cut."""
        generation = self._generation
        generation.follow(self)
        try:
            self.push()
            if generation.ending is not None:
                self.end()
            await self._ended.wait()
            await self._drain()
        except StreamClosedError:
            return
        finally:
            generation.unfollow(self)
        if self._is_cut:
            connection: Any = self._handler.request.connection
            connection.stream.close()

    def push(self) -> None:
        """Write the new events unless an earlier write is under way."""
        if self._pending is not None and not self._pending.done():
            return
        last = self._generation.last_event
        if self._cut_after is not None:
            last = min(last, self._cut_after)
        if last > self._sent:
            events = self._generation.events(self._sent, last)
            self._handler.write(events)
            self._sent = last
            self._pending = self._handler.flush()
        if self._is_cut:
            self._ended.set()

    def end(self) -> None:
        """Let ``run`` write the rest and return."""
        self._ended.set()

    @property
    def _is_cut(self) -> bool:
        return self._cut_after is not None and self._sent >= self._cut_after

    async def _drain(self) -> None:
        while True:
            if self._pending is not None:
                await self._pending
            before = self._sent
            self.push()
            if self._sent == before:
                return
