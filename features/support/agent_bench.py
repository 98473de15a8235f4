"""Run an agent in a scenario's process and speak the wire protocol to it."""

import asyncio
import json
from collections.abc import Coroutine
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import TypeVar

from behave.runner import Context
from grpclib.client import Channel
from grpclib.const import Cardinality
from lacewing_bench.fake_agent import until
from lacewing_bench.fake_runtime import FakeBundles
from lacewing_bench.fake_runtime import FakeMembers
from lacewing_common.bundle import Bundle
from lacewing_common.bundle import Service
from lacewing_common.bundle import ServiceKind
from lacewing_common.bundle import Team
from lacewing_common.bundle import TeamLimits
from lacewing_common.codec import FromAgent
from lacewing_common.codec import FromRouter
from lacewing_common.codec import MsgpackCodec
from lacewing_common.identity import new_incarnation
from lacewing_common.identity import Place
from lacewing_common.identity import ProcessName
from lacewing_common.identity import Role
from lacewing_common.settings import Settings
from lacewing_common.settings import WorkerSettings
from lacewing_common.wire import Accepted
from lacewing_common.wire import AgentFrame
from lacewing_common.wire import Allotments
from lacewing_common.wire import AttemptId
from lacewing_common.wire import Batch
from lacewing_common.wire import Data
from lacewing_common.wire import End
from lacewing_common.wire import Head
from lacewing_common.wire import Hello
from lacewing_common.wire import Knowledge
from lacewing_common.wire import LINK_METHOD
from lacewing_common.wire import Refused
from lacewing_common.wire import RouterFrame
from lacewing_common.wire import Start
from lacewing_common.wire import Welcome
from lacewing_common.wire import WorkerChanged
from lacewing_daemon.agent._agent import Agent
from lacewing_daemon.runtime import Runtime
from prometheus_client import REGISTRY
from support.scripted_worker import ScriptedWorker

T = TypeVar('T')

# What a scenario calls the parts that are counted apart.
DROPPED_PARTS = {
    'events': 'event',
    'gaps': 'gap',
    'answers': 'answer',
    'bodies': 'body',
}

PLACE = Place('test', 'zone-1')
SALT = b'0123456789abcdef'
DRAIN_S = 20.0
ANSWER_MS = 30_000.0


@dataclass
class Seen:
    """Hold what a router got for one attempt."""

    accepted: int = 0
    head: Head | None = None
    payload: bytearray = field(default_factory=bytearray)
    repeated: int = 0
    gaps: int = 0
    outcomes: list[End | Refused] = field(default_factory=list)
    outcomes_before: int = 0

    def take(self, frame: AgentFrame) -> None:
        """Take a frame; count bytes that came twice or too early."""
        if isinstance(frame, Accepted):
            self.accepted += 1
        elif isinstance(frame, Head):
            self.head = frame
        elif isinstance(frame, (End, Refused)):
            self.outcomes.append(frame)
        elif isinstance(frame, Data):
            self._take_data(frame)

    def _take_data(self, data: Data) -> None:
        if data.offset < len(self.payload):
            self.repeated += 1
            return
        if data.offset > len(self.payload):
            self.gaps += 1
            return
        self.payload += data.payload


class WireRouter:
    """Speak a router's end of the link, without any of its decisions."""

    def __init__(self, name: str, address: str) -> None:
        self.name = ProcessName(name, new_incarnation())
        self.seen: dict[int, Seen] = {}
        self.changes: list[WorkerChanged] = []
        self.knowledge: list[Knowledge] = []
        self.allotments: list[Allotments] = []
        self.welcome: Welcome | None = None
        self.incarnation = 0
        self._host, _, port = address.rpartition(':')
        self._port = int(port)
        self._channel: Channel | None = None
        self._stream: Any = None
        self._reading: asyncio.Task[None] | None = None
        self._old: Channel | None = None

    async def link(self) -> None:
        """Open a link and wait for the Welcome; an old one stays open."""
        self._old = self._channel
        self.welcome = None
        self._reading = asyncio.create_task(self._read())
        await until(lambda: self.welcome is not None)
        assert self.welcome is not None
        self.incarnation = self.welcome.name.incarnation

    async def break_link(self) -> None:
        """Drop the connection without a word."""
        if self._channel is not None:
            self._channel.close()
        if self._reading is not None:
            self._reading.cancel()
            with suppress(asyncio.CancelledError):
                await self._reading

    def break_old_link(self) -> None:
        """Drop the connection before the last without a word."""
        if self._old is not None:
            self._old.close()

    def attempt(self, sequence: int) -> AttemptId:
        """Return the id of an attempt on the agent as first met."""
        return AttemptId(str(self.name), sequence, self.incarnation)

    async def send(self, frame: RouterFrame) -> None:
        """Send a frame."""
        await self._stream.send_message(frame)

    async def start(self, sequence: int, **fields: Any) -> None:
        """Start an attempt, a stream of the model unless told otherwise."""
        stream = fields.get('stream', True)
        seen = self.seen.setdefault(sequence, Seen())
        seen.outcomes_before = len(seen.outcomes)
        asked: dict[str, Any] = {
            'attempt': self.attempt(sequence),
            'request_id': 'q',
            'team': 't',
            'service': 's',
            'method': 'POST',
            'path': '/v1/completions',
            'content_type': 'application/json',
            'body': json.dumps({'model': 'm', 'stream': stream}).encode(),
            'model': 'm',
            'weights': 'w1',
            'salt': SALT,
            'stream': stream,
        }
        await self.send(Start(**(asked | fields)))

    async def _read(self) -> None:
        self._channel = Channel(self._host, self._port, codec=MsgpackCodec())
        opened = self._channel.request(
            LINK_METHOD, Cardinality.STREAM_STREAM, FromRouter, FromAgent
        )
        with suppress(Exception):
            async with opened as self._stream:
                await self.send(Hello(self.name, PLACE, 0))
                async for message in self._stream:
                    self._take(message)

    def _take(self, message: Any) -> None:
        frames = message.frames if isinstance(message, Batch) else (message,)
        for frame in frames:
            if isinstance(frame, Welcome):
                self.welcome = frame
            elif isinstance(frame, WorkerChanged):
                self.changes.append(frame)
            elif isinstance(frame, Knowledge):
                self.knowledge.append(frame)
            elif isinstance(frame, Allotments):
                self.allotments.append(frame)
            else:
                sequence = frame.attempt.sequence
                self.seen.setdefault(sequence, Seen()).take(frame)


