"""Retry platform calls that failed without effect."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import TypeVar

from lacewing_common.backoff import Backoff
from lacewing_common.store import MUST_NOT_EXIST
from lacewing_common.store import ObjectStore
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault

T = TypeVar('T')
_RETRYABLE_FAULTS = (StoreFault.RATE_LIMITED, StoreFault.UNAVAILABLE)


@dataclass(frozen=True)
class RetryPolicy:
    """Configure for how long and how often a call is retried, in seconds."""

    give_up_after_s: float = 30.0
    backoff_base_s: float = 0.05
    backoff_cap_s: float = 2.0


async def call_with_retries(
    call: Callable[[], Awaitable[T | StoreError]],
    policy: RetryPolicy,
    random: Random,
) -> T | StoreError:
    """Retry a call while the platform is rate limited or unavailable."""
    backoff = Backoff(policy.backoff_base_s, policy.backoff_cap_s, random)
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + policy.give_up_after_s
    while True:
        answer = await call()
        if not isinstance(answer, StoreError):
            return answer
        if answer.fault not in _RETRYABLE_FAULTS or loop.time() > give_up_at:
            return answer
        await asyncio.sleep((answer.retry_after_s or 0.0) + backoff.next_s())


async def put_part(
    store: ObjectStore,
    kind: str,
    digest: str,
    part: bytes,
    policy: RetryPolicy,
    random: Random,
) -> None | StoreError:
    """Write an immutable part; an existing part counts as success.

    The name is the digest of the bytes, so a lost response does not require
    a read: the write is retried, and a conflict means that the part exists.
    """
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + policy.give_up_after_s

    async def put() -> StoredObject | StoreError:
        return await store.put(kind, digest, part, MUST_NOT_EXIST)

    while True:
        answer = await call_with_retries(put, policy, random)
        if isinstance(answer, StoredObject):
            return None
        if answer.fault is StoreFault.CONFLICT:
            return None
        if answer.fault is not StoreFault.UNKNOWN:
            return answer
        if loop.time() > give_up_at:
            return answer
