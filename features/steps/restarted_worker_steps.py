"""Break a stream off while the only other worker can't be reached."""

import time
from dataclasses import replace
from threading import Thread

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.fake_agent import Script
from lacewing_bench.fake_agent import until
from lacewing_common.verdict import Reason
from lacewing_common.wire import LoadReport
from lacewing_common.wire import WorkerChanged
from support.router_bench import add_agent
from support.router_bench import ask
from support.router_bench import CHAT
from support.router_bench import chat_body
from support.router_bench import chat_script
from support.router_bench import go_on
from support.router_bench import LIMIT_S
from support.router_bench import MODELS


@given(
    'an agent of "{service}" that chats {count:d} words and once fails after'
    ' {last:d}'
)
def given_failing_once(
    context: Context, service: str, count: int, last: int
) -> None:
    """Add an agent whose worker fails amid its first stream."""
    whole = chat_script(count)
    context.service = service
    add_agent(
        context,
        service,
        replace(whole, hold_after=1, fail_after=last),
        whole,
    )


@when('"rahmat" asks the model "handbook" for {count:d} words')
def when_asked(context: Context, count: int) -> None:
    """Ask for a stream, and go on once it has begun."""
    body = chat_body(stream=True, max_tokens=count)
    context.caller = Thread(target=lambda: ask(context, 'POST', CHAT, body))
    context.caller.start()
    first = context.agents[0]
    context.loop.call(until(lambda: bool(first.seen.starts)))


@when(
    'an agent of "{service}" that can\'t reach its worker joins amid the'
    ' stream'
)
def when_joins(context: Context, service: str) -> None:
    """Add an agent that runs nothing."""
    add_agent(context, service, Script(refuse=Reason.WORKER_UNREACHABLE))


@when('the first worker fails and restarts {seconds:g} s later')
def when_restarts(context: Context, seconds: float) -> None:
    """Let the stream break off, and announce a new start of its worker."""
    first, second = context.agents
    context.loop.call(go_on(first))
    context.loop.call(until(lambda: bool(second.seen.starts)))
    time.sleep(seconds)
    changed = WorkerChanged(
        'epoch-2', MODELS[context.service], LoadReport(), False
    )
    context.loop.call(first.send_all(changed))
    context.caller.join(LIMIT_S)
    assert not context.caller.is_alive(), 'the stream did not end'


@then('both agents were asked to go on')
def then_both(context: Context) -> None:
    """Check what each agent was asked."""
    counts = [len(agent.seen.starts) for agent in context.agents]
    assert counts == [2, 1], counts
