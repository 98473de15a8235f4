"""Test how routers handle entries of other writers."""

import json
import time
from functools import partial
from random import Random
from typing import Any
from unittest.mock import patch

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct import Upstream
from lacewing_platform import _site
from lacewing_platform._documents import decode_upstream
from lacewing_platform_testing import FakeUpstream
from support.direct_bench import BOUNDS
from support.direct_bench import direct_bench
from support.direct_bench import MODEL
from support.direct_bench import sleep

# Routers batch changes of entries for 0.2 s.
APPLY_DELAY_S = 0.5
# Deeper than the nesting limit of any decoder used here.
NESTING_DEPTH = 100_000
RECORD_DEPTH = 5000
# Kinds and names of objects that routers write.
RECORDS = {
    'crash': ('lacewing-crashes', 'odd'),
    'software': ('lacewing-software', 'models'),
    'lease': ('lacewing-leases', 'weights'),
    'router': ('lacewing-routers', 'odd'),
}


def _decoy(context: Context) -> FakeUpstream:
    """Return the fake upstream at the address in corrupted entries."""
    if not hasattr(context, 'decoy'):
        bench = direct_bench(context)
        context.decoy = FakeUpstream('trap', 'registry')
        bench.on_loop(context.decoy.server.start)
        context.resources.callback(bench.on_loop, context.decoy.server.close)
        context.entry_count = 0
    decoy: FakeUpstream = context.decoy
    return decoy


def _write(context: Context, entry: object) -> None:
    _decoy(context)
    bench = direct_bench(context)
    context.entry_count += 1
    name = f'odd-{context.entry_count}'
    bench.on_loop(partial(bench.store.put, 'servers', name, entry))


@when('entries are written that each lack one of these fields')
def step_lack(context: Context) -> None:
    """Remove one field from a valid entry."""
    for row in context.table:
        entry = _decoy(context).store_entry()
        del entry[row['field']]
        _write(context, entry)


@when('entries are written that each have one invalid field')
def step_differ(context: Context) -> None:
    """Replace one field of a valid entry."""
    for row in context.table:
        entry = _decoy(context).store_entry()
        entry[row['field']] = json.loads(row['value'])
        _write(context, entry)


@when('values are written that are not entries')
def step_no_entries(context: Context) -> None:
    """Write values that are not entries."""
    for row in context.table:
        _write(context, json.loads(row['entry']))


@when('entries are written whose bytes are')
def step_bytes(context: Context) -> None:
    """Let the store return raw bytes among valid entries."""
    _decoy(context)
    for row in context.table:
        data = row['bytes'].encode().replace(b'\\xff', b'\xff')
        data = data.replace(b'\\xfe', b'\xfe')
        if row['bytes'] == 'nested':
            data = b'[' * NESTING_DEPTH + b']' * NESTING_DEPTH
        _write(context, msgspec.Raw(data))


@given('decoders fail for the entry "{name}" with an error of their own')
def step_decoder_fails(context: Context, name: str) -> None:
    """Replace the decoder of the routers that run, and of later ones."""

    def decode(entry: str, specification: msgspec.Raw) -> Upstream:
        if entry == name:
            raise ValueError(entry)
        return decode_upstream(entry, specification)

    bench = direct_bench(context)
    for router in bench.routers:
        watcher = router._fleet._upstream_watcher
        context.resources.enter_context(
            patch.object(watcher._collection, '_decode', decode)
        )
    context.resources.enter_context(
        patch.object(_site, 'decode_upstream', decode)
    )


@when('an entry is written whose {field} has {count:d} digits')
def step_digits(context: Context, field: str, count: int) -> None:
    """Write the number in place of a port, a version or the whole field."""
    entry = _decoy(context).store_entry()
    number = '1' * count
    replaced = {
        'Address': f'"127.0.0.1:{number}"',
        'Models': f'[{{"Name": "{MODEL}", "Version": {number}}}]',
    }
    entry[field] = msgspec.Raw(replaced.get(field, number).encode())
    _write(context, msgspec.Raw(msgspec.json.encode(entry)))


@when('upstream "{name}" reports an undefined state')
def step_undefined_state(context: Context, name: str) -> None:
    """Write its entry with a state that is not defined."""
    direct_bench(context).register(name, 'resting')


@when('the entry of upstream "{name}" is corrupted and repaired at once')
def step_corrupted_and_repaired(context: Context, name: str) -> None:
    """Write both before a router reads either, and wait until it has."""
    bench = direct_bench(context)
    valid = bench.upstreams[name].store_entry()

    def write() -> None:
        bench.store.put('servers', name, 5)
        bench.store.put('servers', name, valid)

    bench.on_loop(write)
    bench.run(sleep(APPLY_DELAY_S))


@when('upstream "{name}" says that it is ready')
def step_ready_again(context: Context, name: str) -> None:
    """Write its entry with the state of a ready upstream."""
    direct_bench(context).register(name)


