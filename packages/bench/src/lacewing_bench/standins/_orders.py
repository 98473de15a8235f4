"""Carry out orders to load models and adapters or to change role."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import msgspec

from lacewing_bench.standins._models import LoadedModels
from lacewing_bench.standins._settings import LoadedAdapter
from lacewing_bench.standins._settings import LoadedModel


class OrderKind(Enum):
    """Name what an order changes."""

    LOAD = 'load'
    UNLOAD = 'unload'
    ADAPTER = 'adapter'
    ROLE = 'role'


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one order; an adapter without a version is taken away."""

    fence: int
    order: OrderKind
    model: str = ''
    weights: str = ''
    adapter: str = ''
    adapter_version: str = ''
    role: str = ''


class OrderState(msgspec.Struct, frozen=True):
    """Hold what the orders so far have led to."""

    epoch: str
    fence: int
    role: str
    models: tuple[LoadedModel, ...]


class StaleFence(msgspec.Struct, frozen=True):
    """Refuse an order whose fencing number is lower than one seen."""

    fence: int


@dataclass(frozen=True)
class OrderFailed:
    """Report an order that could not be carried out."""

    message: str


class Orders:
    """Carry out one order at a time.

    ``load_weights`` takes model and version and returns a message when it
    failed, '' else. ``clear_cache`` drops entries of other weights.
    """

    def __init__(
        self,
        epoch: str,
        models: LoadedModels,
        most_models: int,
        load_weights: Callable[[str, str], Awaitable[str]],
        clear_cache: Callable[[], None],
    ) -> None:
        self._epoch = epoch
        self._models = models
        self._most_models = most_models
        self._load_weights = load_weights
        self._clear_cache = clear_cache
        self._fence = 0
        self._role = ''
        self._one_at_a_time = asyncio.Lock()

    @property
    def state(self) -> OrderState:
        """Return the state as it is now."""
        return OrderState(
            self._epoch, self._fence, self._role, self._models.all()
        )

    async def carry_out(
        self, order: Order, honour_fencing: bool
    ) -> OrderState | StaleFence | OrderFailed:
        """Change the state as told, unless the order is stale."""
        async with self._one_at_a_time:
            # An order that waited for another is checked only now, or it
            # would undo a later order that overtook it.
            if honour_fencing and order.fence < self._fence:
                return StaleFence(self._fence)
            self._fence = max(self._fence, order.fence)
            failure = await self._apply(order)
            if failure:
                return OrderFailed(failure)
            return self.state

    async def _apply(self, order: Order) -> str:
        if order.order is OrderKind.LOAD:
            return await self._load(order.model, order.weights)
        if order.order is OrderKind.UNLOAD:
            self._models.remove(order.model)
            self._clear_cache()
            return ''
        if order.order is OrderKind.ADAPTER:
            adapter = LoadedAdapter(
                name=order.adapter, version=order.adapter_version
            )
            if not self._models.attach(order.model, adapter):
                return f'expected a loaded model, got {order.model!r}'
            return ''
        self._role = order.role
        return ''

    async def _load(self, name: str, weights: str) -> str:
        loaded = self._models.find(name, '')
        if loaded is not None and loaded.weights == weights:
            return ''
        if loaded is None and len(self._models.all()) >= self._most_models:
            return (
                f'expected room for one more model, but {self._most_models}'
                ' are loaded: unload one first'
            )
        # The old weights make room for the new ones, so the model is not
        # served meanwhile, and entries made by them are dropped.
        self._models.remove(name)
        self._clear_cache()
        failure = await self._load_weights(name, weights)
        if not failure:
            self._models.install(name, weights)
        return failure
