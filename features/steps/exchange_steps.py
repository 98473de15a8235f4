"""Check the exchange of loads between routers, and its use in placement."""

import asyncio
import time
from collections.abc import AsyncIterator
from collections.abc import Callable
from random import Random

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct import CallerRequest
from lacewing_daemon.direct import Engine
from lacewing_daemon.direct import Prompt
from lacewing_daemon.direct import Route
from lacewing_daemon.direct import Service
from lacewing_daemon.direct import TrafficShare
from lacewing_daemon.direct import Upstream
from lacewing_daemon.direct._admission import Admitted
from lacewing_daemon.direct._candidates import by_preference
from lacewing_daemon.direct._cluster_state import ClusterState
from lacewing_daemon.direct._contention import Contention
from lacewing_daemon.direct._peer_link import PeerLink
from lacewing_daemon.direct._placing import Placer
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._target import Target
from lacewing_daemon.direct._target import urgency_of
from lacewing_daemon.direct._upstream_state import UpstreamState
from lacewing_daemon.direct.exchange import LoadExchange
from lacewing_daemon.direct.exchange._load_entries import engine_key
from lacewing_daemon.direct.exchange._load_entries import EngineLoad
from lacewing_daemon.direct.exchange._load_section import LoadSection
from lacewing_daemon.direct.exchange._messages import ExchangeMessage
from lacewing_daemon.direct.exchange._peer_stream import PeerStream
from lacewing_daemon.direct.exchange._service import connect_exchange
from lacewing_daemon.direct.exchange._shared_loads import SharedLoads
from lacewing_platform_testing import free_ports
from support.direct_bench import BOUNDS
from tornado.httputil import HTTPHeaders

SERVICE = 'models'
MODEL = 'tutor'
NOW_S = 1000.0
KV_TOKENS = 100_000
WAIT_S = 5.0
PROMPT = Prompt(MODEL, 400, 20, 20, ())


class _Recorder:
    """Record what is applied as a section."""

    def __init__(self, name: str) -> None:
        self._name = name
        self.applied: list[object] = []
        self.forgotten: list[str] = []

    @property
    def name(self) -> str:
        """Return the name in messages."""
        return self._name

    def collect(self, now_s: float, full: bool) -> object | None:
        """Return something new each time."""
        return 1

    def apply(self, sender: str, data: bytes, now_s: float) -> None:
        """Decode a number."""
        self.applied.append(msgspec.msgpack.decode(data, type=int))

    def forget(self, sender: str) -> None:
        """Record it."""
        self.forgotten.append(sender)


def _exchange(context: Context) -> LoadExchange:
    return LoadExchange(
        'own',
        lambda: True,
        tuple,
        Random(1),
        lambda: context.now_s,
        lambda: 1_800_000_000.0 + context.now_s,
    )


def _raw(value: object) -> msgspec.Raw:
    return msgspec.Raw(msgspec.msgpack.encode(value))


@given('a router that exchanges messages')
def step_exchange(context: Context) -> None:
    """Add two sections."""
    context.now_s = NOW_S
    context.exchange = _exchange(context)
    context.sections = [_Recorder('one'), _Recorder('two')]
    for section in context.sections:
        context.exchange.add_section(section)


@when('messages 5, 7, 6 and 7 of "a" arrive')
def step_messages(context: Context) -> None:
    """Let them arrive; each tells its sequence."""
    for sequence in (5, 7, 6, 7):
        message = ExchangeMessage('a', sequence, {'one': _raw(sequence)})
        context.exchange.receive(message, 100)


@then('the sections of messages 5 and 7 are applied')
def step_applied(context: Context) -> None:
    """Check what was applied."""
    applied = context.sections[0].applied
    assert applied == [5, 7], applied


@when('a router sends 20 messages in 3 seconds, and starts again')
def step_restart(context: Context) -> None:
    """Collect them at the shortest interval."""
    for _ in range(20):
        context.now_s += 0.15
        context.last = context.exchange.collect(context.now_s)
    context.exchange = _exchange(context)
    context.exchange.add_section(_Recorder('one'))


@then('its first message then has a higher sequence')
def step_higher(context: Context) -> None:
    """Compare the sequences."""
    first = context.exchange.collect(context.now_s)
    decode = msgspec.msgpack.Decoder(ExchangeMessage).decode
    assert decode(first).sequence > decode(context.last).sequence


@when('a message with a malformed, an unknown and a valid section arrives')
def step_malformed(context: Context) -> None:
    """Let it arrive."""
    sections = {'one': _raw('x'), 'other': _raw([1]), 'two': _raw(3)}
    context.exchange.receive(ExchangeMessage('a', 1, sections), 100)


