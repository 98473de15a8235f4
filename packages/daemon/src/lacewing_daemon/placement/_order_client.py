"""Send orders to the worker and read what they led to."""

from dataclasses import dataclass
from enum import Enum

import msgspec
from lacewing_common.curl import connect_once
from lacewing_common.curl import CurlClient
from lacewing_common.decode_errors import DECODE_ERRORS
from lacewing_common.plan import HeldAdapter
from lacewing_common.plan import HeldModel
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest

_CONNECT_S = 2.0
_READ_S = 2.0
_OK = 200
_STALE = 409
_CLIENTS = 2


class OrderKind(Enum):
    """Name what an order changes."""

    LOAD = 'load'
    UNLOAD = 'unload'
    ADAPTER = 'adapter'


class Order(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Hold one order; an adapter without a version is taken away."""

    fence: int
    order: OrderKind
    model: str
    weights: str = ''
    adapter: str = ''
    adapter_version: str = ''


class StateModel(msgspec.Struct, frozen=True):
    """Hold a model as the worker names it."""

    id: str
    weights: str = ''
    adapters: tuple[HeldAdapter, ...] = ()


class OrderState(msgspec.Struct, frozen=True):
    """Hold what the orders so far have led to."""

    epoch: str = ''
    fence: int = 0
    models: tuple[StateModel, ...] = ()

    def held(self) -> tuple[HeldModel, ...]:
        """Return the models held, as plans name them."""
        found: list[HeldModel] = []
        for model in self.models:
            found.append(
                HeldModel(
                    model.id, model.weights, tuple(sorted(model.adapters))
                )
            )
        return tuple(found)


class _Stale(msgspec.Struct, frozen=True):
    fence: int = 0


@dataclass(frozen=True)
class StaleFence:
    """Report an order refused for an old fencing number."""

    fence: int


@dataclass(frozen=True)
class OrderFailed:
    """Report that the worker did not answer, or not with success.

    The order may have taken effect: the state tells.
    """

    message: str


class OrderClient:
    """Speak the worker's orders API."""

    def __init__(self, url: str, order_timeout_s: float = 600.0) -> None:
        self._url = url.rstrip('/')
        self._order_timeout_s = order_timeout_s
        self._client = CurlClient(force_instance=True, max_clients=_CLIENTS)

    async def state(self) -> OrderState | OrderFailed:
        """Read the state."""
        request = HTTPRequest(
            f'{self._url}/orders/state',
            connect_timeout=_CONNECT_S,
            request_timeout=_READ_S,
            prepare_curl_callback=connect_once,
        )
        answer = await self._fetch(request)
        if isinstance(answer, StaleFence):
            return OrderFailed('expected a state, got status 409')
        return answer

    async def give(
        self, order: Order
    ) -> OrderState | StaleFence | OrderFailed:
        """Give one order and wait until it is carried out."""
        request = HTTPRequest(
            f'{self._url}/orders',
            method='POST',
            body=msgspec.json.encode(order),
            connect_timeout=_CONNECT_S,
            request_timeout=self._order_timeout_s,
            # Sent again by libcurl, an order would go out without the order
            # lease being checked.
            prepare_curl_callback=connect_once,
        )
        return await self._fetch(request)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def _fetch(
        self, request: HTTPRequest
    ) -> OrderState | StaleFence | OrderFailed:
        try:
            response = await self._client.fetch(request, raise_error=False)
        except CurlError as error:
            return OrderFailed(str(error))
        try:
            if response.code == _STALE:
                stale = msgspec.json.decode(response.body, type=_Stale)
                return StaleFence(stale.fence)
            if response.code != _OK:
                return OrderFailed(f'status {response.code}')
            return msgspec.json.decode(response.body, type=OrderState)
        except DECODE_ERRORS as error:
            return OrderFailed(f'not a state: {error}')
