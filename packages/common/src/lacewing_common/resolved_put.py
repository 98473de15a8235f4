"""Write at most once and resolve lost responses."""

import asyncio
from dataclasses import dataclass
from random import Random

from lacewing_common.backoff import Backoff
from lacewing_common.store import MUST_NOT_EXIST
from lacewing_common.store import SingleObjects
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault


@dataclass(frozen=True)
class ResolvePolicy:
    """Configure how a write with a lost response is resolved, in seconds."""

    give_up_after_s: float = 10.0
    backoff_base_s: float = 0.05
    backoff_cap_s: float = 1.0


async def put_with_resolution(
    store: SingleObjects,
    kind: str,
    name: str,
    value: bytes,
    expect: int,
    policy: ResolvePolicy | None = None,
    random: Random | None = None,
    era: int = 0,
) -> StoredObject | StoreError:
    """Write if the version is ``expect``; read back after a lost response.

    ``value`` must contain a nonce that is new for each change, so that equal
    bytes mean that this write took effect. UNKNOWN is returned only if the
    platform can't be read in time, or if the object has been replaced or
    deleted since, in which case this write may have been active before.

    A plain retry after a lost response would report a conflict with the
    writer's own change, or revert a later one. Here each retry has the same
    precondition, so the platform accepts at most one of them.
    """
    answer = await store.put(kind, name, value, expect)
    if not _is_unknown(answer):
        return answer
    policy = policy or ResolvePolicy()
    backoff = Backoff(policy.backoff_base_s, policy.backoff_cap_s, random)
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + policy.give_up_after_s
    while loop.time() < give_up_at:
        current = await store.get(kind, name)
        if 0 < era < current.era:
            return StoreError(
                StoreFault.UNKNOWN,
                f'the store was restored during the write of {kind}/'
                f'{name}; expected era {era}, got {current.era}',
                era=current.era,
            )
        result = _resolve(current, value, expect)
        if result is not None:
            return result
        if _is_unchanged(current, expect):
            # The lost write may still be in flight. One of the two writes
            # succeeds; the other gets a conflict, which the next read
            # resolves.
            answer = await store.put(kind, name, value, expect)
            if isinstance(answer, StoredObject):
                return answer
        await asyncio.sleep(backoff.next_s())
    return StoreError(
        StoreFault.UNKNOWN,
        f'the response to the write of {kind}/{name} was lost and reading'
        f' back failed for {policy.give_up_after_s} s; read it again',
    )


def _is_unknown(answer: StoredObject | StoreError) -> bool:
    if isinstance(answer, StoredObject):
        return False
    return answer.fault is StoreFault.UNKNOWN


def _is_unchanged(current: StoredObject | StoreError, expect: int) -> bool:
    if isinstance(current, StoredObject):
        return current.version == expect
    return current.fault is StoreFault.NOT_FOUND and expect == MUST_NOT_EXIST


def _resolve(
    current: StoredObject | StoreError, value: bytes, expect: int
) -> StoredObject | StoreError | None:
    if isinstance(current, StoreError):
        if current.fault is StoreFault.NOT_FOUND and expect != MUST_NOT_EXIST:
            return StoreError(
                StoreFault.UNKNOWN,
                f'deleted since the write: {current.message}',
            )
        return None
    if current.version == expect:
        return None
    if current.value == value:
        return current
    # Versions are consecutive integers: no other write can have happened
    # between ``expect`` and this version.
    if current.version == expect + 1:
        return StoreError(
            StoreFault.CONFLICT,
            f'expected version {expect} of {current.kind}/{current.name};'
            f' another writer created version {current.version}',
        )
    return StoreError(
        StoreFault.UNKNOWN,
        f'{current.kind}/{current.name} is now at version {current.version};'
        f' the write on version {expect} may have been active before',
    )
