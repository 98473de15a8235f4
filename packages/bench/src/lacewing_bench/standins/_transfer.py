"""Move weights and KV cache between an engine and the outside."""

import asyncio

import msgspec
from lacewing_common.curl import CurlClient
from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPResponse

_MOST_CALLS = 8
_TIMEOUT_S = 60.0
_KV_BLOCK_BYTES = 256
_OK = 200


class KvTransfer(msgspec.Struct, frozen=True):
    """Ask for blocks (hex) to be moved to or from a store's base URL."""

    store: str
    blocks: tuple[str, ...]


class KvMoved(msgspec.Struct, frozen=True):
    """Count the blocks that were moved."""

    blocks: int


def kv_value(block: bytes) -> bytes:
    """Return what a store keeps for a block: its hash, then filling."""
    return block.ljust(_KV_BLOCK_BYTES, b'\0')


class Transfers:
    """Call the platform's weight store and the stores of KV cache."""

    def __init__(self) -> None:
        self._client = CurlClient(force_instance=True, max_clients=_MOST_CALLS)

    def close(self) -> None:
        """Give up all calls."""
        self._client.close()

    async def fetch_weights(
        self, platform: str, model: str, version: str
    ) -> str:
        """Fetch weights; return '' or what went wrong."""
        url = f'{_base(platform)}/weights/{model}/{version}'
        response = await self._call(url)
        if response is None:
            return f'expected weights from {url}, got no answer'
        if response.code != _OK:
            return f'expected weights from {url}, got status {response.code}'
        return ''

    async def export_blocks(
        self, store: str, blocks: tuple[bytes, ...]
    ) -> int:
        """Put blocks into a store; return how many it took."""
        calls = [self._put(store, block) for block in blocks]
        return sum(await asyncio.gather(*calls))

    async def import_blocks(
        self, store: str, blocks: tuple[bytes, ...]
    ) -> int:
        """Get blocks from a store; return how many leading ones came."""
        calls = [self._get(store, block) for block in blocks]
        came = await asyncio.gather(*calls)
        for count, whole in enumerate(came):
            if not whole:
                return count
        return len(came)

    async def _put(self, store: str, block: bytes) -> bool:
        url = f'{_base(store)}/kv/{block.hex()}'
        response = await self._call(url, 'PUT', kv_value(block))
        return response is not None and response.error is None

    async def _get(self, store: str, block: bytes) -> bool:
        url = f'{_base(store)}/kv/{block.hex()}'
        response = await self._call(url)
        if response is None:
            return False
        # A store that answers with another block's bytes would make the
        # engine compute on a wrong prompt: the value names its block.
        return response.code == _OK and response.body == kv_value(block)

    async def _call(
        self, url: str, method: str = 'GET', body: bytes | None = None
    ) -> HTTPResponse | None:
        try:
            return await self._client.fetch(
                url,
                raise_error=False,
                method=method,
                body=body,
                request_timeout=_TIMEOUT_S,
                connect_timeout=_TIMEOUT_S,
            )
        except (HTTPClientError, OSError):
            # Without an answer the client raises, whatever is asked of it.
            return None


def _base(url: str) -> str:
    if '://' in url:
        return url.rstrip('/')
    return f'http://{url}'
