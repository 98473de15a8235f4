"""Ask a store what it holds and an engine to move KV cache."""

from typing import TypeVar

import msgspec
from lacewing_common.curl import connect_once
from lacewing_common.curl import CurlClient
from lacewing_common.decode_errors import DECODE_ERRORS
from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPRequest

HELD_TIMEOUT_S = 0.2
MOVE_TIMEOUT_S = 2.0
_CALLS_AT_ONCE = 16

T = TypeVar('T')
_OK = 200


class _Held(msgspec.Struct, frozen=True):
    held: int = 0


class _Moved(msgspec.Struct, frozen=True):
    blocks: int = 0


class _Query(msgspec.Struct, frozen=True):
    blocks: tuple[str, ...]


class _Move(msgspec.Struct, frozen=True):
    store: str
    blocks: tuple[str, ...]


class KvClient:
    """Call one store and one engine; a failure counts as no block."""

    def __init__(self, store_url: str, engine_url: str) -> None:
        self._store_url = store_url.rstrip('/')
        self._engine_url = engine_url.rstrip('/')
        self._client = CurlClient(
            force_instance=True, max_clients=_CALLS_AT_ONCE
        )

    async def held(self, blocks: tuple[bytes, ...]) -> int:
        """Return how many leading blocks the store holds."""
        body = msgspec.json.encode(_Query(_names(blocks)))
        url = f'{self._store_url}/kv/held'
        found = await self._post(url, body, HELD_TIMEOUT_S)
        held = _decode(found, _Held)
        if held is None:
            return 0
        return min(len(blocks), max(0, held.held))

    async def import_blocks(self, blocks: tuple[bytes, ...]) -> int:
        """Have the engine import blocks; return how many came."""
        return await self._move('import', blocks)

    async def export_blocks(self, blocks: tuple[bytes, ...]) -> int:
        """Have the engine export blocks; return how many went."""
        return await self._move('export', blocks)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def _move(self, direction: str, blocks: tuple[bytes, ...]) -> int:
        body = msgspec.json.encode(_Move(self._store_url, _names(blocks)))
        url = f'{self._engine_url}/kv/{direction}'
        found = await self._post(url, body, MOVE_TIMEOUT_S)
        moved = _decode(found, _Moved)
        if moved is None:
            return 0
        return min(len(blocks), max(0, moved.blocks))

    async def _post(
        self, url: str, body: bytes, timeout_s: float
    ) -> bytes | None:
        request = HTTPRequest(
            url,
            method='POST',
            body=body,
            headers={'Content-Type': 'application/json'},
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
            # An answer names neither its call nor its blocks.
            prepare_curl_callback=connect_once,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError):
            return None
        if response.code != _OK:
            return None
        return response.body


def _decode(found: bytes | None, kind: type[T]) -> T | None:
    """Read an answer; nonsense counts as none and fails no request."""
    if found is None:
        return None
    try:
        return msgspec.json.decode(found, type=kind)
    except DECODE_ERRORS:
        return None


def _names(blocks: tuple[bytes, ...]) -> tuple[str, ...]:
    return tuple(block.hex() for block in blocks)
