"""Drive a router in this process, with fake agents and real callers."""

import asyncio
import http.client
import json
import socket
from dataclasses import dataclass
from dataclasses import replace
from threading import Thread
from typing import Any
from unittest.mock import patch

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.fake_agent import chat_events
from lacewing_bench.fake_agent import ChatPart
from lacewing_bench.fake_agent import FakeAgent
from lacewing_bench.fake_agent import Script
from lacewing_bench.fake_agent import until
from lacewing_bench.fake_runtime import FakeBundles
from lacewing_bench.fake_runtime import FakeMembers
from lacewing_bench.fake_runtime import router_runtime
from lacewing_bench.loop_thread import LoopThread
from lacewing_common.bundle import Adapter
from lacewing_common.bundle import Bundle
from lacewing_common.bundle import Model
from lacewing_common.bundle import PolicyName
from lacewing_common.bundle import Service
from lacewing_common.bundle import ServiceKind
from lacewing_common.bundle import Team
from lacewing_common.prefix import cache_salt
from lacewing_common.prefix import chain
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Verdict
from lacewing_daemon.router import RunningRouter
from lacewing_daemon.router import start_router
from lacewing_daemon.router._keys import hash_key
from lacewing_daemon.router._transcript import Transcript
from prometheus_client import REGISTRY

SECRET = '00' * 32
MESSAGES = [
    {'role': 'system', 'content': 'handbook ' * 100},
    {'role': 'user', 'content': 'May the board sell land?'},
]
CHAT = '/v1/chat/completions'
EVENT_STREAM = 'text/event-stream'
MODELS = {
    'tutor': ('handbook:w1', 'handbook:w1:urdu@2'),
    'motors': ('diagnosis:w1',),
    'registry': (),
}
LIMIT_S = 30
MB = 1024 * 1024


