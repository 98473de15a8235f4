"""Hold a router, its fake agents and its callers for scenarios."""

import asyncio
import http.client
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from behave.runner import Context
from lacewing_bench.fake_agent import ChatPart
from lacewing_bench.fake_agent import FakeAgent
from lacewing_bench.fake_agent import Script
from lacewing_bench.fake_agent import until
from lacewing_bench.fake_runtime import FakeBundles
from lacewing_bench.fake_runtime import FakeMembers
from lacewing_bench.fake_runtime import router_runtime
from lacewing_common.bundle import Adapter
from lacewing_common.bundle import Bundle
from lacewing_common.bundle import Model
from lacewing_common.bundle import PolicyName
from lacewing_common.bundle import Service
from lacewing_common.bundle import ServiceKind
from lacewing_common.bundle import Team
from lacewing_daemon.router import RunningRouter
from lacewing_daemon.router import start_router
from lacewing_daemon.router._keys import hash_key
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
    'archive': (),
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


def team_bundle(weights: str = 'w1') -> Bundle:
    """Build the bundle of two teams."""
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
    archive = Service(name='archive', kind=ServiceKind.PLAIN, answer_ms=500.0)
    motors = Service(
        name='motors',
        kind=ServiceKind.MODEL,
        models=('diagnosis',),
        continue_elsewhere=False,
    )
    recalls = Service(name='recalls', kind=ServiceKind.PLAIN)
    return Bundle(
        teams=(
            Team(
                'rahmat',
                (hash_key('key-rahmat'),),
                ('tutor', 'registry', 'archive'),
            ),
            Team('brno', (hash_key('key-brno'),), ('motors', 'recalls')),
        ),
        services=(tutor, registry, archive, motors, recalls),
        models=(
            Model('handbook', weights, (Adapter('urdu', '2'),)),
            Model('diagnosis', 'w1'),
        ),
        prefix_secret=SECRET,
    )


async def start(bundles: FakeBundles, members: FakeMembers) -> RunningRouter:
    """Start a router on a free port."""
    return await start_router(router_runtime('router-1', bundles, members))


def add_agent(
    context: Context,
    service: str,
    *scripts: Script,
    up: bool = True,
    models: tuple[str, ...] | None = None,
) -> FakeAgent:
    """Make an agent known, and wait until the router is linked to it."""
    if models is None:
        models = MODELS[service]
    made = make_agent(context, service, models, scripts)
    agent: FakeAgent = context.loop.call(made)
    if not up:
        context.loop.call(agent.close())
    context.members.addresses += (agent.address,)
    if up:
        context.loop.call(until(lambda: agent.linked))
    return agent


async def make_agent(
    context: Context,
    service: str,
    models: tuple[str, ...],
    scripts: tuple[Script, ...],
) -> FakeAgent:
    """Build a fake agent on the loop that runs it."""
    # grpclib's server belongs to the loop that makes it.
    name = f'agent-{len(context.agents) + 1}'
    agent = FakeAgent(name, service, models, scripts)
    await agent.listen()
    context.agents.append(agent)
    context.resources.callback(lambda: context.loop.call(agent.close()))
    return agent


def chat_script(count: int) -> Script:
    """Say how an agent chats a number of words."""
    return Script(
        content_type=EVENT_STREAM, chat=ChatPart('chatcmpl-fake', count)
    )


def token_events(count: int) -> tuple[bytes, ...]:
    """Return the events of a stream of numbered words."""
    events: list[bytes] = []
    for number in range(1, count + 1):
        chunk = {
            'choices': [{'index': 0, 'delta': {'content': f' w{number}'}}]
        }
        data = json.dumps(chunk)
        events.append(f'id: {number}\ndata: {data}\n\n'.encode())
    events.append(f'id: {count + 1}\ndata: [DONE]\n\n'.encode())
    return tuple(events)


def stream_script(count: int) -> Script:
    """Say how an agent streams a number of words."""
    return Script(chunks=token_events(count), content_type=EVENT_STREAM)


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
        extra: dict[str, str] | None = None,
        **options: Any,
    ) -> http.client.HTTPResponse:
        """Send a request and return the head of its answer."""
        self.request(method, path, body, key, extra, **options)
        return self.connection.getresponse()

    def request(
        self,
        method: str,
        path: str,
        body: Any = None,
        key: str = 'key-rahmat',
        extra: dict[str, str] | None = None,
        **options: Any,
    ) -> None:
        """Send a request and don't wait for its answer."""
        headers = {'X-Request-Id': self.request_id}
        if key:
            headers['Authorization'] = f'Bearer {key}'
        headers |= extra or {}
        self.connection.request(method, path, body, headers, **options)

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


