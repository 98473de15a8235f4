"""Check that a response cut off inside its head did not arrive."""

import asyncio
from collections.abc import Callable

from behave import then
from behave import when
from behave.runner import Context
from support.curl_calls import Calls
from support.curl_calls import Learned
from support.curl_calls import make_calls
from support.cutting_server import BODILESS
from support.cutting_server import body_cuts
from support.cutting_server import Cut
from support.cutting_server import CuttingServer
from support.cutting_server import head_cuts
from support.cutting_server import TRAILERS
from support.cutting_server import whole
from support.cutting_server import WITH_BODY

# Of the calls that went wrong, as many are named.
_NAMED_CALLS = 3


@when('{kind} gets responses cut off at every byte of their heads')
def step_cut_heads(context: Context, kind: str) -> None:
    """Make a call for each cut; repeat those that use open connections."""
    context.learned = asyncio.run(_learn(kind, _head_cuts))


@when('{kind} gets responses cut off at every byte of their bodies')
def step_cut_bodies(context: Context, kind: str) -> None:
    """Make a call for each cut."""
    context.learned = asyncio.run(_learn(kind, lambda _: body_cuts()))


@when('{kind} gets whole responses, some of them one byte at a time')
def step_whole(context: Context, kind: str) -> None:
    """Make a call for each response with a body."""
    context.learned = asyncio.run(_learn(kind, _whole_responses))


@when('{kind} gets whole responses without a body')
def step_bodiless(context: Context, kind: str) -> None:
    """Make a call for each response without a body."""
    context.learned = asyncio.run(_learn(kind, lambda _: whole(BODILESS)))


@then('every cut response is reported as one that may have been sent for')
def step_did_not_arrive(context: Context) -> None:
    """Count the cuts that passed for a response or for no request."""
    wrong = []
    for name, learned in context.learned:
        if learned.arrived or not learned.may_be_sent:
            wrong.append(f'{name}: {learned}')
    _expect_none(wrong, len(context.learned))


@then('every whole response is reported as one that arrived')
def step_arrived(context: Context) -> None:
    """Count the responses that passed for cut ones."""
    wrong = []
    for name, learned in context.learned:
        if not learned.arrived:
            wrong.append(f'{name}: {learned}')
    _expect_none(wrong, len(context.learned))


def _expect_none(wrong: list[str], count: int) -> None:
    named = '; '.join(wrong[:_NAMED_CALLS])
    assert count > 0, 'no call was made'
    assert not wrong, f'{len(wrong)} of {count} calls: {named}'


def _head_cuts(calls: Calls) -> list[Cut]:
    return head_cuts(calls.is_reusing)


def _whole_responses(calls: Calls) -> list[Cut]:
    responses = []
    for response in WITH_BODY:
        if calls.reads_trailers or response is not TRAILERS:
            responses.append(response)
    return whole(tuple(responses))


async def _learn(
    kind: str, choose: Callable[[Calls], list[Cut]]
) -> list[tuple[str, Learned]]:
    server = CuttingServer()
    await server.start()
    calls = make_calls(kind, server.address)
    cuts = choose(calls)
    learned: list[tuple[str, Learned]] = []
    for cut in cuts:
        await server.send(cut)
        if cut.before:
            first = await calls.call()
            assert first.arrived, f'{cut.name}: {first}'
        learned.append((cut.name, await calls.call()))
        # An open connection that the server closed may be used once more.
        calls.client.close()
        calls = make_calls(kind, server.address)
    calls.client.close()
    server.close()
    return learned
