"""Check what entries that somebody else wrote do to a router."""

import json
import time
from functools import partial
from random import Random
from typing import Any

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_platform_testing import FakeUpstream
from support.direct_bench import BOUNDS
from support.direct_bench import direct_bench
from support.direct_bench import MODEL
from support.direct_bench import sleep

# Routers gather changes of entries for 0.2 s.
KNOWN_S = 0.5
# Deeper than any decoder here follows.
NESTED = 100_000


def _trap(context: Context) -> FakeUpstream:
    """Return the upstream at the address that spoilt entries name."""
    if not hasattr(context, 'trap'):
        bench = direct_bench(context)
        context.trap = FakeUpstream('trap', 'registry')
        bench.on_loop(context.trap.server.start)
        context.resources.callback(bench.on_loop, context.trap.server.close)
        context.spoilt = 0
    trap: FakeUpstream = context.trap
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
        entry = _trap(context).store_entry()
        del entry[row['field']]
        _write(context, entry)


@when('entries are written that differ in one field each')
def step_differ(context: Context) -> None:
    """Change one field of a good entry."""
    for row in context.table:
        entry = _trap(context).store_entry()
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


@when('the entry of upstream "{name}" is spoilt and made good at once')
def step_spoilt_and_good(context: Context, name: str) -> None:
    """Write both before a router reads, and wait until it has."""
    bench = direct_bench(context)
    good = bench.upstreams[name].store_entry()

    def write() -> None:
        bench.store.put('servers', name, 5)
        bench.store.put('servers', name, good)

    bench.on_loop(write)
    bench.run(sleep(KNOWN_S))


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


@then('they alone get requests')
def step_alone(context: Context) -> None:
    """Send requests."""
    bench = direct_bench(context)
    for _ in range(12):
        assert bench.ask().status == 200, bench.answer


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


@given("an engine's entry that names an unknown service")
def step_unknown_service(context: Context) -> None:
    """Write an entry with a model that an engine of a route has."""
    trap = _trap(context)
    trap.weights[MODEL] = 1
    _write(context, {**trap.store_entry(), 'Service': 'unknown'})


@given('an entry of an unknown service that has version {version:d}')
def step_unknown_version(context: Context, version: int) -> None:
    """Write it before a router starts."""
    entry = _trap(context).store_entry()
    entry['Service'] = 'nobody'
    entry['Models'] = [{'Name': MODEL, 'Version': version, 'Adapters': []}]
    _write(context, entry)


@then('the router takes version {version:d} for the one named last')
def step_named_last(context: Context, version: int) -> None:
    """Look once the router has read all."""
    bench = direct_bench(context)
    bench.until_ready()
    bench.run(sleep(KNOWN_S))
    knowledge = bench.routers[0]._fleet.cluster_state
    assert knowledge.current_release(MODEL).version == version


@given("an engine's entry that names no models")
def step_no_models(context: Context) -> None:
    """Write an entry as one of a plain service has it."""
    entry = _trap(context).store_entry()
    del entry['Models']
    _write(context, {**entry, 'Service': 'models'})


@then('prompts are answered by the other engines alone')
@then('prompts are answered')
def step_prompts(context: Context) -> None:
    """Send prompts."""
    bench = direct_bench(context)
    for number in range(6):
        answer = bench.ask_model(f'/chat/{number}')
        assert answer.status == 200, answer


@given('a lease record {record}')
def step_record(context: Context, record: str) -> None:
    """Write the record as somebody else would."""
    bench = direct_bench(context)
    value = {'text': record} if record != '5' else 5
    bench.on_loop(lambda: bench.store.put('lacewing-leases', 'weights', value))


@then('the router soon holds the lease, as if another had just acted')
def step_holds(context: Context) -> None:
    """Wait for the lease and look how long ago another may have acted."""
    bench = direct_bench(context)
    planner = bench.routers[0]._planner
    bench.until(lambda: planner._holds_lease, 'a holder of the lease')
    began_s = time.monotonic()
    bench.until(lambda: planner._orders_from_s > 0, 'a first order')
    ago_s = planner._lease.other_acted_ago_s - (time.monotonic() - began_s)
    assert ago_s < BOUNDS.lease_s, ago_s


@given('{count:d} entries of others among those of the routers')
def step_other_routers(context: Context, count: int) -> None:
    """Write entries with other values than a router's."""
    bench = direct_bench(context)
    values: list[object] = [
        5,
        None,
        {'text': ''},
        {'text': 'x' * 32},
        {'text': '0' * 31},
    ]
    for number, value in enumerate(values[:count]):
        bench.on_loop(
            partial(bench.store.put, 'lacewing-routers', f'o{number}', value)
        )


