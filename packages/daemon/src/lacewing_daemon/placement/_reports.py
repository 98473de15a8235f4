"""Describe what each agent of a service reports to its planner."""

from lacewing_common.plan import HeldModel
from lacewing_common.wire_peers import PeerMessage

DEMAND_METHOD = '/lacewing.Peer/Demand'


class ModelDemand(PeerMessage, frozen=True):
    """Report the use of one model, or of one adapter of it.

    ``busy`` is the mean number of requests that ran or waited at once;
    ``adapter`` is '' for the requests without one.
    """

    model: str
    adapter: str
    busy: float


class WorkerReport(PeerMessage, frozen=True):
    """Report what one worker holds and how much it is used.

    ``slots`` is the number of requests it runs at once; ``wait_ms`` the
    wait expected of a new one. ``failed`` names models whose load failed.
    """

    service: str
    worker: str
    availability_zone: str
    slots: int
    wait_ms: float
    models: tuple[HeldModel, ...]
    demand: tuple[ModelDemand, ...]
    failed: tuple[str, ...] = ()

    def held(self, model: str) -> HeldModel | None:
        """Return a model as the worker holds it."""
        for held in self.models:
            if held.model == model:
                return held
        return None


class ReportTaken(PeerMessage, frozen=True):
    """Tell whether the process reported to plans for the service."""

    taken: bool
