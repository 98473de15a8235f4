"""Test answers and collections of the store that hold odd entries."""

import json
import time
from collections.abc import Iterator
from functools import partial
from random import Random
from typing import Any

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.background import FAILURES
from lacewing_platform._objects import Events
from lacewing_platform._objects import Page
from lacewing_platform._objects import read_events
from lacewing_platform._objects import read_page
from lacewing_platform_testing import FakeUpstream
from support.direct_bench import direct_bench
from support.direct_bench import MODEL
from support.direct_bench import sleep
from support.hostile_values import Path
from support.hostile_values import replace_value
from support.hostile_values import value_paths

DEPTH = 5000
REVISION = 7
# Longer than any name.
LONG_TEXT = 20_000
# Stands for the value that is replaced.
MARK = 'replaced'
LOOPBACK = '127.0.0.1:'
# Routers compare crash records this often or more often.
STEP_INTERVAL_S = 1.0
# Texts of which random specifications consist.
FRAGMENTS = (
    *('{', '}', '[', ']', '"', '\\', ',', ':', ' ', '1', 'NaN', '"s"'),
    *('{"a":', '"Metadata":', '"Object":', '{"Removed":'),
    '{"Metadata":{"Name":"sound"',
)
RANDOM_LENGTHS = (1, 5, 30, 5000)


def _object(name: str, specification: str, revision: str = '3') -> str:
    metadata = f'{{"Name":"{name}","Revision":{revision}}}'
    return (
        f'{{"Metadata":{metadata},"Specification":{specification},'
        '"Status":null}'
    )


def _lists(depth: int) -> str:
    return '[' * depth + ']' * depth


def _levels(field: str, depth: int) -> str:
    return f'{{"{field}":' * depth + '1' + '}' * depth


SOUND = _object('sound', '{"State":"ready"}')
STALE = _object('sound', '{"State":"draining"}', '2')
STALE_LIST = f'{{"items":[{STALE}],"HasMore":true,"At":99}}'
# Copies are found only in text that can't be decoded as a whole.
BESIDE_LEVELS = f'{{"Levels":{_lists(DEPTH)},"Copy":'
ODDITIES = {
    'a copy of a sound object': _object('odd', f'{BESIDE_LEVELS}{STALE}}}'),
    'a copy of a list': _object('odd', f'{BESIDE_LEVELS}{STALE_LIST}}}'),
    'a name that is escaped': _object('\\u006f\\u0064d', _lists(DEPTH)),
    'a revision of 5000 digits': _object('odd', '{}', '1' * 5000),
    'an end that is missing': _object('odd', '{"Slots":1'),
    'a string that is not terminated': _object('odd', '{"State":"rea'),
    'a closing bracket too many': _object('odd', '{"Slots":1}}'),
    '20000 levels of lists': _object('odd', _lists(20000)),
    '20000 levels that are not closed': _object('odd', '{"x":' * 20000),
}
for _field in ('Metadata', 'Object', 'Removed', 'items'):
    ODDITIES[f'20000 levels of "{_field}"'] = _object(
        'odd', _levels(_field, 20000)
    )


def _page(*objects: str) -> bytes:
    items = ','.join(objects)
    return f'{{"items":[{items}],"HasMore":false,"At":{REVISION}}}'.encode()


def _changes(*objects: str) -> bytes:
    events = ','.join(f'{{"Removed":false,"Object":{one}}}' for one in objects)
    return f'{{"Events":[{events}],"At":{REVISION}}}'.encode()


@when('the store returns an odd object with fields in another order')
def step_other_order(context: Context) -> None:
    """Read a list in which no object starts with its metadata."""
    start = '{"Status":null,"Metadata":'
    sound = SOUND.replace('{"Metadata":', start, 1)
    odd = ODDITIES['20000 levels of lists'].replace('{"Metadata":', start, 1)
    context.page = read_page(_page(sound, odd, sound))