@dataclass(frozen=True)
class Answer:
    """Hold one answer as the caller saw it."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def error(self) -> dict[str, str]:
        """Return the error object of the body."""
        error: dict[str, str] = json.loads(self.body)['error']
        return error


def _bundle(weights: str = 'w1') -> Bundle:
    tutor = Service(
        name='tutor',
        kind=ServiceKind.MODEL,
        models=('handbook',),
        policy=PolicyName.ROUND_ROBIN,
        first_token_ms=8000.0,
    )
    registry = Service(
        name='registry',
        kind=ServiceKind.PLAIN,
        policy=PolicyName.ROUND_ROBIN,
        at_most_once_paths=('/certificates',),
        first_token_ms=8000.0,
    )
    motors = Service(
        name='motors',
        kind=ServiceKind.MODEL,
        models=('diagnosis',),
        continue_elsewhere=False,
    )
    recalls = Service(name='recalls', kind=ServiceKind.PLAIN)
    return Bundle(
        teams=(
            Team('rahmat', (hash_key('key-rahmat'),), ('tutor', 'registry')),
            Team('brno', (hash_key('key-brno'),), ('motors', 'recalls')),
        ),
        services=(tutor, registry, motors, recalls),
        models=(
            Model('handbook', weights, (Adapter('urdu', '2'),)),
            Model('diagnosis', 'w1'),
        ),
        prefix_secret=SECRET,
    )


@given('a router whose bundle has the teams "rahmat" and "brno"')
def given_router(context: Context) -> None:
    """Start a router on its own loop, without agents."""
    context.loop = LoopThread()
    context.resources.callback(context.loop.close)
    context.members = FakeMembers()
    context.agents = []
    context.answers = []
    context.callers = 0
    bundles = FakeBundles()
    context.bundles = bundles
    bundles.roll(_bundle())
    router = context.loop.call(_start(bundles, context.members))
    context.router = router
    context.resources.callback(lambda: context.loop.call(router.close()))
    context.dropped = _dropped_frames()


async def _start(bundles: FakeBundles, members: FakeMembers) -> RunningRouter:
    return await start_router(router_runtime('router-1', bundles, members))


def _add_agent(
    context: Context,
    service: str,
    *scripts: Script,
    up: bool = True,
    models: tuple[str, ...] | None = None,
) -> FakeAgent:
    if models is None:
        models = MODELS[service]
    made = _agent(context, service, models, scripts)
    agent: FakeAgent = context.loop.call(made)
    if not up:
        context.loop.call(agent.close())
    context.members.addresses += (agent.address,)
    if up:
        context.loop.call(until(lambda: agent.linked))
    return agent


async def _agent(
    context: Context,
    service: str,
    models: tuple[str, ...],
    scripts: tuple[Script, ...],
) -> FakeAgent:
    # grpclib's server belongs to the loop that makes it.
    name = f'agent-{len(context.agents) + 1}'
    agent = FakeAgent(name, service, models, scripts)
    await agent.listen()
    context.agents.append(agent)
    context.resources.callback(lambda: context.loop.call(agent.close()))
    return agent


def _chat_script(count: int) -> Script:
    return Script(
        content_type=EVENT_STREAM, chat=ChatPart('chatcmpl-fake', count)
    )


def _tokens(count: int) -> tuple[bytes, ...]:
    events: list[bytes] = []
    for number in range(1, count + 1):
        chunk = {
            'choices': [{'index': 0, 'delta': {'content': f' w{number}'}}]
        }
        data = json.dumps(chunk)
        events.append(f'id: {number}\ndata: {data}\n\n'.encode())
    events.append(f'id: {count + 1}\ndata: [DONE]\n\n'.encode())
    return tuple(events)


def _stream(count: int) -> Script:
    return Script(chunks=_tokens(count), content_type=EVENT_STREAM)


@given('an agent of "{service}" that answers')
def given_answering(context: Context, service: str) -> None:
    """Add an agent that answers everything."""
    _add_agent(context, service, Script())


@given('an agent of "{service}" that streams {count:d} tokens')
def given_streaming(context: Context, service: str, count: int) -> None:
    """Add an agent that streams."""
    _add_agent(context, service, _stream(count))


@given('the address of an agent of "{service}" that is not up yet')
def given_not_up(context: Context, service: str) -> None:
    """Make an agent known that does not listen."""
    _add_agent(context, service, Script(), up=False)


@given('an agent of "{service}" that refuses with "{code}"')
def given_refusing(context: Context, service: str, code: str) -> None:
    """Add an agent that never runs a request."""
    _add_agent(context, service, Script(refuse=Reason(code)))


@given('{count:d} agents of "{service}" that refuse with "{code}"')
def given_all_refuse(
    context: Context, count: int, service: str, code: str
) -> None:
    """Add agents that never run a request."""
    for _ in range(count):
        _add_agent(context, service, Script(refuse=Reason(code)))


@given('{count:d} agents of "{service}" that fail and may have run it')
def given_failing(context: Context, count: int, service: str) -> None:
    """Add agents whose worker fails amid the call."""
    failing = Script(refuse=Reason.WORKER_FAILED, verdict=Verdict.MAY_HAVE_RUN)
    for _ in range(count):
        _add_agent(context, service, failing)


@given(
    '{count:d} agents of "{service}" that restart after they accepted a'
    ' request'
)
def given_all_restart(context: Context, count: int, service: str) -> None:
    """Add agents that forget what they accepted."""
    for _ in range(count):
        _add_agent(context, service, Script(restart_on_accept=True))


@given(
    'an agent of "{service}" that restarts once after it accepted a request'
)
def given_restarting(context: Context, service: str) -> None:
    """Add an agent that forgets the first request."""
    _add_agent(context, service, Script(restart_on_accept=True), Script())


@given(
    'an agent of "{service}" that streams {count:d} tokens and cuts the'
    ' link after {cut:d}'
)
def given_cutting(
    context: Context, service: str, count: int, cut: int
) -> None:
    """Add an agent whose link breaks amid a stream."""
    _add_agent(context, service, replace(_stream(count), cut_link_after=cut))


@given(
    'an agent of "{service}" that streams {count:d} tokens with crossed'
    ' and repeated frames'
)
def given_crossing(context: Context, service: str, count: int) -> None:
    """Add an agent that sends what belongs elsewhere."""
    script = replace(_stream(count), cross_after=2, repeat_after=4)
    _add_agent(context, service, script)


@given(
    'an agent of "{service}" that streams {count:d} tokens and holds'
    ' after {held:d}'
)
def given_holding(
    context: Context, service: str, count: int, held: int
) -> None:
    """Add an agent that goes on only when told."""
    _add_agent(context, service, replace(_stream(count), hold_after=held))


@given('an agent of "{service}" that chats {count:d} words')
def given_chatting(context: Context, service: str, count: int) -> None:
    """Add an agent that streams a chat, or the rest of one."""
    _add_agent(context, service, _chat_script(count))


@given(
    'an agent of "{service}" that chats {count:d} words and vanishes'
    ' after {last:d}'
)
def given_vanishing(
    context: Context, service: str, count: int, last: int
) -> None:
    """Add an agent that goes away for good amid a stream."""
    script = replace(_chat_script(count), vanish_after=last)
    _add_agent(context, service, script)


@given(
    '{agents:d} agents of "{service}" that chat {count:d} words and fail'
    ' after {last:d}'
)
def given_failing_amid(
    context: Context, agents: int, service: str, count: int, last: int
) -> None:
    """Add agents whose worker fails amid a stream."""
    script = replace(_chat_script(count), fail_after=last)
    for _ in range(agents):
        _add_agent(context, service, script)


@given('an agent of "{service}" that freezes after it accepted a request')
def given_freezing(context: Context, service: str) -> None:
    """Add an agent that falls silent with its links open."""
    _add_agent(context, service, Script(freeze_on_accept=True))


@given('an agent of "{service}" that answers {size:d} MB and obeys the window')
def given_large(context: Context, service: str, size: int) -> None:
    """Add an agent with a long answer."""
    piece = b'x' * (64 * 1024)
    chunks = (piece,) * (size * MB // len(piece))
    _add_agent(context, service, Script(chunks=chunks, obey_window=True))


@given('an answering agent of "{service}" with the weights "{weights}"')
def given_weights(context: Context, service: str, weights: str) -> None:
    """Add an agent whose worker has other weights."""
    models = (f'handbook:{weights}',)
    _add_agent(context, service, Script(), models=models)


class Caller:
    """Hold one connection of a caller, for one request."""

    def __init__(self, context: Context) -> None:
        context.callers += 1
        self.request_id = f'request-{context.callers}'
        host, _, port = context.router.callers_address.partition(':')
        self.connection = http.client.HTTPConnection(
            host, int(port), timeout=LIMIT_S
        )

    def send(
        self,
        method: str,
        path: str,
        body: Any = None,
        key: str = 'key-rahmat',
        **options: Any,
    ) -> http.client.HTTPResponse:
        """Send a request and return the head of its answer."""
        headers = {'X-Request-Id': self.request_id}
        if key:
            headers['Authorization'] = f'Bearer {key}'
        self.connection.request(method, path, body, headers, **options)
        return self.connection.getresponse()

    def ask(
        self, method: str, path: str, *rest: Any, **options: Any
    ) -> Answer:
        """Send a request and read its whole answer."""
        response = self.send(method, path, *rest, **options)
        answer = Answer(
            response.status, dict(response.getheaders()), response.read()
        )
        self.connection.close()
        return answer


def _chat(stream: bool = False, **changes: Any) -> bytes:
    body = {'model': 'handbook', 'messages': MESSAGES, 'stream': stream}
    return json.dumps(body | changes).encode()


def _ask(context: Context, *request: Any, **options: Any) -> Answer:
    answer = Caller(context).ask(*request, **options)
    context.answers.append(answer)
    context.answer = answer
    return answer


@when('"rahmat" asks the model "handbook"')
def when_asked(context: Context) -> None:
    """Ask for a whole answer."""
    context.asked_body = _chat()
    _ask(context, 'POST', CHAT, context.asked_body)


@when('"rahmat" asks the model "handbook" for a stream')
def when_stream_asked(context: Context) -> None:
    """Ask for a stream and read all of it."""
    _ask(context, 'POST', CHAT, _chat(stream=True))


@when('"rahmat" asks the model "handbook" {count:d} times')
def when_asked_often(context: Context, count: int) -> None:
    """Ask again and again."""
    for _ in range(count):
        _ask(context, 'POST', CHAT, _chat())


@when('"rahmat" asks the model "handbook" until both agents were asked')
def when_asked_until(context: Context) -> None:
    """Ask until each agent had a Start."""
    _ask_all_agents(context, CHAT, _chat())


@when('"rahmat" posts to certificates until both agents were asked')
def when_posted_until(context: Context) -> None:
    """Call until each agent had a Start."""
    _ask_all_agents(context, '/services/registry/certificates/7', b'{}')


def _ask_all_agents(context: Context, path: str, body: bytes) -> None:
    for _ in range(10):
        _ask(context, 'POST', path, body)
        if all(agent.seen.starts for agent in context.agents):
            return
    raise AssertionError('expected each agent to be asked within 10 calls')


@when('"rahmat" posts "{body}" to "{path}"')
def when_posted(context: Context, body: str, path: str) -> None:
    """Call a plain service."""
    _ask(context, 'POST', path, body.encode())


@when('"rahmat" lists the models')
def when_listed(context: Context) -> None:
    """List the models."""
    _ask(context, 'GET', '/v1/models')


@when('"rahmat" asks the model "handbook" and the agent comes up meanwhile')
def when_asked_cold(context: Context) -> None:
    """Ask first, then let the agent listen."""
    asking = Thread(target=_ask, args=(context, 'POST', CHAT, _chat()))
    asking.start()
    router = context.router
    context.loop.call(until(lambda: router.status.open_requests == 1))
    context.loop.call(context.agents[0].restart())
    asking.join(LIMIT_S)


def _nested(depth: int) -> bytes:
    deep = '[' * (depth - 1) + ']' * (depth - 1)
    return _chat()[:-1] + f', "tools": {deep}}}'.encode()


def _large() -> bytes:
    return _chat(user='x' * (4 * MB))


REFUSED: dict[str, tuple[Any, ...]] = {
    'no key': ('POST', CHAT, _chat(), ''),
    'a wrong key': ('POST', CHAT, _chat(), 'key-none'),
    "a model of another team's service": (
        'POST',
        CHAT,
        _chat(model='diagnosis'),
    ),
    "another team's plain service": ('GET', '/services/recalls/1'),
    'an unknown model': ('POST', CHAT, _chat(model='none')),
    'an unknown adapter': ('POST', CHAT, _chat(model='handbook:none')),
    'an unknown service': ('GET', '/services/none/1'),
    'an unknown path': ('POST', '/v2/chat', _chat()),
    'a GET of chat completions': ('GET', CHAT),
    'a body that is not JSON': ('POST', CHAT, b'{"model": '),
    'a model that is a number': ('POST', CHAT, _chat(model=7)),
    'messages without a role': ('POST', CHAT, _chat(messages=[{}])),
    'no tokens asked for': ('POST', CHAT, _chat(max_tokens=0)),
    'JSON nested 65 deep in an unread field': ('POST', CHAT, _nested(65)),
    'JSON nested 5000 deep': ('POST', CHAT, _nested(5000)),
    'a body above 4 MB': ('POST', CHAT, _large()),
    'a path with an encoded slash': ('GET', '/services/registry/a%2Fb'),
    'a path with dots': ('GET', '/services/registry/a/../certificates/7'),
}


@when('a caller sends {request}')
def when_sent(context: Context, request: str) -> None:
    """Send one of the requests above."""
    if request == 'a chunked body above 4 MB':
        pieces = iter([_large()])
        _ask(context, 'POST', CHAT, pieces, encode_chunked=True)
        return
    _ask(context, *REFUSED[request])


@when('"rahmat" reads {count:d} tokens of a stream and hangs up')
def when_hung_up(context: Context, count: int) -> None:
    """Read the first tokens, then close the connection."""
    caller = Caller(context)
    response = caller.send('POST', CHAT, _chat(stream=True))
    _read_tokens(response, count)
    sock: socket.socket = caller.connection.sock
    sock.shutdown(socket.SHUT_RDWR)
    response.close()
    caller.connection.close()


def _read_tokens(response: http.client.HTTPResponse, count: int) -> bytes:
    read = b''
    while read.count(b'\n\n') < count:
        read += response.readline()
    return read


@when(
    '"rahmat" asks the model "handbook" for {count:d} words until the first'
    ' vanishes'
)
def when_words_asked(context: Context, count: int) -> None:
    """Ask for streams until one was served by the first agent."""
    while not context.agents[0].seen.starts:
        body = _chat(stream=True, max_tokens=count)
        _ask(context, 'POST', CHAT, body)


@when('"brno" asks the model "diagnosis" for {count:d} words')
def when_diagnosis_asked(context: Context, count: int) -> None:
    """Ask for a stream that may not go on elsewhere."""
    body = _chat(stream=True, max_tokens=count, model='diagnosis')
    _ask(context, 'POST', CHAT, body, 'key-brno')


@when('the router fails amid a stream to "rahmat"')
def when_router_fails(context: Context) -> None:
    """Raise where the first payload is noted, after the answer's head."""
    fault = RuntimeError('a fault made by a test')
    with patch.object(Transcript, 'add', side_effect=fault):
        response = Caller(context).send('POST', CHAT, _chat(stream=True))
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
    context.loop.call(_until_quiet(agent))
    assert agent.held_back, 'expected the agent to wait for the caller'
    context.length = len(response.read())
    caller.connection.close()


