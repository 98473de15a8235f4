"""Check that calls learn their own answers."""

import asyncio
from contextlib import suppress
from dataclasses import replace

from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct import LoadOrder
from lacewing_daemon.direct import SwitchMode
from lacewing_platform._control import PlatformControl
from lacewing_platform_testing._server import FakeServer
from lacewing_platform_testing._server import ReceivedRequest
from support.copying_server import Copies
from support.copying_server import CopyingServer
from support.copying_server import OTHER_STATUS
from support.curl_calls import Learned
from support.curl_calls import make_calls
from support.upstream_fleet import UPSTREAM
from tornado.iostream import StreamClosedError

# The copies that come last arrive while the last calls are made.
_CALLS = 12
_GAP_S = 0.03
# Between two answers are some 0.04 s: some of these copies arrive while a
# later call is under way.
_DELAYS_S = (0.0, 0.005, 0.02, 0.034, 0.045, 0.1, 0.4, None)


@when('{kind} is made several times while earlier answers come again')
def step_make(context: Context, kind: str) -> None:
    """Make the calls once for each time at which copies come."""
    context.learned = asyncio.run(_learn(kind))


@then('each call learns its own answer')
def step_own(context: Context) -> None:
    """Count the calls that learned the answer to another one."""
    wrong = []
    for delay_s, learned in context.learned:
        if not learned.arrived or str(OTHER_STATUS) in learned.text:
            wrong.append(f'copies after {delay_s} s: {learned}')
    assert not wrong, f'{len(wrong)} of {len(context.learned)}: {wrong[:3]}'


async def _learn(kind: str) -> list[tuple[float | None, Learned]]:
    learned: list[tuple[float | None, Learned]] = []
    for delay_s in _DELAYS_S:
        server = CopyingServer(Copies(delay_s))
        await server.start()
        calls = make_calls(kind, server.address)
        for _ in range(_CALLS):
            learned.append((delay_s, await calls.call()))
            await asyncio.sleep(_GAP_S)
        assert server.calls == _CALLS, server.calls
        calls.client.close()
        server.close()
    return learned


def _whole(status: int, body: bytes = b'') -> bytes:
    head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


_PARTS = {
    'a 200': _whole(200),
    'a 202': _whole(202),
    'a 409': _whole(409),
    'a 412': _whole(412),
    'a 500': _whole(500),
    'an interim answer': b'HTTP/1.1 100 Continue\r\n\r\n',
    'bytes that are no answer': b'zzzz\r\nqq\r\n',
    'an empty line': b'\r\n',
    'half a head': b'HTTP/1.1 409 X\r\nContent-Le',
    'a 409 that lacks 3 bytes': _whole(409, bytes(3))[:-3],
    'a 409 that lacks 99 bytes': _whole(409, bytes(99))[:-99],
    'report 1': _whole(200, b'{"Sequence":1}'),
    'report 2': _whole(200, b'{"Sequence":2}'),
}
_GAPS_S = (0.0, 0.005, 0.1, 0.4)


@when(
    'an upstream answers {call} with {first}, and up to 0.4 s later with'
    ' {second}'
)
def step_twice(context: Context, call: str, first: str, second: str) -> None:
    """Make the call once for each time between two answers."""
    context.verdicts = asyncio.run(
        _answer_twice(call == 'an order', _PARTS[first], _PARTS[second])
    )


@then('the router learns {learned} each time')
def step_learned(context: Context, learned: str) -> None:
    """Compare what the calls returned."""
    assert context.verdicts == [learned] * len(_GAPS_S), context.verdicts


async def _answer_twice(
    is_order: bool, first: bytes, second: bytes
) -> list[str]:
    verdicts: list[str] = []
    for gap_s in _GAPS_S:

        async def handle(
            received: ReceivedRequest, gap_s: float = gap_s
        ) -> None:
            await received.stream.write(first)
            await asyncio.sleep(gap_s)
            with suppress(StreamClosedError):
                await received.stream.write(second)

        server = FakeServer(handle)
        server.start()
        control = PlatformControl()
        upstream = replace(UPSTREAM, address=server.address)
        if is_order:
            order = LoadOrder('m', 2, 'router-1', 3, 0, SwitchMode.WAIT)
            verdicts.append((await control.load(upstream, order)).name)
        else:
            report = await control.report(upstream)
            number = None if report is None else report.accepted_orders
            verdicts.append(f'report {number}' if number else 'no report')
        control.close()
        server.stop_listening()
        server.reset_all()
    return verdicts
