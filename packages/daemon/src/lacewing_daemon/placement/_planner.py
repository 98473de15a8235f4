"""Decide how few copies carry the load, and where they are."""

from dataclasses import dataclass
from dataclasses import field

import msgspec
from lacewing_common.bundle import Model
from lacewing_common.bundle import Service
from lacewing_common.plan import ModelNote
from lacewing_common.plan import Plan
from lacewing_common.plan import WorkerPlan

from lacewing_daemon.placement._draft import copies_for
from lacewing_daemon.placement._draft import Draft
from lacewing_daemon.placement._draft import rank_of
from lacewing_daemon.placement._pins import is_pinned
from lacewing_daemon.placement._pins import place_pins
from lacewing_daemon.placement._reports import WorkerReport
from lacewing_daemon.placement._staging import stage


@dataclass(frozen=True)
class PlanRules:
    """Set when copies are added and removed.

    Above ``grow_at`` of the slots, or when a new request waits longer than
    ``wait_share`` of the first-token goal, a copy is added at once, and
    that many copies are held for too few for ``late_hold_s``. One is
    removed when the rest stays below ``shrink_at`` for ``shrink_after_s``,
    then one each ``shrink_step_s``. A model that keeps more than
    ``spread_at`` of one copy busy gets a second one in another zone.
    """

    grow_at: float = 0.7
    shrink_at: float = 0.5
    shrink_after_s: float = 120.0
    shrink_step_s: float = 30.0
    wait_share: float = 0.05
    late_hold_s: float = 1200.0
    spread_at: float = 0.25


@dataclass(frozen=True)
class PlanInput:
    """Hold all that a plan is made from.

    ``alive`` names workers that are members but may not have reported yet;
    ``now_s`` is in seconds since 1970, as a successor reads it too.
    """

    service: Service
    models: tuple[Model, ...]
    reports: tuple[WorkerReport, ...]
    alive: frozenset[str]
    previous: Plan | None
    now_s: float
    rules: PlanRules = field(default_factory=PlanRules)


def make_plan(given: PlanInput, planner: str, address: str) -> Plan:
    """Return the next plan; its fence is set when it is published."""
    models = _models_of(given)
    draft = Draft(given.service, models, given.reports, given.previous)
    needed: dict[str, int] = {}
    late: dict[str, int] = {}
    for model in draft.models:
        needed[model] = _needed(given, draft, model)
        if _is_late(given, draft, model):
            late[model] = len(draft.copies(model))
    place_pins(given.service, draft)
    for model in draft.models:
        _grow(draft, model, needed)
    _relieve(given, draft)
    for each in models:
        _drop_stale(given, draft, each, needed[each.name])
    notes: list[ModelNote] = []
    for model in draft.models:
        since_s = _shrink(given, draft, model, needed[model])
        note = _note(draft, model, needed[model], since_s)
        notes.append(_with_late(given, note, late.get(model, 0)))
    return Plan(
        service=given.service.name,
        fence=0,
        planner=planner,
        planner_address=address,
        made_at_s=given.now_s,
        workers=stage(given.service, models, draft, given.previous)
        + _silent(given),
        models=tuple(notes),
    )


def _models_of(given: PlanInput) -> tuple[Model, ...]:
    known = {model.name: model for model in given.models}
    found: list[Model] = []
    for name in given.service.models:
        if name in known:
            found.append(known[name])
    return tuple(found)


def _needed(given: PlanInput, draft: Draft, model: str) -> int:
    """Return the copies that load, zones and the first-token goal ask for."""
    rules = given.rules
    busy = draft.busy(model)
    needed = copies_for(busy, draft.slots, rules.grow_at)
    if busy > rules.spread_at * draft.slots:
        needed = max(needed, 2)
    copies = draft.copies(model)
    if _is_late(given, draft, model):
        needed = max(needed, len(copies) + 1)
    late = _previous_note(given, model)
    if given.now_s - late.late_at_s < rules.late_hold_s:
        needed = max(needed, late.late_copies + 1)
    return max(1, min(needed, len(draft.workers)))


def _is_late(given: PlanInput, draft: Draft, model: str) -> bool:
    """Tell whether the copies, all of them there, are too few."""
    copies = draft.copies(model)
    if not copies or not set(copies) <= set(draft.serving(model)):
        return False
    return _waits(given, draft, copies)


def _waits(given: PlanInput, draft: Draft, copies: list[str]) -> bool:
    """Tell whether most copies keep new requests waiting for too long.

    One slow worker is the routers' business: they choose another.
    """
    most_ms = given.rules.wait_share * given.service.first_token_ms
    late = 0
    for worker in copies:
        if draft.report(worker).wait_ms > most_ms:
            late += 1
    return late * 2 > len(copies)


def _grow(draft: Draft, model: str, needed: dict[str, int]) -> None:
    while len(draft.copies(model)) < needed[model]:
        worker = draft.best_new(model)
        if worker is None:
            worker = _displace(draft, model, needed)
        if worker is None:
            return
        draft.place(worker, model)


