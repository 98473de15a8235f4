"""Count calls to the store by subject and reason."""

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

# One line in this interval shows where calls come from without crowding out
# the log lines of requests, of which there are a few a second.
LOG_INTERVAL_S = 10.0

_log = get_log(Part.PLATFORM)


class CallReason(Enum):
    """Name the reason of a call to the store.

    NO_CHANGE and CHANGE: the previous call waited for changes and returned
    none or some. FAILURE: the previous call failed. READ: a whole collection
    is read. PEEK: an eventually consistent read at a tenth of the price.
    CONFIRM: a whole collection is read once more, beside the calls that wait.
    """

    READ = 'read'
    NO_CHANGE = 'quiet'
    CHANGE = 'change'
    FAILURE = 'failure'
    PEEK = 'peek'
    CONFIRM = 'confirm'
    GET = 'get'
    WRITE = 'write'


class StoreCallCounter:
    """Hold the number of calls since they were last logged.

    Each call is priced, and all routers share the request rate of the store.
    Without the reasons, calls that follow changes can't be told apart from
    calls that only wait, nor which of them grow with the fleet.
    """

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    @property
    def counts(self) -> Mapping[str, int]:
        """Return the calls since the last log line, by subject and reason."""
        return self._counts

    def count(self, subject: str, reason: CallReason) -> None:
        """Count one call."""
        STORE_CALLS.labels(subject, reason.value).inc()
        self._counts[f'{subject}.{reason.value}'] += 1

    def log_counts(self) -> None:
        """Log the counts and reset them."""
        if not self._counts:
            return
        _log.info(
            'Called the store.', calls=dict(sorted(self._counts.items()))
        )
        self._counts.clear()

    async def run(self) -> None:
        """Log the counts periodically until cancelled."""
        while True:
            await asyncio.sleep(LOG_INTERVAL_S)
            self.log_counts()


class InstrumentedObjects:
    """Wrap the system objects; count calls and record the store era."""

    def __init__(
        self, objects: SystemObjects, calls: StoreCallCounter, eras: StoreEras
    ) -> None:
        self._objects = objects
        self._calls = calls
        self._eras = eras

    async def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object."""
        self._calls.count(kind, CallReason.GET)
        return self._observe_era(await self._objects.get(kind, name))

    async def peek(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object eventually consistently, at a lower price."""
        self._calls.count(kind, CallReason.PEEK)
        return self._observe_era(await self._objects.peek(kind, name))

    async def peek_all(
        self, kind: str
    ) -> tuple[StoredObject, ...] | StoreError:
        """Read all objects of a kind; they may be seconds old."""
        self._calls.count(kind, CallReason.PEEK)
        response = await self._objects.peek_all(kind)
        if isinstance(response, StoreError):
            self._eras.observe(response.era)
            return response
        for found in response:
            self._eras.observe(found.era)
        return response

    async def put(
        self, kind: str, name: str, value: bytes, expect: int
    ) -> StoredObject | StoreError:
        """Write an object if its version is ``expect``."""
        self._calls.count(kind, CallReason.WRITE)
        response = await self._objects.put(kind, name, value, expect)
        return self._observe_era(response)

    async def delete(
        self, kind: str, name: str, expect: int
    ) -> None | StoreError:
        """Delete an object if its version is ``expect``."""
        self._calls.count(kind, CallReason.WRITE)
        response = await self._objects.delete(kind, name, expect)
        if response is not None:
            self._eras.observe(response.era)
        return response

    def _observe_era(
        self, response: StoredObject | StoreError
    ) -> StoredObject | StoreError:
        self._eras.observe(response.era)
        return response
