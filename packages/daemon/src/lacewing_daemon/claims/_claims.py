"""Hold the writers of all ranges for one run of an agent."""

import asyncio
import secrets
import time
from random import Random

from lacewing_common.claim_key import range_of
from lacewing_common.store import ObjectStore

from lacewing_daemon.background import keep_running
from lacewing_daemon.claims._limits import ClaimLimits
from lacewing_daemon.claims._metrics import CLAIM_ANSWERS
from lacewing_daemon.claims._range_writer import RangeWriter
from lacewing_daemon.claims._range_writer import WallClock
from lacewing_daemon.claims._record import Outcome
from lacewing_daemon.claims._requests import ClaimAnswer
from lacewing_daemon.claims._requests import ClaimRequest
from lacewing_daemon.claims._requests import Closing
from lacewing_daemon.claims._requests import Permit
from lacewing_daemon.claims._ruling import unavailable

_OWNER_BITS = 63
_FLUSH_STEP_S = 0.02
_GRANTED = 'granted'
_REPLAYED = 'replayed'
_LIMITS = ClaimLimits()


class Claims:
    """Claim the calls of one service in the platform.

    Its owner nonce is new with each run of the agent: the next run doesn't
    know what this one ran, so it must not take a claim of it for its own.
    """

    def __init__(
        self,
        store: ObjectStore | None,
        service: str,
        limits: ClaimLimits = _LIMITS,
        clock: WallClock = time.time,
        random: Random | None = None,
    ) -> None:
        self._store = store
        self._service = service
        self._limits = limits
        self._clock = clock
        self._random = random or Random()
        self._owner = secrets.randbits(_OWNER_BITS)
        self._writers: dict[int, RangeWriter] = {}
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def limits(self) -> ClaimLimits:
        """Return the bounds in force."""
        return self._limits

    @property
    def owes_writes(self) -> bool:
        """Tell whether an outcome or a withdrawal is not written yet."""
        return any(each.owes_writes for each in self._writers.values())

    async def claim(self, request: ClaimRequest, wait_s: float) -> ClaimAnswer:
        """Give a permit, the kept answer or a refusal.

        ``wait_s`` bounds the wait for another attempt of the same call.
        """
        if self._store is None:
            return unavailable('this agent has no platform in its settings')
        writer = self._writer(self._store, range_of(request.key))
        answer = await writer.claim(request, wait_s)
        CLAIM_ANSWERS.labels(_label(answer)).inc()
        return answer

    def close_permit(self, closing: Closing) -> None:
        """Take what became of a permit."""
        self._writers[range_of(closing.request.key)].close(closing)

    async def written(self, request: ClaimRequest, seconds: float) -> None:
        """Wait until the end of a permit is written, if the time allows."""
        writer = self._writers[range_of(request.key)]
        writer.hurry()
        deadline = time.monotonic() + seconds
        while writer.owes(request) and time.monotonic() < deadline:
            await asyncio.sleep(_FLUSH_STEP_S)

    async def flush(self, seconds: float) -> None:
        """Write what is owed, as far as the time allows."""
        deadline = time.monotonic() + seconds
        for writer in self._writers.values():
            writer.hurry()
        while self.owes_writes and time.monotonic() < deadline:
            await asyncio.sleep(_FLUSH_STEP_S)

    async def close(self) -> None:
        """Stop writing."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _writer(self, store: ObjectStore, number: int) -> RangeWriter:
        writer = self._writers.get(number)
        if writer is not None:
            return writer
        writer = RangeWriter(
            store,
            f'{self._service}-{number}',
            self._owner,
            self._limits,
            self._random,
            self._clock,
        )
        self._writers[number] = writer
        self._tasks.append(
            asyncio.create_task(keep_running('claims', writer.run))
        )
        return writer


def _label(answer: ClaimAnswer) -> str:
    if isinstance(answer, Permit):
        return _GRANTED
    if isinstance(answer, Outcome):
        return _REPLAYED
    return answer.reason.value