async def _until_quiet(agent: FakeAgent) -> None:
    quiet = 0
    acks = -1
    while quiet < 20:
        await asyncio.sleep(0.01)
        quiet = quiet + 1 if len(agent.seen.acks) == acks else 0
        acks = len(agent.seen.acks)


@when('a bundle with the weights "{weights}" is rolled')
def when_rolled(context: Context, weights: str) -> None:
    """Roll a bundle on the router's loop."""
    context.loop.call(_roll(context.bundles, _bundle(weights)))


async def _roll(bundles: FakeBundles, bundle: Bundle) -> None:
    bundles.roll(bundle)


@when('the router drains while "rahmat" reads a stream')
def when_drained(context: Context) -> None:
    """Start a drain amid a stream."""
    context.reader = Caller(context)
    context.stream = context.reader.send('POST', CHAT, _chat(stream=True))
    context.read = _read_tokens(context.stream, 2)
    context.drain = context.loop.call(_spawn(context.router.drain()))


async def _spawn(coroutine: Any) -> asyncio.Task[None]:
    return asyncio.create_task(coroutine)


@when('the first agent leaves while it streams to "rahmat"')
def when_leaving(context: Context) -> None:
    """Let the agent say that it leaves amid a stream."""
    while not context.agents[0].seen.starts:
        context.reader = Caller(context)
        context.stream = context.reader.send('POST', CHAT, _chat(stream=True))
        if not context.agents[0].seen.starts:
            context.stream.read()
    context.read = _read_tokens(context.stream, 2)
    context.loop.call(context.agents[0].leave())
    context.before = len(context.agents[1].seen.starts)


