"""Replace values of valid documents by hostile ones, and read them."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from behave import then
from behave import when
from behave.runner import Context
from hypothesis import given as for_any
from hypothesis import strategies as draw
from lacewing_common.audit._entries import decode_chunk
from lacewing_common.decode_errors import DECODE_ERRORS
from lacewing_common.document import DocumentHead
from lacewing_common.document import DocumentKind
from lacewing_common.document import DocumentName
from lacewing_common.document_objects import decode_head
from lacewing_common.document_objects import encode_head
from lacewing_common.platform_client import _object_from
from lacewing_common.platform_http import HttpAnswer
from lacewing_common.settings import parse_settings
from lacewing_common.settings import SettingsError
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_daemon.agent._events import EventReader
from lacewing_daemon.direct import DirectSettings
from lacewing_daemon.direct._fleet import Fleet
from lacewing_daemon.direct._settings import decode_direct_settings
from lacewing_daemon.lease_record import decode_record
from lacewing_platform import PlatformSite
from lacewing_platform._documents import decode_report
from lacewing_platform._documents import decode_upstream
from lacewing_platform._documents import decode_weights
from lacewing_platform._documents import RoutingConfigDecoder
from lacewing_platform._objects import Object
from lacewing_platform._objects import read_events
from lacewing_platform._objects import read_object
from lacewing_platform._objects import read_page
from lacewing_platform._site import _stored_object
from support.direct_bench import BOUNDS
from support.direct_bench import direct_config
from support.direct_bench import route
from support.hostile_values import Path
from support.hostile_values import replace_value
from support.hostile_values import same_draws
from support.hostile_values import value_paths

DIGITS = '1' * 5000
# JSON texts. A document has at most two of them.
HOSTILE = (
    '1' * 19,
    '1' * 400,
    DIGITS,
    f'-{DIGITS}',
    '-1',
    '0',
    '9223372036854775808',
    '18446744073709551616',
    '1.5',
    '1e400',
    '-1e999',
    'NaN',
    'Infinity',
    'true',
    'null',
    '[]',
    '{}',
    '[null]',
    '[{}]',
    '{"x": 1}',
    '""',
    '"\\ud800"',
    '"\\u0000\\r\\n"',
    '"²"',
    f'"{DIGITS}"',
    f'"127.0.0.1:{DIGITS}"',
    f'"127.0.0.1:{"0" * 4290}80"',
    '"fe80::1%eth0:80"',
    '"1.2.3.4%eth0:80"',
    f'"{"x" * 70000}"',
    '[' * 5000 + ']' * 5000,
    '{"x":' * 5000 + '1' + '}' * 5000,
    # Truncated.
    '{"x":',
)

SERVER = {
    'Service': 'models',
    'Address': '127.0.0.1:8080',
    'Zone': 'east',
    'Version': 'v1',
    'Slots': 4,
    'State': 'ready',
    'ColdRemainingMs': 0.0,
    'Sequence': 3,
    'Stage': 'ready',
    'Models': [{'Name': 'tutor', 'Version': 2}],
    'born': 1_764_800_000_000,
}

Read = Callable[[bytes], None]


class Text(str):
    """Hold a JSON text that stands in a document as it is."""


@dataclass(frozen=True)
class Reader:
    """Read and apply documents like a valid one; raise declared errors."""

    valid: object
    read: Read
    declared: tuple[type[Exception], ...] = ()


@when('{count:d} documents of kind "{kind}" have hostile values')
def step_read(context: Context, count: int, kind: str) -> None:
    """Draw documents, and keep what escapes their reader."""
    context.escaped = []
    context.read = 0
    reader = _readers()[kind]
    reader.read(_encode(reader.valid).encode())
    paths = draw.sampled_from(tuple(value_paths(reader.valid)))
    values = draw.sampled_from(HOSTILE)
    replaced = draw.lists(draw.tuples(paths, values), min_size=1, max_size=2)

    @same_draws(count)
    @for_any(replaced, draw.booleans())
    def read(replaced: list[tuple[Path, str]], repeats: bool) -> None:
        document = reader.valid
        for path, value in replaced:
            document = replace_value(document, path, Text(value))
        text = _encode(document, repeats)
        context.read += 1
        try:
            reader.read(text.encode())
        except reader.declared:
            return
        except Exception as error:
            context.escaped.append((repr(error)[:200], replaced[0][0]))

    read()


@then('each is applied, or refused with the declared error')
def step_declared(context: Context) -> None:
    """Check that nothing else escaped."""
    assert context.read > 100, context.read
    assert not context.escaped, context.escaped[:5]


def _encode(value: object, repeats: bool = False) -> str:
    """Return a document as JSON; ``repeats``: each field stands twice."""
    if isinstance(value, Text):
        return str(value)
    if isinstance(value, list):
        return f'[{", ".join(_encode(one, repeats) for one in value)}]'
    if not isinstance(value, dict):
        return json.dumps(value)
    fields = [
        f'{json.dumps(name)}: {_encode(member, repeats)}'
        for name, member in value.items()
    ]
    return f'{{{", ".join(fields * (2 if repeats else 1))}}}'


def _readers() -> dict[str, Reader]:
    """Return the readers by the kind of document."""
    server = SERVER
    weights = {'Model': 'tutor', 'Version': 3}
    report = {
        'Sequence': 1,
        'Busy': False,
        'Models': [{'Name': 'tutor', 'Version': 2}],
        'born': 1_764_800_000_000,
        'QueuedRequests': 1,
        'RunningRequests': 1,
        'KvUsed': 1,
        'KvTotal': 3,
        'Next': 3,
    }
    stored = {
        'Metadata': {'Name': 'a', 'Revision': 5},
        'Specification': {'text': 'x'},
    }
    page = {'items': [stored, stored], 'HasMore': False, 'At': 7}
    changes = {
        'Events': [{'Removed': False, 'Object': stored}, {'Object': stored}],
        'At': 7,
    }
    crash = {
        'start': {'upstream_id': 'a', 'started_ms': 5, 'again': 0},
        'suspects': [{'fingerprint': 'f', 'begun': True, 'parts': ['part:x']}],
        'cleared': ['y'],
        'gone': True,
        'proven': ['z'],
        'crashed_ms': 5,
    }
    lease = {
        'holder': 'h',
        'nonce': 'n',
        'duration_s': 1.0,
        'acted_ago_s': 1.0,
        'era': 3,
        'acted_by': 'x',
    }
    place = {'region': 'moravia', 'availability_zone': 'brno-1'}
    own_settings = {
        'role': 'router',
        'process_id': 'router-1',
        'place': place,
        'seeds': ['127.0.0.1:7400'],
        'listen': {'callers': '127.0.0.1:0'},
        'platform': 'http://127.0.0.1:80',
    }
    direct = json.loads(msgspec.json.encode(_settings()))
    chunk = {
        'archived': '',
        'count': 1,
        'tail': 'x',
        'entries': [
            {
                'number': 1,
                'previous': '',
                'record': {
                    'record_id': 'r',
                    'who': 'w',
                    'action': 'roll',
                    'subject': 's',
                    'at': '2026-01-01',
                },
            }
        ],
    }
    name = DocumentName(DocumentKind.BUNDLE, 'main')
    head = json.loads(encode_head(DocumentHead(name, 3, ('x',), b'x')))
    fleet = fleet_of(server)
    return {
        'upstream': Reader(
            server,
            lambda text: fleet._apply_upstream(
                'up', decode_upstream('up', msgspec.Raw(text))
            ),
            DECODE_ERRORS,
        ),
        'weights': Reader(
            weights,
            lambda text: fleet._apply_release(
                'tutor', decode_weights('tutor', msgspec.Raw(text))
            ),
            DECODE_ERRORS,
        ),
        'configuration': Reader(_config(), _apply_config, DECODE_ERRORS),
        'report': Reader(
            report, lambda text: _apply_report(fleet, text), DECODE_ERRORS
        ),
        'page': Reader(page, lambda text: _check(read_page(text))),
        'changes': Reader(changes, lambda text: _check(read_events(text))),
        'object': Reader(stored, _read_stored),
        'crash': Reader(
            crash,
            lambda text: fleet.crash_guard._merge_stored('c', text.decode()),
        ),
        'software': Reader(
            {'versions': ['v1', 'v2']},
            lambda text: _check(
                fleet._version_records._apply(
                    'models', StoredObject('software', 'models', 1, text, 0)
                )
            ),
        ),
        'lease': Reader(lease, lambda text: _check(decode_record(text, 1.0))),
        'router': Reader(
            {'text': '0' * 32},
            lambda text: _check(
                fleet._router_count.count_live(
                    [StoredObject('routers', 'r', 1, text, 0)]
                )
            ),
        ),
        'settings': Reader(
            own_settings,
            lambda text: _check(parse_settings(text)),
            (SettingsError,),
        ),
        'direct': Reader(
            direct,
            lambda text: _check(decode_direct_settings(text)),
            (SettingsError,),
        ),
        'audit': Reader(chunk, lambda text: _check(decode_chunk(text))),
        'document head': Reader(head, lambda text: _check(decode_head(text))),
        'event': Reader(
            {'id': 1, 'data': {'id': 'request-1', 'usage': {}}}, _read_event
        ),
        'etag': Reader({'etag': 3, 'retry': 2}, _read_etag),
    }


def _check(_value: object) -> None:
    """Ignore what was read: only errors count."""


def _settings() -> DirectSettings:
    return DirectSettings(
        process_id='router-1',
        availability_zone='east',
        callers='127.0.0.1:0',
        ready='127.0.0.1:0',
        platform='127.0.0.1:9',
        bounds=BOUNDS,
    )


def _config() -> dict[str, Any]:
    config = direct_config()
    config['Tenants'][0].update(
        RatePerS=5.0, Burst=3.0, Unit='token_count', UncachedTokens=2.0
    )
    split = [{'Service': 'registry', 'Weight': 1.0}]
    config['Routes'].append(
        route('/s/', 'idempotent', 'registry', TrafficSplit=split)
    )
    config['Services'].append(
        {
            'Name': 'kv',
            'KvStoreAddress': '127.0.0.1:5',
            'Zone': 'east',
            'KvCacheTokens': 5,
            'LinkMbps': 10,
        }
    )
    return config


def fleet_of(server: object = None) -> Fleet:
    """Return the state of a router that is not started."""
    fleet = Fleet(_settings(), PlatformSite('127.0.0.1:9'))
    if server is not None:
        config = _encode(_config()).encode()
        decoder = RoutingConfigDecoder()
        fleet._apply_routing_config(
            'main', decoder.decode('main', msgspec.Raw(config))
        )
        entry = msgspec.Raw(_encode(server).encode())
        fleet._apply_upstream('up', decode_upstream('up', entry))
    return fleet


def _apply_config(text: bytes) -> None:
    """Apply a configuration at a new router, its limits too."""
    decoder = RoutingConfigDecoder()
    config = decoder.decode('main', msgspec.Raw(text))
    fleet = fleet_of()
    fleet._apply_routing_config('main', config)
    teams = fleet.team_limiter
    teams._ledger.apply(teams._terms())
    teams._ledger.settle(lambda _key: None, '', {}, 1.0)


def _apply_report(fleet: Fleet, text: bytes) -> None:
    report = decode_report(text)
    for state in tuple(fleet.cluster_state.upstreams.values()):
        fleet.cluster_state.apply_report(state, report)


def _read_stored(text: bytes) -> None:
    found: Object | None = read_object(text)
    if found is not None:
        _stored_object('kind', 'name', found, 0)


def _fields(text: bytes) -> dict[str, msgspec.Raw]:
    try:
        return msgspec.json.decode(text, type=dict[str, msgspec.Raw])
    except DECODE_ERRORS:
        return {}


def _read_event(text: bytes) -> None:
    """Read an event whose number and data are fields of a document."""
    document = _fields(text)
    number = bytes(document.get('id', msgspec.Raw(b''))).strip(b'"')
    data = bytes(document.get('data', msgspec.Raw(b'')))
    EventReader('request-1').feed(
        b'id: ' + number + b'\ndata: ' + data + b'\n\n'
    )
    EventReader('request-1').feed(
        b'event: x\nid:' + number + b'\ndata:' + data + b'\n\n'
    )


def _read_etag(text: bytes) -> None:
    """Read headers whose values are fields of a document."""
    document = _fields(text)
    headers: dict[str, str] = {}
    for name, field in (('Etag', 'etag'), ('Retry-After', 'retry')):
        value = bytes(document.get(field, msgspec.Raw(b''))).strip(b'"')
        headers[name] = value.decode()
    for status in (200, 503):
        found = _object_from('kind', 'name', HttpAnswer(status, headers, b''))
        assert isinstance(found, StoredObject | StoreError)
