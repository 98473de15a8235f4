"""Check that calls learn their own answers."""

import asyncio

from behave import then
from behave import when
from behave.runner import Context
from support.copying_server import Copies
from support.copying_server import CopyingServer
from support.copying_server import OTHER_STATUS
from support.curl_calls import Learned
from support.curl_calls import make_calls

_CALLS = 6
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
