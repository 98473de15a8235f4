"""Send requests to a router and bring faults amid them."""

import asyncio
import http.client
import socket
from collections.abc import Coroutine
from functools import partial
from threading import Thread
from typing import Any
from unittest.mock import patch

from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.fake_agent import until
from lacewing_daemon.router._baselines import RoundRobin
from lacewing_daemon.router._exchange import Exchange
from lacewing_daemon.router._transcript import Transcript
from support.router_bench import Answer
from support.router_bench import ask
from support.router_bench import ask_all_agents
from support.router_bench import Caller
from support.router_bench import CHAT
from support.router_bench import chat_body
from support.router_bench import large_body
from support.router_bench import LIMIT_S
from support.router_bench import MB
from support.router_bench import read_tokens
from support.router_bench import REFUSED
from support.router_bench import roll
from support.router_bench import run_soon
from support.router_bench import spawn
from support.router_bench import team_bundle
from support.router_bench import until_quiet


@when('"rahmat" asks the model "handbook"')
def when_asked(context: Context) -> None:
    """Ask for a whole answer."""
    context.asked_body = chat_body()
    ask(context, 'POST', CHAT, context.asked_body)


@when('"rahmat" asks the model "handbook" for a stream')
def when_stream_asked(context: Context) -> None:
    """Ask for a stream and read all of it."""
    ask(context, 'POST', CHAT, chat_body(stream=True))


@when('"rahmat" asks the model "handbook" {count:d} times')
def when_asked_often(context: Context, count: int) -> None:
    """Ask again and again."""
    for _ in range(count):
        ask(context, 'POST', CHAT, chat_body())


@when('"rahmat" asks the model "handbook" until both agents were asked')
def when_asked_until(context: Context) -> None:
    """Ask until each agent had a Start."""
    ask_all_agents(context, CHAT, chat_body())


@when('"rahmat" posts to certificates until both agents were asked')
def when_posted_until(context: Context) -> None:
    """Call until each agent had a Start."""
    ask_all_agents(context, '/services/registry/certificates/7', b'{}')


@when('"rahmat" posts "{body}" to "{path}"')
def when_posted(context: Context, body: str, path: str) -> None:
    """Call a plain service."""
    ask(context, 'POST', path, body.encode())


@when('"rahmat" asks the model "handbook" until the first restarts')
def when_asked_until_restart(context: Context) -> None:
    """Ask until the first agent had a Start; keep that answer."""
    while not context.agents[0].seen.starts:
        ask(context, 'POST', CHAT, chat_body())


@when(
    '"rahmat" asks the model "handbook" while the weights "{weights}" are'
    ' rolled'
)
def when_asked_amid_roll(context: Context, weights: str) -> None:
    """Ask first, then roll."""
    asking = Thread(target=ask, args=(context, 'POST', CHAT, chat_body()))
    asking.start()
    router = context.router
    context.loop.call(until(lambda: router.status.open_requests == 1))
    context.loop.call(roll(context.bundles, team_bundle(weights)))
    asking.join(LIMIT_S)


@when('"rahmat" hangs up while the policy prepares the choice')
def when_hung_up_early(context: Context) -> None:
    """Hold the policy, hang up, let it go on."""
    prepared = asyncio.Event()
    prepares: list[object] = []
    hang_ups: list[object] = []
    hang_up = Exchange.hang_up

    def prepare(*request: object) -> Coroutine[Any, Any, bool]:
        prepares.append(request)
        return prepared.wait()

    def note_hang_up(exchange: Exchange) -> None:
        hang_up(exchange)
        hang_ups.append(exchange)

    with (
        patch.object(RoundRobin, 'prepare', prepare),
        patch.object(Exchange, 'hang_up', note_hang_up),
    ):
        caller = Caller(context)
        caller.request('POST', CHAT, chat_body())
        context.loop.call(until(lambda: bool(prepares)))
        caller.connection.close()
        context.loop.call(until(lambda: bool(hang_ups)))
        context.loop.call(run_soon(prepared.set))
        router = context.router
        context.loop.call(until(lambda: router.status.open_requests == 0))


@when('"rahmat" lists the models')
def when_listed(context: Context) -> None:
    """List the models."""
    ask(context, 'GET', '/v1/models')


@when('"rahmat" asks the model "handbook" and the agent comes up meanwhile')
def when_asked_cold(context: Context) -> None:
    """Ask first, then let the agent listen."""
    asking = Thread(target=ask, args=(context, 'POST', CHAT, chat_body()))
    asking.start()
    router = context.router
    context.loop.call(until(lambda: router.status.open_requests == 1))
    context.loop.call(context.agents[0].restart())
    asking.join(LIMIT_S)


@when('a caller sends {request}')
def when_sent(context: Context, request: str) -> None:
    """Send one of the requests above."""
    if request == 'a chunked body above 4 MB':
        pieces = iter([large_body()])
        ask(context, 'POST', CHAT, pieces, encode_chunked=True)
        return
    ask(context, *REFUSED[request])


@when('"rahmat" reads {count:d} tokens of a stream and hangs up')
def when_hung_up(context: Context, count: int) -> None:
    """Read the first tokens, then close the connection."""
    caller = Caller(context)
    response = caller.send('POST', CHAT, chat_body(stream=True))
    read_tokens(response, count)
    sock: socket.socket = caller.connection.sock
    sock.shutdown(socket.SHUT_RDWR)
    response.close()
    caller.connection.close()


@when(
    '"rahmat" asks the model "handbook" for {count:d} words until the first'
    ' vanishes'
)
def when_words_asked(context: Context, count: int) -> None:
    """Ask for streams until one was served by the first agent."""
    while not context.agents[0].seen.starts:
        body = chat_body(stream=True, max_tokens=count)
        ask(context, 'POST', CHAT, body)


