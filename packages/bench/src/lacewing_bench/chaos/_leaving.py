"""Watch by its stand-in that a leaving worker begins no new request."""

import asyncio
import time
from dataclasses import dataclass

import msgspec
from tornado.curl_httpclient import CurlError

from lacewing_bench.fleet import Fleet
from lacewing_bench.load._work import WorkerCounts

ALLOWED_S = 3.0
_STEP_S = 0.1


@dataclass(frozen=True)
class Watched:
    """Hold when the last request began, from the notice, and late ones."""

    stopped_s: float
    late: int


class LeavingWatch:
    """Look at a worker's count from its notice to its agent's end."""

    def __init__(self, fleet: Fleet, agent: str, notice_s: float) -> None:
        self._fleet = fleet
        self._agent = agent
        self._url = fleet.worker_urls[agent.removeprefix('agent-')]
        self._notice_at = time.monotonic() + notice_s
        self._stopped_s = 0.0
        self._late = 0
        self._pid = fleet.process(agent).pid
        self._task = asyncio.create_task(self._watch())

    async def watched(self) -> Watched:
        """Wait for the agent's end and tell what was seen."""
        await self._task
        return Watched(self._stopped_s, self._late)

    async def _watch(self) -> None:
        known = await self._begun()
        while self._runs():
            # Requests counted now began before this moment.
            since_s = time.monotonic() - self._notice_at
            await asyncio.sleep(_STEP_S)
            begun = await self._begun()
            # Nothing known yet: the worker was down when the watch began.
            fresh = len(begun - known) if known else 0
            known |= begun
            if not fresh:
                continue
            self._stopped_s = max(self._stopped_s, since_s)
            if since_s > ALLOWED_S:
                self._late += fresh

    def _runs(self) -> bool:
        # The next run of the agent takes work again.
        process = self._fleet.process(self._agent)
        return process.exit_code is None and process.pid == self._pid

    async def _begun(self) -> frozenset[str]:
        try:
            answer = await self._fleet.read(f'{self._url}/counts')
        except CurlError:
            # It has crashed, too; its counts will be there again.
            return frozenset()
        counts = msgspec.json.decode(answer, type=WorkerCounts)
        return frozenset(counts.executions)