@then('the status is {status:d} and the verdict is "{verdict}"')
def then_status(context: Context, status: int, verdict: str) -> None:
    """Check the answer's head."""
    answer = context.answer
    assert answer.status == status, answer
    assert answer.headers['Lacewing-Verdict'] == verdict, answer.headers


@then("the answer is the agent's, with the caller's request id")
def then_whole(context: Context) -> None:
    """Check the answer's body and id."""
    answer = context.answer
    assert json.loads(answer.body) == {'ok': True}, answer.body
    assert answer.headers['X-Request-Id'] == 'request-1', answer.headers


@then("the agent was given the prompt's hashes and the text unchanged")
def then_hashes(context: Context) -> None:
    """Check the Start against the published hashing rule."""
    start = context.agents[0].seen.starts[0]
    salt = cache_salt(bytes.fromhex(SECRET), 'rahmat', 'handbook', '', 'w1')
    segments = [f'{m["role"]}\n{m["content"]}\n' for m in MESSAGES]
    expected = chain(salt, tuple(text.encode() for text in segments))
    assert start.salt == salt, start
    assert start.blocks == b''.join(expected.blocks), start
    assert start.levels == expected.levels, start
    assert start.body == context.asked_body, start


@then('the caller got {count:d} tokens, each once and in order, then the end')
def then_stream(context: Context, count: int) -> None:
    """Check the stream byte by byte."""
    assert context.answer.body == b''.join(_tokens(count)), context.answer


