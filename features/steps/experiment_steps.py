"""Check the model of engines and the variants played on it."""

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
from lacewing_bench.experiment._sweep import changed
from lacewing_bench.experiment._sweep import with_speed
from lacewing_daemon.direct import PromptPart
from lacewing_daemon.direct._policy import LoadPolicy

SECONDS = 12.0
SEED = 7


def _run(
    order: int, own: int, shared: int = 6000, urgency: int = 5, answer: int = 9
) -> Run:
    parts = (PromptPart('shared', shared), PromptPart(f'own-{order}', own))
    return Run('wall', parts, answer, urgency, order, 1, False)


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


@when('a prompt of {tokens:d} tokens comes')
def step_prompt(context: Context, tokens: int) -> None:
    """Let it run to its end."""
    context.runs.append(_run(0, tokens - 6000))
    context.engine.add(context.runs[0])
    _until_idle(context)


@when('another with the same shared parts')
def step_another(context: Context) -> None:
    """Let it run to its end, and count what is read for it."""
    before = context.engine.counts.read
    context.engine.add(_run(1, 500))
    _until_idle(context)
    context.read = context.engine.counts.read - before


@when('{count:d} runs are under way')
def step_many(context: Context, count: int) -> None:
    """Measure a step with one run, then with many."""
    context.engine.add(_run(0, 100, answer=1000))
    _steps(context, 10)
    context.alone_ms = context.engine.step(0.0)[0]
    for number in range(1, count):
        context.engine.add(_run(number, 100, answer=1000))
    _steps(context, 10)
    context.many_ms = context.engine.step(0.0)[0]


@when('less urgent runs fill it and an urgent prompt comes')
def step_fill(context: Context) -> None:
    """Fill the memory, then add the urgent one."""
    for number in range(4):
        context.engine.add(_run(number, 1200, 0, 5, 1000))
    _steps(context, 5)
    context.urgent = _run(9, 1200, 0, 0, 1000)
    context.engine.add(context.urgent)
    _steps(context, 3)


@when('{count:d} prompts come and it loads new weights at once')
def step_loads(context: Context, count: int) -> None:
    """Load while some run and some wait."""
    for number in range(count):
        run = _run(number, 100, 100, 5, 1000)
        context.runs.append(run)
        context.engine.add(run)
    _steps(context, 3)
    context.refused = context.engine.load(2, context.now_ms)
    _steps(context, 3)


@when('one variant is played twice with the same seed')
def step_twice(context: Context) -> None:
    """Play it twice."""
    context.plays = [_play(Variant('a')), _play(Variant('a'))]


@when('loading in two parts and all at once are played')
def step_parts(context: Context) -> None:
    """Play both with versions named every few seconds."""
    at_once = Variant('all', LoadPolicy(load_early_part=1.0))
    context.plays = [_play(Variant('parts')), _play(at_once)]


@when('refusing and not refusing are played at {load:d} times the load')
def step_overload(context: Context, load: int) -> None:
    """Play both without new weights."""
    pattern = Pattern(float(load), SECONDS)
    open_door = LoadPolicy(max_waiting=10**6, max_in_flight=10**6)
    context.plays = [
        _play(Variant('refusing'), pattern),
        _play(Variant('not', open_door, refusing=False), pattern),
    ]


@then('its first event comes after {least:d} to {most:d} ms')
def step_first(context: Context, least: int, most: int) -> None:
    """Compare with the time of reading it."""
    assert least <= context.runs[0].first_ms <= most, context.runs[0]


@then('the engine has read its own part alone')
def step_own(context: Context) -> None:
    """Compare with the own part."""
    assert context.read == 500, context.read


@then('a step takes longer than with one')
def step_longer(context: Context) -> None:
    """Compare the two steps."""
    assert context.many_ms > context.alone_ms + 1.0, context.many_ms


@then('a less urgent run is put back and the urgent one runs')
def step_put_back(context: Context) -> None:
    """Look at the batch."""
    assert context.engine.counts.preempted >= 1, context.engine.counts
    assert context.urgent in context.engine.running
    assert context.engine.waiting, context.engine.running


@then('those that wait are refused, those that run go on with both')
def step_refused(context: Context) -> None:
    """Count both sorts."""
    assert len(context.refused) == 50 - 48, len(context.refused)
    assert len(context.engine.running) == 48
    for run in context.engine.running:
        assert 0 < run.mixed < run.made, run


@then('both plays have the same figures')
def step_same(context: Context) -> None:
    """Compare them."""
    assert context.plays[0] == context.plays[1], context.plays


@then('loading in two parts mixes at most {part:f} of the tokens')
def step_mixes(context: Context, part: float) -> None:
    """Compare the tokens made on two versions."""
    parts, at_once = context.plays
    assert parts.mixed <= part * at_once.mixed, context.plays


@then('it earns more')
def step_more(context: Context) -> None:
    """Compare the worth."""
    assert context.plays[0].worth > context.plays[1].worth, context.plays


@when('the deployment is played with {engines}')
def step_engines(context: Context, engines: str) -> None:
    """Play one row of the sweep."""
    sites = {one.name: one.site for one in changed(LAHORE)}
    pattern = Pattern(seconds=SECONDS)
    context.play = Simulation(
        sites[engines], pattern, Variant('a'), SEED
    ).run()


@then('less than {percent:f} percent of the streams are broken off')
def step_cut(context: Context, percent: float) -> None:
    """Compare with the requests asked; all engines live."""
    assert context.play.cut * 100 < percent, context.play


@then('at least {worth:f} of the worth is earned')
def step_worth(context: Context, worth: float) -> None:
    """Compare the worth."""
    assert context.play.worth >= worth, context.play


@then('refusing earns at least {times:f} times as much')
def step_times(context: Context, times: float) -> None:
    """Compare the worth."""
    refusing, not_refusing = context.plays
    assert refusing.worth >= times * not_refusing.worth, context.plays


def _play(
    variant: Variant,
    pattern: Pattern = Pattern(seconds=SECONDS, named_every_s=3.2),
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
    """Play routers that learn the speed, and routers that were told it."""
    site = with_speed(LAHORE, factor)
    told = LoadPolicy(
        prefill_tokens_per_ms=site.engine.prefill_tokens_per_ms,
        step_ms=site.engine.step_ms,
    )
    pattern = Pattern(load=load, seconds=SECONDS)
    context.worth = {}
    for variant in (
        Variant('told', told, estimating=False),
        Variant('learns'),
    ):
        played = Simulation(site, pattern, variant, SEED).run()
        context.worth[variant.name] = played.worth


@then(
    'routers that learn the speed earn within {part:d}% of those that know it'
)
def step_as_good(context: Context, part: int) -> None:
    """Compare."""
    told = context.worth['told']
    assert context.worth['learns'] >= told * (1 - part / 100), context.worth