@then('only the valid section is applied')
def step_valid(context: Context) -> None:
    """Check both."""
    assert [one.applied for one in context.sections] == [[], [3]]


@when('{seconds:f} seconds pass without another')
def step_pass(context: Context, seconds: float) -> None:
    """Let the time pass and run one step."""
    context.now_s += seconds
    context.exchange.step(_Carrier())


@then('"a" is forgotten')
def step_forgotten(context: Context) -> None:
    """Check that all sections were told."""
    assert not context.exchange.senders
    for section in context.sections:
        assert section.forgotten == ['a'], section.forgotten


class _Carrier:
    """Take messages of peers; a blocked peer takes none."""

    def __init__(self) -> None:
        self.blocked = asyncio.Event()
        self.taken: dict[str, list[object]] = {}

    async def send(
        self, address: str, messages: AsyncIterator[msgspec.Raw]
    ) -> str | None:
        """Take messages; the slow peer only once it reads."""
        if address == 'slow':
            await self.blocked.wait()
        async for message in messages:
            decoded = msgspec.msgpack.decode(message)
            self.taken.setdefault(address, []).append(decoded)
        return None


@given('a router whose peer "slow" takes no message and "fast" takes all')
def step_slow(context: Context) -> None:
    """Do nothing until there are messages."""


@when('it has 5 messages for them')
def step_offer(context: Context) -> None:
    """Offer them, and let the slow peer read at the end."""
    context.taken = asyncio.run(_offer())


async def _offer() -> dict[str, list[object]]:
    carrier = _Carrier()
    streams = [
        PeerStream(name, carrier, Random(1)) for name in 'slow fast'.split()
    ]
    tasks = [asyncio.create_task(stream.run()) for stream in streams]
    for number in range(1, 6):
        for stream in streams:
            stream.offer(_raw(number))
        await asyncio.sleep(0.01)
    carrier.blocked.set()
    await asyncio.sleep(0.01)
    for task in tasks:
        task.cancel()
    return carrier.taken


@then('"fast" got messages 1 to 5')
def step_fast(context: Context) -> None:
    """Check the order."""
    assert context.taken['fast'] == [1, 2, 3, 4, 5], context.taken


@then('"slow" gets only message 5 once it reads')
def step_newest(context: Context) -> None:
    """Check that older ones were replaced."""
    assert context.taken['slow'] == [5], context.taken


class _LinkedRouter:
    """Exchange loads with others on loopback."""

    def __init__(self, address: str, addresses: tuple[str, ...]) -> None:
        self.cluster_state = _cluster_state()
        self.is_contended = True
        others = tuple(one for one in addresses if one != address)
        self.section = LoadSection(address, self.cluster_state, lambda: others)
        self.exchange = LoadExchange(
            address, lambda: self.is_contended, lambda: others, Random(1)
        )
        self.exchange.add_section(self.section)
        self.link = PeerLink(address)
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, with_exchange: bool) -> None:
        """Listen, and exchange loads unless it is an older process."""
        if with_exchange:
            carrier = connect_exchange(self.link, self.exchange)
            run = self.exchange.run(carrier)
            self._tasks.append(asyncio.create_task(run))
        self._tasks.append(asyncio.create_task(self.link.run()))

    async def close(self) -> None:
        """Stop as a killed process does, without a word."""
        for task in self._tasks:
            task.cancel()
        await asyncio.wait(self._tasks)
        self.link.close()


def _cluster_state(contention: Contention = Contention.ON) -> ClusterState:
    state = ClusterState(BOUNDS, LoadPolicy(), lambda: NOW_S, contention)
    for name in ('m-1', 'm-2'):
        state.update_upstream(
            name,
            Upstream(
                name, SERVICE, f'{name}:1', 'east', 8, False, {MODEL: 1}, 5
            ),
        )
    return state


@given('4 routers with links, one of them without the exchange')
def step_links(context: Context) -> None:
    """Do nothing until an event loop runs."""


async def _start() -> list[_LinkedRouter]:
    addresses = tuple(f'127.0.0.1:{free_ports()}' for _ in range(4))
    routers = [_LinkedRouter(address, addresses) for address in addresses]
    for number, router in enumerate(routers):
        router.start(with_exchange=number < 3)
    return routers


@when('a prompt of {tokens:d} tokens is sent by the first')
def step_waits(context: Context, tokens: int) -> None:
    """Send it, close the first router, and note what the second knows."""
    context.known = asyncio.run(_known_tokens(tokens))


