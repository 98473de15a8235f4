"""Check that streams go on only at the software version that began them."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_platform_testing import Behaviour
from steps.direct_steps import ALL_EVENTS
from support.direct_bench import direct_bench
from support.direct_bench import HOST
from support.direct_bench import KEY
from support.direct_bench import PREFIX
from support.direct_bench import PROMPT

FIRST_EVENT = ALL_EVENTS[: ALL_EVENTS.index(b'id: 2')]
FIRST_REQUEST = 'brought-the-first-event'


@given('an engine "{name}" of software "{software}"')
def step_engine(context: Context, name: str, software: str) -> None:
    """Start an engine; all routers know it."""
    bench = direct_bench(context)
    bench.add_upstream(name, 'models', software=software)
    for router in bench.routers:
        bench.until(
            lambda: name in router.upstream_ids,
            f'a router that knows {name}',
        )


@given('{count:d} routers that know each other')
def step_routers(context: Context, count: int) -> None:
    """Start routers and wait until each can call all others."""
    bench = direct_bench(context)
    for number in range(1, count + 1):
        bench.start_router(f'router-{number}')
    bench.until_ready()
    for router in bench.routers:
        bench.until(
            lambda: len(router.peer_addresses) == count - 1,
            'routers that know each other',
        )


@given('"{name}" is draining')
def step_draining(context: Context, name: str) -> None:
    """Register an upstream as draining; all routers know it."""
    bench = direct_bench(context)
    bench.register(name, 'draining')
    for router in bench.routers:
        state = router._fleet.cluster_state.upstream(name)
        assert state is not None
        bench.until(lambda: state.upstream.leaving, f'{name} to leave')


@given('a caller that read the first event of a stream at router {number:d}')
def step_first_event(context: Context, number: int) -> None:
    """Read one event of a stream that stalls, and leave."""
    bench = direct_bench(context)
    for upstream in bench.upstreams.values():
        upstream.script.append(Behaviour.STALLS)
    connection = bench.connect(number - 1)
    headers = {
        **PROMPT,
        'Host': HOST,
        'Authorization': f'Token {KEY}',
        PREFIX + 'Request-Id': FIRST_REQUEST,
        PREFIX + 'Deadline-Ms': '3000',
    }
    connection.request('POST', '/chat/1', b'prompt', headers)
    assert connection.getresponse().read1() == FIRST_EVENT
    connection.close()
    for upstream in bench.upstreams.values():
        upstream.script.clear()


@when('it takes the stream up at router {number:d}')
def step_take_up(context: Context, number: int) -> None:
    """Ask for the events after the first one."""
    take_up(context, number, Resumes=FIRST_REQUEST)


def take_up(context: Context, number: int, **headers: str) -> None:
    """Ask a router for the events after the first one."""
    bench = direct_bench(context)
    connection = bench.connect(number - 1)
    sent = {**PROMPT, 'Last-Event-Id': '1', **headers}
    try:
        bench.ask_on(connection, '/chat/1', KEY, 'POST', b'prompt', **sent)
    finally:
        connection.close()


@then('no engine of software "{software}" received anything')
def step_none_of(context: Context, software: str) -> None:
    """Check the engines of a version."""
    for upstream in direct_bench(context).upstreams.values():
        if upstream.software == software:
            assert not upstream.received, upstream.received
