"""Check what a router makes of the plan by which engines load weights."""

from collections.abc import Iterator

from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_platform_testing import Behaviour
from steps.direct_steps import name_weights
from support.direct_bench import direct_bench
from support.direct_bench import MODEL
from support.direct_bench import PREFIX
from support.direct_bench import sleep

LOOK_S = 0.05
LONGEST_S = 6.0
EXPECTED = PREFIX + 'Expected-Version'


def _name(context: Context) -> None:
    router = context.weights_router
    context.begin_s = router.clock.now_s
    router.name(2)
    context.load_times = dict(router.knowledge.load_times(MODEL))
    context.first = min(context.load_times, key=context.load_times.__getitem__)


def _tell(context: Context) -> None:
    """Let the first engine tell the new version, as by its entry."""
    router = context.weights_router
    state = router.knowledge.state(context.first)
    router.knowledge.learn_weights(state, MODEL, 2)


def _looks(context: Context) -> Iterator[float]:
    """Let time pass in small steps; give the time since the naming."""
    clock = context.weights_router.clock
    while clock.now_s < context.begin_s + LONGEST_S:
        yield clock.now_s - context.begin_s
        clock.now_s += LOOK_S


def _others(context: Context) -> list[str]:
    return [one for one in context.weights_router.ids if one != context.first]


def _done_s(context: Context, name: str) -> float:
    load_s = LoadPolicy().load_ms / 1000
    at_s: float = context.load_times[name]
    return at_s + load_s


@when('version 2 is named and its first engine tells that it has it')
def step_told(context: Context) -> None:
    """Name a version that one engine has."""
    _name(context)
    _tell(context)


@when('version 2 is named and no engine tells that it has it')
def step_untold(context: Context) -> None:
    """Name a version."""
    _name(context)


@when('another refuses it after its load should be over')
def step_refuses(context: Context) -> None:
    """Doubt the plan, as a send does when an engine refuses."""
    router = context.weights_router
    router.clock.now_s += _done_s(context, _others(context)[0]) + LOOK_S
    router.knowledge.doubt_plan(MODEL, 2)


@when('version 2 was named before the start and one engine has it')
def step_before(context: Context) -> None:
    """Learn a version as at a start."""
    router = context.weights_router
    context.begin_s = router.clock.now_s
    router.name(2, float('inf'))
    context.first = router.ids[0]
    _tell(context)


@then('each other engine is asked for version 2 once its load is over')
def step_asked_new(context: Context) -> None:
    """Look from each load's end on, for two seconds."""
    context.sooner = []
    for since_s in _looks(context):
        for name in _others(context):
            asked = context.weights_router.asked(name)
            past_s = since_s - _done_s(context, name)
            if past_s < -LOOK_S:
                context.sooner.append(asked)
            if LOOK_S < past_s < 2.0:
                assert asked == 2, (name, since_s, asked)


@then('before for version 1')
def step_before_old(context: Context) -> None:
    """Look at what was asked before the loads' ends."""
    assert context.sooner, 'no load that ends later was looked at'
    assert set(context.sooner) == {1}, context.sooner


@then('each engine is asked for version 1 until 4 s after the naming')
def step_all_old(context: Context) -> None:
    """Look for a while."""
    for since_s in _looks(context):
        if since_s > 4.0:
            return
        for name in context.weights_router.ids:
            assert context.weights_router.asked(name) == 1, (name, since_s)


@then('each engine that has not told it is asked for version 1')
def step_believed(context: Context) -> None:
    """Look now."""
    for name in _others(context):
        assert context.weights_router.asked(name) == 1, name


@then('each other engine is asked for version 1 from 3 s after its load on')
def step_no_longer(context: Context) -> None:
    """Look until older weights are overdue."""
    router = context.weights_router
    looked = 0
    for since_s in _looks(context):
        if since_s > router.knowledge.old_limit_s - LOOK_S:
            break
        for name in _others(context):
            if since_s > _done_s(context, name) + 3.0:
                looked += 1
                assert router.asked(name) == 1, (name, since_s)
    assert looked, 'nothing was looked at'


@when('new weights are named and just engine "{name}" loads them')
def step_just_one(context: Context, name: str) -> None:
    """Wait until the other's load would be over."""
    bench = direct_bench(context)
    name_weights(context, 2)
    bench.upstreams[name].weights[MODEL] = 2
    bench.register(name)
    bench.run(sleep(1.2))


@when('callers ask only engine "{name}" four times')
def step_only(context: Context, name: str) -> None:
    """Let the other one shed, so that each prompt comes to this one."""
    bench = direct_bench(context)
    for other, upstream in bench.upstreams.items():
        if other != name:
            upstream.always = Behaviour.SHED
    for _ in range(4):
        bench.ask_model()
        # An engine that refuses is left alone for 0.15 s.
        bench.run(sleep(0.2))


@then('engine "{name}" was asked for version {first:d} once, then {later:d}')
def step_asked(context: Context, name: str, first: int, later: int) -> None:
    """Look at what it was told."""
    asked = []
    for received in direct_bench(context).upstreams[name].received:
        value = received.headers.get(EXPECTED)
        if value is not None:
            asked.append(int(value))
    assert asked[0] == first, asked
    assert set(asked[1:]) == {later}, asked