@then('that answer is no list for it')
def step_unreadable(context: Context) -> None:
    """Check that nothing is taken for the list."""
    assert context.page is None, context.page


@when('the store returns {count:d} random broken objects among sound ones')
def step_random_objects(context: Context, count: int) -> None:
    """Read lists and changes, and keep the sound objects that are missing."""
    random = Random(1)
    context.missing = []
    context.took_s = []
    sound = [_object(f'sound-{number}', '{}') for number in range(3)]
    for _ in range(count):
        length = random.choice(RANDOM_LENGTHS)
        fragments: tuple[str, ...] = FRAGMENTS
        if length == max(RANDOM_LENGTHS):
            fragments = tuple(random.sample(FRAGMENTS, 3))
        text = ''.join(random.choices(fragments, k=length))
        objects = (sound[0], _object('odd', text), *sound[1:])
        for names in _timed_names(objects, context.took_s):
            if not {'sound-0', 'sound-1', 'sound-2'} <= names:
                context.missing.append((text[:100], names))


def _timed_names(
    objects: tuple[str, ...], took_s: list[float]
) -> tuple[set[str], set[str]]:
    """Return the names read of a list and of changes."""
    started_s = time.thread_time()
    page = read_page(_page(*objects))
    read_s = time.thread_time()
    events = read_events(_changes(*objects))
    took_s.append(read_s - started_s)
    took_s.append(time.thread_time() - read_s)
    assert page is not None and events is not None
    listed = {one.metadata.name for one in page.objects if one is not None}
    changed = set()
    for event in events.events:
        if event.object is not None:
            changed.add(event.object.metadata.name)
    return listed, changed


@then('the sound objects of each answer are read')
def step_none_missing(context: Context) -> None:
    """Check that no answer lacks one."""
    assert not context.missing, context.missing[:3]


@when('the store returns an odd object with {oddity} among sound ones')
def step_odd_object(context: Context, oddity: str) -> None:
    """Read a list and changes, and time both."""
    objects = (SOUND, ODDITIES[oddity], SOUND)
    context.took_s = []
    started_s = time.thread_time()
    context.page = read_page(_page(*objects))
    context.took_s.append(time.thread_time() - started_s)
    started_s = time.thread_time()
    context.events = read_events(_changes(*objects))
    context.took_s.append(time.thread_time() - started_s)


@then('the sound objects are read, the odd one only by its name')
def step_read_around(context: Context) -> None:
    """Check the objects of both answers, and their ends."""
    page: Page = context.page
    events: Events = context.events
    expected = [
        ('sound', b'{"State":"ready"}'),
        ('odd', b''),
        ('sound', b'{"State":"ready"}'),
    ]
    changed = [event.object for event in events.events]
    for objects in (list(page.objects), changed):
        found = []
        for one in objects[:5]:
            assert one is not None, len(objects)
            found.append((one.metadata.name, bytes(one.specification)))
        assert found == expected, (len(objects), found)
    assert not any(event.removed for event in events.events)
    assert (page.at, events.at, page.has_more) == (REVISION, REVISION, False)


@then('each answer takes less than {limit_s:d} s of processor time')
def step_processor_time(context: Context, limit_s: int) -> None:
    """Check the time in which a router could do nothing else."""
    assert max(context.took_s) < limit_s, context.took_s


@given('an odd entry of each kind among those of "{collection}"')
def step_collection(context: Context, collection: str) -> None:
    """Write them under names of their own, and under one that is read."""
    bench = direct_bench(context)
    context.failures_before = _failures()
    context.decoy = FakeUpstream('odd', 'registry')
    bench.on_loop(context.decoy.server.start)
    context.resources.callback(bench.on_loop, context.decoy.server.close)
    kind, name, document, is_text = _collections(context)[collection]
    texts = list(_odd_texts(document))
    for number, text in enumerate(texts):
        value = text
        if is_text:
            value = json.dumps({'text': text})
        entry = msgspec.Raw(value.encode())
        put = bench.store.put
        bench.on_loop(partial(put, kind, f'odd-{number}', entry))
        if name and number == len(texts) - 1:
            bench.on_loop(partial(put, kind, name, entry))


