"""Send the traffic as patient, impatient and careless callers would."""

import asyncio
import time
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from lacewing_bench.caller import Answer
from lacewing_bench.caller import Caller
from lacewing_bench.caller import Progress
from lacewing_bench.chaos._judge import Finding
from lacewing_bench.chaos._judge import judge
from lacewing_bench.chaos._traffic import Ask
from lacewing_bench.chaos._traffic import GIVE_UP_S
from lacewing_bench.fleet import Fleet

_PATIENCE_S = 25.0
_UNSENT_WAIT_S = 0.1
_DEFAULT_WAIT_S = 0.3
_MOST_TRIES = 8
_NEAR_S = 0.05
_SHOWN_ERROR = 300
_CALLS_AT_ONCE = 2000
_FINAL = (
    Finding.RIGHT,
    Finding.CROSSED,
    Finding.DOUBLED,
    Finding.SILENT,
    Finding.TIMEOUT,
    Finding.UNMARKED,
)


class TimedProgress(Progress):
    """Note when each piece of an answer came."""

    def __init__(self) -> None:
        super().__init__()
        self._times: list[float] = []

    @property
    def times(self) -> Sequence[float]:
        """Return readings of ``time.monotonic``."""
        return self._times

    def take(self, piece: bytes) -> None:
        """Add a piece."""
        super().take(piece)
        self._times.append(time.monotonic())


@dataclass(frozen=True)
class Try:
    """Hold one sending; times are readings of ``time.monotonic``.

    ``request_id`` is the router's name for it, '' when no answer said it.
    """

    router: str
    sent_s: float
    ended_s: float
    finding: Finding
    status: int
    text: str
    request_id: str
    times: tuple[float, ...]


@dataclass
class Served:
    """Hold a request and all tries of it."""

    ask: Ask
    tries: list[Try] = field(default_factory=list)


class Callers:
    """Send requests in an open loop through the routers in turn."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._caller = Caller(fleet.team_keys, calls_at_once=_CALLS_AT_ONCE)
        self._turn = 0

    async def run(
        self,
        asks: Sequence[Ask],
        started_s: float,
        ended: Callable[[], object],
    ) -> list[Served]:
        """Send each request when due; return what came of all."""
        tasks: list[asyncio.Task[Served]] = []
        async with asyncio.TaskGroup() as group:
            for ask in asks:
                wait_s = started_s + ask.at_s - time.monotonic()
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                task = group.create_task(self._serve(ask))
                task.add_done_callback(lambda _: ended())
                tasks.append(task)
        return [task.result() for task in tasks]

    def close(self) -> None:
        """Close all connections."""
        self._caller.close()

    async def _serve(self, ask: Ask) -> Served:
        served = Served(ask)
        if ask.again_after_s is None:
            await self._persist(served)
            return served
        await asyncio.gather(
            self._persist(served), self._again(served, ask.again_after_s)
        )
        return served

    async def _again(self, served: Served, wait_s: float) -> None:
        await asyncio.sleep(wait_s)
        await self._persist(served)

    async def _persist(self, served: Served) -> None:
        """Ask until there is an answer or no use in asking."""
        ask = served.ask
        until_s = time.monotonic() + _PATIENCE_S
        hang_up_s = ask.hang_up_s
        for _ in range(_MOST_TRIES):
            one, answer = await self._reach(ask, hang_up_s, until_s)
            served.tries.append(one)
            # Who hung up once waits for the answer of the repeat.
            hang_up_s = None
            if _is_settled(ask, one) or time.monotonic() > until_s:
                return
            await asyncio.sleep(answer.retry_after_s or _DEFAULT_WAIT_S)

    async def _reach(
        self, ask: Ask, hang_up_s: float | None, until_s: float
    ) -> tuple[Try, Answer]:
        """Send to the next router that takes connections."""
        while True:
            one, answer = await self._send(ask, hang_up_s)
            if one.finding is not Finding.UNSENT:
                return one, answer
            if time.monotonic() > until_s:
                return one, answer
            await asyncio.sleep(_UNSENT_WAIT_S)

    async def _send(
        self, ask: Ask, hang_up_s: float | None
    ) -> tuple[Try, Answer]:
        names = self._fleet.router_names
        self._turn += 1
        router = names[self._turn % len(names)]
        timeout_s = hang_up_s or GIVE_UP_S
        call = replace(ask.call, timeout_s=timeout_s)
        progress = TimedProgress()
        sent_s = time.monotonic()
        answer = await self._caller.send(
            self._fleet.caller_url(router), call, progress
        )
        ended_s = time.monotonic()
        finding = judge(answer, progress.body, call)
        timed_out = ended_s - sent_s > timeout_s - _NEAR_S
        if timed_out and finding in (Finding.SILENT, Finding.BROKEN):
            finding = Finding.TIMEOUT
            if hang_up_s is not None:
                finding = Finding.HUNG_UP
        text = '' if finding is Finding.RIGHT else answer.text
        if finding is Finding.MARKED:
            # What the stream said last is its error.
            text = progress.body[-_SHOWN_ERROR:]
        made = Try(
            router,
            sent_s,
            ended_s,
            finding,
            answer.status,
            text,
            answer.request_id,
            tuple(progress.times),
        )
        return made, answer


def _is_settled(ask: Ask, one: Try) -> bool:
    """Tell whether the caller takes an answer for the last."""
    if one.finding in _FINAL:
        return True
    if one.finding is Finding.REFUSED:
        return ask.impatient
    if ask.at_most_once and not ask.call.idempotency_key:
        # Only a key makes it safe to repeat what may have run.
        return True
    if one.finding is Finding.HUNG_UP:
        return not ask.call.idempotency_key
    return False
