"""Keep copies where operators have pinned them."""

from lacewing_common.bundle import Service

from lacewing_daemon.placement._draft import Draft


def place_pins(service: Service, draft: Draft) -> None:
    """Place the copies that pins ask for."""
    for pin in service.pins:
        if pin.model not in draft.models:
            continue
        if pin.zone:
            if draft.copies_in(pin.model, pin.zone):
                continue
            worker = draft.best_new(pin.model, pin.zone)
            if worker is not None:
                draft.place(worker, pin.model)
            continue
        if pin.worker not in draft.workers:
            continue
        if pin.model in draft.placed_at(pin.worker):
            continue
        _make_room(service, draft, pin.worker, pin.model)
        draft.place(pin.worker, pin.model)


def _make_room(
    service: Service, draft: Draft, worker: str, model: str
) -> None:
    """Take away what is not pinned until a pinned model fits."""
    for other in sorted(draft.placed_at(worker)):
        if draft.has_room(worker, model):
            return
        if not is_pinned(service, draft, worker, other):
            draft.remove(worker, other)


def is_pinned(service: Service, draft: Draft, worker: str, model: str) -> bool:
    """Tell whether a pin keeps a copy where it is."""
    zone = draft.report(worker).availability_zone
    for pin in service.pins:
        if pin.model != model:
            continue
        if pin.worker == worker:
            return True
        if pin.zone == zone and draft.copies_in(model, zone) == 1:
            return True
    return False
