"""Check what routers conclude from each other's loads, without a network."""

from dataclasses import replace

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.exchange._model import Outcome
from lacewing_bench.exchange._model import Setup
from lacewing_bench.exchange._model import Simulation
from lacewing_daemon.direct.exchange import PeerLoads
from lacewing_daemon.direct.exchange._interval import interval_s
from lacewing_daemon.direct.exchange._interval import peers_to_tell
from lacewing_daemon.direct.exchange._load_entries import engine_key
from lacewing_daemon.direct.exchange._load_entries import EngineLoad

SECONDS = 10.0
TOKENS_PER_MS = 100.0
NOW_S = 1000.0
ENGINES = [f'e{number}/1' for number in range(20)]
FIRST = ENGINES[0]
URGENT, LESS_URGENT = 1, 4
ROUTERS = [f'10.0.0.{number}:7400' for number in range(22)]


def _run(context: Context, **changes: float) -> Outcome:
    return Simulation(replace(context.setup, **changes)).run()


def _loads(peers: int, own_name: str = 'own') -> PeerLoads:
    return PeerLoads(own_name, lambda: peers, lambda _key: TOKENS_PER_MS)


@given('{routers:d} routers that share {engines:d} engines')
def step_setup(context: Context, routers: int, engines: int) -> None:
    """Set the sizes."""
    context.setup = Setup(routers, engines, seconds=SECONDS)


@when(
    'prompts need {load:f} times the capacity, told every {interval:f} seconds'
)
def step_simulate(context: Context, load: float, interval: float) -> None:
    """Simulate routers that tell each other their load."""
    context.setup = replace(context.setup, load=load, interval_s=interval)
    context.outcome = _run(context)


@then('at least {percent:d} percent of it is answered in time')
def step_in_time(context: Context, percent: int) -> None:
    """Check the share of the offered tokens."""
    assert context.outcome.in_time * 100 >= percent, context.outcome


@then('at least {factor:f} times as much as by the bounds')
def step_by_bounds(context: Context, factor: float) -> None:
    """Compare with routers that tell each other nothing."""
    other = _run(context, interval_s=0.0)
    assert context.outcome.in_time >= factor * other.in_time, (
        context.outcome,
        other,
    )


@then('at least {factor:f} times as much is late if each compares all engines')
def step_all_engines(context: Context, factor: float) -> None:
    """Compare with routers that choose the best of all engines."""
    other = _run(context, candidates=context.setup.engines)
    assert other.late >= factor * context.outcome.late, (
        context.outcome,
        other,
    )


@given(
    'a router told that {urgent:d} urgent and {less:d} less urgent tokens wait'
)
def step_told(context: Context, urgent: int, less: int) -> None:
    """Let two peers tell their waiting tokens."""
    context.loads = _loads(2)
    for sender in ('a', 'b'):
        waiting = {URGENT: urgent / 2, LESS_URGENT: less / 2}
        context.loads.heard(sender, NOW_S)
        context.loads.apply(
            sender, engine_key(FIRST), EngineLoad(waiting, {}), NOW_S
        )


@then('after {ms:d} ms {urgent:d} urgent and {less:d} less urgent tokens wait')
def step_drained(context: Context, ms: int, urgent: int, less: int) -> None:
    """Check what is left."""
    load = context.loads.others(FIRST, NOW_S + ms / 1000)
    left = {u: round(tokens) for u, tokens in load.waiting_tokens.items()}
    assert left == {URGENT: urgent, LESS_URGENT: less}, left


@given('a router with {peers:d} peers of which {heard:d} told their load')
def step_peers(context: Context, peers: int, heard: int) -> None:
    """Let some of the peers tell a load."""
    context.loads = _loads(peers)
    for number in range(heard):
        context.loads.heard(f'p{number}', NOW_S)


@then('the load of others is {known} after {ms:d} ms')
def step_known(context: Context, known: str, ms: int) -> None:
    """Check whether it is used."""
    load = context.loads.others(FIRST, NOW_S + ms / 1000)
    assert load.is_known == (known == 'known'), load


