"""Choose which copies of a model carry which of its adapters."""

from lacewing_common.bundle import Model
from lacewing_common.plan import HeldAdapter

from lacewing_daemon.placement._draft import copies_for
from lacewing_daemon.placement._draft import Draft
from lacewing_daemon.placement._draft import rank_of

_UTILISATION = 0.5
_COPIES_IN_USE = 2


def place_adapters(
    models: tuple[Model, ...], draft: Draft
) -> dict[tuple[str, str], tuple[HeldAdapter, ...]]:
    """Return the adapters by worker and model.

    One in use is on two copies and on more as its use grows, one out of use
    on one. A copy that holds an adapter in force keeps it.
    """
    found: dict[tuple[str, str], list[HeldAdapter]] = {}
    for model in models:
        copies = draft.copies(model.name)
        for adapter in model.adapters:
            wanted = HeldAdapter(adapter.name, adapter.version)
            count = _count(draft, model.name, adapter.name)
            for worker in _choose(draft, model.name, wanted, copies, count):
                found.setdefault((worker, model.name), []).append(wanted)
    return {key: tuple(sorted(value)) for key, value in found.items()}


def _count(draft: Draft, model: str, adapter: str) -> int:
    busy = 0.0
    for worker in draft.workers:
        for demand in draft.report(worker).demand:
            if demand.model == model and demand.adapter == adapter:
                busy += demand.busy
    if busy == 0:
        return 1
    return max(_COPIES_IN_USE, copies_for(busy, draft.slots, _UTILISATION))


def _choose(
    draft: Draft,
    model: str,
    adapter: HeldAdapter,
    copies: list[str],
    count: int,
) -> list[str]:
    chosen: list[str] = []
    for worker in copies:
        held = draft.report(worker).held(model)
        if held is not None and adapter in held.adapters:
            chosen.append(worker)
    key = f'{model}:{adapter.name}'
    for worker in sorted(copies, key=lambda one: rank_of(one, key)):
        if len(chosen) >= count:
            break
        if worker not in chosen:
            chosen.append(worker)
    return chosen
