"""Check what routers serve by after the store returned from a copy."""

import time
from typing import Any

from behave import then
from behave import when
from behave.runner import Context
from support.direct_bench import direct_bench
from support.direct_bench import DirectBench
from support.direct_bench import KEY
from support.direct_bench import OTHER_KEY

NOISE = 30


def _without(bench: DirectBench, key: str) -> list[dict[str, Any]]:
    teams = []
    for team in bench.config['Tenants']:
        if key not in team['ApiKeys']:
            teams.append(team)
    return teams


def _write(bench: DirectBench, tenants: list[dict[str, Any]]) -> None:
    """Write a configuration from the routers' loop."""
    bench.config = {
        **bench.config,
        'Tenants': tenants,
        'Version': bench.config['Version'] + 3,
    }
    bench.store.put('config', 'main', bench.config)


@when(
    'the store returns from a copy, a key is taken away and other writes'
    ' follow'
)
def step_revoked_after(context: Context) -> None:
    """Let revisions pass those that the router had read, in one go."""
    bench = direct_bench(context)
    bench.until(lambda: bench.ask().status == 200, 'an answer')
    context.key = KEY

    def play() -> None:
        kept = bench.store.snapshot()
        for number in range(NOISE):
            bench.store.put('noise', f'before-{number}', number)
        context.read_up_to = bench.store.revision
        context.kept = kept

    bench.on_loop(play)
    # The router's calls that wait end and are made from the last revision.
    time.sleep(2.5)

    def turn() -> None:
        bench.store.restore_from(context.kept)
        _write(bench, _without(bench, KEY))
        for number in range(2 * NOISE):
            bench.store.put('noise', f'after-{number}', number)
        assert bench.store.revision > context.read_up_to

    bench.on_loop(turn)


@when('a key is taken away and the store returns from a copy made before')
def step_revoked_before(context: Context) -> None:
    """Take the key away after the copy and wait until it is refused."""
    bench = direct_bench(context)
    context.key = KEY
    kept = bench.on_loop(bench.store.snapshot)
    bench.on_loop(lambda: _write(bench, _without(bench, KEY)))
    bench.until(lambda: bench.ask().status == 401, 'a refused key')
    bench.on_loop(lambda: bench.store.restore_from(kept))


@when('the operator writes the configuration again')
def step_again(context: Context) -> None:
    """Write what was lost, as it was."""
    bench = direct_bench(context)
    bench.on_loop(lambda: bench.store.put('config', 'main', bench.config))


@then('no request with that key is answered 200 for {span_s:d} s')
def step_never(context: Context, span_s: int) -> None:
    """Ask again and again."""
    bench = direct_bench(context)
    end_s = time.monotonic() + span_s
    while time.monotonic() < end_s:
        answer = bench.ask(key=context.key)
        assert answer.status in (401, 503), answer.status
        time.sleep(0.05)


@then('a request with another key soon gets {status:d}')
def step_other(context: Context, status: int) -> None:
    """Ask until it does."""
    bench = direct_bench(context)
    bench.until(lambda: bench.ask(key=OTHER_KEY).status == status, str(status))


@when('upstream "{name}" goes and the store returns from a copy made before')
def step_goes(context: Context, name: str) -> None:
    """Remove the entry after the copy."""
    bench = direct_bench(context)
    router = bench.routers[0]
    kept = bench.on_loop(bench.store.snapshot)
    bench.on_loop(lambda: bench.store.remove('servers', name))
    bench.until(lambda: name not in router.upstream_ids, 'a known removal')
    bench.upstreams[name].received.clear()
    bench.on_loop(lambda: bench.store.restore_from(kept))


@then('no request reaches "{name}" for {span_s:d} s')
def step_unreached(context: Context, name: str, span_s: int) -> None:
    """Ask again and again."""
    bench = direct_bench(context)
    end_s = time.monotonic() + span_s
    while time.monotonic() < end_s:
        bench.ask()
        time.sleep(0.05)
    assert not bench.upstreams[name].received


@when('upstream "{name}" comes and the store returns from a copy made before')
def step_comes(context: Context, name: str) -> None:
    """Register an upstream after the copy."""
    bench = direct_bench(context)
    router = bench.routers[0]
    kept = bench.on_loop(bench.store.snapshot)
    bench.add_upstream(name, 'registry')
    bench.until(lambda: name in router.upstream_ids, 'a known upstream')
    bench.on_loop(lambda: bench.store.restore_from(kept))


@when('upstream "{name}" writes its entry again {after_s:d} s later')
def step_registers(context: Context, name: str, after_s: int) -> None:
    """Look meanwhile whether the router knows it."""
    bench = direct_bench(context)
    context.known = []
    end_s = time.monotonic() + after_s
    while time.monotonic() < end_s:
        context.known.append(name in bench.routers[0].upstream_ids)
        time.sleep(0.05)
    bench.register(name)


@then('"{name}" was known all the time')
def step_known(context: Context, name: str) -> None:
    """Look for as long as it could still be dropped."""
    bench = direct_bench(context)
    end_s = time.monotonic() + 3.0
    while time.monotonic() < end_s:
        context.known.append(name in bench.routers[0].upstream_ids)
        time.sleep(0.05)
    assert all(context.known)