def _chunks(answer: Answer) -> list[dict[str, Any]]:
    """Check the numbers and the end; return the chunks between."""
    events = answer.body.decode().split('\n\n')
    assert events.pop() == '', answer
    chunks: list[dict[str, Any]] = []
    for number, event in enumerate(events, start=1):
        head, data = event.split('\n')
        assert head == f'id: {number}', answer
        if number == len(events):
            assert data == 'data: [DONE]', answer
            return chunks
        chunks.append(json.loads(data.removeprefix('data: ')))
    raise AssertionError(f'expected events, got {answer}')


@then(
    'every stream has {count:d} words, one id, events numbered in order,'
    ' its end'
)
def then_words(context: Context, count: int) -> None:
    """Check each stream as a caller's library would read it."""
    for answer in context.answers:
        chunks = _chunks(answer)
        assert {chunk['id'] for chunk in chunks} == {'chatcmpl-fake'}, chunks
        deltas = [chunk['choices'][0]['delta'] for chunk in chunks]
        text = ''.join(delta.get('content', '') for delta in deltas)
        assert text == ''.join(f' w{n}' for n in range(1, count + 1)), text
        roles = [delta['role'] for delta in deltas if 'role' in delta]
        assert roles == ['assistant'], roles
        assert chunks[-1]['choices'][0]['finish_reason'] == 'length', chunks


