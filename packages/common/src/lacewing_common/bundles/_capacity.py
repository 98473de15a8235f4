"""Find model and adapter versions that fit into no worker's memory."""

from collections.abc import Iterator

from lacewing_common.bundle import Bundle
from lacewing_common.bundle import Model
from lacewing_common.bundle import Service
from lacewing_common.bundle import ServiceKind
from lacewing_common.bundles._problems import Problem


def check_capacity(bundle: Bundle) -> Iterator[Problem]:
    """Compare the size of each version with the memory of its workers.

    Without this check, the error would only appear when the workers refuse
    the version. They have unloaded the previous one by then, so that no
    worker serves the model.
    """
    for index, model in enumerate(bundle.models):
        path = f'$.models[{index}]'
        services = _services_of(bundle, model)
        if not services:
            yield Problem(
                path,
                f'no worker can hold the model {model.name!r}: no model'
                ' service lists it',
            )
            continue
        memory_gb = _largest_worker_gb(services)
        if memory_gb is None:
            continue
        yield from _check_model(path, model, memory_gb)


def _check_model(
    path: str, model: Model, memory_gb: float
) -> Iterator[Problem]:
    if model.weights_gb > memory_gb:
        yield Problem(
            f'{path}.weights',
            f'no worker can hold the version {model.weights!r}: it needs'
            f' {model.weights_gb:g} GB, the largest worker has'
            f' {memory_gb:g} GB',
        )
        return
    for adapter_index, adapter in enumerate(model.adapters):
        required_gb = model.weights_gb + adapter.adapter_gb
        if required_gb <= memory_gb:
            continue
        yield Problem(
            f'{path}.adapters[{adapter_index}].version',
            f'no worker can hold the version {adapter.version!r}: with its'
            f' model it needs {required_gb:g} GB, the largest worker has'
            f' {memory_gb:g} GB',
        )


def _services_of(bundle: Bundle, model: Model) -> list[Service]:
    model_services: list[Service] = []
    for service in bundle.services:
        if service.kind is not ServiceKind.MODEL:
            continue
        if model.name in service.models:
            model_services.append(service)
    return model_services


def _largest_worker_gb(services: list[Service]) -> float | None:
    """Return the memory of the largest worker, None if unknown."""
    largest = 0.0
    for service in services:
        if service.worker_memory_gb == 0.0:
            return None
        largest = max(largest, service.worker_memory_gb)
    return largest
