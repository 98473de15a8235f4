"""Replace values of messages between routers by hostile ones."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import msgspec
from behave import when
from behave.runner import Context
from hypothesis import given as for_any
from hypothesis import strategies as draw
from lacewing_common.decode_errors import DECODE_ERRORS
from lacewing_daemon.direct._fleet import Fleet
from lacewing_daemon.direct._peer_link import PeerLink
from lacewing_daemon.direct.crashes._gossip import CrashGossip
from lacewing_daemon.direct.crashes._messages import CompareRequest
from lacewing_daemon.direct.crashes._messages import CrashReport
from lacewing_daemon.direct.crashes._messages import ProbeRequest
from lacewing_daemon.direct.crashes._probe_service import ProbeService
from lacewing_daemon.direct.exchange._messages import ExchangeMessage
from lacewing_daemon.direct.limits._messages import TokenRequest
from lacewing_daemon.direct.origins._messages import FindRequest
from lacewing_daemon.direct.origins._messages import RecordRequest
from lacewing_daemon.direct.origins._service import OriginService
from steps.hostile_documents_steps import fleet_of
from steps.hostile_documents_steps import SERVER
from support.hostile_values import Path
from support.hostile_values import replace_value
from support.hostile_values import same_draws
from support.hostile_values import value_paths

OWN = '127.0.0.1:1'
SENDER = '127.0.0.1:2'
STARTED_MS = 1_764_800_000_000
HOSTILE: tuple[Any, ...] = (
    2**63 - 1,
    -(2**63),
    2**64 - 1,
    -1,
    0,
    1.5,
    math.nan,
    math.inf,
    -math.inf,
    1e308,
    -1e308,
    True,
    None,
    [],
    {},
    [None],
    [{}],
    {'x': 1},
    '',
    '\x00\r\n',
    'x' * 70000,
    b'\xff',
    # An array of one array, and so on.
    msgspec.Raw(b'\x91' * 5000 + b'\xc0'),
)


@dataclass(frozen=True)
class Handler:
    """Handle messages like a valid one."""

    valid: object
    message_type: type
    handle: Callable[[Any], object]


@when('{count:d} messages of kind "{kind}" have hostile values')
def step_handle(context: Context, count: int, kind: str) -> None:
    """Draw messages, and keep what escapes their handler."""
    context.escaped = []
    context.read = 0
    handler = _handlers()[kind]
    _handle(handler, handler.valid)
    paths = draw.sampled_from(tuple(value_paths(handler.valid)))
    values = draw.sampled_from(HOSTILE)
    replaced = draw.lists(draw.tuples(paths, values), min_size=1, max_size=2)

    @same_draws(count)
    @for_any(replaced)
    def handle(replaced: list[tuple[Path, object]]) -> None:
        message = handler.valid
        for path, value in replaced:
            message = replace_value(message, path, value)
        context.read += 1
        try:
            _handle(handler, message)
        except Exception as error:
            context.escaped.append((repr(error)[:200], replaced[0][0]))

    handle()


def _handle(handler: Handler, message: object) -> None:
    data = msgspec.msgpack.encode(message)
    try:
        decoded: Any = msgspec.msgpack.decode(data, type=handler.message_type)
    except DECODE_ERRORS:
        return
    asyncio.run(_run(handler, decoded))


async def _run(handler: Handler, message: Any) -> None:
    """Handle a message in an event loop, as some start tasks."""
    handler.handle(message)


def _handlers() -> dict[str, Handler]:
    """Return the handlers of a router that is not started, by kind."""
    fleet = fleet_of(SERVER)
    link = PeerLink(OWN)
    guard = fleet.crash_guard
    gossip = CrashGossip(
        link,
        guard._registry,
        lambda: (),
        guard._merge,
        lambda _records: None,
        Random(1),
    )
    origins = OriginService(link, fleet.stream_origins)
    probes = ProbeService(link, guard._probes)
    amounts = {'north': 1.0}
    tokens = {
        'sender': SENDER,
        'deposits': amounts,
        'needs': amounts,
        'wishes': amounts,
        'stated': {f'up/{STARTED_MS}': {'rate_per_s': 2.0, 'age_s': 1.0}},
    }
    crash = {
        'start': {'upstream_id': 'up', 'started_ms': STARTED_MS, 'again': 0},
        'suspects': [{'fingerprint': 'f', 'begun': True, 'parts': ['part:x']}],
        'cleared': ['y'],
        'gone': True,
        'proven': ['z'],
        'crashed_ms': 5,
    }
    engine = [5, 1, 1, 1, [1, 2, 3], [1, 1, 1, 1], 1, 2, 3]
    key = b'k' * 16
    return {
        'tokens': Handler(
            tokens, TokenRequest, lambda one: _move_tokens(fleet, one)
        ),
        'crash report': Handler(
            {'sender': SENDER, 'records': [crash]},
            CrashReport,
            gossip._on_report,
        ),
        'crash comparison': Handler(
            {'sender': SENDER, 'marks': [1, 2]},
            CompareRequest,
            gossip._on_compare,
        ),
        'probe': Handler({'subject': 'x'}, ProbeRequest, probes._on_probe),
        'stream records': Handler(
            [[[key, 'models', 'v1', 3.0]]], RecordRequest, origins._on_record
        ),
        'stream question': Handler(
            [key, 'models', 3.0], FindRequest, origins._on_find
        ),
        'loads': Handler(
            [SENDER, 5, {'load': [True, [engine]], 'teams': amounts}],
            ExchangeMessage,
            lambda one: _exchange(fleet, one),
        ),
    }


def _move_tokens(fleet: Fleet, request: TokenRequest) -> None:
    """Serve as the keeper of both kinds of limits, and settle."""
    for limiter in (fleet.upstream_limiter.limiter, fleet.team_limiter):
        limiter.serve(request)
        limiter._ledger.settle(lambda _key: None, '', {}, 1.0)


def _exchange(fleet: Fleet, message: ExchangeMessage) -> None:
    """Apply a message as if services were contended, and tell the next."""
    exchange = fleet.load_exchange
    exchange._is_active = lambda: True
    exchange._sequences.clear()
    exchange.receive(message, 100)
    exchange.collect(exchange._clock())
