"""Release the loads that a placement asks for, a few at a time."""

from dataclasses import dataclass

from lacewing_common.bundle import Model
from lacewing_common.bundle import Service
from lacewing_common.plan import HeldAdapter
from lacewing_common.plan import HeldModel
from lacewing_common.plan import Plan
from lacewing_common.plan import WorkerPlan

from lacewing_daemon.placement._adapters import place_adapters
from lacewing_daemon.placement._draft import Draft
from lacewing_daemon.placement._draft import rank_of


@dataclass(frozen=True)
class _Load:
    """Stand for weights that a worker has to load."""

    worker: str
    model: str


class _Stage:
    """Count the loads under way and admit further ones."""

    def __init__(
        self,
        service: Service,
        models: tuple[Model, ...],
        draft: Draft,
        previous: Plan | None,
    ) -> None:
        self._limit = service.loads_at_once
        self._models = {model.name: model for model in models}
        self._draft = draft
        self._previous = previous
        self.admitted: set[_Load] = set()

    def run(self) -> None:
        """Admit what is under way, then what may begin."""
        self._retain_last_copies()
        self._admit_begun()
        waiting = self._waiting()
        waiting.sort(key=self._urgency)
        for load in waiting:
            if len(self.admitted) >= self._limit:
                return
            if self._may_begin(load):
                self.admitted.add(load)

    def weights(self, model: str) -> str:
        """Return the weights version in force."""
        return self._models[model].weights

    def _retain_last_copies(self) -> None:
        """Keep one copy of each model until another one serves."""
        for model in self._models:
            serving = self._draft.serving(model)
            kept = set(serving) & set(self._draft.copies(model))
            if serving and not kept:
                last = min(serving, key=lambda one: rank_of(one, model))
                self._draft.place(last, model)

    def _waiting(self) -> list[_Load]:
        found: list[_Load] = []
        for worker in self._draft.workers:
            for model in sorted(self._draft.placed_at(worker)):
                load = _Load(worker, model)
                if load not in self.admitted and self._is_load(load):
                    found.append(load)
        return found

    def _admit_begun(self) -> None:
        """Go on with loads that the last plan ordered.

        The worker may be amid one. Taken back, it would still use the
        weight store while another one is let in.
        """
        if self._previous is None:
            return
        for planned in self._previous.workers:
            if planned.worker not in self._draft.workers:
                continue
            report = self._draft.report(planned.worker)
            for model in planned.models:
                if model.model not in self._models:
                    continue
                held = report.held(model.model)
                if held is not None and held.weights == model.weights:
                    continue
                if model.model in report.failed:
                    continue
                self._draft.place(planned.worker, model.model)
                self.admitted.add(_Load(planned.worker, model.model))

    def _is_load(self, load: _Load) -> bool:
        held = self._draft.report(load.worker).held(load.model)
        return held is None or held.weights != self.weights(load.model)

    def _urgency(self, load: _Load) -> tuple[int, int]:
        """Put models without a copy in the version in force first."""
        ready = 0
        for worker in self._draft.serving(load.model):
            held = self._draft.report(worker).held(load.model)
            if held is not None and held.weights == self.weights(load.model):
                ready += 1
        return (ready, rank_of(load.worker, load.model))

    def _may_begin(self, load: _Load) -> bool:
        """Tell whether the model stays served meanwhile.

        New weights take the place of the old ones, so the worker does not
        serve the model while it loads them.
        """
        if self._draft.report(load.worker).held(load.model) is None:
            return self._draft.fits(load.worker)
        others = 0
        for worker in self._draft.serving(load.model):
            other = _Load(worker, load.model)
            if worker != load.worker and other not in self.admitted:
                others += 1
        if others:
            return True
        if any(each.model == load.model for each in self.admitted):
            # Another worker is loading it: wait until it serves.
            return False
        spare = self._draft.best_new(load.model)
        if spare is None:
            return True
        self._draft.place(spare, load.model)
        self.admitted.add(_Load(spare, load.model))
        return False


def stage(
    service: Service,
    models: tuple[Model, ...],
    draft: Draft,
    previous: Plan | None,
) -> tuple[WorkerPlan, ...]:
    """Return what each worker has to hold now, on the way to a placement."""
    staging = _Stage(service, models, draft, previous)
    staging.run()
    adapters = place_adapters(models, draft)
    found: list[WorkerPlan] = []
    for worker in sorted(draft.workers):
        report = draft.report(worker)
        wanted: list[HeldModel] = []
        for model in sorted(draft.placed_at(worker)):
            held = report.held(model)
            load = _Load(worker, model)
            if load in staging.admitted:
                weights = staging.weights(model)
            elif held is not None:
                weights = held.weights
            else:
                continue
            chosen: tuple[HeldAdapter, ...] = adapters.get((worker, model), ())
            wanted.append(HeldModel(model, weights, chosen))
        found.append(
            WorkerPlan(worker, report.availability_zone, tuple(wanted))
        )
    return tuple(found)
