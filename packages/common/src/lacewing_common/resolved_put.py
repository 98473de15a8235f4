"""Write once although the platform's answer may get lost."""

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
    """Bound how long a lost answer is looked into, in seconds."""

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
    """Write if the version is ``expect``; read back after a lost answer.

    ``value`` must carry a nonce of the writer, new for each change, so that
    equal bytes mean that this write took effect. UNKNOWN is left only when
    the platform can't be read in time, or when the object was replaced or
    deleted since, so that this write may have been in force before.

    A lost answer followed by a plain retry would report a conflict with the
    writer's own change, or undo a later one; here each retry carries the
    same version, so the platform lets at most one of them in.
    """
    answer = await store.put(kind, name, value, expect)
    if not _is_unknown(answer):
        return answer
    policy = policy or ResolvePolicy()
    backoff = Backoff(policy.backoff_base_s, policy.backoff_cap_s, random)
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + policy.give_up_after_s
    while loop.time() < give_up_at:
        seen = await store.get(kind, name)
        if 0 < era < seen.era:
            return StoreError(
                StoreFault.UNKNOWN,
                f'the store returned from a copy during the write of {kind}/'
                f'{name}; expected era {era}, got {seen.era}',
                era=seen.era,
            )
        settled = _settle(seen, value, expect)
        if settled is not None:
            return settled
        if _is_absent_as_expected(seen, expect):
            # The lost write may still be under way. It or this one gets in;
            # the other meets a conflict, which the next read explains.
            answer = await store.put(kind, name, value, expect)
            if isinstance(answer, StoredObject):
                return answer
        await asyncio.sleep(backoff.next_s())
    return StoreError(
        StoreFault.UNKNOWN,
        f'the answer to the write of {kind}/{name} was lost and reading'
        f' back failed for {policy.give_up_after_s} s; read it again',
    )


def _is_unknown(answer: StoredObject | StoreError) -> bool:
    if isinstance(answer, StoredObject):
        return False
    return answer.fault is StoreFault.UNKNOWN


def _is_absent_as_expected(
    seen: StoredObject | StoreError, expect: int
) -> bool:
    if isinstance(seen, StoredObject):
        return seen.version == expect
    return seen.fault is StoreFault.NOT_FOUND and expect == MUST_NOT_EXIST


def _settle(
    seen: StoredObject | StoreError, value: bytes, expect: int
) -> StoredObject | StoreError | None:
    if isinstance(seen, StoreError):
        if seen.fault is StoreFault.NOT_FOUND and expect != MUST_NOT_EXIST:
            return StoreError(
                StoreFault.UNKNOWN, f'deleted since: {seen.message}'
            )
        return None
    if seen.version == expect:
        return None
    if seen.value == value:
        return seen
    # Versions are integers: no write fits between this one and ``expect``.
    if seen.version == expect + 1:
        return StoreError(
            StoreFault.CONFLICT,
            f'expected version {expect} of {seen.kind}/{seen.name}; another'
            f' writer made version {seen.version}',
        )
    return StoreError(
        StoreFault.UNKNOWN,
        f'{seen.kind}/{seen.name} is at version {seen.version} by now; the'
        f' write upon version {expect} may have been in force before',
    )