def _collections(
    context: Context,
) -> dict[str, tuple[str, str, dict[str, Any], bool]]:
    """Return the kind, a name that is read, and a sound value of each."""
    context.decoy.weights[MODEL] = 1
    server = context.decoy.store_entry()
    crash = {
        'start': {'upstream_id': 'eng-1', 'started_ms': 5, 'again': 0},
        'suspects': [{'fingerprint': 'f', 'begun': True, 'parts': ['x']}],
        'gone': True,
        'crashed_ms': 5,
    }
    lease = {
        'holder': 'h',
        'nonce': 'n',
        'duration_s': 0.5,
        'acted_ago_s': 1.0,
        'era': 2,
    }
    router = {'text': f'{"0" * 32} {LOOPBACK}80'}
    return {
        'servers': ('servers', '', server, False),
        'config': ('config', '', direct_bench(context).config, False),
        'versions': ('versions', '', {'Model': MODEL, 'Version': 1}, False),
        'crashes': ('lacewing-crashes', '', crash, True),
        'software': (
            'lacewing-software',
            'registry',
            {'versions': ['v1']},
            True,
        ),
        'eras': ('lacewing-eras', 'settled', {'era': 2}, True),
        'leases': ('lacewing-leases', 'weights', lease, True),
        'routers': ('lacewing-routers', '', router, False),
    }


def _odd_texts(document: dict[str, Any]) -> Iterator[str]:
    """Yield a document with each of its values replaced in turn."""
    values = (
        _lists(DEPTH),
        _levels('Metadata', DEPTH),
        '1' * 400,
        '1' * 5000,
        str(2**64),
        '1e400',
        json.dumps('x' * LONG_TEXT),
    )
    for path in value_paths(document):
        for value in values:
            if path == ('ColdRemainingMs',) and value == str(2**64):
                # Any finite number is valid there.
                continue
            yield _replaced(document, path, value)
    for path in value_paths(document):
        for port in ('0', '65536', '99999', '1' * 5000):
            value = _with_port(_value_at(document, path), port)
            if value:
                yield _replaced(document, path, json.dumps(value))


def _replaced(document: object, path: Path, value: str) -> str:
    marked = replace_value(document, path, MARK)
    return json.dumps(marked).replace(json.dumps(MARK), value)


def _value_at(value: Any, path: Path) -> object:
    for name in path:
        value = value[name]
    return value


def _with_port(value: object, port: str) -> str:
    """Return a text that ends with an address with another port, or ''."""
    if not isinstance(value, str) or LOOPBACK not in value:
        return ''
    return f'{value.partition(LOOPBACK)[0]}{LOOPBACK}{port}'


def _failures() -> float:
    """Return how often background tasks and callbacks have failed."""
    total = 0.0
    for metric in FAILURES.collect():
        for sample in metric.samples:
            if sample.name.endswith('_total'):
                total += sample.value
    return total


@given('two direct routers')
def step_two_routers(context: Context) -> None:
    """Start two routers at once."""
    bench = direct_bench(context)
    for name in ('router-1', 'router-2'):
        bench.start_router(name)


@then('callers are answered by sound upstreams only')
def step_answered(context: Context) -> None:
    """Send requests and prompts, and check what the odd address received."""
    bench = direct_bench(context)
    for number in range(8):
        assert bench.ask().status == 200, bench.answer
        answer = bench.ask_model(f'/chat/{number}')
        assert answer.status == 200, answer
    assert not context.decoy.received, context.decoy.received


@then('no background task of the routers fails')
def step_no_failures(context: Context) -> None:
    """Check for longer than tasks wait between two steps."""
    direct_bench(context).run(sleep(STEP_INTERVAL_S))
    failed = _failures() - context.failures_before
    assert not failed, failed
