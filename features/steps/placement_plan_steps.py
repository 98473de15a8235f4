"""Check what is planned, on simulated workers."""

import asyncio
from random import Random

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.fakes import FakeStore
from lacewing_common.bundle import Bundle
from lacewing_common.bundle import Model
from lacewing_common.bundle import Pin
from lacewing_common.bundle import Service
from lacewing_common.bundle import ServiceKind
from lacewing_common.bundles import check_bundle
from lacewing_common.document import Document
from lacewing_common.plan import HeldModel
from lacewing_common.plan import ModelNote
from lacewing_common.plan import Plan
from lacewing_common.plan import WorkerPlan
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault
from lacewing_daemon.placement import PlanStore
from support.bundle_bench import make_bundle
from support.placement_bench import case_of
from support.placement_bench import PlannedWorker
from support.placement_bench import STEP_S


@given('{count:d} simulated workers in {zones:d} zones that hold "{models}"')
def given_workers(
    context: Context, count: int, zones: int, models: str
) -> None:
    case = case_of(context)
    names = models.split(',')
    case.weights = dict.fromkeys(names, 'v1')
    for index in range(count):
        held = dict.fromkeys(names, 'v1')
        worker = PlannedWorker(f'z{index % zones + 1}', held)
        case.workers[f'w{index + 1}'] = worker


@given('only "{worker}" holds "{model}"')
def given_only(context: Context, worker: str, model: str) -> None:
    for name, each in case_of(context).workers.items():
        if name != worker:
            each.held.pop(model, None)


@given('at most {count:d} loads at once')
def given_loads(context: Context, count: int) -> None:
    case_of(context).loads_at_once = count


@given('a pin of "{model}" to the worker "{worker}"')
def given_pin(context: Context, model: str, worker: str) -> None:
    case_of(context).pins += (Pin(model=model, worker=worker),)


@when('{busy:g} requests at once use "{model}" for {seconds:g} s')
def when_used(
    context: Context, busy: float, model: str, seconds: float
) -> None:
    case = case_of(context)
    case.busy[model] = busy
    for _ in range(round(seconds / STEP_S)):
        case.step()


@when('new requests wait {wait_ms:g} ms for {seconds:g} s')
def when_waiting(context: Context, wait_ms: float, seconds: float) -> None:
    case = case_of(context)
    case.wait_ms = wait_ms
    for _ in range(round(seconds / STEP_S)):
        case.step()


@when('weights "{version}" of "{model}" are rolled and {seconds:g} s pass')
def when_weights(
    context: Context, version: str, model: str, seconds: float
) -> None:
    case = case_of(context)
    case.weights[model] = version
    case.most_loading = 0
    case.fewest_serving = 99
    for _ in range(round(seconds / STEP_S)):
        case.step()


@then('"{model}" has {count:d} copies')
@then('"{model}" has {count:d} copy')
def then_copies(context: Context, model: str, count: int) -> None:
    copies = case_of(context).copies(model)
    assert len(copies) == count, copies


@then('"{model}" has copies in {count:d} zones')
def then_zones(context: Context, model: str, count: int) -> None:
    zones = case_of(context).zones(model)
    assert len(set(zones)) == count, zones


@then('"{model}" has {count:d} copies in each of {zones:d} zones')
def then_even(context: Context, model: str, count: int, zones: int) -> None:
    found = case_of(context).zones(model)
    assert len(set(found)) == zones, found
    for zone in found:
        assert found.count(zone) == count, found


@then('"{model}" has a copy at "{worker}"')
def then_copy_at(context: Context, model: str, worker: str) -> None:
    assert worker in case_of(context).copies(model)


@then('no more than {count:d} loaded at once and {loads:d} loads were begun')
def then_loading(context: Context, count: int, loads: int) -> None:
    case = case_of(context)
    begun = sum(worker.loads for worker in case.workers.values())
    assert case.most_loading <= count, case.most_loading
    assert begun == loads, begun


@then('each model always had a copy that served')
def then_served(context: Context) -> None:
    assert case_of(context).fewest_serving >= 1


@then('every copy of "{model}" has the weights "{version}"')
def then_version(context: Context, model: str, version: str) -> None:
    case = case_of(context)
    copies = case.copies(model)
    assert copies
    for name in copies:
        assert case.workers[name].held[model] == version


@then('a bundle is refused that pins "{model}" to "{worker}" and "{zone}"')
def then_pin_refused(
    context: Context, model: str, worker: str, zone: str
) -> None:
    pin = Pin(model=model, worker=worker, zone=zone)
    service = Service(
        name='s', kind=ServiceKind.MODEL, models=('m',), pins=(pin,)
    )
    bundle = Bundle(
        services=(service,), models=(Model(name='m', weights='v1'),)
    )
    context.problems = [
        problem
        for problem in check_bundle(bundle)
        if problem.path.startswith('$.services[0].pins[0]')
    ]
    assert len(context.problems) == 2, context.problems
    assert context.problems[0].suggestion == 'm'


@when('a plan with fence {fence:d} of each model service comes into force')
def when_published(context: Context, fence: int) -> None:
    for answer in _publish(context, fence):
        assert not isinstance(answer, StoreError), answer


@when('a plan with fence {fence:d} of each model service is refused')
def when_refused(context: Context, fence: int) -> None:
    for answer in _publish(context, fence):
        assert isinstance(answer, StoreError), answer
        assert answer.fault is StoreFault.CONFLICT


def _publish(context: Context, fence: int) -> list[Document | StoreError]:
    service = context.ctl_bench.server.service
    answers: list[Document | StoreError] = []
    for each in make_bundle().services:
        if each.kind is not ServiceKind.MODEL:
            continue
        name = each.name
        plan = Plan(
            service=name,
            fence=fence,
            planner='agent-1',
            planner_address='',
            made_at_s=0.0,
            workers=(WorkerPlan('w1', 'z1', (HeldModel('m', 'v1'),)),),
            models=(ModelNote('m', 1, 1, 3.0, 0.1),),
        )
        plans = PlanStore(FakeStore(service), name, Random(1))
        answers.append(asyncio.run(plans.publish(plan)))
    assert answers
    return answers