@when('"brno" asks the model "diagnosis" for {count:d} words')
def when_diagnosis_asked(context: Context, count: int) -> None:
    """Ask for a stream that may not go on elsewhere."""
    body = chat_body(stream=True, max_tokens=count, model='diagnosis')
    ask(context, 'POST', CHAT, body, 'key-brno')


@when('the router fails amid a stream to "rahmat"')
def when_router_fails(context: Context) -> None:
    """Raise where the first payload is noted, after the answer's head."""
    fault = RuntimeError('a fault made by a test')
    with patch.object(Transcript, 'add', side_effect=fault):
        response = Caller(context).send('POST', CHAT, chat_body(stream=True))
        try:
            response.read()
        except http.client.IncompleteRead as error:
            context.cut = error


@when('"rahmat" asks for it and reads only once the agent is held back')
def when_read_slowly(context: Context) -> None:
    """Send a call, wait until nothing moves any more, then read."""
    caller = Caller(context)
    response = caller.send('GET', '/services/registry/records')
    agent = context.agents[0]
    context.loop.call(until_quiet(agent))
    assert agent.held_back, 'expected the agent to wait for the caller'
    context.length = len(response.read())
    caller.connection.close()


@when('a bundle with the weights "{weights}" is rolled')
def when_rolled(context: Context, weights: str) -> None:
    """Roll a bundle on the router's loop."""
    context.loop.call(roll(context.bundles, team_bundle(weights)))


@when('"rahmat" reads {count:d} tokens of a stream')
def when_read(context: Context, count: int) -> None:
    """Read the first tokens and leave the stream open."""
    context.reader = Caller(context)
    context.stream = context.reader.send('POST', CHAT, chat_body(stream=True))
    context.read = read_tokens(context.stream, count)


@when('the router drains while "rahmat" reads a stream')
def when_drained(context: Context) -> None:
    """Start a drain amid a stream."""
    when_read(context, 2)
    context.drain = context.loop.call(spawn(context.router.drain()))


@when('the router drains while "rahmat" sends a body')
def when_body(context: Context) -> None:
    """Send the end of a body once the drain has begun."""
    caller = Caller(context)
    body = chat_body(stream=True)
    connection = caller.connection
    connection.putrequest('POST', CHAT)
    connection.putheader('Authorization', 'Bearer key-rahmat')
    connection.putheader('Content-Length', str(len(body)))
    connection.endheaders(body[:-2])
    router = context.router
    context.loop.call(until(lambda: router.status.open_requests == 1))
    context.drain = context.loop.call(spawn(router.drain()))
    connection.send(body[-2:])
    response = connection.getresponse()
    context.answer = Answer(
        response.status, dict(response.getheaders()), response.read()
    )


@then(
    'the request is refused with {status:d} "{code}" and its connection closed'
)
def then_body_refused(context: Context, status: int, code: str) -> None:
    """Check the answer."""
    answer = context.answer
    assert answer.status == status, answer
    assert answer.error['code'] == code, answer
    assert answer.headers['Connection'] == 'close', answer.headers


@then('no agent was sent it')
def then_not_sent(context: Context) -> None:
    """Check that a status that says so is true."""
    for agent in context.agents:
        assert not agent.seen.starts, agent.seen.starts


@when('"rahmat" keeps a connection open while the router closes')
def when_closing(context: Context) -> None:
    """Ask once, then drain and begin to close."""
    context.kept = Caller(context)
    context.kept.send('GET', '/v1/models').read()
    context.loop.call(context.router.drain())
    context.loop.call(spawn(context.router.close()))


@then('its next request is refused with {status:d} "{code}"')
def then_kept_refused(context: Context, status: int, code: str) -> None:
    """Use the connection once more."""
    answer = context.kept.ask('POST', CHAT, chat_body())
    assert answer.status == status, answer
    assert answer.error['code'] == code, answer
    assert answer.headers['Lacewing-Verdict'] == 'not-run', answer.headers


@when('the first agent leaves while it streams to "rahmat"')
def when_leaving(context: Context) -> None:
    """Let the agent say that it leaves amid a stream."""
    while not context.agents[0].seen.starts:
        context.reader = Caller(context)
        context.stream = context.reader.send(
            'POST', CHAT, chat_body(stream=True)
        )
        if not context.agents[0].seen.starts:
            context.stream.read()
    context.read = read_tokens(context.stream, 2)
    context.loop.call(context.agents[0].leave())
    context.before = len(context.agents[1].seen.starts)


@when('the agent stops reading, "rahmat" fills the link and posts a call')
def when_link_filled(context: Context) -> None:
    """Post three calls that fill the window of the link, then the call."""
    agent = context.agents[0]
    context.loop.call(run_soon(agent.freeze))
    large = b'x' * (4 * MB - 1024)
    threads: list[Thread] = []
    for body in (large, large, large, b'small'):
        caller = Caller(context)
        context.caller = caller
        asking = Thread(target=_post, args=(context, caller, body))
        asking.start()
        threads.append(asking)
        context.loop.call(until(partial(_was_chosen, context, caller)))
    for asking in threads:
        asking.join(LIMIT_S)
    context.answer = context.by_id[context.caller.request_id]


def _post(context: Context, caller: Caller, body: bytes) -> None:
    answer = caller.ask('POST', '/services/archive/records', body)
    context.by_id[caller.request_id] = answer


def _was_chosen(context: Context, caller: Caller) -> bool:
    record = context.router.explain(caller.request_id)
    return record is not None and bool(record.decisions)
