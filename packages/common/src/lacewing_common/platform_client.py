"""Implement the platform's object API over HTTP."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
from random import Random
from urllib.parse import quote

import msgspec

from lacewing_common.backoff import Backoff
from lacewing_common.decode_errors import DECODE_ERRORS
from lacewing_common.platform_http import HttpAnswer
from lacewing_common.platform_http import HttpCall
from lacewing_common.platform_http import HttpClient
from lacewing_common.platform_http import NoHttpAnswer
from lacewing_common.store import MUST_NOT_EXIST
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault
from lacewing_common.store import Vm
from lacewing_common.whole_number import whole_number

_STATUS_FAULTS = {
    404: StoreFault.NOT_FOUND,
    412: StoreFault.CONFLICT,
    413: StoreFault.TOO_LARGE,
    429: StoreFault.RATE_LIMITED,
    503: StoreFault.UNAVAILABLE,
}


@dataclass(frozen=True)
class ClientOptions:
    """Configure timeouts and concurrency of calls to the platform.

    ``request_timeout_s`` bounds the time to the first byte of a response and
    each gap without data, not the total time: the size of objects and the
    speed of links are not limited.
    The first delay after an interrupted watch is random, up to
    ``watch_backoff_base_s``, so that 1,000 processes that are disconnected
    at once stay within the platform's read rate limit.
    """

    connect_timeout_s: float = 1.0
    request_timeout_s: float = 3.0
    watch_wait_s: float = 25.0
    watch_backoff_base_s: float = 1.0
    watch_backoff_cap_s: float = 8.0
    max_concurrent_calls: int = 16
    max_concurrent_watches: int = 16
    ca_file: str | None = None


class _NameRow(msgspec.Struct, frozen=True):
    name: str
    version: int


@dataclass(frozen=True)
class _Deleted:
    version: int


class PlatformClient:
    """Read and change objects of the platform over HTTP.

    ``platform`` is a base URL or ``ip:port``. Create and close the client
    inside a running event loop. Watches use a separate pool of connections,
    so that writes never wait for them.
    """

    def __init__(
        self,
        platform: str,
        options: ClientOptions | None = None,
        random: Random | None = None,
    ) -> None:
        self._options = options or ClientOptions()
        self._random = random or Random()
        base_url = platform if '://' in platform else f'http://{platform}'
        self._call_client = self._http_client(
            base_url, self._options.max_concurrent_calls
        )
        self._watch_client = self._http_client(
            base_url, self._options.max_concurrent_watches
        )

    def close(self) -> None:
        """Close all connections; finish or cancel pending calls first."""
        self._call_client.close()
        self._watch_client.close()

    async def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object."""
        answer = await self._call('GET', _object_path(kind, name))
        if isinstance(answer, StoreError):
            return answer
        return _object_from(kind, name, answer)

    async def list_names(
        self, kind: str
    ) -> tuple[StoredObject, ...] | StoreError:
        """List all objects of a kind, without their values."""
        answer = await self._call('GET', f'/objects/{quote(kind, safe="")}')
        if isinstance(answer, StoreError):
            return answer
        try:
            rows = msgspec.json.decode(answer.body, type=list[_NameRow])
        except DECODE_ERRORS as error:
            return _malformed_error(f'a list of names: {error}')
        objects = []
        for row in rows:
            objects.append(StoredObject(kind, row.name, row.version, b''))
        return tuple(objects)

    async def vms(self) -> tuple[Vm, ...] | StoreError:
        """Read the VM list, which lags behind."""
        answer = await self._call('GET', '/vms')
        if isinstance(answer, StoreError):
            return answer
        try:
            return msgspec.json.decode(answer.body, type=tuple[Vm, ...])
        except DECODE_ERRORS as error:
            return _malformed_error(f'a list of VMs: {error}')

    async def put(
        self, kind: str, name: str, value: bytes, expect: int
    ) -> StoredObject | StoreError:
        """Write if the current version is ``expect`` (0: must not exist)."""
        answer = await self._call(
            'PUT', _object_path(kind, name), _precondition(expect), value
        )
        if isinstance(answer, StoreError):
            return answer
        version = _version_of(answer)
        if version is None:
            return StoreError(
                StoreFault.UNKNOWN,
                f'expected an ETag with the new version of {kind}/{name}',
            )
        return StoredObject(kind, name, version, value)

    async def delete(
        self, kind: str, name: str, expect: int
    ) -> None | StoreError:
        """Delete if the current version is ``expect``."""
        answer = await self._call(
            'DELETE', _object_path(kind, name), _precondition(expect)
        )
        return answer if isinstance(answer, StoreError) else None

    async def watch(
        self, kind: str, name: str, after: int
    ) -> AsyncIterator[StoredObject | StoreError]:
        """Yield each change of one object after version ``after``.

        Changes in quick succession may be merged into the last of them. A
        deletion is reported as NOT_FOUND and the watch continues. The error
        of each failed call is yielded, then the watch retries with backoff
        without limit.
        """
        backoff = Backoff(
            self._options.watch_backoff_base_s,
            self._options.watch_backoff_cap_s,
            self._random,
        )
        while True:
            change = await self._next_change(kind, name, after)
            if change is None:
                backoff.reset()
                continue
            if isinstance(change, StoreError):
                yield change
                await asyncio.sleep(_retry_delay_s(change, backoff))
                continue
            backoff.reset()
            after = change.version
            if isinstance(change, _Deleted):
                yield _not_found_error(kind, name)
                continue
            yield change

    async def _next_change(
        self, kind: str, name: str, after: int
    ) -> StoredObject | _Deleted | StoreError | None:
        wait_s = self._options.watch_wait_s
        path = f'{_object_path(kind, name)}?watch={after}&wait_s={wait_s}'
        timeout_s = wait_s + self._options.request_timeout_s
        answer = await self._watch_client.call(
            HttpCall('GET', path, timeout_s)
        )
        if isinstance(answer, NoHttpAnswer):
            return _no_answer_error(StoreFault.UNAVAILABLE, answer)
        if answer.status == 304:
            return None
        version = _version_of(answer)
        if answer.status == 404 and version is not None and version > after:
            return _Deleted(version)
        if answer.status != 200:
            return _status_error(answer, is_read=True)
        if version is None or version <= after:
            return _malformed_error(
                f'a version of {kind}/{name} above {after}'
            )
        return StoredObject(kind, name, version, answer.body)

    async def _call(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> HttpAnswer | StoreError:
        timeout_s = self._options.request_timeout_s
        call = HttpCall(method, path, timeout_s, headers or {}, body)
        answer = await self._call_client.call(call)
        if isinstance(answer, HttpAnswer):
            if answer.status == 200:
                return answer
            return _status_error(answer, call.is_read)
        if call.is_read or not answer.may_be_sent:
            return _no_answer_error(StoreFault.UNAVAILABLE, answer)
        return _no_answer_error(StoreFault.UNKNOWN, answer)

    def _http_client(self, base_url: str, max_concurrent: int) -> HttpClient:
        return HttpClient(
            base_url,
            max_concurrent,
            self._options.connect_timeout_s,
            self._options.request_timeout_s,
            self._options.ca_file,
        )


def _object_path(kind: str, name: str) -> str:
    return f'/objects/{quote(kind, safe="")}/{quote(name, safe="")}'


def _precondition(expect: int) -> dict[str, str]:
    if expect == MUST_NOT_EXIST:
        return {'If-None-Match': '*'}
    return {'If-Match': f'"{expect}"'}


def _version_of(answer: HttpAnswer) -> int | None:
    return whole_number(answer.headers.get('Etag', '').strip('"'))


def _object_from(
    kind: str, name: str, answer: HttpAnswer
) -> StoredObject | StoreError:
    version = _version_of(answer)
    if version is None:
        return _malformed_error(f'an ETag with the version of {kind}/{name}')
    return StoredObject(kind, name, version, answer.body)


def _no_answer_error(fault: StoreFault, answer: NoHttpAnswer) -> StoreError:
    return StoreError(fault, answer.message, received=answer.received)


def _status_error(answer: HttpAnswer, is_read: bool) -> StoreError:
    fault = _STATUS_FAULTS.get(answer.status)
    if fault is None and 400 <= answer.status < 500:
        fault = StoreFault.REJECTED
    if fault is None:
        fault = StoreFault.UNAVAILABLE if is_read else StoreFault.UNKNOWN
    text = answer.body[:200].decode(errors='replace')
    message = f'the platform returned status {answer.status}: {text}'
    return StoreError(fault, message, _retry_after_s(answer))


def _retry_after_s(answer: HttpAnswer) -> float | None:
    return whole_number(answer.headers.get('Retry-After', ''))


def _retry_delay_s(error: StoreError, backoff: Backoff) -> float:
    return (error.retry_after_s or 0.0) + backoff.next_s()


def _malformed_error(expected: str) -> StoreError:
    return StoreError(
        StoreFault.UNAVAILABLE,
        f'malformed response of the platform: expected {expected}',
    )


def _not_found_error(kind: str, name: str) -> StoreError:
    return StoreError(StoreFault.NOT_FOUND, f'{kind}/{name} does not exist')
