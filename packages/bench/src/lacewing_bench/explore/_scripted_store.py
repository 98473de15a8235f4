"""Let an explorer decide the fate of each call to the platform."""

import asyncio
from dataclasses import dataclass
from enum import Enum

from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault

from lacewing_bench.fakes import FakeStore
from lacewing_bench.platform._objects import ObjectKey
from lacewing_bench.platform._objects import ObjectTable


class Fate(Enum):
    """Name what may become of a call.

    LOSE: it takes effect, its answer is lost. DELAY: the caller gives up on
    it; it may still take effect later.
    """

    DELIVER = 'deliver'
    REFUSE = 'refuse'
    LOSE = 'lose'
    DELAY = 'delay'


READ_FATES = (Fate.DELIVER, Fate.REFUSE)
WRITE_FATES = (Fate.DELIVER, Fate.REFUSE, Fate.LOSE, Fate.DELAY)


@dataclass(frozen=True)
class Write:
    """Hold a conditional update."""

    key: ObjectKey
    value: bytes
    expect: int


class PendingCall:
    """Hold a call whose fate is open; ``write`` is None for a read."""

    def __init__(self, key: ObjectKey, write: Write | None) -> None:
        self.key = key
        self.write = write
        self.answer: asyncio.Future[StoredObject | StoreError] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def fates(self) -> tuple[Fate, ...]:
        """Return what may become of it."""
        return READ_FATES if self.write is None else WRITE_FATES


class ScriptedStore(FakeStore):
    """Reach shared objects through calls that the explorer settles."""

    def __init__(self, objects: ObjectTable) -> None:
        super().__init__()
        self._objects = objects
        self.pending: list[PendingCall] = []
        self.delayed: list[Write] = []

    async def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object."""
        return await self._call(PendingCall(ObjectKey(kind, name), None))

    async def put(
        self, kind: str, name: str, value: bytes, expect: int
    ) -> StoredObject | StoreError:
        """Write if the version is ``expect`` (0: must not exist)."""
        key = ObjectKey(kind, name)
        return await self._call(PendingCall(key, Write(key, value, expect)))

    def settle(self, call: PendingCall, fate: Fate) -> None:
        """Decide a call's fate."""
        self.pending.remove(call)
        if fate is Fate.REFUSE:
            call.answer.set_result(_error(StoreFault.UNAVAILABLE))
            return
        if call.write is None:
            found = self._objects.get(call.key)
            call.answer.set_result(found or _error(StoreFault.NOT_FOUND))
            return
        if fate is Fate.DELAY:
            self.delayed.append(call.write)
            call.answer.set_result(_error(StoreFault.UNKNOWN))
            return
        result = self.arrive(call.write)
        if fate is Fate.LOSE:
            result = _error(StoreFault.UNKNOWN)
        call.answer.set_result(result)

    def arrive(self, write: Write) -> StoredObject | StoreError:
        """Let a write take effect if its version still fits."""
        return self._objects.put(write.key, write.value, write.expect)

    def abandon(self) -> None:
        """Lose the client; its open writes may still arrive."""
        for call in self.pending:
            if call.write is not None:
                self.delayed.append(call.write)
        self.pending.clear()

    async def _call(self, call: PendingCall) -> StoredObject | StoreError:
        self.pending.append(call)
        return await call.answer


def _error(fault: StoreFault) -> StoreError:
    return StoreError(fault, f'scripted: {fault.value}')
