"""Send a workload in an open loop and judge each answer."""

import asyncio
import time
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass

from lacewing_bench.caller import Answer
from lacewing_bench.caller import Call
from lacewing_bench.caller import Caller
from lacewing_bench.load._judge import expected_text
from lacewing_bench.load._judge import Finding
from lacewing_bench.load._judge import judge
from lacewing_bench.load._request import TimedRequest

_MS = 1000.0
_MOST_TRIES = 8
_GIVE_UP_S = 20.0
_AT_ONCE_S = 0.05
_NOT_RUN = 'not-run'
_ELSEWHERE = ('draining:', 'not_ready:')


@dataclass(frozen=True)
class Outcome:
    """Hold what came of one request.

    ``lag_ms``: how late the client itself sent it. ``first_ms``: from when
    it was due to the first byte of the answer, refusals and waits included;
    None for answers that were not streamed or didn't begin.
    """

    request: TimedRequest
    finding: Finding
    status: int
    tries: int
    lag_ms: float
    first_ms: float | None
    said: str


class LoadClient:
    """Send requests to the routers in turn, as a balancer would.

    A refusal that says not-run is asked again after its Retry-After, or at
    once at the next router when this one takes no requests.
    """

    def __init__(
        self, caller: Caller, routers: Sequence[str], weights: str
    ) -> None:
        self._caller = caller
        self._routers = tuple(routers)
        self._weights = weights
        self._turn = 0

    async def run(
        self,
        requests: Sequence[TimedRequest],
        ended: Callable[[], object],
    ) -> list[Outcome]:
        """Send each request when due; return all outcomes, in order."""
        started = time.monotonic()
        tasks: list[asyncio.Task[Outcome]] = []
        for request in requests:
            due = started + request.at_s
            wait_s = due - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            task = asyncio.create_task(self._serve(request, due))
            task.add_done_callback(lambda _: ended())
            tasks.append(task)
        return list(await asyncio.gather(*tasks))

    async def _serve(self, request: TimedRequest, due: float) -> Outcome:
        lag_ms = (time.monotonic() - due) * _MS
        call = Call(
            title='',
            team=request.team,
            path=request.path,
            body=request.body,
            idempotency_key=request.idempotency_key or '',
        )
        tries = 0
        while True:
            tries += 1
            sent_at = time.monotonic()
            answer = await self._caller.send(self._next_router(), call)
            wait_s = _wait_before_retry(answer)
            late = time.monotonic() - due > _GIVE_UP_S
            if wait_s is None or tries >= _MOST_TRIES or late:
                break
            await asyncio.sleep(wait_s)
        first_ms = None
        if request.is_streamed and answer.events:
            first_ms = (sent_at - due) * _MS + answer.first_ms
        finding = judge(answer, expected_text(request, self._weights))
        said = '' if finding is Finding.RIGHT else answer.text
        return Outcome(
            request, finding, answer.status, tries, lag_ms, first_ms, said
        )

    def _next_router(self) -> str:
        self._turn += 1
        return self._routers[self._turn % len(self._routers)]


def _wait_before_retry(answer: Answer) -> float | None:
    if not answer.sent:
        return _AT_ONCE_S
    if answer.verdict != _NOT_RUN:
        return None
    if answer.text.startswith(_ELSEWHERE):
        return _AT_ONCE_S
    return answer.retry_after_s
