"""Follow the platform's lagging VM list."""

import asyncio
from random import Random

from lacewing_common.backoff import Backoff
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.store import ObjectReads
from lacewing_common.store import StoreError

from lacewing_daemon.members._known import KnownMembers

_FIRST_READ_S = 1.0
_POLL_S = 2.0
_JITTER = 0.25
_RETRY_BASE_S = 2.0
_RETRY_CAP_S = 8.0


class VmListFollower:
    """Read the list about every 2 s; keep the last one in an outage."""

    def __init__(
        self, platform: ObjectReads, members: KnownMembers, random: Random
    ) -> None:
        self._platform = platform
        self._members = members
        self._random = random
        self._backoff = Backoff(_RETRY_BASE_S, _RETRY_CAP_S, random)
        self._failing = False
        self._log = get_log(Part.MEMBERS)

    async def read_first(self) -> None:
        """Read the list before callers come, if the platform is up.

        A router that took callers first would refuse them, as it knows no
        agent yet. One that waited for ever would not serve in an outage,
        though its seeds may do.
        """
        try:
            async with asyncio.timeout(_FIRST_READ_S):
                await self._read()
        except TimeoutError:
            self._note_failure('no answer in time for the start')

    async def follow(self) -> None:
        """Read the list until cancelled."""
        while True:
            await asyncio.sleep(self._pause_s())
            await self._read()

    async def _read(self) -> None:
        answer = await self._platform.vms()
        if isinstance(answer, StoreError):
            self._note_failure(answer.message)
            return
        if self._failing:
            self._log.info('VM list read again.', vms=len(answer))
        self._failing = False
        self._backoff.reset()
        self._members.take_list(answer)

    def _note_failure(self, message: str) -> None:
        if not self._failing:
            self._log.warning('VM list not read.', error=message)
        self._failing = True

    def _pause_s(self) -> float:
        """Spread the reads, so that a herd of routers stays spread out."""
        pause_s = _POLL_S * self._random.uniform(1 - _JITTER, 1 + _JITTER)
        if self._failing:
            pause_s += self._backoff.next_s()
        return pause_s
