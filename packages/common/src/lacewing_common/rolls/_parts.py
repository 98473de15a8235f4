"""Write the parts of a bundle, and repair lost or changed ones."""

import asyncio
from collections.abc import Mapping
from random import Random

from lacewing_common.document_objects import PARTS
from lacewing_common.retries import call_with_retries
from lacewing_common.retries import put_part
from lacewing_common.retries import RetryPolicy
from lacewing_common.store import ObjectStore
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault

_MAX_CONCURRENT_CALLS = 16


class PartWriter:
    """Write immutable parts under their digest."""

    def __init__(
        self, store: ObjectStore, retry_policy: RetryPolicy, random: Random
    ) -> None:
        self._store = store
        self._retry_policy = retry_policy
        self._random = random
        self._slots = asyncio.Semaphore(_MAX_CONCURRENT_CALLS)

    async def write(self, parts: Mapping[str, bytes]) -> StoreError | None:
        """Write new parts."""
        for digest, part in parts.items():
            error = await self._put(digest, part)
            if error is not None:
                return error
        return None

    async def repair(self, parts: Mapping[str, bytes]) -> StoreError | None:
        """Write missing or changed parts of an earlier roll again.

        The next head refers to these parts as well. Without the check, a roll
        could take effect that no process can read. If a missing part were an
        error instead, no operator could roll until somebody had restored the
        part by hand.
        """
        calls = [
            self._repair_part(digest, part) for digest, part in parts.items()
        ]
        for error in await asyncio.gather(*calls):
            if error is not None:
                return error
        return None

    async def _repair_part(
        self, digest: str, part: bytes
    ) -> StoreError | None:
        async with self._slots:
            stored = await call_with_retries(
                lambda: self._store.get(PARTS, digest),
                self._retry_policy,
                self._random,
            )
            if isinstance(stored, StoreError):
                if stored.fault is not StoreFault.NOT_FOUND:
                    return stored
                return await self._put(digest, part)
            if stored.value == part:
                return None
            return await self._replace(stored, part)

    async def _replace(
        self, stored: StoredObject, part: bytes
    ) -> StoreError | None:
        answer = await call_with_retries(
            lambda: self._store.put(PARTS, stored.name, part, stored.version),
            self._retry_policy,
            self._random,
        )
        return answer if isinstance(answer, StoreError) else None

    async def _put(self, digest: str, part: bytes) -> StoreError | None:
        return await put_part(
            self._store, PARTS, digest, part, self._retry_policy, self._random
        )