@given('20 engines and routers "a", "b" and "c"')
def step_observers(context: Context) -> None:
    """Let all routers send to all engines."""
    context.loads = _loads(2, 'c')
    context.now_s = NOW_S
    for router in ('a', 'b', 'c'):
        context.loads.reachability.observes(
            router, {engine_key(name) for name in ENGINES}
        )


@when('it is observed that {events}')
def step_events(context: Context, events: str) -> None:
    """Record each event, a quarter of a second apart."""
    for event in events.split(', '):
        context.now_s += 0.25
        if event.endswith('pass'):
            context.now_s += float(event.split()[0])
            continue
        router, _, what = event.partition(' ')
        engines = ENGINES if what.endswith('all engines') else [FIRST]
        times: list[float | None] = [None, None, None]
        kinds = ('gets data', 'fails to connect', 'detects a silence')
        for position, kind in enumerate(kinds):
            if what.startswith(kind):
                times[position] = context.now_s
        for name in engines:
            context.loads.reachability.record(router, engine_key(name), *times)


@then('the first engine is {state}')
def step_reachable(context: Context, state: str) -> None:
    """Check it."""
    found = context.loads.is_unreachable(FIRST, context.now_s + 0.01)
    assert found == (state == 'unreachable')


@given('22 routers that know of an unreachable engine')
def step_probers(context: Context) -> None:
    """Let each router hear of all others and of one failure."""
    context.routers = []
    for own in ROUTERS:
        loads = _loads(len(ROUTERS) - 1, own)
        for other in ROUTERS:
            if other != own:
                loads.heard(other, NOW_S)
        context.routers.append(loads)


def _fail(context: Context, silent: bool) -> None:
    for loads in context.routers:
        times = (None, None, NOW_S) if silent else (None, NOW_S, None)
        for router in ROUTERS[:2]:
            loads.reachability.record(router, engine_key(FIRST), *times)


@then('one of them may probe it in each of {seconds:d} seconds')
def step_probe(context: Context, seconds: int) -> None:
    """Count the routers that may, and let them do it once."""
    _fail(context, silent=False)
    context.probes = [0] * len(ROUTERS)
    for slot in range(seconds):
        for _ in range(2):
            for number, loads in enumerate(context.routers):
                if loads.may_probe(FIRST, False, slot):
                    loads.record_probe(FIRST, slot)
                    context.probes[number] += 1
        assert sum(context.probes) == slot + 1, context.probes


@then('each of them probes at most {count:d} times')
def step_spread(context: Context, count: int) -> None:
    """Check that the probes are spread."""
    assert max(context.probes) <= count, context.probes


@then("none sends a request that can't be retried to a silent one")
def step_silent_probe(context: Context) -> None:
    """Let it fall silent later."""
    for loads in context.routers:
        loads.reachability.record(
            ROUTERS[0], engine_key(FIRST), None, None, NOW_S + 1
        )
    retried = 0
    for slot in range(100, 110):
        for loads in context.routers:
            assert not loads.may_probe(FIRST, False, slot)
            retried += loads.may_probe(FIRST, True, slot)
    assert retried == 10, retried


@then('{peers:d} peers are told {size:d} bytes every {ms:d} ms')
def step_interval(context: Context, peers: int, size: int, ms: int) -> None:
    """Check the interval."""
    found_ms = interval_s(peers, size) * 1000
    assert abs(found_ms - ms) < 1, found_ms


@then('each of 330 routers tells at most {count:d} peers, which tell it too')
def step_groups(context: Context, count: int) -> None:
    """Check that the groups are the same for all."""
    routers = [f'10.0.{n // 200}.{n % 200}:7400' for n in range(330)]
    told = {}
    for router in routers:
        others = [other for other in routers if other != router]
        told[router] = peers_to_tell(router, others)
    for router, peers in told.items():
        assert 1 < len(peers) <= count, len(peers)
        for peer in peers:
            assert router in told[peer]
