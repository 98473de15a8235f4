"""Connect the stream origins of many routers in one process."""

import asyncio
from collections.abc import Sequence

from lacewing_daemon.direct._upstream import Software
from lacewing_daemon.direct._upstream import Upstream
from lacewing_daemon.direct.origins import Question
from lacewing_daemon.direct.origins import StreamOrigins
from lacewing_daemon.direct.origins import UnknownOrigin
from lacewing_daemon.direct.origins._directory import Answer
from lacewing_daemon.direct.origins._directory import SentOrigin


class SilentCalls:
    """Answer no call until its time is over."""

    async def record(
        self, _address: str, _origins: Sequence[SentOrigin], timeout_s: float
    ) -> bool:
        """Wait, then report that nothing is kept."""
        await asyncio.sleep(timeout_s)
        return False

    async def find(
        self, _address: str, _question: Question, timeout_s: float
    ) -> Answer:
        """Wait, then report that no answer came."""
        await asyncio.sleep(timeout_s)
        return Answer(UnknownOrigin.NO_ANSWER)


class OriginFleet:
    """Hold the origins of all routers and carry the calls between them.

    It is the ``OriginCalls`` of each of them. Routers in ``killed`` refuse
    calls at once, those in ``dark`` answer none. ``present`` has the
    upstreams that a router knows.
    """

    def __init__(self, count: int) -> None:
        self.killed: set[str] = set()
        self.dark: set[str] = set()
        self.now_s = 0.0
        self.routers: dict[str, StreamOrigins] = {}
        self.present: dict[str, list[Upstream]] = {}
        self.records_sent = 0
        for number in range(count):
            address = f'10.0.{number // 250}.{number % 250}:7000'
            self.routers[address] = self._router(address)

    def _router(self, address: str) -> StreamOrigins:
        def peers() -> Sequence[str]:
            return [each for each in self.routers if each != address]

        origins = StreamOrigins(
            peers,
            lambda _service: self.present.get(address, []),
            self._current,
            lambda: self.now_s,
        )
        origins.connect(self)
        return origins

    async def _current(self, _service: str) -> frozenset[Software]:
        """Return the versions that any router knows, as the store has them."""
        found = set()
        for upstreams in self.present.values():
            for upstream in upstreams:
                found.add(upstream.software)
        return frozenset(found)

    async def record(
        self, address: str, origins: Sequence[SentOrigin], timeout_s: float
    ) -> bool:
        """Keep records at a router that lives."""
        await asyncio.sleep(timeout_s if address in self.dark else 0)
        if address in self.killed | self.dark:
            return False
        for sent in origins:
            self.records_sent += 1
            self.routers[address].keep(sent)
        return True

    async def find(
        self, address: str, question: Question, timeout_s: float
    ) -> Answer:
        """Look a stream up at a router that lives."""
        await asyncio.sleep(timeout_s if address in self.dark else 0)
        if address in self.killed | self.dark:
            return Answer(UnknownOrigin.NO_ANSWER)
        return self.routers[address].answer(question)
