"""Check what routers tell each other of loaded weights."""

from typing import Any

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct import Engine
from lacewing_daemon.direct import Limits
from lacewing_daemon.direct import ReleasedWeights
from lacewing_daemon.direct import RoutingConfig
from lacewing_daemon.direct import Service
from lacewing_daemon.direct import Upstream
from lacewing_daemon.direct._cluster_state import ClusterState
from lacewing_daemon.direct._contention import Contention
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct.exchange._weights_section import WeightsSection
from support.direct_bench import BOUNDS

MODEL = 'tutor'
ENGINE = 'eng-1'
STARTED_MS = 5000


@given(
    'a router that knows version {released:d}, and an engine with {loaded:d}'
)
def step_router(context: Context, released: int, loaded: int) -> None:
    """Create the router's state."""
    state = ClusterState(BOUNDS, LoadPolicy(), lambda: 10.0, Contention.ON)
    engine = Engine(8, 100_000, 1000.0, 1e9, (MODEL,))
    state.update_routing_config(
        RoutingConfig(
            1,
            (),
            {'models': Service('models', 0, engine)},
            None,
            Limits(1, 1.0),
        )
    )
    state.record_release(ReleasedWeights(MODEL, released))
    upstream = Upstream(
        ENGINE,
        'models',
        '127.0.0.1:1',
        'east',
        8,
        False,
        {MODEL: loaded},
        STARTED_MS,
    )
    state.update_upstream(ENGINE, upstream)
    context.told_state = state
    context.told_section = WeightsSection(state)


@when('a peer tells that {engine} has {versions}')
def step_told(context: Context, engine: str, versions: str) -> None:
    """Apply a message."""
    started_ms = STARTED_MS if engine == 'the engine' else STARTED_MS - 1
    told: Any = {'another': 2}
    if versions.startswith('version'):
        told = {MODEL: int(versions.split()[-1])}
    data = msgspec.msgpack.encode({ENGINE: [started_ms, told]})
    context.told_section.apply('peer', data, 1.0)


@when('it has told its peers of the engine')
def step_all_told(context: Context) -> None:
    """Collect until nothing is new."""
    while context.told_section.collect(1.0, False) is not None:
        pass


@when('the engine has loaded version {version:d}')
def step_loaded(context: Context, version: int) -> None:
    """Apply the version that an answer reported."""
    state = context.told_state.upstream(ENGINE)
    context.told_state.update_weights(state, MODEL, version)


@then("the router takes the engine's version for {version:d}")
def step_version(context: Context, version: int) -> None:
    """Compare."""
    found = context.told_state.upstream(ENGINE).weights(MODEL)
    assert found == version, found


@then('it tells that in {count:d} messages and then no more')
def step_repeats(context: Context, count: int) -> None:
    """Collect one message more than that."""
    told = []
    for _ in range(count + 1):
        told.append(context.told_section.collect(1.0, False) is not None)
    assert told == [True] * count + [False], told
