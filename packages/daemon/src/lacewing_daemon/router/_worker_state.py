"""Hold what an agent last said of itself and its worker."""

from dataclasses import dataclass
from dataclasses import replace

from lacewing_common.identity import Place
from lacewing_common.identity import ProcessName
from lacewing_common.wire import Welcome
from lacewing_common.wire import WorkerChanged


@dataclass(frozen=True)
class WorkerState:
    """Hold an agent's name, place and worker.

    ``name`` is None before the first Welcome. ``models`` names what is
    loaded as a Welcome does; ``leaving`` tells that no new work is taken.
    """

    name: ProcessName | None = None
    place: Place = Place('', '')
    service: str = ''
    epoch: str = ''
    models: frozenset[str] = frozenset()
    leaving: bool = False

    @property
    def process_id(self) -> str:
        """Return the agent's process id, '' before the first Welcome."""
        if self.name is None:
            return ''
        return self.name.process_id


def welcomed_state(welcome: Welcome) -> WorkerState:
    """Return what a greeting says."""
    return WorkerState(
        name=welcome.name,
        place=welcome.place,
        service=welcome.service,
        epoch=welcome.epoch,
        models=frozenset(welcome.models),
        leaving=welcome.leaving,
    )


def changed_state(state: WorkerState, told: WorkerChanged) -> WorkerState:
    """Return the state after a change that the agent told."""
    return replace(
        state,
        epoch=told.epoch,
        models=frozenset(told.models),
        leaving=told.leaving,
    )
