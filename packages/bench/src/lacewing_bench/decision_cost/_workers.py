"""Provide a fixed set of worker views for policies."""

from lacewing_common.identity import Place
from lacewing_common.wire import LoadReport
from lacewing_daemon.router._policy import WorkerView


class FixedWorkers:
    """Implement ``Workers`` over views that a test may replace."""

    def __init__(self, views: tuple[WorkerView, ...]) -> None:
        self._views = {view.process_id: view for view in views}
        self._ids = tuple(sorted(self._views))

    @property
    def ids(self) -> tuple[str, ...]:
        """Return the process ids of the agents, sorted."""
        return self._ids

    def view(self, process_id: str) -> WorkerView:
        """Return the current view of a worker."""
        return self._views[process_id]

    def replace(self, view: WorkerView) -> None:
        """Replace the view of a worker."""
        self._views[view.process_id] = view


def idle_view(process_id: str, epoch: str = 'e1') -> WorkerView:
    """Return the view of a worker without requests."""
    return WorkerView(
        process_id=process_id,
        place=Place('r', 'z'),
        epoch=epoch,
        load=LoadReport(),
        load_at_s=0.0,
        in_flight=0,
        in_flight_blocks=0,
    )
