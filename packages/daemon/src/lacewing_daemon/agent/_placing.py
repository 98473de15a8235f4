"""Let an agent take part in the placement of its service's models."""

from lacewing_common.settings import WorkerSettings

from lacewing_daemon.agent._demand import DemandMeter
from lacewing_daemon.agent._served_models import WatchedModels
from lacewing_daemon.agent._service import ServiceView
from lacewing_daemon.placement import AgentSide
from lacewing_daemon.placement import Placement
from lacewing_daemon.placement import WorkerReport
from lacewing_daemon.runtime import Runtime


def make_placement(
    runtime: Runtime,
    worker: WorkerSettings,
    service: ServiceView,
    models: WatchedModels,
    meter: DemandMeter,
) -> Placement | None:
    """Take part if the settings say so and there is a platform."""
    if runtime.node is None or runtime.store is None:
        return None
    if not runtime.settings.placement.enabled:
        return None

    def report(failed: tuple[str, ...]) -> WorkerReport:
        return WorkerReport(
            worker.service,
            runtime.settings.process_id,
            runtime.settings.place.availability_zone,
            worker.concurrency,
            meter.wait_ms,
            models.held(),
            meter.demand(),
            failed,
        )

    side = AgentSide(models, report, lambda: service.checks_fence)
    return Placement(runtime, runtime.node, runtime.store, worker, side)