def _displace(draft: Draft, model: str, needed: dict[str, int]) -> str | None:
    """Take a copy away that another model can spare; return its worker."""
    for worker in sorted(draft.workers, key=lambda one: rank_of(one, model)):
        if model in draft.placed_at(worker):
            continue
        for other in sorted(draft.placed_at(worker)):
            if len(draft.copies(other)) <= needed[other]:
                continue
            rest = [each for each in draft.copies(other) if each != worker]
            if not set(rest) & set(draft.serving(other)):
                continue
            draft.remove(worker, other)
            if draft.has_room(worker, model):
                return worker
            draft.place(worker, other)
    return None


def _drop_stale(
    given: PlanInput, draft: Draft, model: Model, needed: int
) -> None:
    """Take copies of old weights away when those of the new ones suffice.

    To load the new ones there, too, would only use the weight store.
    """
    busy = draft.busy(model.name)
    enough = copies_for(busy, draft.slots, given.rules.shrink_at)
    ready: list[str] = []
    stale: list[str] = []
    for worker in draft.copies(model.name):
        held = draft.report(worker).held(model.name)
        if held is None:
            continue
        group = ready if held.weights == model.weights else stale
        group.append(worker)
    if len(ready) < max(needed, enough):
        return
    for worker in stale:
        if not is_pinned(given.service, draft, worker, model.name):
            draft.remove(worker, model.name)


def _relieve(given: PlanInput, draft: Draft) -> None:
    """Add copies where models that share a worker are too much for it."""
    for worker in draft.workers:
        limit = given.rules.grow_at * draft.report(worker).slots
        for model in sorted(draft.placed_at(worker), key=draft.busy):
            if draft.load(worker) <= limit or draft.busy(model) == 0:
                continue
            other = draft.best_new(model)
            if other is not None and draft.load(other) < limit / 2:
                draft.place(other, model)


def _shrink(given: PlanInput, draft: Draft, model: str, needed: int) -> float:
    """Take a copy away if fewer have done for long; return since when."""
    if not _can_spare(given, draft, model, needed):
        return 0.0
    rules = given.rules
    since_s = _previous_note(given, model).below_since_s or given.now_s
    if given.now_s - since_s < rules.shrink_after_s:
        return since_s
    worker = _least_needed(given.service, draft, model)
    if worker is None:
        return since_s
    draft.remove(worker, model)
    return given.now_s - rules.shrink_after_s + rules.shrink_step_s


def _can_spare(
    given: PlanInput, draft: Draft, model: str, needed: int
) -> bool:
    copies = draft.copies(model)
    rules = given.rules
    enough = copies_for(draft.busy(model), draft.slots, rules.shrink_at)
    if len(copies) <= max(needed, enough):
        return False
    # A copy still to be loaded, or loaded anew, carries nothing yet.
    if not set(copies) <= set(draft.serving(model)):
        return False
    share = draft.busy(model) / (len(copies) - 1)
    more = share - draft.busy(model) / len(copies)
    for worker in copies:
        limit = rules.grow_at * draft.report(worker).slots
        if draft.load(worker) + more > limit:
            return False
    return True


def _least_needed(service: Service, draft: Draft, model: str) -> str | None:
    """Choose a copy of the fullest zone, best on the most loaded worker."""
    found: list[tuple[int, int, float, int, str]] = []
    for worker in draft.copies(model):
        if is_pinned(service, draft, worker, model):
            continue
        zone = draft.report(worker).availability_zone
        found.append(
            (
                draft.copies_in(model, zone),
                len(draft.placed_at(worker)),
                round(draft.load(worker), 1),
                rank_of(worker, model),
                worker,
            )
        )
    return max(found)[-1] if found else None


def _previous_note(given: PlanInput, model: str) -> ModelNote:
    if given.previous is not None:
        for note in given.previous.models:
            if note.model == model:
                return note
    return ModelNote(model, 0, 0, 0.0, 0.0)


def _note(draft: Draft, model: str, needed: int, since_s: float) -> ModelNote:
    copies = len(draft.copies(model))
    busy = draft.busy(model)
    utilisation = busy / (draft.slots * copies) if copies else 0.0
    return ModelNote(
        model, copies, needed, round(busy, 2), round(utilisation, 3), since_s
    )


def _with_late(given: PlanInput, note: ModelNote, late: int) -> ModelNote:
    """Keep how many copies were too few, so that none is spared at once.

    Else a copy would be added for the waits and spared again, for ever.
    """
    before = _previous_note(given, note.model)
    late_at_s = given.now_s if late else before.late_at_s
    return msgspec.structs.replace(
        note, late_copies=late or before.late_copies, late_at_s=late_at_s
    )


def _silent(given: PlanInput) -> tuple[WorkerPlan, ...]:
    """Leave members as planned that have not reported: they may serve."""
    if given.previous is None:
        return ()
    heard = {report.worker for report in given.reports}
    found: list[WorkerPlan] = []
    for worker in given.previous.workers:
        if worker.worker in given.alive and worker.worker not in heard:
            found.append(worker)
    return tuple(found)