@then('the router counts itself alone')
def step_counts(context: Context) -> None:
    """Wait until it has counted."""
    knowledge = direct_bench(context).routers[0]._fleet.cluster_state
    direct_bench(context).until(
        lambda: knowledge.router_count == 1, 'a count of one router'
    )


@when('somebody names the weights {named}')
def step_odd_weights(context: Context, named: str) -> None:
    """Write it under a name of its own, so that the good one stays."""
    bench = direct_bench(context)
    value = json.loads(named)
    bench.on_loop(lambda: bench.store.put('versions', 'odd', value))


@when('{count:d} random spoilt entries of seed {seed:d} are written')
def step_random(context: Context, count: int, seed: int) -> None:
    """Spoil entries in ways that leave no good one."""
    bench = direct_bench(context)
    random = Random(seed)
    trap = _trap(context)
    trap.weights[MODEL] = 1
    for _ in range(count):
        kind = random.choice(('servers', 'servers', 'versions', 'own'))
        if kind == 'servers':
            service = random.choice(('registry', 'models'))
            entry = {**trap.store_entry(), 'Service': service}
            _write(context, _spoilt(entry, random))
            continue
        name = f'odd-{random.randrange(20)}'
        if kind == 'versions':
            value = _spoilt({'Model': MODEL, 'Version': 2}, random)
            bench.on_loop(partial(bench.store.put, kind, name, value))
            continue
        value = _spoilt({'text': '0' * 32}, random)
        for own, named in (
            ('lacewing-routers', name),
            ('lacewing-leases', 'weights'),
        ):
            bench.on_loop(partial(bench.store.put, own, named, value))


def _spoilt(entry: dict[str, Any], random: Random) -> object:
    how = random.randrange(6)
    field = random.choice(tuple(entry))
    if field in ('Models', 'ColdRemainingMs'):
        # Some odd values of these are good ones.
        field = next(iter(entry))
    odd: Any = (None, [], {}, ['x'], {'x': 1}, -1.5)
    if how == 0 and field != 'born':
        return {key: value for key, value in entry.items() if key != field}
    if how == 1:
        return {**entry, field: random.choice(odd)}
    data = bytearray(msgspec.json.encode({**entry, 'Z': 'padding'}))
    if how == 2:
        return msgspec.Raw(bytes(data[: random.randrange(1, len(data) - 1)]))
    if how == 3:
        place = data.index(b'padding')
        data[place] = 0xFF
        return msgspec.Raw(bytes(data))
    if how == 4:
        return msgspec.Raw(b'[' * NESTED)
    return random.choice((None, 0, 'x', [], {}, {'Metadata': {'Name': 5}}))


@then('the good upstreams alone are known and serve')
def step_good(context: Context) -> None:
    """Wait until all was read, then look and ask."""
    bench = direct_bench(context)
    bench.add_upstream('last', 'registry')
    good = set(bench.upstreams)
    router = bench.routers[0]
    bench.until(lambda: 'last' in router.upstream_ids, 'the last entry')
    assert set(router.upstream_ids) == good, [
        bench.store.specification('servers', name)
        for name in set(router.upstream_ids) - good
    ]
    for number in range(8):
        assert bench.ask().status == 200, bench.answer
        answer = bench.ask_model(f'/chat/{number}')
        assert answer.status == 200, answer
    assert not context.trap.received, context.trap.received


@then('all engines soon have them')
def step_engines_have(context: Context) -> None:
    """Wait for the weights."""
    bench = direct_bench(context)
    bench.until(
        lambda: all(
            upstream.weights.get(MODEL, 2) == 2
            for upstream in bench.upstreams.values()
        ),
        'new weights on all engines',
    )


@when('somebody writes {text} beside the configuration')
def step_beside(context: Context, text: str) -> None:
    """Write another object of the kind."""
    bench = direct_bench(context)
    value = json.loads(text)
    bench.on_loop(lambda: bench.store.put('config', 'odd', value))


@then('the configuration stays in force and keys are known')
def step_in_force(context: Context) -> None:
    """Look for longer than keys are believed unconfirmed."""
    bench = direct_bench(context)
    end_s = time.monotonic() + BOUNDS.revoke_s + KNOWN_S
    while time.monotonic() < end_s:
        answer = bench.ask_model()
        assert answer.status == 200, answer
        bench.run(sleep(KNOWN_S))
    version = bench.config['Version']
    assert bench.routers[0].configuration == version
