"""Measure what a link costs a router and an agent while it is idle.

A child process opens links to a server in this one, so that the memory and
the CPU of the two ends are told apart.
"""

import asyncio
import subprocess
import sys
import time
from typing import Any

import msgspec
import psutil
from grpclib.client import Channel
from grpclib.const import Cardinality
from grpclib.const import Handler
from grpclib.server import Stream
from lacewing_common.codec import FromAgent
from lacewing_common.codec import FromRouter
from lacewing_common.codec import MsgpackCodec
from lacewing_common.identity import Place
from lacewing_common.identity import ProcessName
from lacewing_common.identity import Role
from lacewing_common.settings import parse_address
from lacewing_common.settings import Settings
from lacewing_common.wire import AgentMessage
from lacewing_common.wire import Hello
from lacewing_common.wire import Knowledge
from lacewing_common.wire import LINK_METHOD
from lacewing_common.wire import LoadReport
from lacewing_common.wire import RouterFrame
from lacewing_daemon._peers_server import PeersServer

from lacewing_bench.capacity._series import fit
from lacewing_bench.capacity._series import Series

_SIZES = (50, 100, 200)
_IDLE_S = 62.0
_MESSAGES = 4000
_MS = 1000
_US = 1_000_000
_KNOWLEDGE = Knowledge(LoadReport(3, 5, 120.0, 250.0), 'epoch-1', bytes(16))


class LinkCost(msgspec.Struct, frozen=True):
    """Hold one end's cost of its links; ``idle_ms_s`` is CPU."""

    links: int
    memory_kb: float
    idle_ms_s: float
    message_us: float


class _Served:
    """Accept links and send knowledge when told."""

    def __init__(self) -> None:
        self.opened = 0
        self.streams: list[Stream[RouterFrame, AgentMessage]] = []
        self.held = asyncio.Event()

    def __mapping__(self) -> dict[str, Handler]:
        """Map the link's method."""
        return {
            LINK_METHOD: Handler(
                self._serve, Cardinality.STREAM_STREAM, FromRouter, FromAgent
            )
        }

    async def _serve(self, stream: Stream[RouterFrame, AgentMessage]) -> None:
        await stream.recv_message()
        await stream.send_message(_KNOWLEDGE)
        self.streams.append(stream)
        await self.held.wait()


def measure_links() -> tuple[Series, ...]:
    """Measure memory and idle CPU of both ends, and CPU of a message."""
    router: list[LinkCost] = []
    agent: list[LinkCost] = []
    for ours, theirs in asyncio.run(_measure_all()):
        agent.append(ours)
        router.append(theirs)
    made: list[Series] = []
    for end, costs in (('router', router), ('agent', agent)):
        memory = [(float(one.links), one.memory_kb) for one in costs]
        idle = [(float(one.links), one.idle_ms_s) for one in costs]
        message = [(float(one.links), one.message_us) for one in costs]
        made.append(fit(f'link of {end}', 'KB', 'link', memory))
        made.append(fit(f'idle link of {end}', 'ms/s', 'link', idle))
        made.append(fit(f'message at {end}', 'us', 'link', message))
    return tuple(made)


async def _measure_all() -> list[tuple[LinkCost, LinkCost]]:
    return await asyncio.gather(*[_measure(links) for links in _SIZES])


async def _measure(links: int) -> tuple[LinkCost, LinkCost]:
    """Run both ends in processes of their own; return agent's, router's."""
    agent = await _child('serve', str(links))
    address = await _line(agent)
    router = await _child('open', address, str(links))
    theirs = msgspec.json.decode(await _line(router), type=LinkCost)
    ours = msgspec.json.decode(await _line(agent), type=LinkCost)
    await router.wait()
    await agent.wait()
    return ours, theirs


async def _child(*words: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'lacewing_bench.capacity._links',
        *words,
        stdout=subprocess.PIPE,
    )


async def _line(child: asyncio.subprocess.Process) -> str:
    assert child.stdout is not None
    line = await child.stdout.readline()
    return line.decode().strip()


async def _serve(links: int) -> LinkCost:
    """Be the agent's end: accept links, idle, then send messages."""
    served = _Served()
    settings = Settings(
        role=Role.AGENT, process_id='served', place=Place('r', 'z')
    )
    server = PeersServer(settings, [served])
    await server.start()
    before_kb = _memory_kb()
    print(server.address, flush=True)
    while len(served.streams) < links:
        await asyncio.sleep(0.05)
    memory_kb = _memory_kb() - before_kb
    began_s = time.process_time()
    await asyncio.sleep(_IDLE_S)
    idle_s = time.process_time() - began_s
    began_s = time.process_time()
    for number in range(_MESSAGES):
        await served.streams[number % links].send_message(_KNOWLEDGE)
    message_s = time.process_time() - began_s
    # The router's end still reads; it closes when it has all.
    await asyncio.sleep(2.0)
    served.held.set()
    server.stop()
    await server.wait_closed()
    return LinkCost(
        links,
        memory_kb,
        idle_s / _IDLE_S * _MS,
        message_s / _MESSAGES * _US,
    )


async def _open(address: str, links: int) -> LinkCost:
    """Be the router's end: open links, idle, then read messages."""
    where = parse_address(address)
    hello: Any = Hello(ProcessName('router', 1), Place('r', 'z'), 0)
    codec = MsgpackCodec()
    before_kb = _memory_kb()
    streams = []
    channels = []
    for _ in range(links):
        channel = Channel(where.host, where.port, codec=codec)
        stream = channel.request(
            LINK_METHOD, Cardinality.STREAM_STREAM, FromRouter, FromAgent
        )
        await stream.__aenter__()
        await stream.send_message(hello)
        await stream.recv_message()
        streams.append(stream)
        channels.append(channel)
    memory_kb = _memory_kb() - before_kb
    began_s = time.process_time()
    await asyncio.sleep(_IDLE_S - 2.0)
    idle_s = time.process_time() - began_s
    readers = []
    for stream in streams:
        readers.append(stream.recv_message())
    await asyncio.gather(*readers)
    began_s = time.process_time()
    expected = _MESSAGES // links - 1
    await asyncio.gather(*[_read(stream, expected) for stream in streams])
    message_s = time.process_time() - began_s
    for channel in channels:
        channel.close()
    return LinkCost(
        links,
        memory_kb,
        idle_s / (_IDLE_S - 2.0) * _MS,
        message_s / (expected * links) * _US,
    )


async def _read(stream: object, count: int) -> None:
    for _ in range(count):
        await stream.recv_message()  # type: ignore[attr-defined]


def _memory_kb() -> float:
    return float(psutil.Process().memory_info().rss / 1024)


def _main(end: str, *words: str) -> None:
    if end == 'serve':
        cost = asyncio.run(_serve(int(words[0])))
    else:
        cost = asyncio.run(_open(words[0], int(words[1])))
    print(msgspec.json.encode(cost).decode(), flush=True)


if __name__ == '__main__':
    _main(*sys.argv[1:])
