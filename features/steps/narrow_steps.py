"""Check what direct routers do on a link that an answer fills."""

import time

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from support.direct_bench import BOUNDS
from support.direct_bench import direct_bench
from support.direct_bench import DirectBench
from support.direct_bench import route

ASK_EVERY_S = 0.03


@given('keys that must be refused {revoke_s:d} s after they were taken away')
def step_bound(context: Context, revoke_s: int) -> None:
    """Set the bound of the routers that start later."""
    direct_bench(context).bounds = msgspec.structs.replace(
        BOUNDS, revoke_s=float(revoke_s)
    )


@when(
    'the configuration grows by {count:d} routes on a link that needs'
    ' {needs_s:d} s'
)
def step_grow(context: Context, count: int, needs_s: int) -> None:
    """Add routes and narrow the link."""
    grow(direct_bench(context), count, needs_s)


@when('a router starts on that link')
def step_start(context: Context) -> None:
    """Start it without waiting for it."""
    direct_bench(context).start_router()


@then('its last route is served within {limit_s:d} s')
def step_last(context: Context, limit_s: int) -> None:
    """Ask until the last route is known; keep the other answers."""
    bench = direct_bench(context)
    last = bench.config['Routes'][-1]['PathPrefix']
    context.refused = []
    end_s = time.monotonic() + limit_s
    while bench.ask(last + '1').status != 200:
        assert time.monotonic() < end_s, f'{last} is unknown after {limit_s} s'
        if bench.ask().status != 200:
            context.refused.append(bench.answer)
        time.sleep(ASK_EVERY_S)


@then('no request with a key was refused meanwhile')
def step_none_refused(context: Context) -> None:
    """Look at what was asked while the configuration arrived."""
    refused = context.refused
    assert not refused, f'{len(refused)}, the first: {refused[0]}'


def grow(bench: DirectBench, count: int, needs_s: float) -> None:
    """Write a larger configuration that needs some time on the link."""
    known = len(bench.config['Routes'])
    routes = list(bench.config['Routes'])
    for number in range(known, known + count):
        routes.append(route(f'/grown/{number}/', 'idempotent', 'registry'))
    size = len(msgspec.json.encode({**bench.config, 'Routes': routes}))
    bench.store.link.bytes_s = size / needs_s
    bench.configure(Routes=routes)
