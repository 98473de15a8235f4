"""Give answers that came on another request's connection to their own."""

import asyncio
from dataclasses import dataclass

from lacewing_daemon.agent._transfer import AnswerStart

# How long a request waits for its answer after its connection brought
# another one's.
STRAY_WAIT_S = 2.0


@dataclass(frozen=True)
class Stray:
    """Hold a whole answer; ``start.request_id`` names whose it is."""

    start: AnswerStart
    body: bytes


class Strays:
    """Match crossed answers with the requests that wait for them.

    A plain service keeps no answers to fetch again. When it crosses two
    calls that must not be repeated, each has run and each answer is here,
    only on the wrong connection; refusing both would lose two answers that
    cannot be had a second time.
    """

    def __init__(self) -> None:
        self._expected: dict[str, asyncio.Future[Stray]] = {}

    def expect(self, request_id: str) -> None:
        """Take strays for a request from now on."""
        self._expected[request_id] = asyncio.Future()

    def forget(self, request_id: str) -> None:
        """Take no more strays for a request."""
        self._expected.pop(request_id, None)

    def offer(self, stray: Stray) -> None:
        """Keep a stray for its request; drop it if none waits."""
        expected = self._expected.get(stray.start.request_id)
        if expected is not None and not expected.done():
            expected.set_result(stray)

    async def take(self, request_id: str) -> Stray | None:
        """Wait a little for a request's answer."""
        expected = self._expected[request_id]
        await asyncio.wait([expected], timeout=STRAY_WAIT_S)
        return expected.result() if expected.done() else None
