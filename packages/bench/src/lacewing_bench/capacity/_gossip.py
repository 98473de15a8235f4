"""Measure the exchanges between peers against the size of the fleet."""

import asyncio
import time
import tracemalloc
from random import Random

import msgspec
from lacewing_common.identity import new_incarnation
from lacewing_common.identity import Place
from lacewing_common.identity import ProcessName
from lacewing_common.identity import Role
from lacewing_common.settings import Settings
from lacewing_common.wire_peers import Exchange
from lacewing_common.wire_peers import EXCHANGE_METHOD
from lacewing_common.wire_peers import Liveness
from lacewing_common.wire_peers import MemberRecord
from lacewing_daemon._peers_server import PeersServer
from lacewing_daemon.peers import PeerCallFailed
from lacewing_daemon.peers import PeerChannels
from lacewing_daemon.peers import PeerNode
from lacewing_daemon.peers._table import MemberTable

from lacewing_bench.capacity._series import fit
from lacewing_bench.capacity._series import Series

_SIZES = (300, 600, 1220)
_CALLS = 400
_POLLS = 20


def measure_gossip() -> tuple[Series, ...]:
    """Measure CPU and bytes of an exchange and memory of the table."""
    cpu: list[tuple[float, float]] = []
    sent: list[tuple[float, float]] = []
    memory: list[tuple[float, float]] = []
    followed: list[tuple[float, float]] = []
    for members in _SIZES:
        held_kb = _table_kb(members)
        call_us, call_bytes = asyncio.run(_exchange(members))
        memory.append((members, held_kb))
        cpu.append((members, call_us))
        followed.append((members, _follow_us(members)))
        sent.append((members, call_bytes))
    return (
        fit('exchange, both ends', 'us', 'member', cpu),
        fit('exchange, both ways', 'B', 'member', sent),
        fit('member table', 'KB', 'member', memory),
        fit('members followed', 'us', 'member', followed),
    )


def sample_record(number: int) -> MemberRecord:
    """Make the record of an agent, another for each number."""
    return MemberRecord(
        f'process-{number:04}',
        new_incarnation(),
        0,
        Liveness.ALIVE,
        False,
        Role.AGENT,
        f'region-{number % 2}',
        f'zone-{number % 8}',
        f'service-{number % 6}',
        f'10.{number % 8}.{number // 250}.{number % 250}:7400',
    )


def _follow_us(members: int) -> float:
    """Time what a router looks up in each poll of its members."""
    node = _node(0, members)
    began_s = time.process_time()
    for _ in range(_POLLS):
        for address in node.members.agent_addresses():
            node.members.is_leaving(address)
    return (time.process_time() - began_s) / _POLLS * 1e6


def _table_kb(members: int) -> float:
    tracemalloc.start()
    table = MemberTable(sample_record(0))
    table.merge_all(tuple(sample_record(number) for number in range(members)))
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(table.all()) == members
    return held / 1024


def _node(number: int, members: int) -> PeerNode:
    record = sample_record(number)
    settings = Settings(
        role=Role.ROUTER,
        process_id=record.process_id,
        place=Place(record.region, record.availability_zone),
    )
    name = ProcessName(record.process_id, record.incarnation)
    node = PeerNode(name, settings, {}, tuple, Random(number))
    node.table.set_address(record.address)
    for other in range(members):
        if other != number:
            node.table.merge(sample_record(other))
    return node


async def _exchange(members: int) -> tuple[float, float]:
    """Return CPU microseconds and bytes of one exchange in a calm fleet."""
    caller = _node(0, members)
    called = _node(1, members)
    settings = Settings(
        role=Role.ROUTER, process_id='called', place=Place('r', 'z')
    )
    server = PeersServer(settings, [called.service])
    await server.start()
    channels = PeerChannels(None)
    # The records entered above count as news, told log(n) times each; a calm
    # fleet has some 800 changes a day and nothing to tell most of the time.
    for node in (caller, called):
        while node._updates.make_request().records:
            pass
    message = caller._updates.make_request()
    began_s = time.process_time()
    for _ in range(_CALLS):
        message = await _call(channels, server.address, caller)
    took_s = time.process_time() - began_s
    encode = msgspec.msgpack.encode
    both = len(encode(caller._updates.make_request())) + len(encode(message))
    channels.close()
    server.stop()
    await server.wait_closed()
    return took_s / _CALLS * 1e6, float(both)


async def _call(
    channels: PeerChannels, address: str, caller: PeerNode
) -> Exchange:
    answer = await channels.call(
        address, EXCHANGE_METHOD, caller._updates.make_request(), Exchange, 5.0
    )
    if isinstance(answer, PeerCallFailed):
        raise RuntimeError(answer.message)
    caller._updates.apply(answer)
    return answer
