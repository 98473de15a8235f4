"""Follow the platform's lagging VM list."""

import asyncio
from random import Random

from lacewing_common.backoff import Backoff
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.store import ObjectReads
from lacewing_common.store import StoreError

from lacewing_daemon.members._known import KnownMembers

_POLL_S = 2.0
_JITTER = 0.25
_RETRY_BASE_S = 2.0
_RETRY_CAP_S = 8.0


async def follow_vm_list(
    platform: ObjectReads, members: KnownMembers, random: Random
) -> None:
    """Read the list about every 2 s; keep the last one in an outage."""
    log = get_log(Part.MEMBERS)
    backoff = Backoff(_RETRY_BASE_S, _RETRY_CAP_S, random)
    failing = False
    while True:
        answer = await platform.vms()
        if isinstance(answer, StoreError):
            if not failing:
                log.warning('VM list not read.', error=answer.message)
            failing = True
            await asyncio.sleep(_POLL_S + backoff.next_s())
            continue
        if failing:
            log.info('VM list read again.', vms=len(answer))
        failing = False
        backoff.reset()
        members.take_list(answer)
        await asyncio.sleep(_poll_s(random))


def _poll_s(random: Random) -> float:
    """Spread the reads, so that a herd of routers stays spread out."""
    return _POLL_S * random.uniform(1 - _JITTER, 1 + _JITTER)
