"""Validate the pins of a service."""

from collections.abc import Iterator

from lacewing_common.bundle import Pin
from lacewing_common.bundle import Service
from lacewing_common.bundles._problems import closest
from lacewing_common.bundles._problems import Problem


def check_pins(path: str, service: Service) -> Iterator[Problem]:
    """Return the problems of the pins of the service at ``path``."""
    seen: set[Pin] = set()
    known = frozenset(service.models)
    for index, pin in enumerate(service.pins):
        pin_path = f'{path}.pins[{index}]'
        if pin.model not in known:
            yield Problem(
                f'{pin_path}.model',
                f'no model of the service is named {pin.model!r}',
                closest(pin.model, known),
            )
        if bool(pin.worker) == bool(pin.zone):
            yield Problem(
                pin_path,
                'expected either a worker or a zone, got'
                f' worker {pin.worker!r} and zone {pin.zone!r}',
            )
        if pin in seen:
            yield Problem(pin_path, 'duplicate: the same pin comes before')
        seen.add(pin)