@then('the usage counts {answer:d} words of answer to {prompt:d} of prompt')
def then_usage(context: Context, answer: int, prompt: int) -> None:
    """Check the last chunk of the continued stream."""
    usage = _chunks(context.answer)[-1]['usage']
    assert usage['completion_tokens'] == answer, usage
    assert usage['prompt_tokens'] == prompt, usage


@then('the second agent was asked for {count:d} words after "{words}"')
def then_continued(context: Context, count: int, words: str) -> None:
    """Check the body and the hashes of the continuation."""
    start = context.agents[1].seen.starts[-1]
    body = json.loads(start.body)
    assert body['max_tokens'] == count, body
    assert body['messages'][:-1] == MESSAGES, body
    said = body['messages'][-1]
    assert said == {'role': 'assistant', 'content': f' {words}'}, said
    first = context.agents[0].seen.starts[0]
    assert start.blocks.startswith(first.blocks), start


@then('the stream has {count:d} words and then an error event with "{code}"')
def then_error_event(context: Context, count: int, code: str) -> None:
    """Check the words and the last event."""
    words = chat_events(ChatPart('chatcmpl-fake', 6))[:count]
    body = context.answer.body
    assert body.startswith(b''.join(words)), body
    last = body.removeprefix(b''.join(words)).decode()
    event, data, *rest = last.split('\n')
    assert event == 'event: error', last
    assert rest == ['', ''], last
    error = json.loads(data.removeprefix('data: '))['error']
    assert error['code'] == code, error
    assert error['verdict'] == 'ran', error


@then('the caller sees that the answer was cut')
def then_cut(context: Context) -> None:
    """Check that the chunked answer had no end."""
    assert isinstance(context.cut, http.client.IncompleteRead)


@then('the caller has all {size:d} MB')
def then_all(context: Context, size: int) -> None:
    """Check the length of the answer."""
    assert context.length == size * MB, context.length


@then('only the second agent was asked, under the weights "{weights}"')
def then_weights(context: Context, weights: str) -> None:
    """Check the Starts and their salt."""
    first, second = context.agents
    assert not first.seen.starts, first.seen
    salt = cache_salt(bytes.fromhex(SECRET), 'rahmat', 'handbook', '', weights)
    for start in second.seen.starts:
        assert start.weights == weights, start
        assert start.salt == salt, start


@then('the agent got "{method}" on "{path}" as idempotent')
def then_plain(context: Context, method: str, path: str) -> None:
    """Check the Start of a plain call."""
    start = context.agents[0].seen.starts[0]
    assert (start.method, start.path) == (method, path), start
    assert start.idempotent, start


@then('the error has the code "{code}" and says "{message}"')
def then_error(context: Context, code: str, message: str) -> None:
    """Check the error body."""
    error = context.answer.error
    assert error['code'] == code, error
    assert message in error['message'], error
    assert error['verdict'] == context.answer.headers['Lacewing-Verdict']
    assert error['request_id'] == context.answer.headers['X-Request-Id']


@then('the answer says when to come back')
def then_retry_after(context: Context) -> None:
    """Check the Retry-After header."""
    assert int(context.answer.headers['Retry-After']) >= 1


@then('the models are "{names}"')
def then_models(context: Context, names: str) -> None:
    """Check the list of models."""
    listed = json.loads(context.answer.body)['data']
    assert [model['id'] for model in listed] == names.split(', '), listed


@then('every status was {status:d}')
def then_every_status(context: Context, status: int) -> None:
    """Check all answers."""
    statuses = [answer.status for answer in context.answers]
    assert set(statuses) == {status}, statuses


