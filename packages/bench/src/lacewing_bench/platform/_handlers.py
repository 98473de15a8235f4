"""Offer the platform's contract over HTTP."""

import asyncio
import math

import msgspec
from lacewing_common.store import MUST_NOT_EXIST
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault
from tornado.web import RequestHandler

from lacewing_bench.platform._counts import Method
from lacewing_bench.platform._objects import ObjectKey
from lacewing_bench.platform._service import Admission
from lacewing_bench.platform._service import PlatformService
from lacewing_bench.platform._service import RETRY_AFTER_S

MAX_WAIT_S = 30.0
_STATUS = {
    StoreFault.CONFLICT: 412,
    StoreFault.NOT_FOUND: 404,
    StoreFault.TOO_LARGE: 413,
}


class NameRow(msgspec.Struct, frozen=True):
    """Hold one row of a list of objects."""

    name: str
    version: int


class PlatformHandler(RequestHandler):
    """Share what all handlers of the platform need."""

    def initialize(self, service: PlatformService) -> None:
        """Take the service."""
        self.service = service

    def compute_etag(self) -> str | None:
        """Leave the header to the versions of objects."""
        return None

    def write_json(self, value: object) -> None:
        """Answer with JSON."""
        self.set_header('Content-Type', 'application/json')
        self.write(msgspec.json.encode(value))

    def refuse(self, status: int, message: str) -> None:
        """Answer with a status and a text for the reader."""
        self.set_status(status)
        self.write_json({'message': message})

    def drop(self) -> None:
        """Close the connection in place of an answer."""
        self.detach().close()

    async def admitted(self, method: Method, kind: str) -> bool:
        """Tell whether a call may go on; else it has got its answer."""
        admission = await self.service.admit(method, kind)
        return self.answered_outage(admission)

    def answered_outage(self, admission: Admission) -> bool:
        """Answer or drop a call that is not let in; tell if it is."""
        if admission is Admission.PASS:
            return True
        if admission is Admission.DROPPED:
            self.drop()
            return False
        self.set_header('Retry-After', str(math.ceil(RETRY_AFTER_S)))
        if admission is Admission.LIMITED:
            self.refuse(429, 'the rate limit is reached; retry later')
            return False
        self.refuse(503, 'the platform is down; retry later')
        return False


class KindHandler(PlatformHandler):
    """List the objects of a kind."""

    async def get(self, kind: str) -> None:
        """Answer with names and versions."""
        if not await self.admitted(Method.LIST, kind):
            return
        rows = []
        for stored in self.service.objects.names(kind):
            rows.append(NameRow(stored.name, stored.version))
        self.write_json(rows)


class ObjectHandler(PlatformHandler):
    """Read, watch and change one object."""

    def initialize(self, service: PlatformService) -> None:
        """Take the service."""
        super().initialize(service)
        self._waiting: asyncio.Task[bool] | None = None

    def on_connection_close(self) -> None:
        """End the watch of a client that hung up."""
        if self._waiting is not None:
            self._waiting.cancel()

    async def get(self, kind: str, name: str) -> None:
        """Answer with the value, at once or after a change."""
        key = ObjectKey(kind, name)
        watch = self.get_query_argument('watch', None)
        if watch is None:
            if await self.admitted(Method.GET, kind):
                self._answer_value(key)
            return
        wait_s = float(self.get_query_argument('wait_s', str(MAX_WAIT_S)))
        await self._watch(key, int(watch), min(wait_s, MAX_WAIT_S))

    async def put(self, kind: str, name: str) -> None:
        """Write under a condition."""
        if not await self.admitted(Method.PUT, kind):
            return
        expect = self._condition()
        if expect is None:
            return
        key = ObjectKey(kind, name)
        result = self.service.put(key, self.request.body, expect)
        if isinstance(result, StoreError):
            self._refuse_write(result)
            return
        if self.service.lose_answer():
            self.drop()
            return
        self._set_version(result.version)

    async def delete(self, kind: str, name: str) -> None:
        """Delete under a condition."""
        if not await self.admitted(Method.DELETE, kind):
            return
        expect = self._condition()
        if expect is None:
            return
        result = self.service.delete(ObjectKey(kind, name), expect)
        if isinstance(result, StoreError):
            self._refuse_write(result)
            return
        if self.service.lose_answer():
            self.drop()

    async def _watch(self, key: ObjectKey, after: int, wait_s: float) -> None:
        if not await self.admitted(Method.WATCH, key.kind):
            return
        self._waiting = asyncio.create_task(
            self.service.wait_change(key, after, wait_s)
        )
        try:
            changed = await self._waiting
        except asyncio.CancelledError:
            if self._waiting.cancelled():
                return
            raise
        if not self.answered_outage(self.service.outage()):
            return
        if not changed:
            self.set_status(304)
            return
        self._answer_value(key)

    def _answer_value(self, key: ObjectKey) -> None:
        version = self.service.objects.version(key)
        if version > 0:
            self._set_version(version)
        found = self.service.objects.get(key)
        if found is None:
            self.refuse(404, f'{key} does not exist')
            return
        self.set_header('Content-Type', 'application/octet-stream')
        self.write(found.value)

    def _condition(self) -> int | None:
        if self.request.headers.get('If-None-Match') == '*':
            return MUST_NOT_EXIST
        condition = self.request.headers.get('If-Match', '').strip('"')
        if condition.isdigit():
            return int(condition)
        self.refuse(428, 'expected If-Match: "<version>" or If-None-Match: *')
        return None

    def _refuse_write(self, error: StoreError) -> None:
        self.refuse(_STATUS[error.fault], error.message)

    def _set_version(self, version: int) -> None:
        self.set_header('ETag', f'"{version}"')


class VmsHandler(PlatformHandler):
    """Show the lagging VM list."""

    async def get(self) -> None:
        """Answer with all rows."""
        if not await self.admitted(Method.VMS, ''):
            return
        self.write_json(self.service.shown_vms())


class WeightsHandler(PlatformHandler):
    """Serve weights, slowly."""

    async def get(self, model: str, version: str) -> None:
        """Answer when the load is done."""
        if self.service.faults.weights_down:
            self.answered_outage(Admission.UNAVAILABLE)
            return
        await self.service.weights.load()
        self.write_json({'model': model, 'version': version})
