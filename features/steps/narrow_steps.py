"""Check what direct routers do on a link that an answer fills."""

import asyncio
import threading
import time
from typing import Any

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_platform_testing._server import NarrowLink
from support.direct_bench import Answer
from support.direct_bench import BOUNDS
from support.direct_bench import direct_bench
from support.direct_bench import DirectBench
from support.direct_bench import MODEL
from support.direct_bench import PREFIX
from support.direct_bench import route
from support.direct_bench import sleep
from support.event_loop import delay_iterations

ASK_EVERY_S = 0.03
OK = 200
NEW = 2
LINK_ANSWER_BYTES = 650_000


class Asking:
    """Ask with a key, again and again, in a thread of its own."""

    def __init__(self, bench: DirectBench) -> None:
        self.served = 0
        self.refused: list[Answer] = []
        self._bench = bench
        self._ends = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def end(self) -> None:
        """Stop asking."""
        self._ends.set()
        self._thread.join()

    def _run(self) -> None:
        number = 0
        while not self._ends.wait(ASK_EVERY_S):
            number += 1
            named: dict[str, Any] = {PREFIX + 'Request-Id': f'asking-{number}'}
            answer = self._bench.ask(**named)
            if answer.status == OK:
                self.served += 1
                continue
            self.refused.append(answer)


@given('a caller with a key that keeps asking')
def step_asking(context: Context) -> None:
    """Ask until the scenario ends."""
    context.asking = Asking(direct_bench(context))
    context.resources.callback(context.asking.end)


@given('keys that must be refused {revoke_s:d} s after they were taken away')
def step_bound(context: Context, revoke_s: int) -> None:
    """Set the bound of the routers that start later."""
    direct_bench(context).bounds = msgspec.structs.replace(
        BOUNDS, revoke_s=float(revoke_s)
    )


@when(
    'the configuration grows by {count:d} routes on a link that needs'
    ' {needs_s:g} s'
)
def step_grow(context: Context, count: int, needs_s: float) -> None:
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
    end_s = time.monotonic() + limit_s
    while bench.ask(last + '1').status != 200:
        assert time.monotonic() < end_s, f'{last} is unknown after {limit_s} s'
        time.sleep(ASK_EVERY_S)


@then('no request with a key was refused meanwhile')
def step_none_refused(context: Context) -> None:
    """Look at what was asked while configurations arrived."""
    refused = context.asking.refused
    assert context.asking.served, 'nothing was asked'
    assert not refused, f'{len(refused)}, the first: {refused[0]}'


@then('the engines have the new weights within {limit_s:d} s of that')
def step_weights(context: Context, limit_s: int) -> None:
    """Wait for the weights of all that have any."""
    bench = direct_bench(context)
    engines = [one for one in bench.upstreams.values() if one.weights]
    end_s = time.monotonic() + limit_s
    while not all(one.weights[MODEL] == NEW for one in engines):
        assert time.monotonic() < end_s, [one.weights for one in engines]
        time.sleep(ASK_EVERY_S)


def grow(bench: DirectBench, count: int, needs_s: float) -> None:
    """Write a larger configuration that needs some time on the link."""
    known = len(bench.config['Routes'])
    routes = list(bench.config['Routes'])
    for number in range(known, known + count):
        routes.append(route(f'/grown/{number}/', 'idempotent', 'registry'))
    size = len(msgspec.json.encode({**bench.config, 'Routes': routes}))
    bench.store.link.bytes_s = size / needs_s
    bench.configure(Routes=routes)


@when('{later_s:g} s later it grows by one more route')
def step_grow_again(context: Context, later_s: float) -> None:
    """Add a route; the link stays as it is."""
    bench = direct_bench(context)
    bench.run(sleep(later_s))
    bytes_s = bench.store.link.bytes_s
    grow(bench, 1, 1.0)
    bench.store.link.bytes_s = bytes_s


@given('a link that brings one answer after the other')
def step_in_turn(context: Context) -> None:
    """Queue answers."""
    direct_bench(context).store.link.in_turn = True


@when('the next answers fall silent after {most:d} bytes')
def step_silent(context: Context, most: int) -> None:
    """Stop answers that are larger in their middle."""
    direct_bench(context).store.link.most = most


@when('the answers are whole again after {after_s:f} s')
def step_whole(context: Context, after_s: float) -> None:
    """Let answers be sent whole."""
    bench = direct_bench(context)
    bench.run(sleep(after_s))
    bench.store.link.most = 0


@when('all connections to the store break {count:d} times')
def step_break(context: Context, count: int) -> None:
    """Break them, with pauses in which calls wait again."""
    bench = direct_bench(context)
    for _ in range(count):
        bench.on_loop(bench.store.server.reset_all)
        bench.run(sleep(0.8))


@then('the configuration was read once and is still confirmed')
def step_read_once(context: Context) -> None:
    """Look at the calls to the store, and ask."""
    bench = direct_bench(context)
    lists = [call for call in bench.store.calls if call.endswith('/config')]
    assert len(lists) == 1, lists
    assert bench.ask().status == 200, bench.answer


class NullStream:
    """A stream that discards what is written to it."""

    async def write(self, data: bytes) -> None:
        """Discard the data."""


async def _time_answer(needs_s: float, idle_s: float, block_s: float) -> float:
    """Return the seconds that sending an answer on a narrow link takes."""
    link = NarrowLink()
    stream: Any = NullStream()
    answer = bytes(LINK_ANSWER_BYTES)
    link.bytes_s = LINK_ANSWER_BYTES / needs_s
    await link.send(stream, b'first')
    await asyncio.sleep(idle_s)
    blocker = asyncio.create_task(delay_iterations(block_s))
    began_s = time.monotonic()
    await link.send(stream, answer)
    took_s = time.monotonic() - began_s
    blocker.cancel()
    return took_s


@when(
    'an answer is sent on a link that needs {needs_s:g} s with wake-ups'
    ' {late_ms:d} ms late'
)
def step_send_late(context: Context, needs_s: float, late_ms: int) -> None:
    """Send an answer while each event loop iteration is blocked."""
    context.took_s = asyncio.run(_time_answer(needs_s, 0.0, late_ms / 1000))


@when(
    'an answer is sent on a link that needs {needs_s:g} s after {idle_s:g} s'
    ' of idle time'
)
def step_send_after_idle(
    context: Context, needs_s: float, idle_s: float
) -> None:
    """Send an answer after the link has been idle."""
    context.took_s = asyncio.run(_time_answer(needs_s, idle_s, 0.0))


@then(
    'sending the answer took at least {least_s:g} s and at most {most_s:g} s'
)
def step_took(context: Context, least_s: float, most_s: float) -> None:
    """Compare the sending time with the bounds."""
    assert least_s <= context.took_s <= most_s, context.took_s
