"""Say which models take requests: those loaded and not to be taken away."""

from collections.abc import Callable

from lacewing_common.plan import HeldAdapter
from lacewing_common.plan import HeldModel

from lacewing_daemon.agent._demand import DemandMeter
from lacewing_daemon.agent._watch import WorkerWatch


class WatchedModels:
    """Implement ``ServedModels`` upon what the worker lists.

    An order that takes a model away must not find requests for it. Routers
    are told first that it is gone, and what runs ends.
    """

    def __init__(
        self,
        watch: WorkerWatch,
        meter: DemandMeter,
        on_change: Callable[[], None],
    ) -> None:
        self._watch = watch
        self._meter = meter
        self._on_change = on_change
        self._retired = ''

    @property
    def names(self) -> tuple[str, ...]:
        """Return the models served, ``model:weights[:adapter@version]``."""
        if not self._retired:
            return self._watch.models
        gone = f'{self._retired}:'
        return tuple(
            name for name in self._watch.models if not name.startswith(gone)
        )

    @property
    def known(self) -> bool:
        """Tell whether the worker has said what it holds, if nothing."""
        return self._watch.listed

    def held(self) -> tuple[HeldModel, ...]:
        """Return what the worker holds, as plans name it."""
        found: list[HeldModel] = []
        for model in self._watch.loaded:
            adapters = [
                HeldAdapter(each.name, each.version) for each in model.adapters
            ]
            adapters.sort()
            found.append(HeldModel(model.id, model.weights, tuple(adapters)))
        return tuple(found)

    def retire(self, model: str) -> None:
        """Take no new requests for a model, and tell routers."""
        self._retired = model
        self._on_change()

    def restore(self) -> None:
        """Take requests for all models again, and tell routers."""
        if self._retired:
            self._retired = ''
            self._on_change()

    def open_requests(self, model: str) -> int:
        """Count the requests for a model that have not ended."""
        return self._meter.open_requests(model)

    async def refresh(self) -> None:
        """Look at what the worker serves now."""
        await self._watch.poll()