@then('every status was {status:d} and every verdict "{verdict}"')
def then_every_verdict(context: Context, status: int, verdict: str) -> None:
    """Check all answers' heads."""
    for answer in context.answers:
        assert answer.status == status, answer
        assert answer.headers['Lacewing-Verdict'] == verdict, answer


@then('no request was started more than once on one agent')
def then_once_each(context: Context) -> None:
    """Check that no agent had two Starts of one request."""
    for agent in context.agents:
        ids = [start.request_id for start in agent.seen.starts]
        assert len(ids) == len(set(ids)), ids


def _attempts(context: Context) -> int:
    return sum(len(agent.seen.starts) for agent in context.agents)


@then('at most {count:d} attempts were made')
def then_at_most(context: Context, count: int) -> None:
    """Check the agents' counts: 40 requests, a burst and their share."""
    attempts = _attempts(context)
    assert len(context.answers) < attempts <= count, attempts


@then('{count:d} attempt was made in all')
def then_attempts(context: Context, count: int) -> None:
    """Check the agents' counts."""
    assert _attempts(context) == count, _attempts(context)


@then('the agent was asked to resume after {count:d} tokens')
def then_resumed(context: Context, count: int) -> None:
    """Check the offset of the Ask."""
    asks = context.agents[0].seen.asks
    expected = len(b''.join(_tokens(6)[:count]))
    assert [ask.offset for ask in asks] == [expected], asks


def _dropped_frames() -> dict[str, float]:
    found: dict[str, float] = {}
    for metric in REGISTRY.collect():
        for sample in metric.samples:
            if sample.name == 'lacewing_router_dropped_frames_total':
                found[sample.labels['cause']] = sample.value
    return found


@then('the router counted dropped frames')
def then_dropped(context: Context) -> None:
    """Check the counts: two frames of other attempts and a repeat."""
    now = _dropped_frames()
    new: dict[str, float] = {}
    for cause, count in now.items():
        if count > context.dropped.get(cause, 0.0):
            new[cause] = count - context.dropped.get(cause, 0.0)
    expected = {'crossed': 1.0, 'attempt-closed': 1.0, 'repeated': 1.0}
    assert new == expected, new


@then('the agent is told to cancel the attempt')
def then_cancelled(context: Context) -> None:
    """Wait for the Cancel of the one attempt."""
    seen = context.agents[0].seen
    context.loop.call(until(lambda: bool(seen.cancels)))
    assert seen.cancels[0].attempt == seen.starts[0].attempt, seen


@then('the router has no open requests')
def then_none_open(context: Context) -> None:
    """Wait until the router has forgotten the request."""
    router = context.router
    context.loop.call(until(lambda: router.status.open_requests == 0))


@then(
    'a new request is refused with {status:d} "{code}" and its connection'
    ' closed'
)
def then_draining(context: Context, status: int, code: str) -> None:
    """Ask a draining router."""
    answer = _ask(context, 'POST', CHAT, _chat())
    assert answer.status == status, answer
    assert answer.error['code'] == code, answer
    assert answer.headers['Connection'] == 'close', answer.headers
    assert 'Retry-After' in answer.headers, answer.headers


@then('the drain ends only after the open stream got all {count:d} tokens')
def then_drained(context: Context, count: int) -> None:
    """Let the agent go on, read the rest, then wait for the drain."""
    assert not context.drain.done()
    then_open_stream(context, count)
    context.loop.call(until(context.drain.done))


@then('the open stream gets all {count:d} tokens')
def then_open_stream(context: Context, count: int) -> None:
    """Let the agent go on and read the rest of the stream."""
    context.loop.call(_go_on(context.agents[0]))
    read = context.read + context.stream.read()
    context.reader.connection.close()
    assert read == b''.join(_tokens(count)), read


async def _go_on(agent: FakeAgent) -> None:
    agent.go_on.set()


@then('the next {count:d} requests go to the second agent')
def then_second(context: Context, count: int) -> None:
    """Ask, and check the agents' counts."""
    first = len(context.agents[0].seen.starts)
    for _ in range(count):
        assert _ask(context, 'POST', CHAT, _chat()).status == 200
    assert len(context.agents[0].seen.starts) == first
    asked = len(context.agents[1].seen.starts) - context.before
    assert asked == count, asked
