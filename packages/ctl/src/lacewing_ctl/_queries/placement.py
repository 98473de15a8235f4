"""Show the active placement plans."""

import msgspec
from lacewing_common.bundle import Pin
from lacewing_common.bundle import Service
from lacewing_common.bundle import ServiceKind
from lacewing_common.plan import HeldModel
from lacewing_common.plan import Plan
from lacewing_common.plan import read_plan
from lacewing_common.plan_objects import read_plan_document
from lacewing_common.rolls import RollError
from lacewing_common.rolls import RollFault
from lacewing_common.store import StoreError
from lacewing_common.verdict import Refusal
from tabulate import tabulate

from lacewing_ctl._fetch import fetch_bundle
from lacewing_ctl._profile import find_profile
from lacewing_ctl._session import in_session
from lacewing_ctl._session import Session

_RETRY_LIMIT_S = 10.0
_MODEL_HEADERS = ('model', 'copies', 'needed', 'busy', 'utilisation')
_WORKER_HEADERS = ('worker', 'zone', 'holds')


class PlacedService(msgspec.Struct, frozen=True):
    """Hold a service's plan, None before the first, and its pins."""

    service: str
    plan: Plan | None
    pins: tuple[Pin, ...]


def placement(
    service: str = '', json: bool = False, profile: str = ''
) -> None:
    """Show which worker is to hold which model, and who planned it.

    Args:
        service: the model service; all, if not given.
        json: print JSON in place of tables.
        profile: the operator's profile.
    """

    async def work(
        session: Session,
    ) -> tuple[PlacedService, ...] | RollError | StoreError:
        return await _read_all(session, service)

    found = in_session(find_profile(profile), _RETRY_LIMIT_S, work)
    if json:
        print(msgspec.json.encode(found).decode())
        return
    for placed in found:
        _show(placed)


async def _read_all(
    session: Session, name: str
) -> tuple[PlacedService, ...] | RollError | StoreError:
    rolled = await fetch_bundle(session, 0)
    if isinstance(rolled, RollError):
        return rolled
    found: list[PlacedService] = []
    for service in rolled.bundle.services:
        if service.kind is not ServiceKind.MODEL:
            continue
        if name and service.name != name:
            continue
        placed = await _read(session, service)
        if not isinstance(placed, PlacedService):
            return placed
        found.append(placed)
    if name and not found:
        return RollError(
            RollFault.NOT_FOUND,
            f'roll {rolled.number} has no model service {name!r}',
        )
    return tuple(found)


async def _read(
    session: Session, service: Service
) -> PlacedService | RollError | StoreError:
    document = await read_plan_document(session.store, service.name)
    if isinstance(document, StoreError):
        return document
    if document is None:
        return PlacedService(service.name, None, service.pins)
    plan = read_plan(document)
    if isinstance(plan, Refusal):
        return RollError(RollFault.REFUSED, plan.message)
    return PlacedService(service.name, plan, service.pins)


def _show(placed: PlacedService) -> None:
    plan = placed.plan
    if plan is None:
        print(f'{placed.service}: no plan; workers keep what they hold')
        return
    print(f'{plan.service}: plan {plan.fence} by {plan.planner}')
    rows: list[list[object]] = []
    for note in plan.models:
        rows.append(
            [
                note.model,
                note.copies,
                note.needed,
                note.busy,
                f'{note.utilisation:.0%}',
            ]
        )
    print(tabulate(rows, headers=_MODEL_HEADERS))
    print()
    workers: list[list[object]] = []
    for worker in plan.workers:
        models = ', '.join(_format_model(model) for model in worker.models)
        workers.append([worker.worker, worker.availability_zone, models])
    print(tabulate(workers, headers=_WORKER_HEADERS))
    for pin in placed.pins:
        print(f'pin: {pin.model} at {pin.worker or pin.zone}')


def _format_model(model: HeldModel) -> str:
    adapters = [f'{each.name}@{each.version}' for each in model.adapters]
    return ' + '.join([f'{model.model}:{model.weights}', *adapters])