@then('soon both are known again')
def step_both(context: Context) -> None:
    """Wait until the router knows both upstreams."""
    bench = direct_bench(context)
    bench.until(
        lambda: set(bench.routers[0].upstream_ids) == {'reg-1', 'reg-2'},
        'both upstreams',
    )


@then('only they receive requests')
def step_only_they(context: Context) -> None:
    """Check that all requests are answered."""
    bench = direct_bench(context)
    for _ in range(12):
        assert bench.ask().status == 200, bench.answer


@then('only "{first}" and "{second}" are known')
def step_only_known(context: Context, first: str, second: str) -> None:
    """Add an upstream, so that all earlier entries were read, and check."""
    bench = direct_bench(context)
    bench.add_upstream('last', 'registry')
    bench.until(
        lambda: 'last' in bench.routers[0].upstream_ids, 'the last entry'
    )
    known_ids: Any = set(bench.routers[0].upstream_ids)
    assert known_ids == {first, second, 'last'}, known_ids


@then('the address in those entries received nothing')
def step_decoy(context: Context) -> None:
    """Check what the fake upstream at that address received."""
    bench = direct_bench(context)
    bench.run(sleep(APPLY_DELAY_S))
    assert not context.decoy.received, context.decoy.received
    assert not context.decoy.orders, context.decoy.orders


@then('a router that starts now knows it too')
def step_new_router(context: Context) -> None:
    """Start a router, which reads the whole list."""
    bench = direct_bench(context)
    router = bench.start_router('router-2')
    bench.until_ready()
    expected = {'reg-1', 'reg-2', 'late'}
    bench.until(
        lambda: set(router.upstream_ids) == expected, 'the valid entries'
    )


@given("an engine's entry that names an unknown service")
def step_unknown_service(context: Context) -> None:
    """Write an entry with a model that a routed engine serves."""
    decoy = _decoy(context)
    decoy.weights[MODEL] = 1
    _write(context, {**decoy.store_entry(), 'Service': 'unknown'})


@given('an entry of an unknown service that has version {version:d}')
def step_unknown_version(context: Context, version: int) -> None:
    """Write the entry before a router starts."""
    entry = _decoy(context).store_entry()
    entry['Service'] = 'nobody'
    entry['Models'] = [{'Name': MODEL, 'Version': version, 'Adapters': []}]
    _write(context, entry)


@then('the router uses version {version:d} as the current release')
def step_current_release(context: Context, version: int) -> None:
    """Check the release once the router has read all entries."""
    bench = direct_bench(context)
    bench.until_ready()
    bench.run(sleep(APPLY_DELAY_S))
    cluster_state = bench.routers[0]._fleet.cluster_state
    assert cluster_state.current_release(MODEL).version == version


@given("an engine's entry that names no models")
def step_no_models(context: Context) -> None:
    """Write an engine's entry without models, as for a plain service."""
    entry = _decoy(context).store_entry()
    del entry['Models']
    _write(context, {**entry, 'Service': 'models'})


@then('prompts are answered by the other engines only')
@then('prompts are answered')
def step_prompts(context: Context) -> None:
    """Check that all prompts are answered."""
    bench = direct_bench(context)
    for number in range(6):
        answer = bench.ask_model(f'/chat/{number}')
        assert answer.status == 200, answer


@given('a lease record {record}')
def step_record(context: Context, record: str) -> None:
    """Write the record as another writer would."""
    bench = direct_bench(context)
    value = {'text': record} if record != '5' else 5
    bench.on_loop(lambda: bench.store.put('lacewing-leases', 'weights', value))


@given('a too deeply nested {record} record of another writer')
def step_nested_record(context: Context, record: str) -> None:
    """Write it as another writer would, under a name that is read."""
    bench = direct_bench(context)
    kind, name = RECORDS[record]
    nested = '{"x":' * RECORD_DEPTH + '1' + '}' * RECORD_DEPTH
    bench.on_loop(lambda: bench.store.put(kind, name, {'text': nested}))


@then('all routers become ready')
def step_become_ready(context: Context) -> None:
    """Wait until the routers are ready."""
    direct_bench(context).until_ready()


@then('one of them soon holds the lease')
def step_one_holds(context: Context) -> None:
    """Wait for a holder of the lease."""
    bench = direct_bench(context)
    bench.until(
        lambda: any(router._planner._holds_lease for router in bench.routers),
        'a lease holder',
    )


@then('the router soon holds the lease as if another holder had just acted')
def step_holds(context: Context) -> None:
    """Wait for the lease and check when another holder may have acted."""
    bench = direct_bench(context)
    planner = bench.routers[0]._planner
    bench.until(lambda: planner._holds_lease, 'a lease holder')
    held_from_s = time.monotonic()
    bench.until(lambda: planner._orders_from_s > 0, 'a first order')
    ago_s = planner._lease.other_acted_ago_s - (time.monotonic() - held_from_s)
    assert ago_s < BOUNDS.lease_s, ago_s


