"""Test answers and collections of the store that hold odd entries."""

import time
from random import Random

from behave import then
from behave import when
from behave.runner import Context
from lacewing_platform._objects import Events
from lacewing_platform._objects import Page
from lacewing_platform._objects import read_events
from lacewing_platform._objects import read_page

DEPTH = 5000
REVISION = 7
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
        fragments = FRAGMENTS
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
