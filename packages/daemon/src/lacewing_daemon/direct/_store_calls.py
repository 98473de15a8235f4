"""Count calls to the store by what they ask and why they are made."""

import asyncio
from collections import Counter
from collections.abc import Mapping
from enum import Enum

from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError

from lacewing_daemon.direct._metrics import STORE_CALLS
from lacewing_daemon.direct._site import SystemObjects
from lacewing_daemon.direct._store_eras import StoreEras

# One line in so long tells where calls come from and stays out of the way
# of the lines on requests, of which there are some a second.
TELL_S = 10.0

_log = get_log(Part.PLATFORM)


class CallReason(Enum):
    """Tell why the store is called.

    NO_CHANGE and CHANGE: the call before waited for changes, and told none or
    some. FAILURE: it failed. READ: a collection is read whole. PEEK: a read
    that may be old, at a tenth of the price.
    """

    READ = 'read'
    NO_CHANGE = 'quiet'
    CHANGE = 'change'
    FAILURE = 'failure'
    PEEK = 'peek'
    GET = 'get'
    WRITE = 'write'


class StoreCallCounter:
    """Hold how many calls were made since they were last logged.

    Each call has its price, and all routers share what the store answers a
    second. Without the reasons nobody can tell calls that follow changes
    from calls that only wait, and which of them grow with the fleet.
    """

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    @property
    def counts(self) -> Mapping[str, int]:
        """Return the calls since the last line, by subject and reason."""
        return self._counts

    def count(self, subject: str, reason: CallReason) -> None:
        """Count one call."""
        STORE_CALLS.labels(subject, reason.value).inc()
        self._counts[f'{subject}.{reason.value}'] += 1

    def log_counts(self) -> None:
        """Log the counts and begin anew."""
        if not self._counts:
            return
        _log.info(
            'Called the store.', calls=dict(sorted(self._counts.items()))
        )
        self._counts.clear()

    async def run(self) -> None:
        """Log the counts from time to time until cancelled."""
        while True:
            await asyncio.sleep(TELL_S)
            self.log_counts()


class InstrumentedObjects:
    """Keep the system's own objects; count the calls and note the era."""

    def __init__(
        self, objects: SystemObjects, calls: StoreCallCounter, eras: StoreEras
    ) -> None:
        self._objects = objects
        self._calls = calls
        self._eras = eras

    async def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object."""
        self._calls.count(kind, CallReason.GET)
        return self._noted(await self._objects.get(kind, name))

    async def peek(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object cheaply; it may be seconds old."""
        self._calls.count(kind, CallReason.PEEK)
        return self._noted(await self._objects.peek(kind, name))

    async def peek_all(
        self, kind: str
    ) -> tuple[StoredObject, ...] | StoreError:
        """Read all objects of a kind cheaply; they may be seconds old."""
        self._calls.count(kind, CallReason.PEEK)
        answer = await self._objects.peek_all(kind)
        if isinstance(answer, StoreError):
            self._eras.observe(answer.era)
            return answer
        for found in answer:
            self._eras.observe(found.era)
        return answer

    async def put(
        self, kind: str, name: str, value: bytes, expect: int
    ) -> StoredObject | StoreError:
        """Write an object if its version is ``expect``."""
        self._calls.count(kind, CallReason.WRITE)
        answer = await self._objects.put(kind, name, value, expect)
        return self._noted(answer)

    async def delete(
        self, kind: str, name: str, expect: int
    ) -> None | StoreError:
        """Delete an object if its version is ``expect``."""
        self._calls.count(kind, CallReason.WRITE)
        answer = await self._objects.delete(kind, name, expect)
        if answer is not None:
            self._eras.observe(answer.era)
        return answer

    def _noted(
        self, answer: StoredObject | StoreError
    ) -> StoredObject | StoreError:
        self._eras.observe(answer.era)
        return answer