def chat_body(stream: bool = False, **changes: Any) -> bytes:
    """Return the body of a chat, some fields changed."""
    body = {'model': 'handbook', 'messages': MESSAGES, 'stream': stream}
    return json.dumps(body | changes).encode()


def ask(context: Context, *request: Any, **options: Any) -> Answer:
    """Send a request and keep its answer."""
    answer = Caller(context).ask(*request, **options)
    context.answers.append(answer)
    context.answer = answer
    return answer


def ask_all_agents(context: Context, path: str, body: bytes) -> None:
    """Ask until each agent had a Start."""
    for _ in range(10):
        ask(context, 'POST', path, body)
        if all(agent.seen.starts for agent in context.agents):
            return
    raise AssertionError('expected each agent to be asked within 10 calls')


def nested_body(depth: int) -> bytes:
    """Return a body with an unread field of this depth."""
    deep = '[' * (depth - 1) + ']' * (depth - 1)
    return chat_body()[:-1] + f', "tools": {deep}}}'.encode()


def large_body() -> bytes:
    """Return a body above the limit."""
    return chat_body(user='x' * (4 * MB))


REFUSED: dict[str, tuple[Any, ...]] = {
    'no key': ('POST', CHAT, chat_body(), ''),
    'a wrong key': ('POST', CHAT, chat_body(), 'key-none'),
    "a model of another team's service": (
        'POST',
        CHAT,
        chat_body(model='diagnosis'),
    ),
    "another team's plain service": ('GET', '/services/recalls/1'),
    'an unknown model': ('POST', CHAT, chat_body(model='none')),
    'an unknown adapter': ('POST', CHAT, chat_body(model='handbook:none')),
    'an unknown service': ('GET', '/services/none/1'),
    'an unknown path': ('POST', '/v2/chat', chat_body()),
    'a GET of chat completions': ('GET', CHAT),
    'a body that is not JSON': ('POST', CHAT, b'{"model": '),
    'a model that is a number': ('POST', CHAT, chat_body(model=7)),
    'messages without a role': ('POST', CHAT, chat_body(messages=[{}])),
    'no tokens asked for': ('POST', CHAT, chat_body(max_tokens=0)),
    'JSON nested 65 deep in an unread field': ('POST', CHAT, nested_body(65)),
    'JSON nested 5000 deep': ('POST', CHAT, nested_body(5000)),
    'a body above 4 MB': ('POST', CHAT, large_body()),
    'an idempotency key of 256 characters': (
        'GET',
        '/services/registry/records',
        None,
        'key-rahmat',
        {'Idempotency-Key': 'k' * 256},
    ),
    'a path with an encoded slash': ('GET', '/services/registry/a%2Fb'),
    'a path with dots': ('GET', '/services/registry/a/../certificates/7'),
}


def read_tokens(response: http.client.HTTPResponse, count: int) -> bytes:
    """Read the first events of an answer."""
    read = b''
    while read.count(b'\n\n') < count:
        read += response.readline()
    return read


async def until_quiet(agent: FakeAgent) -> None:
    """Wait until a router confirms nothing more for a while."""
    quiet = 0
    acks = -1
    while quiet < 20:
        await asyncio.sleep(0.01)
        quiet = quiet + 1 if len(agent.seen.acks) == acks else 0
        acks = len(agent.seen.acks)


async def roll(bundles: FakeBundles, bundle: Bundle) -> None:
    """Put a bundle in force."""
    bundles.roll(bundle)


async def spawn(coroutine: Any) -> asyncio.Task[None]:
    """Run a coroutine beside the scenario."""
    return asyncio.create_task(coroutine)


def chunks_of(answer: Answer) -> list[dict[str, Any]]:
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


def attempts_of(context: Context) -> int:
    """Count the Starts at all agents."""
    return sum(len(agent.seen.starts) for agent in context.agents)


def dropped_frames() -> dict[str, float]:
    """Return the counts of dropped frames by cause."""
    found: dict[str, float] = {}
    for metric in REGISTRY.collect():
        for sample in metric.samples:
            if sample.name == 'lacewing_router_dropped_frames_total':
                found[sample.labels['cause']] = sample.value
    return found


async def go_on(agent: FakeAgent) -> None:
    """Let an agent go on that holds."""
    agent.go_on.set()


async def run_soon(command: Callable[[], None]) -> None:
    """Run a command on the loop."""
    command()
