"""Check decisions when most prompts come to one router."""

from dataclasses import replace

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.experiment._engine import EngineModel
from lacewing_bench.experiment._outcome import Figures
from lacewing_bench.experiment._simulation import Pattern
from lacewing_bench.experiment._simulation import Simulation
from lacewing_bench.experiment._simulation import Variant
from lacewing_bench.experiment._site import Deployment
from lacewing_bench.experiment._site import Kind
from lacewing_bench.experiment._site import Level
from lacewing_daemon.direct._choice import send_bounds
from lacewing_daemon.direct._policy import LoadPolicy

STEP_MS = 60.0
PATTERN = Pattern(seconds=6.0, concentrated_from_s=2.0, report_lag_ms=200.0)
SUBJECTS = (Level('subject', 60, 400),)
SEED = 1


def _simulate(context: Context, pattern: Pattern) -> Figures:
    kind = Kind('ask', 300.0, SUBJECTS, 200, 4, 400.0, 1, 1.0, 0.1)
    site = Deployment(
        'slow steps',
        context.router_count,
        context.engine_count,
        4,
        EngineModel(step_ms=STEP_MS),
        (kind,),
    )
    return Simulation(site, pattern, Variant('as it is'), SEED).run()


@given('{engines:d} engines with slow steps and {routers:d} routers')
def step_sizes(context: Context, engines: int, routers: int) -> None:
    """Set the sizes."""
    context.engine_count = engines
    context.router_count = routers


@when(
    '{share:g} of 300 prompts a second come to one router, another each'
    ' {moves_s:d} seconds'
)
def step_simulate(context: Context, share: float, moves_s: int) -> None:
    """Simulate the load, spread over the routers for the first seconds."""
    pattern = replace(PATTERN, concentrated=share, moves_s=float(moves_s))
    context.figures = _simulate(context, pattern)


@then(
    'at least {part:g} times as many are answered in time as if they came to'
    ' all alike'
)
def step_alike(context: Context, part: float) -> None:
    """Compare with the same load spread over all routers."""
    alike = _simulate(context, PATTERN).on_time
    in_time = context.figures.on_time
    assert in_time >= part * alike, (in_time, alike)


@then('at most {percent:d} percent are refused')
def step_refused(context: Context, percent: int) -> None:
    """Compare the share of refused prompts."""
    assert context.figures.refused * 100 <= percent, context.figures


@then(
    'a router with {share:g} of the load of {routers:d} routers has bounds of'
    ' {waiting:g} and {in_flight:g}'
)
def step_bounds(
    context: Context,
    share: float,
    routers: int,
    waiting: float,
    in_flight: float,
) -> None:
    """Compare the bounds."""
    bounds = send_bounds(routers, share, LoadPolicy())
    assert bounds.waiting == waiting, bounds
    assert bounds.in_flight == in_flight, bounds
