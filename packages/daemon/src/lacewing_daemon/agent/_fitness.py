"""Tell whether a request can run at this worker."""

from collections.abc import Callable

from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_common.wire import Start

from lacewing_daemon.agent._served_models import WatchedModels


class Fitness:
    """Refuse what the worker surely can't run, before it is recorded."""

    def __init__(
        self,
        service: str,
        models: WatchedModels,
        look_soon: Callable[[], None],
    ) -> None:
        self._service = service
        self._models = models
        self._look_soon = look_soon

    def refusal(self, start: Start, leaving: bool) -> Refusal | None:
        """Return why a request cannot run here, or None."""
        if leaving:
            return not_run(Reason.DRAINING, 'this worker is leaving')
        if start.service != self._service:
            return not_run(
                Reason.NOT_READY,
                f'this worker serves {self._service!r}, not {start.service!r}',
            )
        return self._stale(start)

    def _stale(self, start: Start) -> Refusal | None:
        models = self._models.names
        if not start.model or not start.weights:
            return None
        if not models and not self._models.known:
            return None
        wanted = f'{start.model}:{start.weights}'
        if wanted in models:
            return None
        # The list is a second old at most; a load may just have ended.
        self._look_soon()
        return not_run(
            Reason.STALE_WEIGHTS,
            f'{wanted} is not loaded here; loaded: {", ".join(models)}',
        )
