"""Check the engine model and the variants simulated on it."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.experiment._engine import Engine
from lacewing_bench.experiment._engine import EngineModel
from lacewing_bench.experiment._engine import Run
from lacewing_bench.experiment._outcome import Figures
from lacewing_bench.experiment._simulation import Pattern
from lacewing_bench.experiment._simulation import Simulation
from lacewing_bench.experiment._simulation import Variant
from lacewing_bench.experiment._site import LAHORE
from lacewing_bench.experiment._sweep import sweep_cases
from lacewing_bench.experiment._sweep import with_speed
from lacewing_daemon.direct import PromptPart
from lacewing_daemon.direct._policy import LoadPolicy

SECONDS = 12.0
SEED = 7


def _run(
    sequence: int,
    own: int,
    shared: int = 6000,
    urgency: int = 5,
    answer: int = 9,
) -> Run:
    parts = (PromptPart('shared', shared), PromptPart(f'own-{sequence}', own))
    return Run('salt', parts, answer, urgency, sequence, 1, False)


@given('an idle engine')
def step_engine(context: Context) -> None:
    """Make an engine."""
    context.engine = Engine(EngineModel())
    context.now_ms = 0.0
    context.runs = []


@given('an engine with memory for {tokens:d} tokens')
def step_small(context: Context, tokens: int) -> None:
    """Make an engine with little memory."""
    step_engine(context)
    context.engine = Engine(EngineModel(kv_tokens=tokens))


@when('a prompt of {tokens:d} tokens arrives')
def step_prompt(context: Context, tokens: int) -> None:
    """Run a prompt to its end."""
    context.runs.append(_run(0, tokens - 6000))
    context.engine.enqueue(context.runs[0])
    _until_idle(context)


@when('another prompt with the same shared parts arrives')
def step_another(context: Context) -> None:
    """Run a second prompt to its end and count its prefilled tokens."""
    before = context.engine.counts.prefilled_tokens
    context.engine.enqueue(_run(1, 500))
    _until_idle(context)
    context.prefilled_tokens = context.engine.counts.prefilled_tokens - before


@when('{count:d} runs are active')
def step_many(context: Context, count: int) -> None:
    """Measure a step with one run, then with many."""
    context.engine.enqueue(_run(0, 100, answer=1000))
    _steps(context, 10)
    context.alone_ms = context.engine.step(0.0)[0]
    for number in range(1, count):
        context.engine.enqueue(_run(number, 100, answer=1000))
    _steps(context, 10)
    context.many_ms = context.engine.step(0.0)[0]


@when('less urgent runs fill it and an urgent prompt arrives')
def step_fill(context: Context) -> None:
    """Fill the memory, then add the urgent one."""
    for number in range(4):
        context.engine.enqueue(_run(number, 1200, 0, 5, 1000))
    _steps(context, 5)
    context.urgent = _run(9, 1200, 0, 0, 1000)
    context.engine.enqueue(context.urgent)
    _steps(context, 3)


@when('{count:d} prompts arrive and it loads new weights at once')
def step_loads(context: Context, count: int) -> None:
    """Load weights while some prompts run and others wait."""
    for number in range(count):
        run = _run(number, 100, 100, 5, 1000)
        context.runs.append(run)
        context.engine.enqueue(run)
    _steps(context, 3)
    context.refused = context.engine.load(2, context.now_ms)
    _steps(context, 3)


@when('one variant is simulated twice with the same seed')
def step_twice(context: Context) -> None:
    """Simulate the variant twice."""
    context.results = [_simulate(Variant('a')), _simulate(Variant('a'))]


@when('loading in two parts and all at once are simulated')
def step_parts(context: Context) -> None:
    """Simulate both with a weight release every few seconds."""
    at_once = Variant('all', LoadPolicy(load_early_part=1.0))
    context.results = [_simulate(Variant('parts')), _simulate(at_once)]


@when('refusing and not refusing are simulated at {load:d} times the load')
def step_overload(context: Context, load: int) -> None:
    """Simulate both without weight releases."""
    pattern = Pattern(float(load), SECONDS)
    unlimited = LoadPolicy(max_waiting=10**6, max_in_flight=10**6)
    context.results = [
        _simulate(Variant('refusing'), pattern),
        _simulate(Variant('not', unlimited, refuse_late=False), pattern),
    ]


@then('its first event comes after {least:d} to {most:d} ms')
def step_first(context: Context, least: int, most: int) -> None:
    """Compare with the prefill time."""
    assert least <= context.runs[0].first_ms <= most, context.runs[0]


@then('the engine prefills only its own part')
def step_own(context: Context) -> None:
    """Compare with the own part."""
    assert context.prefilled_tokens == 500, context.prefilled_tokens


@then('a step takes longer than with one')
def step_longer(context: Context) -> None:
    """Compare the two steps."""
    assert context.many_ms > context.alone_ms + 1.0, context.many_ms


@then('a less urgent run is preempted and the urgent one runs')
def step_preempted(context: Context) -> None:
    """Check the batch and the queue."""
    assert context.engine.counts.preempted >= 1, context.engine.counts
    assert context.urgent in context.engine.running
    assert context.engine.waiting, context.engine.running


@then('waiting runs are refused and active runs mix both versions')
def step_refused(context: Context) -> None:
    """Count the refused and the active runs."""
    assert len(context.refused) == 50 - 48, len(context.refused)
    assert len(context.engine.running) == 48
    for run in context.engine.running:
        assert 0 < run.mixed < run.generated, run


@then('both simulations have the same figures')
def step_same(context: Context) -> None:
    """Compare the figures of both simulations."""
    assert context.results[0] == context.results[1], context.results


@then('loading in two parts mixes at most {part:f} of the tokens')
def step_mixes(context: Context, part: float) -> None:
    """Compare the fractions of mixed tokens."""
    parts, at_once = context.results
    assert parts.mixed <= part * at_once.mixed, context.results


@then('it earns more')
def step_more(context: Context) -> None:
    """Compare the worth."""
    assert context.results[0].worth > context.results[1].worth, context.results


@when('the deployment is simulated with {engines}')
def step_engines(context: Context, engines: str) -> None:
    """Simulate one case of the sweep."""
    sites = {case.name: case.site for case in sweep_cases(LAHORE)}
    pattern = Pattern(seconds=SECONDS)
    context.result = Simulation(
        sites[engines], pattern, Variant('a'), SEED
    ).run()


@then('less than {percent:f} percent of the streams are aborted')
def step_aborted(context: Context, percent: float) -> None:
    """Compare with all requests; no engine crashes here."""
    assert context.result.cut * 100 < percent, context.result


@then('at least {worth:f} of the worth is earned')
def step_worth(context: Context, worth: float) -> None:
    """Compare the worth."""
    assert context.result.worth >= worth, context.result


@then('refusing earns at least {times:f} times as much')
def step_times(context: Context, times: float) -> None:
    """Compare the worth."""
    refusing, not_refusing = context.results
    assert refusing.worth >= times * not_refusing.worth, context.results


def _simulate(
    variant: Variant,
    pattern: Pattern = Pattern(seconds=SECONDS, release_interval_s=3.2),
) -> Figures:
    return Simulation(LAHORE, pattern, variant, SEED).run()


def _steps(context: Context, count: int) -> None:
    for _ in range(count):
        took_ms, _ = context.engine.step(context.now_ms)
        context.now_ms += took_ms


def _until_idle(context: Context) -> None:
    while context.engine.running or context.engine.waiting:
        _steps(context, 1)


@when('engines {factor:f} times as fast get {load:f} times the usual load')
def step_speed(context: Context, factor: float, load: float) -> None:
    """Simulate routers that learn the speed and routers that know it."""
    site = with_speed(LAHORE, factor)
    known_speed = LoadPolicy(
        prefill_tokens_per_ms=site.engine.prefill_tokens_per_ms,
        step_ms=site.engine.step_ms,
    )
    pattern = Pattern(load=load, seconds=SECONDS)
    context.worth = {}
    for variant in (
        Variant('knows', known_speed, learn_speed=False),
        Variant('learns'),
    ):
        figures = Simulation(site, pattern, variant, SEED).run()
        context.worth[variant.name] = figures.worth


@then(
    'routers that learn the speed earn within {part:d}% of those that know it'
)
def step_as_good(context: Context, part: int) -> None:
    """Compare the worth of both simulations."""
    known_speed = context.worth['knows']
    assert context.worth['learns'] >= known_speed * (1 - part / 100), (
        context.worth
    )
