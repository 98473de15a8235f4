"""Hold a placement while it is worked out: which worker gets what model."""

import math

import xxhash
from lacewing_common.bundle import Model
from lacewing_common.bundle import Service
from lacewing_common.plan import Plan

from lacewing_daemon.placement._reports import WorkerReport


class Draft:
    """Place copies; a copy is one model at one worker."""

    def __init__(
        self,
        service: Service,
        models: tuple[Model, ...],
        reports: tuple[WorkerReport, ...],
        previous: Plan | None,
    ) -> None:
        self._service = service
        self._sizes = {model.name: model.weights_gb for model in models}
        self._reports = {report.worker: report for report in reports}
        self._most_models = 1
        for report in reports:
            self._most_models = max(self._most_models, len(report.models))
        self._busy = _busy(self._sizes, reports)
        self._placed: dict[str, set[str]] = {}
        self._copies: dict[str, dict[str, None]] = {
            model: {} for model in self._sizes
        }
        for report in reports:
            self._placed[report.worker] = set()
            for model in sorted(self._kept(report, previous)):
                self.place(report.worker, model)

    @property
    def workers(self) -> tuple[str, ...]:
        """Return the workers that report."""
        return tuple(self._placed)

    @property
    def models(self) -> tuple[str, ...]:
        """Return the models of the service."""
        return tuple(self._sizes)

    @property
    def slots(self) -> float:
        """Return the mean number of slots of a worker."""
        total = sum(report.slots for report in self._reports.values())
        return max(1.0, total / max(1, len(self._reports)))

    def report(self, worker: str) -> WorkerReport:
        """Return what a worker reported."""
        return self._reports[worker]

    def busy(self, model: str) -> float:
        """Return the mean number of requests at once of a model."""
        return self._busy[model]

    def placed_at(self, worker: str) -> set[str]:
        """Return the models placed at a worker."""
        return self._placed[worker]

    def copies(self, model: str) -> list[str]:
        """Return the workers where a model is placed."""
        return list(self._copies[model])

    def copies_in(self, model: str, zone: str) -> int:
        """Count a model's copies in an availability zone."""
        count = 0
        for worker in self._copies[model]:
            if self._reports[worker].availability_zone == zone:
                count += 1
        return count

    def load(self, worker: str) -> float:
        """Return the requests at once expected of a worker."""
        total = 0.0
        for model in self._placed[worker]:
            total += self._busy[model] / len(self._copies[model])
        return total

    def serving(self, model: str) -> list[str]:
        """Return the workers that hold a model now, in any version."""
        return [
            report.worker
            for report in self._reports.values()
            if report.held(model) is not None
        ]

    def has_room(self, worker: str, model: str) -> bool:
        """Tell whether a model fits beside those placed at a worker.

        While sizes are not known, as many models fit on a worker as some
        worker of the service holds.
        """
        return self._fit({*self._placed[worker], model})

    def fits(self, worker: str) -> bool:
        """Tell whether the models placed at a worker fit together."""
        return self._fit(self._placed[worker])

    def place(self, worker: str, model: str) -> None:
        """Add a copy."""
        self._placed[worker].add(model)
        self._copies[model][worker] = None

    def remove(self, worker: str, model: str) -> None:
        """Take a copy away."""
        self._placed[worker].discard(model)
        self._copies[model].pop(worker, None)

    def best_new(self, model: str, zone: str = '') -> str | None:
        """Return the worker for a further copy, '' for any zone.

        The zone with the fewest copies goes first, then the worker with
        the least load; a hash makes each planner choose alike.
        """
        found: list[tuple[int, float, int, str]] = []
        for worker, models in self._placed.items():
            report = self._reports[worker]
            if model in models or model in report.failed:
                continue
            if zone and report.availability_zone != zone:
                continue
            if not self.has_room(worker, model):
                continue
            found.append(
                (
                    self.copies_in(model, report.availability_zone),
                    round(self.load(worker), 1),
                    rank_of(worker, model),
                    worker,
                )
            )
        return min(found)[-1] if found else None

    def _fit(self, models: set[str]) -> bool:
        memory_gb = self._service.worker_memory_gb
        sizes = [self._sizes[each] for each in models]
        if memory_gb > 0 and all(size > 0 for size in sizes):
            return sum(sizes) <= memory_gb
        return len(models) <= self._most_models

    def _kept(self, report: WorkerReport, previous: Plan | None) -> set[str]:
        planned = None
        if previous is not None:
            planned = previous.worker(report.worker)
        held = report.models if planned is None else planned.models
        found: set[str] = set()
        for each in held:
            if each.model not in self._sizes:
                continue
            missing = report.held(each.model) is None
            if missing and each.model in report.failed:
                continue
            found.add(each.model)
        return found


def rank_of(worker: str, model: str) -> int:
    """Return a hash by which workers are ordered for a model."""
    return xxhash.xxh3_64_intdigest(f'{model}\n{worker}'.encode())


def copies_for(busy: float, slots: float, utilisation: float) -> int:
    """Return how many copies keep their slots below a utilisation."""
    return max(1, math.ceil(busy / (slots * utilisation) - 1e-9))


def _busy(
    models: dict[str, float], reports: tuple[WorkerReport, ...]
) -> dict[str, float]:
    busy = dict.fromkeys(models, 0.0)
    for report in reports:
        for demand in report.demand:
            if demand.model in busy:
                busy[demand.model] += demand.busy
    return busy
