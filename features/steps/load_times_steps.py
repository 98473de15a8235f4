"""Check when engines load new weights and which prompts they get before."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct._choice import EngineView
from lacewing_daemon.direct._choice import place_prompt
from lacewing_daemon.direct._loading import load_schedule
from lacewing_daemon.direct._policy import LoadPolicy

MODEL = 'tutor'
POLICY = LoadPolicy()
LEFT_MS = 1000.0


@given('{count:d} engines with weights of version 1')
def step_engines(context: Context, count: int) -> None:
    """Add engines with equal weights."""
    context.weights = {f'engine-{number}': 1 for number in range(count)}


@given('of these {count:d} have loaded version 2')
def step_loaded(context: Context, count: int) -> None:
    """Give the first ones later weights."""
    for engine in list(context.weights)[:count]:
        context.weights[engine] = 2


@when('two routers with differently ordered lists compute the schedule')
def step_two_routers(context: Context) -> None:
    """Compute the schedule twice."""
    reordered = dict(reversed(context.weights.items()))
    context.schedule = load_schedule(MODEL, 2, context.weights, POLICY)
    context.other_schedule = load_schedule(MODEL, 2, reordered, POLICY)


@when('version 3 is released early')
def step_early(context: Context) -> None:
    """Compute the schedule of the next version."""
    context.schedule = load_schedule(MODEL, 3, context.weights, POLICY)


@then('both have the same schedule for all of them')
def step_same(context: Context) -> None:
    """Compare the two routers."""
    assert context.schedule == context.other_schedule
    assert set(context.schedule) == set(context.weights)


@then(
    '{early:d} engines load at once or a turn later, at most'
    ' {per_turn:d} a turn'
)
def step_early_ones(context: Context, early: int, per_turn: int) -> None:
    """Count the early engines and those of each turn."""
    limit_s = POLICY.load_late_ms / 1000
    times = list(context.schedule.values())
    assert sum(at_s < limit_s for at_s in times) == early, times
    for at_s in times:
        assert times.count(at_s) <= per_turn, times


@then('the other engines load after runs have had time to end')
def step_late_ones(context: Context) -> None:
    """Check that no engine loads between the two groups."""
    early_until_s = POLICY.load_turns * POLICY.load_turn_ms / 1000
    late_s = POLICY.load_late_ms / 1000
    for at_s in context.schedule.values():
        assert at_s < early_until_s or at_s >= late_s, context.schedule


@then('the {count:d} with version 1 load before all other engines')
def step_oldest(context: Context, count: int) -> None:
    """Check that engines with the oldest weights load first."""
    oldest = []
    rest = []
    for engine, at_s in context.schedule.items():
        if context.weights[engine] == 1:
            oldest.append(at_s)
        else:
            rest.append(at_s)
    assert len(oldest) == count, context.weights
    assert max(oldest) == 0.0, context.schedule
    assert min(rest) > 0.0, context.schedule


@given('an engine that loads new weights in {load_ms:d} ms')
def step_loading(context: Context, load_ms: int) -> None:
    """Add an idle engine that is about to load."""
    context.views = [
        EngineView('loading', True, 0.0, 10.0, 0, 0, float(load_ms))
    ]


@given('a busier one that does not load, free after {busy_ms:d} ms')
def step_busier(context: Context, busy_ms: int) -> None:
    """Add an engine with queued prefill."""
    context.views.append(
        EngineView('busier', True, float(busy_ms), 10.0, 1, 1)
    )


@when('a prompt of {tokens:d} answer tokens is placed')
def step_place(context: Context, tokens: int) -> None:
    """Place it with enough time for either engine."""
    context.placed = place_prompt(context.views, LEFT_MS, POLICY, tokens)


@then('the {chosen} engine gets it')
def step_chosen(context: Context, chosen: str) -> None:
    """Check the choice."""
    assert context.placed.upstream_id == chosen, context.placed
