"""Check what entries that somebody else wrote do to a router."""

import json
from functools import partial
from typing import Any

import msgspec
from behave import then
from behave import when
from behave.runner import Context
from lacewing_platform_testing import StandInUpstream
from support.direct_bench import direct_bench
from support.direct_bench import sleep

# Routers gather changes of entries for 0.2 s.
KNOWN_S = 0.5
# Deeper than any decoder here follows.
NESTED = 100_000


def _trap(context: Context) -> StandInUpstream:
    """Return the upstream at the address that spoilt entries name."""
    if not hasattr(context, 'trap'):
        bench = direct_bench(context)
        context.trap = StandInUpstream('trap', 'registry')
        bench.on_loop(context.trap.server.start)
        context.resources.callback(bench.on_loop, context.trap.server.close)
        context.spoilt = 0
    trap: StandInUpstream = context.trap
    return trap


def _write(context: Context, entry: object) -> None:
    _trap(context)
    bench = direct_bench(context)
    context.spoilt += 1
    name = f'odd-{context.spoilt}'
    bench.on_loop(partial(bench.store.put, 'servers', name, entry))


@when('entries are written of which each lacks one of these')
def step_lack(context: Context) -> None:
    """Leave out one field of a good entry."""
    for row in context.table:
        entry = _trap(context).entry()
        del entry[row['field']]
        _write(context, entry)


@when('entries are written that differ in one field each')
def step_differ(context: Context) -> None:
    """Change one field of a good entry."""
    for row in context.table:
        entry = _trap(context).entry()
        entry[row['field']] = json.loads(row['value'])
        _write(context, entry)


@when('entries are written that are no entries at all')
def step_none(context: Context) -> None:
    """Write other values."""
    for row in context.table:
        _write(context, json.loads(row['entry']))


@when('entries are written whose bytes are')
def step_bytes(context: Context) -> None:
    """Have the store hand out bytes as they are, among good entries."""
    _trap(context)
    for row in context.table:
        data = row['bytes'].encode().replace(b'\\xff', b'\xff')
        data = data.replace(b'\\xfe', b'\xfe')
        if row['bytes'] == 'nested':
            data = b'[' * NESTED + b']' * NESTED
        _write(context, msgspec.Raw(data))


@when('upstream "{name}" says that it is in a state of its own')
def step_own_state(context: Context, name: str) -> None:
    """Write its entry with a state that nobody named."""
    direct_bench(context).register(name, 'resting')


@when('upstream "{name}" says that it is ready')
def step_ready_again(context: Context, name: str) -> None:
    """Write its entry as it was."""
    direct_bench(context).register(name)


@then('soon both are known again')
def step_both(context: Context) -> None:
    """Wait until the router knows them."""
    bench = direct_bench(context)
    bench.until(
        lambda: set(bench.routers[0].upstream_ids) == {'reg-1', 'reg-2'},
        'both upstreams',
    )


@then('only "{first}" and "{second}" are known')
def step_only_known(context: Context, first: str, second: str) -> None:
    """Add an upstream, so that all before it was read, then look."""
    bench = direct_bench(context)
    bench.add_upstream('last', 'registry')
    bench.until(
        lambda: 'last' in bench.routers[0].upstream_ids, 'the last entry'
    )
    known: Any = set(bench.routers[0].upstream_ids)
    assert known == {first, second, 'last'}, known


@then('the address that they named received nothing')
def step_trap(context: Context) -> None:
    """Send requests and look at the trap."""
    bench = direct_bench(context)
    for _ in range(12):
        assert bench.ask().status == 200, bench.answer
    bench.run(sleep(KNOWN_S))
    assert not context.trap.received, context.trap.received
    assert not context.trap.orders, context.trap.orders


@then('a router that starts now knows it too')
def step_new_router(context: Context) -> None:
    """Start one, which reads the whole list."""
    bench = direct_bench(context)
    router = bench.start_router('router-2')
    bench.until_ready()
    expected = {'reg-1', 'reg-2', 'late'}
    bench.until(
        lambda: set(router.upstream_ids) == expected, 'the good entries'
    )
