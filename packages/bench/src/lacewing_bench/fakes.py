"""Fake the platform's object API in memory, for focused tests."""

import asyncio
import time
from collections.abc import AsyncIterator

from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault
from lacewing_common.store import Vm

from lacewing_bench.platform._counts import CountsReport
from lacewing_bench.platform._counts import Method
from lacewing_bench.platform._objects import ObjectKey
from lacewing_bench.platform._rates import Clock
from lacewing_bench.platform._service import Admission
from lacewing_bench.platform._service import PlatformService
from lacewing_bench.platform._service import RETRY_AFTER_S
from lacewing_bench.platform._settings import PlatformSettings
from lacewing_bench.platform._switches import FaultSwitches

_WATCH_WAIT_S = 30.0


class FakeStore:
    """Implement ``ObjectStore`` with the stand-in's fault switches.

    Several fakes may share one ``service``, as clients of one platform do.
    ``watch_retry_s`` is the wait after a failed watch call, in seconds.
    """

    def __init__(
        self,
        service: PlatformService | None = None,
        clock: Clock = time.monotonic,
        watch_retry_s: float = 0.01,
    ) -> None:
        self.service = service or PlatformService(PlatformSettings(), clock)
        self._watch_retry_s = watch_retry_s

    @property
    def counts(self) -> CountsReport:
        """Return the counts since the last reset."""
        return self.service.counts

    def set_faults(self, faults: FaultSwitches) -> None:
        """Replace all fault switches."""
        self.service.set_faults(faults)

    async def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object."""
        refusal = await self._refusal(Method.GET, kind)
        if refusal is not None:
            return refusal
        found = self.service.objects.get(ObjectKey(kind, name))
        return found or _not_found(kind, name)

    async def list_names(
        self, kind: str
    ) -> tuple[StoredObject, ...] | StoreError:
        """Read all objects of a kind, without their values."""
        refusal = await self._refusal(Method.LIST, kind)
        if refusal is not None:
            return refusal
        return self.service.objects.names(kind)

    async def vms(self) -> tuple[Vm, ...] | StoreError:
        """Read the lagging VM list."""
        refusal = await self._refusal(Method.VMS, '')
        if refusal is not None:
            return refusal
        return self.service.shown_vms()

    async def watch(
        self, kind: str, name: str, after: int
    ) -> AsyncIterator[StoredObject | StoreError]:
        """Yield each change of one object after a version."""
        key = ObjectKey(kind, name)
        while True:
            refusal = await self._refusal(Method.WATCH, kind)
            if refusal is None:
                changed = await self.service.wait_change(
                    key, after, _WATCH_WAIT_S
                )
                refusal = _refusal_of(self.service.outage(), Method.WATCH)
            if refusal is not None:
                yield refusal
                await asyncio.sleep(self._watch_retry_s)
                continue
            if not changed:
                continue
            after = self.service.objects.version(key)
            yield self.service.objects.get(key) or _not_found(kind, name)

    async def put(
        self, kind: str, name: str, value: bytes, expect: int
    ) -> StoredObject | StoreError:
        """Write if the version is ``expect`` (0: must not exist)."""
        refusal = await self._refusal(Method.PUT, kind)
        if refusal is not None:
            return refusal
        result = self.service.put(ObjectKey(kind, name), value, expect)
        if isinstance(result, StoreError):
            return result
        return _lost_answer() if self.service.lose_answer() else result

    async def delete(
        self, kind: str, name: str, expect: int
    ) -> None | StoreError:
        """Delete if the version is ``expect``."""
        refusal = await self._refusal(Method.DELETE, kind)
        if refusal is not None:
            return refusal
        result = self.service.delete(ObjectKey(kind, name), expect)
        if isinstance(result, StoreError):
            return result
        return _lost_answer() if self.service.lose_answer() else None

    async def _refusal(self, method: Method, kind: str) -> StoreError | None:
        admission = await self.service.admit(method, kind)
        return _refusal_of(admission, method)


def _refusal_of(admission: Admission, method: Method) -> StoreError | None:
    if admission is Admission.PASS:
        return None
    if admission is Admission.LIMITED:
        return StoreError(
            StoreFault.RATE_LIMITED, 'rate limit reached', RETRY_AFTER_S
        )
    is_write = method in (Method.PUT, Method.DELETE)
    if admission is Admission.DROPPED and is_write:
        return _lost_answer()
    return StoreError(StoreFault.UNAVAILABLE, 'the platform is down')


def _lost_answer() -> StoreError:
    return StoreError(StoreFault.UNKNOWN, 'the answer was lost')


def _not_found(kind: str, name: str) -> StoreError:
    return StoreError(StoreFault.NOT_FOUND, f'{kind}/{name} does not exist')
