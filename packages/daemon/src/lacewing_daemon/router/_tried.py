"""Remember which runs of workers have refused or failed a request."""

from dataclasses import dataclass

from lacewing_daemon.router._link import Link


@dataclass(frozen=True)
class WorkerRun:
    """Name one run of an agent and of its worker."""

    process_id: str
    incarnation: int
    epoch: str


class Tried:
    """Hold the runs that a request is not sent to again.

    A run and not a worker alone: where every worker has failed a request,
    as engines do that crash, one that came back is the only one left. Left
    out for good, it would turn each crash in a small service into an error.
    """

    def __init__(self) -> None:
        self._runs: set[WorkerRun] = set()

    @property
    def process_ids(self) -> tuple[str, ...]:
        """Return the agents that refused or failed the request."""
        return tuple(run.process_id for run in self._runs)

    def add(self, run: WorkerRun) -> None:
        """Note that a run did not answer."""
        self._runs.add(run)

    def has(self, link: Link) -> bool:
        """Tell whether a worker is still in a run that was tried."""
        return run_of(link) in self._runs


def run_of(link: Link) -> WorkerRun:
    """Return the run that a link leads to now."""
    return WorkerRun(link.process_id, link.incarnation, link.worker.epoch)