class AgentBench:
    """Hold the worker, the agent and the routers of one scenario."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.worker = ScriptedWorker()
        self.routers: dict[str, WireRouter] = {}
        self.bundles = FakeBundles()
        self.draining: asyncio.Task[None] | None = None
        self.agent: Agent
        self.slots = 4
        self.run(self.worker.start())

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Run until done, all parts meanwhile too."""
        return self.loop.run_until_complete(work)

    def wait(self, condition: Any) -> None:
        """Run until a condition holds."""
        self.run(until(condition))

    def roll(self, kind: ServiceKind, answer_ms: float) -> None:
        """Put a bundle in force."""
        service = Service(name='s', kind=kind, answer_ms=answer_ms)
        limits = TeamLimits(concurrency=1000)
        few = Team(name='t', key_hashes=(), services=('s',), limits=limits)
        many = Team(name='u', key_hashes=(), services=('s',), share=3.0)
        self.bundles.roll(Bundle(services=(service,), teams=(few, many)))

    async def start_agent(self, kind: ServiceKind) -> None:
        """Start an agent beside the worker."""
        self.roll(kind, ANSWER_MS)
        worker = WorkerSettings(self.worker.url, 's', self.slots)
        settings = Settings(
            role=Role.AGENT,
            process_id='agent-1',
            place=PLACE,
            worker=worker,
            drain_s=DRAIN_S,
        )
        runtime = Runtime(
            ProcessName('agent-1', new_incarnation()),
            settings,
            self.bundles,
            FakeMembers(),
            asyncio.Event(),
        )
        self.agent = Agent(runtime, worker)
        await self.agent.start()

    async def restart_agent(self) -> None:
        """Replace the agent by one that knows nothing."""
        for router in self.routers.values():
            await router.break_link()
        await self.agent.close()
        await self.start_agent(ServiceKind.MODEL)
        for name, router in self.routers.items():
            again = WireRouter(name, self.agent.peers_address)
            again.name = router.name
            again.seen = router.seen
            await again.link()
            again.incarnation = router.incarnation
            self.routers[name] = again

    def router(self, name: str) -> WireRouter:
        """Return a router, linked at its first use."""
        if name not in self.routers:
            router = WireRouter(name, self.agent.peers_address)
            self.run(router.link())
            self.routers[name] = router
        return self.routers[name]

    def close(self) -> None:
        """Close all parts."""
        self.run(self._close())
        self.loop.close()

    async def _close(self) -> None:
        self.worker.plan.go_on.set()
        for router in self.routers.values():
            await router.break_link()
        await self.agent.close()
        await self.worker.close()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)


def bench_of(context: Context) -> AgentBench:
    """Return the scenario's bench, made at its first use."""
    if not hasattr(context, 'agent_bench'):
        context.agent_bench = AgentBench()
        context.resources.callback(context.agent_bench.close)
    bench: AgentBench = context.agent_bench
    return bench


def seen_of(context: Context, router: str, sequence: int) -> Seen:
    """Return what a router got for an attempt."""
    return bench_of(context).router(router).seen.setdefault(sequence, Seen())


def dropped_counts() -> dict[str, float]:
    """Return the agent's counts of mismatched answers, by part."""
    name = 'lacewing_agent_mismatched_answers_total'
    counts: dict[str, float] = {}
    for part in DROPPED_PARTS.values():
        counts[part] = REGISTRY.get_sample_value(name, {'part': part}) or 0.0
    return counts
