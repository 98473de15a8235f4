"""Work out the next order that brings a worker towards its plan."""

from collections.abc import Iterator

from lacewing_common.plan import HeldModel

from lacewing_daemon.placement._order_client import Order
from lacewing_daemon.placement._order_client import OrderKind
from lacewing_daemon.placement._order_client import OrderState


def next_order(
    state: OrderState, wanted: tuple[HeldModel, ...], fence: int
) -> Order | None:
    """Return one order, or None when the worker holds what is wanted.

    Unloading comes first, as it makes room; loading last, as it is slow.
    """
    held = {model.model: model for model in state.held()}
    names = {model.model for model in wanted}
    for name in held:
        if name not in names:
            return Order(fence=fence, order=OrderKind.UNLOAD, model=name)
    for model in wanted:
        present = held.get(model.model)
        if present is None or present.weights != model.weights:
            continue
        for order in _adapter_orders(present, model, fence):
            return order
    for model in wanted:
        present = held.get(model.model)
        if present is None or present.weights != model.weights:
            return Order(
                fence=fence,
                order=OrderKind.LOAD,
                model=model.model,
                weights=model.weights,
            )
    return None


def takes_away(order: Order, state: OrderState) -> bool:
    """Tell whether a model is not served as before after an order."""
    if order.order is OrderKind.ADAPTER:
        return False
    return any(model.model == order.model for model in state.held())


def _adapter_orders(
    present: HeldModel, wanted: HeldModel, fence: int
) -> Iterator[Order]:
    versions = {adapter.name: adapter.version for adapter in wanted.adapters}
    for adapter in present.adapters:
        if adapter.name not in versions:
            yield _adapter(fence, wanted.model, adapter.name, '')
    for adapter in wanted.adapters:
        if adapter not in present.adapters:
            yield _adapter(fence, wanted.model, adapter.name, adapter.version)


def _adapter(fence: int, model: str, name: str, version: str) -> Order:
    return Order(
        fence=fence,
        order=OrderKind.ADAPTER,
        model=model,
        adapter=name,
        adapter_version=version,
    )