async def _known_tokens(tokens: int) -> tuple[int, int]:
    """Return what the second knows while the first runs, and afterwards."""
    first, second, third, older = await _start()
    state = first.cluster_state.upstreams['m-1']
    state.open_request(30.0, 5, 0.0, float(tokens), tokens)
    await _until(lambda: _known(second) > 0)
    known = _known(second)
    await first.close()
    gone = first.link.address
    await _until(lambda: gone not in second.exchange.senders)
    known_later = _known(second)
    for router in (second, third, older):
        await router.close()
    return known, known_later


def _known(router: _LinkedRouter) -> int:
    return router.section.loads.others(
        'm-1/5', time.monotonic()
    ).tokens_in_flight


async def _until(is_true: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_S):
        while not is_true():
            await asyncio.sleep(0.02)


@then('the second knows of {least:d} to {most:d} tokens in flight')
def step_knows(context: Context, least: int, most: int) -> None:
    """Check what it knew."""
    assert least <= context.known[0] <= most, context.known


@then('the second knows of none once the first is closed')
def step_knows_none(context: Context) -> None:
    """Check what it knew at the end."""
    assert context.known[1] == 0, context.known


@when('no service is contended')
def step_uncontended(context: Context) -> None:
    """Run the routers for a while."""
    context.sent = asyncio.run(_run_uncontended())


async def _run_uncontended() -> int:
    routers = await _start()
    for router in routers:
        router.is_contended = False
    await asyncio.sleep(1.0)
    senders = sum(len(router.exchange.senders) for router in routers)
    for router in routers:
        await router.close()
    return senders


@then('no message is sent')
def step_none_sent(context: Context) -> None:
    """Check that nobody was heard."""
    assert context.sent == 0


ROUTE = Route(
    name='chat',
    host='host',
    path_prefix='/chat/',
    repeatable=False,
    is_streaming=True,
    resumable=False,
    timeout_s=15.0,
    latency_target_s=0.5,
    priority=0,
    max_runs=1,
    is_public=True,
    shares=(TrafficShare(SERVICE, 1.0),),
)
ADMITTED = Admitted(
    ROUTE,
    Service(SERVICE, 50, Engine(8, KV_TOKENS, 1.0, 1e9, (MODEL,))),
    None,
)
OTHER_LOADS = {
    'nothing': EngineLoad({}, {}),
    '30000 waiting tokens': EngineLoad({0: 30000.0}, {}),
    'stale waiting tokens': EngineLoad({0: 30000.0}, {}),
    '8 requests in flight': EngineLoad({}, {}, 0, 8),
    '90000 tokens in memory': EngineLoad({}, {}, 0, 1, KV_TOKENS - 100),
    'a failure to connect': EngineLoad({}, {}, refused_s=NOW_S),
}


@given('a {kind} service where others have {load} at the preferred engine')
def step_service(context: Context, kind: str, load: str) -> None:
    """Let the only peer tell its load."""
    is_contended = kind == 'contended'
    state = _cluster_state(Contention.ON if is_contended else Contention.OFF)
    state.set_router_count(22)
    section = LoadSection('own', state, lambda: ('peer',))
    section.collect(NOW_S, True)
    context.states = by_preference(PROMPT, state.upstreams_of(SERVICE))
    told_s = NOW_S - (2.0 if load.startswith('stale') else 0.0)
    preferred = context.states[0].upstream.incarnation
    section.loads.heard('peer', told_s)
    keys = {engine_key(one.upstream.incarnation) for one in context.states}
    section.loads.reachability.observes('peer', keys)
    section.loads.apply(
        'peer', engine_key(preferred), OTHER_LOADS[load], told_s
    )
    slot = 0
    while section.loads.may_probe(preferred, True, slot):
        slot += 1
    shared = SharedLoads(state, section.loads, Random(1), lambda: float(slot))
    context.placer = Placer(state, 'east', shared)


@when('3 prompts of 100 tokens of this router wait at each engine')
def step_own_waiting(context: Context) -> None:
    """Send them."""
    for state in context.states:
        for _ in range(3):
            state.open_request(1.0, urgency_of(ADMITTED), NOW_S, 100.0, 100)


@then('a prompt goes to the {which} engine')
def step_goes_to(context: Context, which: str) -> None:
    """Place it."""
    request = CallerRequest(
        'POST',
        '/chat/1',
        'host',
        'request-1',
        HTTPHeaders(),
        b'',
        NOW_S,
        15.0,
        '',
        PROMPT,
        None,
    )
    placed = context.placer.place(request, ADMITTED, frozenset(), 400.0, NOW_S)
    assert isinstance(placed, Target), placed
    expected: UpstreamState = context.states[which == 'other']
    assert placed.state is expected, placed.state.upstream.upstream_id