@given('{count:d} entries of other writers among those of the routers')
def step_other_routers(context: Context, count: int) -> None:
    """Write entries with values that no router writes."""
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


@then('the router counts only itself')
def step_counts(context: Context) -> None:
    """Wait until the router has counted."""
    cluster_state = direct_bench(context).routers[0]._fleet.cluster_state
    direct_bench(context).until(
        lambda: cluster_state.router_count == 1, 'a count of one router'
    )


@when('another writer writes the release {release}')
def step_invalid_release(context: Context, release: str) -> None:
    """Write it under a separate name, so that the valid release stays."""
    bench = direct_bench(context)
    value = json.loads(release)
    bench.on_loop(lambda: bench.store.put('versions', 'odd', value))


@when('{count:d} random corrupted entries with seed {seed:d} are written')
def step_random(context: Context, count: int, seed: int) -> None:
    """Corrupt entries in ways that never leave a valid one."""
    bench = direct_bench(context)
    random = Random(seed)
    decoy = _decoy(context)
    decoy.weights[MODEL] = 1
    for _ in range(count):
        kind = random.choice(('servers', 'servers', 'versions', 'own'))
        if kind == 'servers':
            service = random.choice(('registry', 'models'))
            entry = {**decoy.store_entry(), 'Service': service}
            _write(context, _corrupted(entry, random))
            continue
        name = f'odd-{random.randrange(20)}'
        if kind == 'versions':
            value = _corrupted({'Model': MODEL, 'Version': 2}, random)
            bench.on_loop(partial(bench.store.put, kind, name, value))
            continue
        value = _corrupted({'text': '0' * 32}, random)
        for system_kind, object_name in (
            ('lacewing-routers', name),
            ('lacewing-leases', 'weights'),
        ):
            bench.on_loop(
                partial(bench.store.put, system_kind, object_name, value)
            )


def _corrupted(entry: dict[str, Any], random: Random) -> object:
    method = random.randrange(6)
    field = random.choice(tuple(entry))
    if field in ('Models', 'ColdRemainingMs'):
        # Some of the values below are valid for these fields.
        field = next(iter(entry))
    invalid: Any = (None, [], {}, ['x'], {'x': 1}, -1.5)
    if method == 0 and field != 'born':
        return {key: value for key, value in entry.items() if key != field}
    if method == 1:
        return {**entry, field: random.choice(invalid)}
    data = bytearray(msgspec.json.encode({**entry, 'Z': 'padding'}))
    if method == 2:
        return msgspec.Raw(bytes(data[: random.randrange(1, len(data) - 1)]))
    if method == 3:
        offset = data.index(b'padding')
        data[offset] = 0xFF
        return msgspec.Raw(bytes(data))
    if method == 4:
        return msgspec.Raw(b'[' * NESTING_DEPTH)
    return random.choice((None, 0, 'x', [], {}, {'Metadata': {'Name': 5}}))


@then('only the valid upstreams are known and serve')
def step_only_valid(context: Context) -> None:
    """Wait until all entries were read; check upstreams and answers."""
    bench = direct_bench(context)
    bench.add_upstream('last', 'registry')
    valid_ids = set(bench.upstreams)
    router = bench.routers[0]
    bench.until(lambda: 'last' in router.upstream_ids, 'the last entry')
    assert set(router.upstream_ids) == valid_ids, [
        bench.store.specification('servers', name)
        for name in set(router.upstream_ids) - valid_ids
    ]
    for number in range(8):
        assert bench.ask().status == 200, bench.answer
        answer = bench.ask_model(f'/chat/{number}')
        assert answer.status == 200, answer
    assert not context.decoy.received, context.decoy.received


@then('all engines soon have them')
def step_engines_have(context: Context) -> None:
    """Wait until all engines have loaded the new weights."""
    bench = direct_bench(context)
    bench.until(
        lambda: all(
            upstream.weights.get(MODEL, 2) == 2
            for upstream in bench.upstreams.values()
        ),
        'new weights on all engines',
    )


@when('another writer writes {text} next to the configuration')
def step_next_to(context: Context, text: str) -> None:
    """Write another object of the configuration's kind."""
    bench = direct_bench(context)
    value = json.loads(text)
    bench.on_loop(lambda: bench.store.put('config', 'odd', value))


@then('the configuration stays active and its keys are valid')
def step_active(context: Context) -> None:
    """Check for longer than keys are valid without a confirmation."""
    bench = direct_bench(context)
    end_s = time.monotonic() + BOUNDS.revoke_s + APPLY_DELAY_S
    while time.monotonic() < end_s:
        answer = bench.ask_model()
        assert answer.status == 200, answer
        bench.run(sleep(APPLY_DELAY_S))
    version = bench.config['Version']
    assert bench.routers[0].configuration == version
